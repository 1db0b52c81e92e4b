//! Decides when the caller of a request that a target shed is asked to return.
//!
//! Used for routed calls.
//!
//! A target may shed a part of its requests at random although it has capacity: 55 of 100 for 8 s
//! at all targets of a service. A request that returns at once is then as likely to be served as
//! any other, while an extra attempt of its entry is taken from a small allowance. With a wait of
//! 300 ms and a soft deadline of 400 ms a request returns once at most, and a third of them are
//! lost. A target that sheds because it is full sheds nearly everything, and requests that return
//! early only add to its load.

use std::time::Duration;

/// Time after which the caller of a request that was shed at random returns. It equals the shortest
/// wait that a gate asks for, so returns are no more frequent than after other refusals.
pub const SHED_AT_RANDOM_RETRY_AFTER: Duration = crate::work_queue::RETRY_AFTER_MIN;

/// Weight of one response in the share of shed requests, which covers about twenty requests.
const SHED_WEIGHT: f64 = 0.05;

/// Share of shed requests above which the target is taken to be full.
///
/// At 55 shed requests of 100 the estimate has a standard deviation of 0.08, so it is above this
/// limit about once in ten thousand requests.
const SHED_SHARE_MAX: f64 = 0.85;

/// Time that a returning request needs beside its wait, to its caller, back and for its run.
///
/// It is 90 ms for the shorter kinds of requests and 230 ms for the longer ones. The calls that
/// targets make have at most 250 ms left, and their parent fails if they are refused.
const RETURN_TIME: Duration = Duration::from_millis(210);

/// Returns whether the caller of a shed request can return in time: it is asked to wait for
/// `retry_after`, and `time_left` remains until its soft deadline.
pub fn can_return(time_left: Duration, retry_after: Duration) -> bool {
    time_left >= RETURN_TIME.saturating_add(retry_after)
}

/// Share of the requests to one target that it shed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShedReturns {
    shed_share: f64,
}

impl ShedReturns {
    /// Creates the record of a target that has shed nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a response of the target and whether it shed the request.
    pub fn record(&mut self, is_shed: bool) {
        let shed = if is_shed { 1.0 } else { 0.0 };
        self.shed_share += SHED_WEIGHT * (shed - self.shed_share);
    }

    /// Returns when the caller of a shed request returns if the target has capacity.
    ///
    /// `has_capacity` is whether the gate had free slots and knows of no limit of the target.
    /// Returns `None` if the target is probably full.
    pub fn retry_after(&self, has_capacity: bool) -> Option<Duration> {
        let is_at_random = has_capacity && self.shed_share <= SHED_SHARE_MAX;
        is_at_random.then_some(SHED_AT_RANDOM_RETRY_AFTER)
    }
}
