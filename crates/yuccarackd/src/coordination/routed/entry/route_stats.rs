//! Statistics of each route's requests, by which an entry decides on admission under overload.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use http::Response;
use parking_lot::Mutex;
use yuccarack_config::{decisions::FeatureSwitches, routing::Routing};
use yuccarack_policy::{
    adaptive_throttle::{AdaptiveThrottle, RunResult, Shortages},
    prior_wait::PriorWaitEstimator,
    response_sizes::ResponseSizes,
};

use crate::protocol::{body::CallBody, response_size::declared_size};

/// Limit of tracked routes, which is above the number of routes in an operator's table.
const ROUTES_MAX: usize = 4_096;

/// Statistics by route, and shortages by service.
pub struct RouteStats {
    decisions: FeatureSwitches,
    /// Keys are the hashes of the routes' names.
    by_route: Mutex<HashMap<u64, StatsOfRoute>>,
    shortages: Mutex<Shortages>,
    response_sizes: Mutex<ResponseSizes>,
}

#[derive(Default)]
struct StatsOfRoute {
    prior_waits: PriorWaitEstimator,
    throttle: AdaptiveThrottle,
}

impl RouteStats {
    /// Creates empty statistics; `decisions` are the feature switches that enable their use.
    pub fn new(decisions: FeatureSwitches) -> Self {
        Self {
            decisions,
            by_route: Mutex::default(),
            shortages: Mutex::default(),
            response_sizes: Mutex::default(),
        }
    }

    /// Estimates how long the caller had waited with earlier, refused requests before this one
    /// arrived at `now`.
    pub fn prior_wait(&self, now: Instant, route_hash: u64, left: Duration) -> Duration {
        // `patience` enables the estimate of prior waits.
        if !self.decisions.patience {
            return Duration::ZERO;
        }
        self.update(route_hash, |stats| stats.prior_waits.estimate(now, left))
    }

    /// Returns whether the throttle of the route admits a request.
    pub fn admits(&self, route_hash: u64) -> bool {
        // `futile_runs` enables the throttle.
        !self.decisions.futile_runs
            || self.update(route_hash, |stats| stats.throttle.admits(&mut rand::rng()))
    }

    /// Records that a request of the route was refused.
    pub fn record_refusal(&self, now: Instant, route_hash: u64) {
        self.update(route_hash, |stats| stats.prior_waits.record_refusal(now));
    }

    /// Learns the size of the route's responses while a route has large ones.
    pub fn record_response_size(
        &self,
        routing: &Routing,
        route_hash: u64,
        response: &Response<CallBody>,
    ) {
        let is_learned = routing.has_downloads() && response.status().is_success();
        if let Some(bytes) = declared_size(response).filter(|_| is_learned) {
            self.response_sizes.lock().record(route_hash, bytes);
        }
    }

    /// Returns the usual size of the route's responses; `None` while no route has large ones and
    /// before the first response.
    pub fn usual_response_bytes(&self, routing: &Routing, route_hash: u64) -> Option<u64> {
        routing
            .has_downloads()
            .then(|| self.response_sizes.lock().usual_bytes(route_hash))
            .flatten()
    }

    /// Records that `service` refused a request for lack of capacity.
    pub fn record_shortage(&self, now: Instant, service: &str) {
        self.shortages.lock().record_refusal(now, service);
    }

    /// Records the result of a call that `service` ran. Failures while another service lacks
    /// capacity throttle the route, as its calls probably depend on that service.
    pub fn record_call_result(
        &self,
        now: Instant,
        route_hash: u64,
        service: &str,
        result: RunResult,
    ) {
        let is_short = self.shortages.lock().is_other_service_short(now, service);
        self.update(route_hash, |stats| stats.throttle.record_run(result, is_short));
    }

    fn update<T>(&self, route_hash: u64, change: impl FnOnce(&mut StatsOfRoute) -> T) -> T {
        let mut by_route = self.by_route.lock();
        if by_route.len() >= ROUTES_MAX && !by_route.contains_key(&route_hash) {
            // The map also holds routes that operators have removed.
            by_route.clear();
        }
        change(by_route.entry(route_hash).or_default())
    }
}
