//! Checks the heads of HTTP responses (RFC 9110, section 15, and RFC 9112, section 6.3) beyond what the
//! HTTP library does.

use std::ops::RangeInclusive;

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Version, header};
use strsim::osa_distance;
use thiserror::Error;

/// Status codes of final responses.
const FINAL_STATUS: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that requests accept.
const CHUNKED: &[u8] = b"chunked";

/// Largest edit distance between a misspelt name and the right one.
const MISSPELT_DISTANCE_MAX: usize = 2;

/// Why a response head is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseHeadError {
    /// The status is not that of a final response. No request asks for a protocol upgrade, so 101 is
    /// none either.
    #[error("the status of the response is not a final one")]
    Status,
    /// The transfer coding is not `chunked` alone.
    #[error("the transfer coding of the response is not chunked")]
    TransferCoding,
    /// `Transfer-Encoding` is not allowed in HTTP/1.0 and with status 204.
    #[error("the response must not have a transfer coding")]
    UnexpectedTransferCoding,
    /// The response has both `Transfer-Encoding` and `Content-Length`.
    #[error("the response declares both a transfer coding and a content length")]
    ConflictingLengths,
    /// There are several values of `Content-Length`, or one that is no number.
    #[error("the content length of the response is not a single number")]
    ContentLength,
    /// The name of the field that declares the length is misspelt.
    #[error("the field that declares the length of the response is misspelt")]
    MisspeltLength,
    /// A response with status 204 declares content.
    #[error("the response declares content, but its status excludes content")]
    UnexpectedContent,
}

/// Checks that `response` is final and that its head declares the length of its body correctly.
///
/// The HTTP library reads a body with an unknown transfer coding to the end of the connection, and
/// ignores a content length beside chunks. Its content would be forwarded with the framing in it, or
/// with a length that it doesn't have.
///
/// # Errors
///
/// [`ResponseHeadError`]; the body must not be used.
pub fn check_response_head<B>(response: &Response<B>) -> Result<(), ResponseHeadError> {
    if !FINAL_STATUS.contains(&response.status().as_u16()) {
        return Err(ResponseHeadError::Status);
    }
    let headers = response.headers();
    let content_length = content_length(headers)?;
    let excludes_content = response.status() == StatusCode::NO_CONTENT;
    if headers.contains_key(header::TRANSFER_ENCODING) {
        if content_length.is_some() {
            return Err(ResponseHeadError::ConflictingLengths);
        }
        if excludes_content || response.version() < Version::HTTP_11 {
            return Err(ResponseHeadError::UnexpectedTransferCoding);
        }
        return check_transfer_coding(headers);
    }
    match content_length {
        Some(1..) if excludes_content => Err(ResponseHeadError::UnexpectedContent),
        // The body ends with the connection.
        None if headers.iter().any(|(name, value)| is_misspelt_length(name, value)) => {
            Err(ResponseHeadError::MisspeltLength)
        }
        _ => Ok(()),
    }
}

/// Returns whether the field resembles one that declares the length of a body.
fn is_misspelt_length(name: &HeaderName, value: &HeaderValue) -> bool {
    let resembles = |known: &HeaderName| {
        let (name, known) = (name.as_str(), known.as_str());
        name.len().abs_diff(known.len()) <= MISSPELT_DISTANCE_MAX
            && osa_distance(name, known) <= MISSPELT_DISTANCE_MAX
    };
    resembles(&header::TRANSFER_ENCODING)
        || resembles(&header::CONTENT_LENGTH)
        || value.as_bytes().eq_ignore_ascii_case(CHUNKED)
}

fn check_transfer_coding(headers: &HeaderMap) -> Result<(), ResponseHeadError> {
    match single_value(headers, &header::TRANSFER_ENCODING) {
        Some(value) if value.as_bytes().eq_ignore_ascii_case(CHUNKED) => Ok(()),
        _ => Err(ResponseHeadError::TransferCoding),
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, ResponseHeadError> {
    if !headers.contains_key(header::CONTENT_LENGTH) {
        return Ok(None);
    }
    let value = single_value(headers, &header::CONTENT_LENGTH);
    // `u64` would also parse a leading plus sign.
    let digits = value.filter(|value| value.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|digits| digits.parse().ok());
    length.map(Some).ok_or(ResponseHeadError::ContentLength)
}

/// Returns the value of `name`; `None` if there are several header lines or it isn't visible ASCII.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().ok(),
        _ => None,
    }
}
