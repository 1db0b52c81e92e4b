//! Response bodies of the target stand-in, by which callers detect swapped, truncated and
//! duplicated responses.
//!
//! A response body is a filler of the size that the query asks for, then the request's body, then
//! 16 hex digits of a hash over the request's path and body.

use bytes::{BufMut, Bytes, BytesMut};
use xxhash_rust::xxh3::Xxh3Default;

/// Length of the hash at the end of a response body, in bytes.
pub const HASH_BYTES: usize = 16;

/// Incremental hash over the path and body of a request.
#[derive(Clone)]
pub struct EchoHash(Xxh3Default);

impl EchoHash {
    /// Starts a hash with the path and query of the request.
    pub fn new(path: &str) -> Self {
        let mut hash = Xxh3Default::new();
        hash.update(path.as_bytes());
        Self(hash)
    }

    /// Adds the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// Returns the hash of everything added so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }

    /// Returns the hash as the hex digits that end a response body.
    pub fn hex_suffix(&self) -> Bytes {
        Bytes::from(format!("{:016x}", self.value()))
    }
}

/// Returns the numeric value of `name` in the query of `path`.
pub fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Returns the filler that the query of `path` asks for with `answer_bytes`.
pub fn filler(path: &str) -> Bytes {
    let length = query_number(path, "answer_bytes").unwrap_or(0);
    let seed = EchoHash::new(path).value().to_be_bytes();
    seed.iter().copied().cycle().take(usize::try_from(length).unwrap_or(0)).collect()
}

/// Returns the full response body to a request for `path` with `body`.
pub fn expected_body(path: &str, body: &[u8]) -> Bytes {
    let mut check = EchoHash::new(path);
    check.update(body);
    let filler = filler(path);
    let mut response = BytesMut::with_capacity(filler.len() + body.len() + HASH_BYTES);
    response.put(filler);
    response.put(body);
    response.put(check.hex_suffix());
    response.freeze()
}
