//! What a request is recognised by when its caller sends it again.

use xxhash_rust::xxh3::Xxh3;
use yuccarack_config::ids::Fingerprint;

/// Most bytes of a body that count.
pub const FINGERPRINT_BODY_MAX_BYTES: usize = 16 * 1024;

/// Parts of a request that are the same each time it is sent, whichever daemon it is sent to.
///
/// The caller is not among them: the same request must match when it comes through another
/// daemon, from another address or from another user who reads the same page, since it crashes
/// the target all the same. Neither are headers: they change with each try (deadline, ids, trace).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintParts<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its path with the query.
    pub path_and_query: &'a str,
    /// Its idempotency key.
    pub key: Option<&'a str>,
    /// Length of its body as its head says, in bytes.
    pub content_length: Option<u64>,
    /// Its body, whole, or nothing. Which of them must hang on `content_length` alone, else a
    /// resend wouldn't match.
    pub body: &'a [u8],
}

impl FingerprintParts<'_> {
    /// The hash of all parts.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        add(&mut hash, self.service.as_bytes());
        add(&mut hash, self.method.as_bytes());
        add(&mut hash, self.path_and_query.as_bytes());
        add(&mut hash, &self.content_length.map_or([0xff; 8], u64::to_le_bytes));
        let counted = self.body.len().min(FINGERPRINT_BODY_MAX_BYTES);
        add(&mut hash, &self.body[..counted]);
        if !self.is_complete() {
            add(&mut hash, self.key.unwrap_or_default().as_bytes());
        }
        hash.digest()
    }

    /// Whether the body is known in full.
    ///
    /// Then the key doesn't count: a caller that sends its crashing order again under a fresh key
    /// would crash a target with each. With part of the body unknown the key does count: all
    /// orders of one length would look alike, and one of them would have the others refused.
    fn is_complete(&self) -> bool {
        let is_known = self.content_length == Some(self.body.len() as u64);
        is_known && self.body.len() <= FINGERPRINT_BODY_MAX_BYTES
    }
}

/// The length goes first, so that no two lists of parts run into the same bytes.
fn add(hash: &mut Xxh3, part: &[u8]) {
    hash.update(&(part.len() as u64).to_le_bytes());
    hash.update(part);
}
