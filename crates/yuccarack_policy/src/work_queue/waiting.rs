//! One request that waits, and its place among the others.

use std::time::{Duration, Instant};

use super::WorkRequest;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    pub request: WorkRequest,
}

/// Place in the order, the least goes first: what goes ahead of all else, what can be on time, the most
/// urgent, and what has the least time left.
pub type PriorityKey = (bool, bool, u8, Instant);

/// The place of `work`, which takes `run_time` if it starts now.
pub fn priority_key(
    work: &WorkRequest,
    is_ahead: bool,
    now: Instant,
    run_time: Duration,
) -> PriorityKey {
    let is_late = now + run_time > work.soft_deadline;
    (!is_ahead, is_late, work.rank, work.soft_deadline)
}
