//! Compressed JSON form in which changes of the routing table travel between daemons.

use std::io::{Read, Write};

use base64::{Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use thiserror::Error;
use yuccarack_config::{routing::RoutingVersion, routing_changes::RoutingChanges, shared_data};

/// Largest JSON that is unpacked, in bytes; enough for some 200,000 routes.
const UNPACKED_MAX_BYTES: u64 = 64 * 1024 * 1024;

shared_data! {
    /// [`RoutingChanges`] in compressed form.
    pub struct PackedChanges {
        /// Version of the table that the changes apply to; 0 for a table without routes.
        pub base: RoutingVersion,
        /// Version of the table that results.
        pub version: RoutingVersion,
        /// JSON of the changes, compressed with deflate and encoded as base64.
        pub body: String,
    }
}

/// Reason why changes can't be packed or unpacked.
#[derive(Debug, Error)]
pub enum PackError {
    /// The JSON of the changes is invalid.
    #[error("the JSON of the routing changes is invalid: {0}")]
    Json(#[from] serde_json::Error),
    /// The packed changes aren't valid base64.
    #[error("the packed routing changes are not valid base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// Compression or decompression failed.
    #[error("compressing or decompressing the routing changes failed: {0}")]
    Deflate(#[from] std::io::Error),
}

impl PackedChanges {
    /// Packs `changes`.
    ///
    /// # Errors
    ///
    /// Returns [`PackError::Json`] or [`PackError::Deflate`].
    pub fn new(changes: &RoutingChanges) -> Result<Self, PackError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(changes)?)?;
        let body = STANDARD.encode(encoder.finish()?);
        Ok(Self { base: changes.base, version: changes.version, body })
    }

    /// Unpacks the changes. JSON beyond the size limit is cut off and so rejected as invalid.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] if the packed form is invalid.
    pub fn unpack(&self) -> Result<RoutingChanges, PackError> {
        let compressed = STANDARD.decode(&self.body)?;
        let mut json = Vec::new();
        DeflateDecoder::new(compressed.as_slice())
            .take(UNPACKED_MAX_BYTES)
            .read_to_end(&mut json)?;
        Ok(serde_json::from_slice(&json)?)
    }
}
