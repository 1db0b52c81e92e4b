//! A request for a slot and the outcome of its run.

use std::time::Instant;

/// A request that needs a slot of the target.
#[derive(Clone, Copy, Debug)]
pub struct WorkRequest {
    /// Kind of the request; requests of one kind have similar service times.
    pub kind: u64,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Time until which the response is of full use.
    pub soft_deadline: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Whether the request may wait at this gate. Otherwise it goes to another one unless it can
    /// run at once and without slowdown.
    pub may_wait: bool,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The target sent a complete response.
    Completed,
    /// The run ended without a complete response or was abandoned.
    Aborted,
}
