//! Which share of a kind of request is let in while its runs fail for want of another service.
//!
//! The pattern is a small service that many runs of another one call. When it is short, a run whose
//! call is turned away fails after it has held a slot, its other calls have taken room for nothing,
//! and its caller comes back at once: most of what both services do is then done in vain. So an entry
//! lets in fewer of that kind for each run that fails while some other service turns requests away,
//! and more for each that ends well. What isn't let in has not run, and its caller is told when to
//! come back.

use std::time::{Duration, Instant};

use rand::Rng;
use yuccarack_config::ids::ServiceName;

/// Part of the share that a failed run takes.
const DECREASE_SHARE: f64 = 0.1;

/// What a good run adds to the share.
const INCREASE_STEP: f64 = 0.01;

/// Weight of a run in the shares of failures; some twenty runs make them up.
const FAILURE_WEIGHT: f64 = 0.05;

/// By how much more runs have to fail while another service is short.
///
/// Failure: a target fails part of its requests by itself, some other service is short at that time,
/// and the requests of all targets are turned away for it.
const EXCESS_FAILURE_SHARE: f64 = 0.15;

/// Least share that is let in, by which it is seen that there is room again.
const SHARE_MIN: f64 = 0.1;

/// Time for which one refusal means that a service is short.
const SHORTAGE_DURATION: Duration = Duration::from_millis(500);

/// Which services have turned requests away just now; the two latest are enough to tell whether
/// another one than a given one has, however many services there are.
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    latest: Option<Shortage>,
    previous: Option<Shortage>,
}

/// The latest refusal of one service.
#[derive(Clone, Debug)]
struct Shortage {
    service: ServiceName,
    refused_at: Instant,
}

impl Shortages {
    /// Starts without a refusal.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `service` turned a request away for want of room.
    pub fn record_refusal(&mut self, now: Instant, service: &str) {
        match &mut self.latest {
            Some(latest) if latest.service == service => latest.refused_at = now,
            _ => {
                let newest = Shortage { service: service.to_owned(), refused_at: now };
                self.previous = self.latest.replace(newest);
            }
        }
    }

    /// Whether another service than `own` is short.
    pub fn is_other_service_short(&self, now: Instant, own: &str) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < SHORTAGE_DURATION;
        let is_other = |one: &Shortage| one.service != own && is_fresh(one.refused_at);
        self.latest.iter().chain(&self.previous).any(is_other)
    }
}

/// How the run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// Its target answered well.
    Succeeded,
    /// Its target answered that it failed.
    Failed,
}

/// The share of one kind of request that is let in.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveThrottle {
    admitted_share: f64,
    /// Share of runs that fail while no other service is short, and while one is.
    baseline_failure_share: f64,
    shortage_failure_share: f64,
}

impl AdaptiveThrottle {
    /// Starts with letting all in.
    pub fn new() -> Self {
        Self { admitted_share: 1.0, baseline_failure_share: 0.0, shortage_failure_share: 0.0 }
    }

    /// The share that is let in.
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Whether a request that comes now is let in.
    pub fn admits(&self, rng: &mut impl Rng) -> bool {
        self.admitted_share >= 1.0 || rng.random::<f64>() < self.admitted_share
    }

    /// Notes how a run ended while another service `is_short` or not.
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
