//! Estimate of how long a caller has already waited when its request arrives.
//!
//! Used for routed calls.
//!
//! In an overload callers are rejected and retry, each time with a new request. Treated as new,
//! these would go before requests that come for the first time; their responses are late in any
//! case, and then the others' are late too. A caller states how long it will still wait, which is
//! less with each retry. So the times stated on a route while nobody is rejected show how long a
//! caller that states less has waited before.

use std::time::{Duration, Instant};

/// Time without a rejection after which all requests count as first attempts; rejected callers have
/// retried or given up by then.
const RECENT_REFUSAL_AGE: Duration = Duration::from_secs(5);

/// Weight of a caller that states less than the usual time.
///
/// Compared with [`LONGER_WEIGHT`] it is large enough to follow callers with short timeouts once
/// there are more of them, and small enough to ignore a few that retry after a failure.
const SHORTER_WEIGHT: f64 = 0.1;

/// Weight of a caller that states the usual time or more.
const LONGER_WEIGHT: f64 = 0.02;

/// Share of the usual time by which a stated time may differ without being taken for a retry.
const TOLERANCE_SHARE: f64 = 0.05;

/// Estimates the prior wait of one route's callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PriorWaitEstimator {
    usual_timeout: Option<Duration>,
    refused_at: Option<Instant>,
}

impl PriorWaitEstimator {
    /// Creates an estimator without any knowledge.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was rejected.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Returns how long the caller of a request that arrives `now` has waited before, if it will
    /// wait for another `time_left`.
    pub fn estimate(&mut self, now: Instant, time_left: Duration) -> Duration {
        let usual = self.usual_timeout.unwrap_or(time_left);
        if self.has_no_recent_refusal(now) {
            self.usual_timeout = Some(smooth(usual, time_left));
        }
        let prior_wait = usual.saturating_sub(time_left);
        if prior_wait <= usual.mul_f64(TOLERANCE_SHARE) { Duration::ZERO } else { prior_wait }
    }

    fn has_no_recent_refusal(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.refused_at.is_none_or(|at| age(at) > RECENT_REFUSAL_AGE)
    }
}

fn smooth(usual: Duration, time_left: Duration) -> Duration {
    let weight = if time_left < usual { SHORTER_WEIGHT } else { LONGER_WEIGHT };
    usual.mul_f64(1.0 - weight) + time_left.mul_f64(weight)
}
