//! Whether the store answers, so that claims are refused at once while it is away.

use std::time::{Duration, Instant};

/// Wait before the first look at a store that failed.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest wait between two looks. With 2,500 gates that all lost the store this is about 800
/// looks a second, under the 2,000 reads that it carries.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// A circuit breaker whose only probe is the writer's own.
///
/// Failure: the store hangs, every claim waits for a timeout, and calls that hold a slot
/// meanwhile starve those that need no claim. It shows as a full queue at each gate. Since no
/// claim is let in between a failure and the next success, at most one timeout is waited for.
#[derive(Debug, Default)]
pub struct Breaker {
    outage: Option<Outage>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    backoff: Duration,
    next_probe_at: Instant,
}

impl Breaker {
    /// Makes a breaker that takes the store for well.
    pub fn new() -> Self {
        Self::default()
    }

    /// When the store will be looked at next; `None` while it is well.
    pub fn next_probe_at(&self) -> Option<Instant> {
        self.outage.map(|outage| outage.next_probe_at)
    }

    /// Notes an answer of the store; says whether that is news.
    pub fn record_success(&mut self) -> bool {
        self.outage.take().is_some()
    }

    /// Notes a failure of the store; says whether that is news.
    ///
    /// `jitter` in 0.0..1.0 spreads the looks of gates that lost the store together.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) -> bool {
        let backoff = match self.outage {
            Some(outage) => (outage.backoff * 2).min(BACKOFF_MAX),
            None => BACKOFF_MIN,
        };
        let wait = backoff.mul_f64(0.5 + 0.5 * jitter);
        let is_new = self.outage.is_none();
        self.outage = Some(Outage { backoff, next_probe_at: now + wait });
        is_new
    }
}
