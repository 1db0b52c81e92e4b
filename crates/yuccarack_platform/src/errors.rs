//! Errors of requests to the platform.

use thiserror::Error;

use crate::{messages::FailedCondition, response_head::ResponseHeadError};

/// Error of a request to the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// A condition of a commit did not hold; nothing was written.
    #[error("commit conflict: {} condition(s) did not hold", .failed.len())]
    Conflict {
        /// The conditions that did not hold, with the current revisions of their rows.
        failed: Vec<FailedCondition>,
    },
    /// The platform refused the request before it did anything; nothing was written.
    #[error("the platform refused the request with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The connection could not be established; nothing was written.
    #[error("the platform is unreachable")]
    Unreachable,
    /// The request was sent, but no usable response arrived; a write may have taken effect.
    #[error("no response from the platform; whether a write took effect is unknown")]
    UnknownOutcome,
    /// The response started to arrive and then made no progress.
    #[error("the response of the platform stalled after {received_bytes} bytes")]
    Stalled {
        /// Number of bytes of the body that had arrived.
        received_bytes: usize,
    },
    /// The response exceeds the longest body that is read; a write may have taken effect.
    #[error("the response of the platform is too long")]
    TooLong,
    /// The head of the response is malformed; a write may have taken effect.
    #[error("malformed response head from the platform")]
    MalformedHead(#[source] ResponseHeadError),
    /// The response does not have the expected form; a write may have taken effect.
    #[error("malformed response from the platform")]
    Malformed(#[source] serde_json::Error),
    /// The request can't be serialized as JSON; nothing was sent.
    #[error("the request can't be serialized as JSON")]
    Unserializable(#[source] serde_json::Error),
}

impl PlatformError {
    /// Returns whether it is certain that nothing was written.
    pub fn is_not_written(&self) -> bool {
        match self {
            Self::Conflict { .. }
            | Self::Refused { .. }
            | Self::Unreachable
            | Self::Unserializable(_) => true,
            Self::UnknownOutcome
            | Self::Stalled { .. }
            | Self::TooLong
            | Self::MalformedHead(_)
            | Self::Malformed(_) => false,
        }
    }
}
