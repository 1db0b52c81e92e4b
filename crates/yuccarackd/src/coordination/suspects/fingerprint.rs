//! Fingerprints, which recognise a request when it is sent again.

use xxhash_rust::xxh3::Xxh3;
use yuccarack_config::ids::Fingerprint;

/// Most bytes of a body that are part of the fingerprint.
pub const FINGERPRINT_BODY_MAX_BYTES: usize = 16 * 1024;

/// Parts of a request that are the same each time it is sent, to whichever daemon.
///
/// The caller isn't among them: the same request must match when it arrives through another daemon,
/// from another address or from another user who reads the same page, since it crashes the target
/// all the same. Neither are the headers, which change with each attempt (deadline, ids, trace).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintParts<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query.
    pub path_and_query: &'a str,
    /// Idempotency key, if the request has one.
    pub key: Option<&'a str>,
    /// Length of the body according to the head, in bytes.
    pub content_length: Option<u64>,
    /// The complete body or nothing. Which of the two must depend on `content_length` only;
    /// otherwise a resend would not match.
    pub body: &'a [u8],
}

impl FingerprintParts<'_> {
    /// Returns the hash of all parts.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash_part(&mut hash, self.service.as_bytes());
        hash_part(&mut hash, self.method.as_bytes());
        hash_part(&mut hash, self.path_and_query.as_bytes());
        hash_part(&mut hash, &self.content_length.map_or([0xff; 8], u64::to_le_bytes));
        let counted = self.body.len().min(FINGERPRINT_BODY_MAX_BYTES);
        hash_part(&mut hash, &self.body[..counted]);
        if !self.is_complete() {
            hash_part(&mut hash, self.key.unwrap_or_default().as_bytes());
        }
        hash.digest()
    }

    /// Returns whether the complete body is known.
    ///
    /// The key is ignored then: a caller that sends a crashing request again under a new key could
    /// otherwise crash a target with each key. Without the complete body the key is included:
    /// otherwise all requests of one length would have the same fingerprint, and one crash would
    /// have the others refused.
    fn is_complete(&self) -> bool {
        let is_known = self.content_length == Some(self.body.len() as u64);
        is_known && self.body.len() <= FINGERPRINT_BODY_MAX_BYTES
    }
}

/// Hashes a part with its length in front, so that different lists of parts never give the same
/// bytes.
fn hash_part(hash: &mut Xxh3, part: &[u8]) {
    hash.update(&(part.len() as u64).to_le_bytes());
    hash.update(part);
}
