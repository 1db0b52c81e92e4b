//! One request that waits, and its place among the others.

use std::time::{Duration, Instant};

use super::Work;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub work: Work,
}

/// Place in the order, the least goes first: what goes ahead of all else, what can be on time, the most
/// urgent, and what has the least time left.
pub type Order = (bool, bool, u8, Instant);

/// The place of `work`, which takes `run_time` if it starts now.
pub fn order(work: &Work, is_ahead: bool, now: Instant, run_time: Duration) -> Order {
    let is_late = now + run_time > work.on_time_by;
    (!is_ahead, is_late, work.rank, work.on_time_by)
}
