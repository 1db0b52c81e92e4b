//! Waiting requests and their order.

use std::time::{Duration, Instant};

use super::{
    WorkRequest,
    fair_share::{ShareUse, Standing},
};

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    pub request: WorkRequest,
    /// Service time by which its organisation's demand was recorded.
    pub service_time: Duration,
}

/// Sort key of a waiting request; the smallest key runs first. The fields are compared in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PriorityKey {
    /// Whether the request is not expedited (short, see `WorkQueue::is_expedited`).
    is_ordinary: bool,
    /// Whether it can't meet its soft deadline.
    is_late: bool,
    /// Whether its organisation gets at least half of the overall served share.
    is_served: bool,
    /// Whether its organisation is surging.
    is_surging: bool,
    organisation_rank: u8,
    share_use: ShareUse,
    route_rank: u8,
    soft_deadline: Instant,
}

/// Returns the sort key of `request`, which takes `service_time` if it starts now.
pub fn priority_key(
    request: &WorkRequest,
    standing: Standing,
    is_expedited: bool,
    now: Instant,
    service_time: Duration,
) -> PriorityKey {
    PriorityKey {
        is_ordinary: !is_expedited,
        is_late: now + service_time > request.soft_deadline,
        is_served: !standing.is_starved,
        is_surging: standing.is_surging,
        organisation_rank: standing.rank,
        share_use: standing.share_use,
        route_rank: request.rank,
        soft_deadline: request.soft_deadline,
    }
}
