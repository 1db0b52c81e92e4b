//! What can go wrong between us and the platform.

use thiserror::Error;

use crate::messages::FailedCondition;

/// Why a call to the platform gave no result.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// A condition did not hold; nothing was written.
    #[error("{} condition(s) did not hold", .failed.len())]
    Conflict {
        /// The conditions that did not hold, with what stands there.
        failed: Vec<FailedCondition>,
    },
    /// The platform refused before it did anything; nothing was written.
    #[error("the platform refused with status {status}")]
    Refused {
        /// Its HTTP status.
        status: u16,
    },
    /// No connection could be made; nothing was written.
    #[error("the platform can't be reached")]
    Unreachable,
    /// The question went out and no answer came; a write may have taken effect.
    #[error("no answer came; whether a write took effect is unknown")]
    UnknownOutcome,
    /// The answer began and made no progress any more.
    #[error("the answer stalled after {received_bytes} bytes")]
    Stalled {
        /// Bytes of its body that had arrived.
        received_bytes: usize,
    },
    /// The answer is not in the agreed form; a write may have taken effect.
    #[error("the platform's answer can't be read")]
    Malformed(#[source] serde_json::Error),
    /// What was to be sent has no form in JSON.
    #[error("the question can't be written")]
    Unserializable(#[source] serde_json::Error),
}

impl PlatformError {
    /// Whether it is proved that nothing was written.
    pub fn is_not_written(&self) -> bool {
        match self {
            Self::Conflict { .. }
            | Self::Refused { .. }
            | Self::Unreachable
            | Self::Unserializable(_) => true,
            Self::UnknownOutcome | Self::Stalled { .. } | Self::Malformed(_) => false,
        }
    }
}
