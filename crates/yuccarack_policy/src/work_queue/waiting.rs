//! Waiting requests and their order.

use std::time::{Duration, Instant};

use super::WorkRequest;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    pub request: WorkRequest,
}

/// Sort key of a waiting request; the smallest key runs first.
///
/// Compared in this order: whether the request is expedited (short, see `WorkQueue::is_expedited`),
/// whether it can meet its soft deadline, its rank, and its soft deadline.
pub type PriorityKey = (bool, bool, u8, Instant);

/// Returns the sort key of `request`, which takes `service_time` if it starts now.
pub fn priority_key(
    request: &WorkRequest,
    is_expedited: bool,
    now: Instant,
    service_time: Duration,
) -> PriorityKey {
    let is_late = now + service_time > request.soft_deadline;
    (!is_expedited, is_late, request.rank, request.soft_deadline)
}
