//! A deadline that a suspended machine can't outsleep.

use std::time::{Duration, Instant};

use crate::state::routed::boot_clock::suspended;

/// When nobody waits for a request any more.
///
/// The steady clock stands still while the machine is suspended and the deadline doesn't, so what
/// was slept through since the request came is taken off.
#[derive(Clone, Copy, Debug)]
pub struct CallDeadline {
    deadline: Instant,
    suspended_before: Duration,
}

impl CallDeadline {
    /// A deadline at `deadline`, as seen now.
    pub fn new(deadline: Instant) -> Self {
        Self { deadline, suspended_before: suspended() }
    }

    /// When it is, with what was slept through taken off.
    pub fn at(&self) -> Instant {
        let suspended_since = suspended().saturating_sub(self.suspended_before);
        self.deadline.checked_sub(suspended_since).unwrap_or(self.deadline)
    }

    /// Time left at `now`.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.at().saturating_duration_since(now)
    }
}
