//! What a target stand-in answers, so that crossed, cut and doubled answers show.
//!
//! An answer is a filler of the size that the query asks for, then the request's body, then 16
//! hex digits of a hash over the request's path and body.

use bytes::{BufMut, Bytes, BytesMut};
use xxhash_rust::xxh3::Xxh3Default;

/// Length of the hash at the end of an answer, in bytes.
pub const HASH_BYTES: usize = 16;

/// Hash over a request, fed with its body piece by piece.
#[derive(Clone)]
pub struct EchoHash(Xxh3Default);

impl EchoHash {
    /// Starts with the path and query of the request.
    pub fn new(path: &str) -> Self {
        let mut hash = Xxh3Default::new();
        hash.update(path.as_bytes());
        Self(hash)
    }

    /// Takes the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// The hash of all so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }

    /// The end of the answer.
    pub fn hex_suffix(&self) -> Bytes {
        Bytes::from(format!("{:016x}", self.value()))
    }
}

/// The number that the query of `path` gives `name`.
pub fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// The filler that `path` asks for with `answer_bytes`.
pub fn filler(path: &str) -> Bytes {
    let length = query_number(path, "answer_bytes").unwrap_or(0);
    let seed = EchoHash::new(path).value().to_be_bytes();
    seed.iter().copied().cycle().take(usize::try_from(length).unwrap_or(0)).collect()
}

/// The whole answer to a request of `path` with `body`.
pub fn expected_body(path: &str, body: &[u8]) -> Bytes {
    let mut check = EchoHash::new(path);
    check.update(body);
    let filler = filler(path);
    let mut whole = BytesMut::with_capacity(filler.len() + body.len() + HASH_BYTES);
    whole.put(filler);
    whole.put(body);
    whole.put(check.hex_suffix());
    whole.freeze()
}
