//! What a queue decides on a request.

use std::time::Duration;

use super::{RunningKey, WaitingKey};

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It runs.
    Run(RunningKey),
    /// It waits until it is settled.
    Wait(WaitingKey),
    /// It doesn't run here.
    Refused(QueueRefusal),
}

/// What becomes of a request that has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitResult {
    /// It runs.
    Run(WaitingKey, RunningKey),
    /// It doesn't run here.
    Refused(WaitingKey, QueueRefusal),
}

/// Why a request doesn't run here, and when it is worth coming back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Why.
    pub reason: QueueRefusalReason,
    /// Time after which there should be room.
    pub retry_after: Duration,
}

/// Why a request doesn't run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueueRefusalReason {
    /// All slots that are filled are taken, and it may not wait.
    Full,
    /// The target is cold and gets no more at this moment, and it may not wait.
    Cold,
    /// The target is slow at this moment, and it may not wait.
    Slow,
    /// It would not be answered before its caller gives up.
    CannotEndInTime,
    /// It would be answered late, and so would everything behind it.
    TooLate,
    /// The target leaves.
    Leaving,
}

impl QueueRefusalReason {
    /// The reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Cold => "cold",
            Self::Slow => "slow",
            Self::CannotEndInTime => "cannot_end_in_time",
            Self::TooLate => "too_late",
            Self::Leaving => "leaving",
        }
    }
}
