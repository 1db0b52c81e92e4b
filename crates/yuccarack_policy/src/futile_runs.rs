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
const LESS: f64 = 0.1;

/// What a good run adds to the share.
const MORE: f64 = 0.01;

/// Weight of a run in the shares of failures; some twenty runs make them up.
const FAILURE_WEIGHT: f64 = 0.05;

/// By how much more runs have to fail while another service is short.
///
/// Failure: a target fails part of its requests by itself, some other service is short at that time,
/// and the requests of all targets are turned away for it.
const FAILURES_MORE: f64 = 0.15;

/// Least share that is let in, by which it is seen that there is room again.
const SHARE_MIN: f64 = 0.1;

/// Time for which one refusal means that a service is short.
const SHORT_FOR: Duration = Duration::from_millis(500);

/// Which services have turned requests away just now; the two latest are enough to tell whether
/// another one than a given one has, however many services there are.
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    latest: Option<Shortage>,
    before: Option<Shortage>,
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
    pub fn refused(&mut self, now: Instant, service: &str) {
        match &mut self.latest {
            Some(latest) if latest.service == service => latest.refused_at = now,
            _ => {
                let newest = Shortage { service: service.to_owned(), refused_at: now };
                self.before = self.latest.replace(newest);
            }
        }
    }

    /// Whether another service than `own` is short.
    pub fn is_another_short(&self, now: Instant, own: &str) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < SHORT_FOR;
        let is_other = |one: &Shortage| one.service != own && is_fresh(one.refused_at);
        self.latest.iter().chain(&self.before).any(is_other)
    }
}

/// How the run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// Its target answered well.
    Good,
    /// Its target answered that it failed.
    Failed,
}

/// The share of one kind of request that is let in.
#[derive(Clone, Copy, Debug)]
pub struct FutileRuns {
    share: f64,
    /// Share of runs that fail while no other service is short, and while one is.
    failures_calm: f64,
    failures_short: f64,
}

impl FutileRuns {
    /// Starts with letting all in.
    pub fn new() -> Self {
        Self { share: 1.0, failures_calm: 0.0, failures_short: 0.0 }
    }

    /// The share that is let in.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether a request that comes now is let in.
    pub fn lets_in(&self, rng: &mut impl Rng) -> bool {
        self.share >= 1.0 || rng.random::<f64>() < self.share
    }

    /// Notes how a run ended while another service `is_short` or not.
    pub fn ended(&mut self, result: RunResult, is_short: bool) {
        let failures = if is_short { &mut self.failures_short } else { &mut self.failures_calm };
        let failed = if result == RunResult::Failed { 1.0 } else { 0.0 };
        *failures += FAILURE_WEIGHT * (failed - *failures);
        self.share = match result {
            RunResult::Failed if is_short && self.fails_for_shortage() => {
                (self.share * (1.0 - LESS)).max(SHARE_MIN)
            }
            RunResult::Failed => self.share,
            RunResult::Good => (self.share + MORE).min(1.0),
        };
    }

    fn fails_for_shortage(&self) -> bool {
        self.failures_short > self.failures_calm + FAILURES_MORE
    }
}

impl Default for FutileRuns {
    fn default() -> Self {
        Self::new()
    }
}
