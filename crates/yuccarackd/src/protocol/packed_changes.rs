//! Changes of the routing table as they go between daemons: compressed JSON.

use std::io::{Read, Write};

use base64::{Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use thiserror::Error;
use yuccarack_config::{routing::RoutingVersion, routing_changes::RoutingChanges, shared_data};

/// Largest JSON that is unpacked, in bytes; some 200,000 routes.
const UNPACKED_MAX_BYTES: u64 = 64 * 1024 * 1024;

shared_data! {
    /// Packed [`RoutingChanges`].
    pub struct PackedChanges {
        /// Version of the table that they apply to; 0 for a table without routes.
        pub base: RoutingVersion,
        /// Version of the table that results.
        pub version: RoutingVersion,
        /// JSON of the changes, compressed by deflate, in base64.
        pub body: String,
    }
}

/// Changes that can't be packed or unpacked.
#[derive(Debug, Error)]
pub enum PackError {
    /// They have another form.
    #[error("the changes' JSON can't be read or written: {0}")]
    Json(#[from] serde_json::Error),
    /// They are not in base64.
    #[error("the changes are not in base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// They can't be compressed or decompressed.
    #[error("the changes can't be compressed or decompressed: {0}")]
    Deflate(#[from] std::io::Error),
}

impl PackedChanges {
    /// Packs `changes`.
    ///
    /// # Errors
    ///
    /// [`PackError::Json`] and [`PackError::Deflate`].
    pub fn new(changes: &RoutingChanges) -> Result<Self, PackError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(changes)?)?;
        let body = STANDARD.encode(encoder.finish()?);
        Ok(Self { base: changes.base, version: changes.version, body })
    }

    /// The changes.
    ///
    /// # Errors
    ///
    /// [`PackError`].
    pub fn unpack(&self) -> Result<RoutingChanges, PackError> {
        let compressed = STANDARD.decode(&self.body)?;
        let mut json = Vec::new();
        DeflateDecoder::new(compressed.as_slice())
            .take(UNPACKED_MAX_BYTES)
            .read_to_end(&mut json)?;
        Ok(serde_json::from_slice(&json)?)
    }
}
