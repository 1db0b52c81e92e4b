//! A deadline that accounts for time in which the machine is suspended.

use std::time::{Duration, Instant};

use crate::state::routed::boot_clock::time_suspended;

/// The time after which nobody waits for a request any more.
///
/// The monotonic clock stops while the machine is suspended and the caller's deadline doesn't, so
/// the time suspended since the request arrived is subtracted.
#[derive(Clone, Copy, Debug)]
pub struct CallDeadline {
    deadline: Instant,
    suspended_before: Duration,
}

impl CallDeadline {
    /// Creates a deadline at `deadline` of the current monotonic clock.
    pub fn new(deadline: Instant) -> Self {
        Self { deadline, suspended_before: time_suspended() }
    }

    /// Returns the deadline, less the time suspended since it was created.
    pub fn at(&self) -> Instant {
        let suspended_since = time_suspended().saturating_sub(self.suspended_before);
        self.deadline.checked_sub(suspended_since).unwrap_or(self.deadline)
    }

    /// Returns the time left at `now`.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.at().saturating_duration_since(now)
    }
}
