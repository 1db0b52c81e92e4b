//! How long a caller has waited already when a request of its comes.
//!
//! The pattern is an overload: callers are refused and come back, each time as a new request. Taken
//! for new, they go before those that come for the first time, though their answers are late in any
//! case, and then the others are late too. A caller says how long it will still wait, and that is
//! less each time it comes back; so what callers of a route say while nobody is refused tells how
//! long one that says less has waited before.

use std::time::{Duration, Instant};

/// Time without a refusal after which all that come are taken to come for the first time; callers
/// that were refused are back or have given up by then.
const QUIET_AFTER: Duration = Duration::from_secs(5);

/// Weight of a caller that says less than usual.
///
/// Against [`MORE_WEIGHT`] it lets a few that come back after a failure pass, and follows callers
/// of little patience once there are more of them.
const SHORTER_WEIGHT: f64 = 0.1;

/// Weight of a caller that says as much as usual or more.
const LONGER_WEIGHT: f64 = 0.02;

/// Share of the usual time by which what callers say may differ without meaning anything.
const TOLERANCE_SHARE: f64 = 0.05;

/// What is known of the patience of one route's callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PriorWaitEstimator {
    usual_timeout: Option<Duration>,
    refused_at: Option<Instant>,
}

impl PriorWaitEstimator {
    /// Starts without knowing anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request was refused.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Time for which the caller of a request that comes `now`, and who will wait for `left`, has
    /// waited before.
    pub fn estimate(&mut self, now: Instant, left: Duration) -> Duration {
        let usual = self.usual_timeout.unwrap_or(left);
        if self.is_quiet(now) {
            self.usual_timeout = Some(smooth(usual, left));
        }
        let waited = usual.saturating_sub(left);
        if waited <= usual.mul_f64(TOLERANCE_SHARE) { Duration::ZERO } else { waited }
    }

    fn is_quiet(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.refused_at.is_none_or(|at| since(at) > QUIET_AFTER)
    }
}

fn smooth(usual: Duration, left: Duration) -> Duration {
    let weight = if left < usual { SHORTER_WEIGHT } else { LONGER_WEIGHT };
    usual.mul_f64(1.0 - weight) + left.mul_f64(weight)
}
