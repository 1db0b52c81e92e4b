//! Organisations whose callers authenticate with API keys, and their quotas.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::OrganisationName;

/// Id of an organisation between daemons: the hash of its name.
pub type OrganisationId = u64;

/// Bytes of the SHA-256 hash of a key that identify it.
const DIGEST_BYTES: usize = 16;

/// Digest of an API key.
///
/// Tables, messages and logs hold digests only, so that none of them reveals a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde(with = "hex::serde")] [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn new(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({})", hex::encode(self.0))
    }
}

shared_data! {
    /// An organisation, its API keys and the quota of its requests.
    pub struct Organisation {
        /// Name of the organisation, unique in its table.
        pub name: OrganisationName,
        /// Digests of the keys that its callers may use.
        pub key_digests: Vec<KeyDigest>,
        /// Priority of its requests, compared before that of their routes; 0 is the most urgent.
        pub rank: u8,
        /// Requests in 1,000 seconds that all daemons together accept; 0 for no limit.
        #[serde(default)]
        pub rate_per_1000_s: u64,
        /// Requests that are accepted at once after a time without any.
        #[serde(default)]
        pub burst: u32,
    }
}

impl Organisation {
    /// Returns the id by which daemons name the organisation to each other.
    pub fn id(&self) -> OrganisationId {
        xxh3_64(self.name.as_bytes())
    }

    /// Returns whether its requests are limited.
    pub fn has_quota(&self) -> bool {
        self.rate_per_1000_s > 0
    }
}
