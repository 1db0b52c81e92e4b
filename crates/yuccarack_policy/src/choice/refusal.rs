//! Reasons for which no target could be chosen.

use thiserror::Error;

/// Why no target could be chosen; the request was not sent to any target.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum ChoiceRefusal {
    /// No target of the service is known.
    #[error("no target of the service is known")]
    NoMembers,
    /// Every ready target is excluded because it has been tried already.
    #[error("every ready target of the service was already tried")]
    AllExcluded,
    /// No target is ready and some are starting.
    #[error("no target of the service is ready, some are starting")]
    AllStarting,
    /// No target is ready and all are draining.
    #[error("no target of the service is ready, all are draining")]
    AllDraining,
}

impl ChoiceRefusal {
    /// Returns the reason's name in counters and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoMembers => "no_members",
            Self::AllExcluded => "all_excluded",
            Self::AllStarting => "all_starting",
            Self::AllDraining => "all_draining",
        }
    }
}
