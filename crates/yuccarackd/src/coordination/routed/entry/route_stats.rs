//! Statistics of each route's requests, by which an entry decides on admission under overload.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use yuccarack_config::decisions::Decisions;
use yuccarack_policy::{
    adaptive_throttle::{AdaptiveThrottle, RunResult, Shortages},
    prior_wait::PriorWaitEstimator,
};

/// Limit of tracked routes, which is above the number of routes in an operator's table.
const ROUTES_MAX: usize = 4_096;

/// Statistics by kind of request, and shortages by service.
pub struct RouteStats {
    decisions: Decisions,
    by_kind: Mutex<HashMap<u64, KindStats>>,
    shortages: Mutex<Shortages>,
}

#[derive(Default)]
struct KindStats {
    prior_waits: PriorWaitEstimator,
    futile_runs: AdaptiveThrottle,
}

impl RouteStats {
    /// Creates empty statistics; `decisions` selects the ones in use.
    pub fn new(decisions: Decisions) -> Self {
        Self { decisions, by_kind: Mutex::default(), shortages: Mutex::default() }
    }

    /// Estimates how long the caller had waited with earlier, refused requests before this one
    /// arrived at `now`.
    pub fn prior_wait(&self, now: Instant, kind: u64, left: Duration) -> Duration {
        if !self.decisions.patience {
            return Duration::ZERO;
        }
        self.update(kind, |stats| stats.prior_waits.estimate(now, left))
    }

    /// Returns whether a request of `kind` is admitted.
    pub fn admits(&self, kind: u64) -> bool {
        !self.decisions.futile_runs
            || self.update(kind, |stats| stats.futile_runs.admits(&mut rand::rng()))
    }

    /// Records that a request of `kind` was refused.
    pub fn record_refusal(&self, now: Instant, kind: u64) {
        self.update(kind, |stats| stats.prior_waits.record_refusal(now));
    }

    /// Records that `service` refused a request for lack of capacity.
    pub fn record_shortage(&self, now: Instant, service: &str) {
        self.shortages.lock().record_refusal(now, service);
    }

    /// Records how a run of `kind` at `service` ended.
    pub fn record_run(&self, now: Instant, kind: u64, service: &str, result: RunResult) {
        let is_short = self.shortages.lock().is_other_service_short(now, service);
        self.update(kind, |stats| stats.futile_runs.record_run(result, is_short));
    }

    fn update<T>(&self, kind: u64, change: impl FnOnce(&mut KindStats) -> T) -> T {
        let mut by_kind = self.by_kind.lock();
        if by_kind.len() >= ROUTES_MAX && !by_kind.contains_key(&kind) {
            // The map also holds routes that operators have removed.
            by_kind.clear();
        }
        change(by_kind.entry(kind).or_default())
    }
}
