//! Decisions of the work queue on a request.

use std::time::Duration;

use super::{RunningKey, WaitingKey};

/// Decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request runs now.
    Run(RunningKey),
    /// The request waits until `poll` returns its [`WaitResult`].
    Wait(WaitingKey),
    /// The request is rejected and does not run at this gate.
    Refused(QueueRefusal),
}

/// Result of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitResult {
    /// The request runs now.
    Run(WaitingKey, RunningKey),
    /// The request is rejected and does not run at this gate.
    Refused(WaitingKey, QueueRefusal),
}

/// A rejection with its reason and the time after which a retry makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Reason of the rejection.
    pub reason: QueueRefusalReason,
    /// Time after which a slot is expected to be free.
    pub retry_after: Duration,
}

/// Why a request is rejected at this gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueueRefusalReason {
    /// The target's concurrency limit is reached, and the request may not wait.
    Full,
    /// The target is cold and at its rate limit, and the request may not wait.
    Cold,
    /// The target announces a rate limit, which leaves no room for the request in time.
    RateLimited,
    /// The target is currently slow, and the request may not wait.
    Slow,
    /// The request could not be completed before its deadline.
    CannotEndInTime,
    /// The request would miss its soft deadline and delay everything behind it.
    TooLate,
    /// The link of the instance has no room for the response in time.
    LinkFull,
    /// The target is draining.
    Draining,
}

impl QueueRefusalReason {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Cold => "cold",
            Self::RateLimited => "rate_limited",
            Self::Slow => "slow",
            Self::CannotEndInTime => "cannot_end_in_time",
            Self::TooLate => "too_late",
            Self::LinkFull => "link_full",
            Self::Draining => "leaving",
        }
    }
}
