//! Circuit breaker that rejects claims without a wait while the store is unavailable.

use std::time::{Duration, Instant};

/// Delay before the first probe of a store that failed.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest delay between two probes. With 2,500 gates that all lost the store this makes about 800
/// probes a second, which is below the 2,000 reads a second that the store can serve.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Circuit breaker that only the writer probes.
///
/// When the store hangs, each call that needs a claim would otherwise wait for a timeout, and
/// pending claims would fill the claim queue of each gate. The breaker admits no claim between a
/// failure and the next success, so at most one timeout is waited for.
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
    /// Creates a closed breaker, which takes the store for available.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time of the next probe; `None` while the store is available.
    pub fn next_probe_at(&self) -> Option<Instant> {
        self.outage.map(|outage| outage.next_probe_at)
    }

    /// Records a response of the store. Returns whether this ends an outage.
    pub fn record_success(&mut self) -> bool {
        self.outage.take().is_some()
    }

    /// Records a failure of the store. Returns whether this begins an outage.
    ///
    /// `jitter` in 0.0..1.0 spreads the probes of gates that lost the store at the same time.
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
