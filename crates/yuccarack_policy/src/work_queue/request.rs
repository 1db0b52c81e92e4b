//! What a queue is told of a request: what it wants, and how its run ended.

use std::time::Instant;

/// One request that wants to run.
#[derive(Clone, Copy, Debug)]
pub struct WorkRequest {
    /// Requests of one kind take alike long.
    pub kind: u64,
    /// How urgent it is; 0 is the most urgent.
    pub rank: u8,
    /// Until when its answer is of full use.
    pub soft_deadline: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
    /// Whether it may wait here; else it goes to another target if it can't run well at once.
    pub may_wait: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// With an answer.
    Completed,
    /// Without one, or given up.
    Aborted,
}
