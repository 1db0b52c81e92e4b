//! Adaptive throttling of requests whose runs fail because another service is overloaded.
//!
//! Used for routed calls.
//!
//! A small service may be called by many runs of another one. When it is overloaded, a run whose
//! call is rejected fails after it has held a slot, its other calls have used capacity for nothing,
//! and its caller retries at once, so most of the work of both services is wasted. So an entry
//! admits a smaller share of such requests after each run that fails while some other service
//! rejects requests, and a larger one after each run that succeeds. A request that isn't admitted
//! has not run, and its caller is told when to retry.

use std::time::{Duration, Instant};

use rand::Rng;
use yuccarack_config::ids::ServiceName;

/// Part of the admitted share that a failed run removes.
const DECREASE_SHARE: f64 = 0.1;

/// Amount that a successful run adds to the admitted share.
const INCREASE_STEP: f64 = 0.01;

/// Weight of a run in the shares of failures, which cover about twenty runs.
const FAILURE_WEIGHT: f64 = 0.05;

/// How much larger the share of failures must be during a shortage of another service.
///
/// A target may fail some of its requests by itself while another service happens to be overloaded;
/// the requests to all targets must not be rejected for that.
const EXCESS_FAILURE_SHARE: f64 = 0.15;

/// Smallest admitted share, which shows when there is capacity again.
const SHARE_MIN: f64 = 0.1;

/// Time for which a rejection counts as a shortage of the service.
const SHORTAGE_DURATION: Duration = Duration::from_millis(500);

/// Services that have recently rejected requests. The two latest are enough to tell whether any
/// other than a given service has, however many services there are.
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    latest: Option<Shortage>,
    previous: Option<Shortage>,
}

/// The latest rejection by one service.
#[derive(Clone, Debug)]
struct Shortage {
    service: ServiceName,
    refused_at: Instant,
}

impl Shortages {
    /// Creates a record without rejections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `service` rejected a request for lack of capacity.
    pub fn record_refusal(&mut self, now: Instant, service: &str) {
        match &mut self.latest {
            Some(latest) if latest.service == service => latest.refused_at = now,
            _ => {
                let shortage = Shortage { service: service.to_owned(), refused_at: now };
                self.previous = self.latest.replace(shortage);
            }
        }
    }

    /// Returns whether a service other than `own` is short of capacity.
    pub fn is_other_service_short(&self, now: Instant, own: &str) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SHORTAGE_DURATION;
        let is_other =
            |shortage: &Shortage| shortage.service != own && is_recent(shortage.refused_at);
        self.latest.iter().chain(&self.previous).any(is_other)
    }
}

/// Result of the run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target responded successfully.
    Succeeded,
    /// The target responded with a failure.
    Failed,
}

/// Share of one kind of request that is admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveThrottle {
    admitted_share: f64,
    /// Shares of failed runs, while no other service is short of capacity and while one is.
    baseline_failure_share: f64,
    shortage_failure_share: f64,
}

impl AdaptiveThrottle {
    /// Creates a throttle that admits everything.
    pub fn new() -> Self {
        Self { admitted_share: 1.0, baseline_failure_share: 0.0, shortage_failure_share: 0.0 }
    }

    /// Returns the admitted share, from 0.1 to 1.
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Decides whether a request that arrives now is admitted.
    pub fn admits(&self, rng: &mut impl Rng) -> bool {
        self.admitted_share >= 1.0 || rng.random::<f64>() < self.admitted_share
    }

    /// Records the result of a run; `is_short` tells whether another service is short of capacity.
    pub fn record_run(&mut self, result: RunResult, is_short: bool) {
        let failures = if is_short {
            &mut self.shortage_failure_share
        } else {
            &mut self.baseline_failure_share
        };
        let failed = if result == RunResult::Failed { 1.0 } else { 0.0 };
        *failures += FAILURE_WEIGHT * (failed - *failures);
        self.admitted_share = match result {
            RunResult::Failed if is_short && self.fails_due_to_shortage() => {
                (self.admitted_share * (1.0 - DECREASE_SHARE)).max(SHARE_MIN)
            }
            RunResult::Failed => self.admitted_share,
            RunResult::Succeeded => (self.admitted_share + INCREASE_STEP).min(1.0),
        };
    }

    fn fails_due_to_shortage(&self) -> bool {
        self.shortage_failure_share > self.baseline_failure_share + EXCESS_FAILURE_SHARE
    }
}

impl Default for AdaptiveThrottle {
    fn default() -> Self {
        Self::new()
    }
}
