//! Classifies responses: correct, refused, wrong, truncated or missing.

use yuccarack_config::headers;

use crate::{
    client::{ClientError, ClientResponse},
    echo,
};

/// Class of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The complete response to the request that was sent.
    Correct,
    /// A refusal or loss with outcome and reason headers.
    Refused {
        /// What is confirmed about the request's execution.
        outcome: String,
        /// Why the request was refused or lost.
        reason: String,
    },
    /// A success with another body than expected.
    WrongBody,
    /// A failure without outcome and reason headers.
    Untyped {
        /// HTTP status of the response.
        status: u16,
    },
    /// The body was truncated, which the caller can detect.
    Truncated,
    /// No response, or no connection.
    NoResponse,
}

/// Classifies the response to a request for `path` with `body`.
pub fn classify_response(
    path: &str,
    body: &[u8],
    response: &Result<ClientResponse, ClientError>,
) -> Verdict {
    let response = match response {
        Ok(response) => response,
        Err(ClientError::TruncatedBody { .. }) => return Verdict::Truncated,
        Err(_) => return Verdict::NoResponse,
    };
    let outcome = response.header(headers::OUTCOME);
    let reason = response.header(headers::REASON);
    if !outcome.is_empty() && !reason.is_empty() {
        return Verdict::Refused { outcome: outcome.to_owned(), reason: reason.to_owned() };
    }
    if !response.status.is_success() {
        return Verdict::Untyped { status: response.status.as_u16() };
    }
    if response.body == echo::expected_body(path, body) {
        return Verdict::Correct;
    }
    Verdict::WrongBody
}
