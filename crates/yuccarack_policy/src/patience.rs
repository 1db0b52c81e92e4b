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
const CALM_AFTER: Duration = Duration::from_secs(5);

/// Weight of a caller that says less than usual.
///
/// Against [`MORE_WEIGHT`] it lets a few that come back after a failure pass, and follows callers
/// of little patience once there are more of them.
const LESS_WEIGHT: f64 = 0.1;

/// Weight of a caller that says as much as usual or more.
const MORE_WEIGHT: f64 = 0.02;

/// Share of the usual time by which what callers say may differ without meaning anything.
const ALIKE: f64 = 0.05;

/// What is known of the patience of one route's callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Patience {
    usual: Option<Duration>,
    refused_at: Option<Instant>,
}

impl Patience {
    /// Starts without knowing anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request was refused.
    pub fn refused(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Time for which the caller of a request that comes `now`, and who will wait for `left`, has
    /// waited before.
    pub fn waited(&mut self, now: Instant, left: Duration) -> Duration {
        let usual = self.usual.unwrap_or(left);
        if self.is_calm(now) {
            self.usual = Some(towards(usual, left));
        }
        let waited = usual.saturating_sub(left);
        if waited <= usual.mul_f64(ALIKE) { Duration::ZERO } else { waited }
    }

    fn is_calm(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.refused_at.is_none_or(|at| since(at) > CALM_AFTER)
    }
}

fn towards(usual: Duration, left: Duration) -> Duration {
    let weight = if left < usual { LESS_WEIGHT } else { MORE_WEIGHT };
    usual.mul_f64(1.0 - weight) + left.mul_f64(weight)
}
