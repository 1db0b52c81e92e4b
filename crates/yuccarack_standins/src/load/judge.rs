//! Tells a right answer from a refusal, and both from a wrong, cut or missing one.

use yuccarack_config::headers;

use crate::{
    client::{ClientError, ClientResponse},
    echo,
};

/// What an answer is worth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer to the request that was sent.
    Correct,
    /// A typed refusal or loss.
    Refused {
        /// What is proved of the request.
        outcome: String,
        /// Why it was refused or lost.
        reason: String,
    },
    /// A success with another body than the one expected.
    WrongBody,
    /// An answer that is neither a success nor typed.
    Untyped {
        /// Its HTTP status.
        status: u16,
    },
    /// The answer's body was cut, and the caller can see it.
    Truncated,
    /// No answer, or no connection.
    NoResponse,
}

/// Judges the answer to the request of `path` with `body`.
pub fn classify_response(
    path: &str,
    body: &[u8],
    told: &Result<ClientResponse, ClientError>,
) -> Verdict {
    let told = match told {
        Ok(told) => told,
        Err(ClientError::TruncatedBody { .. }) => return Verdict::Truncated,
        Err(_) => return Verdict::NoResponse,
    };
    let outcome = told.header(headers::OUTCOME);
    let reason = told.header(headers::REASON);
    if !outcome.is_empty() && !reason.is_empty() {
        return Verdict::Refused { outcome: outcome.to_owned(), reason: reason.to_owned() };
    }
    if !told.status.is_success() {
        return Verdict::Untyped { status: told.status.as_u16() };
    }
    if told.body == echo::expected_body(path, body) {
        return Verdict::Correct;
    }
    Verdict::WrongBody
}
