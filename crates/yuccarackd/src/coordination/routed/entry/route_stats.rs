//! What an entry learns of each route's requests while they are many.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use yuccarack_config::decisions::Decisions;
use yuccarack_policy::{
    futile_runs::{FutileRuns, RunResult, Shortages},
    patience::Patience,
};

/// Most routes of which something is kept; more than an operator's table has for its requests.
const ROUTES_MAX: usize = 4_096;

/// What is learned by kind of request.
pub struct RouteStats {
    decisions: Decisions,
    by_kind: Mutex<HashMap<u64, KindStats>>,
    shortages: Mutex<Shortages>,
}

#[derive(Default)]
struct KindStats {
    prior_waits: Patience,
    futile_runs: FutileRuns,
}

impl RouteStats {
    /// Starts without knowing anything.
    pub fn new(decisions: Decisions) -> Self {
        Self { decisions, by_kind: Mutex::default(), shortages: Mutex::default() }
    }

    /// Time for which the caller of a request that comes `now` has waited before it sent this one.
    pub fn prior_wait(&self, now: Instant, kind: u64, left: Duration) -> Duration {
        if !self.decisions.patience {
            return Duration::ZERO;
        }
        self.update(kind, |stats| stats.prior_waits.waited(now, left))
    }

    /// Whether a request of `kind` is let in.
    pub fn admits(&self, kind: u64) -> bool {
        !self.decisions.futile_runs
            || self.update(kind, |stats| stats.futile_runs.lets_in(&mut rand::rng()))
    }

    /// Notes that a request of `kind` was refused.
    pub fn record_refusal(&self, now: Instant, kind: u64) {
        self.update(kind, |stats| stats.prior_waits.refused(now));
    }

    /// Notes that `service` turned a request away for want of room.
    pub fn record_shortage(&self, now: Instant, service: &str) {
        self.shortages.lock().refused(now, service);
    }

    /// Notes how a run of `kind` at `service` ended.
    pub fn record_run(&self, now: Instant, kind: u64, service: &str, result: RunResult) {
        let is_short = self.shortages.lock().is_another_short(now, service);
        self.update(kind, |stats| stats.futile_runs.ended(result, is_short));
    }

    fn update<T>(&self, kind: u64, note: impl FnOnce(&mut KindStats) -> T) -> T {
        let mut by_kind = self.by_kind.lock();
        if by_kind.len() >= ROUTES_MAX && !by_kind.contains_key(&kind) {
            // Routes that operators took away long ago are among them.
            by_kind.clear();
        }
        note(by_kind.entry(kind).or_default())
    }
}
