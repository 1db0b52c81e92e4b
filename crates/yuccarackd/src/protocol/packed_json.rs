//! Compressed JSON, the form in which large data travel between daemons.

use std::io::{Read, Write};

use base64::{Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Largest JSON that is unpacked, in bytes; enough for some 200,000 routes.
const UNPACKED_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Reason why data can't be packed or unpacked.
#[derive(Debug, Error)]
pub enum PackError {
    /// The JSON is invalid.
    #[error("the packed JSON is invalid: {0}")]
    Json(#[from] serde_json::Error),
    /// The packed data aren't valid base64.
    #[error("the packed data are not valid base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// Compression or decompression failed.
    #[error("compressing or decompressing failed: {0}")]
    Deflate(#[from] std::io::Error),
}

/// Packs `data` as JSON, compressed with deflate and encoded as base64.
///
/// # Errors
///
/// Returns [`PackError::Json`] or [`PackError::Deflate`].
pub fn pack(data: &impl Serialize) -> Result<String, PackError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(data)?)?;
    Ok(STANDARD.encode(encoder.finish()?))
}

/// Unpacks data. JSON beyond the size limit is cut off and so rejected as invalid.
///
/// # Errors
///
/// Returns a [`PackError`] if the packed form is invalid.
pub fn unpack<T: DeserializeOwned>(packed: &str) -> Result<T, PackError> {
    let compressed = STANDARD.decode(packed)?;
    let mut json = Vec::new();
    DeflateDecoder::new(compressed.as_slice()).take(UNPACKED_MAX_BYTES).read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
