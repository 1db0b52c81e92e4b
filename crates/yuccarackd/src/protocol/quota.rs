//! Reports of quotas and their responses between daemons.

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use thiserror::Error;
use yuccarack_policy::quota::{QuotaLease, QuotaReport};

use super::body::{self, BodyError, CallBody, limited};

/// Header of a request with a [`QuotaReport`] as its JSON body; the value has no meaning. The JSON body
/// of the response is a [`QuotaLease`].
const QUOTA_REPORT: &str = "yuccarack-quota-report";

/// Largest accepted message. One with 1,000 organisations has some 80 kB.
const MESSAGE_MAX_BYTES: u64 = 512 * 1024;

/// Why a message can't be read or written.
#[derive(Debug, Error)]
pub enum QuotaMessageError {
    /// The body was cut off or is too long.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body is not the expected JSON.
    #[error("malformed quota message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The other daemon did not respond with a lease.
    #[error("response with status {0}")]
    Status(StatusCode),
}

/// Returns whether a request has a report.
pub fn is_report(headers: &HeaderMap) -> bool {
    headers.contains_key(QUOTA_REPORT)
}

/// Builds the request that carries `report`.
///
/// # Errors
///
/// Returns [`QuotaMessageError::Malformed`] if the report can't be encoded.
pub fn encode_report(report: &QuotaReport) -> Result<Request<CallBody>, QuotaMessageError> {
    let mut request = Request::new(body::full(serde_json::to_vec(report)?.into()));
    *request.method_mut() = Method::POST;
    let map = request.headers_mut();
    map.insert(QUOTA_REPORT, HeaderValue::from_static("1"));
    map.insert(header::HOST, HeaderValue::from_static("peer"));
    Ok(request)
}

/// Reads the report of a request.
///
/// # Errors
///
/// Returns a [`QuotaMessageError`] if the body ends early, is too long or is no report.
pub async fn decode_report(body: CallBody) -> Result<QuotaReport, QuotaMessageError> {
    decode(body).await
}

/// Builds the response that carries `lease`.
///
/// # Errors
///
/// Returns [`QuotaMessageError::Malformed`] if the lease can't be encoded.
pub fn encode_lease(lease: &QuotaLease) -> Result<Response<CallBody>, QuotaMessageError> {
    Ok(Response::new(body::full(serde_json::to_vec(lease)?.into())))
}

/// Reads the lease of a response.
///
/// # Errors
///
/// Returns a [`QuotaMessageError`] if the response has no lease, as that of an older build.
pub async fn decode_lease(response: Response<CallBody>) -> Result<QuotaLease, QuotaMessageError> {
    if response.status() != StatusCode::OK {
        return Err(QuotaMessageError::Status(response.status()));
    }
    decode(response.into_body()).await
}

async fn decode<T: serde::de::DeserializeOwned>(body: CallBody) -> Result<T, QuotaMessageError> {
    let bytes = limited(body, MESSAGE_MAX_BYTES).collect().await?.to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}
