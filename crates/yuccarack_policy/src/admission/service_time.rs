//! Usual service times by route.

use std::time::{Duration, Instant};

/// Service time assumed before the first response.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Smallest weight of one response in the usual service time.
const SAMPLE_WEIGHT_MIN: f64 = 0.1;

/// Time without responses after which the next one has a weight of one half.
///
/// A target that was slow gets few requests. With a weight of a tenth each, it would count as slow
/// for ten more after it has recovered.
pub const HALF_LIFE: Duration = Duration::from_millis(50);

/// Weight of one response in the routes' shares of all requests.
const SHARE_WEIGHT: f64 = 0.01;

/// Smoothed service times of the routes and their shares of all requests.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    routes: Vec<RouteTime>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteTime {
    usual_s: Option<f64>,
    /// Usual service time of requests that started while the target was lightly loaded.
    light_load_s: Option<f64>,
    answered_at: Option<Instant>,
    share: f64,
}

impl ServiceTimes {
    pub fn new() -> Self {
        Self { routes: Vec::new() }
    }

    /// Records a response, given whether the target was lightly loaded when its request started.
    /// Returns the slowdown against the route's service time on the lightly loaded target, if that
    /// is known.
    pub fn record(
        &mut self,
        now: Instant,
        route: usize,
        service_time: Duration,
        was_lightly_loaded: bool,
    ) -> Option<f64> {
        if self.routes.len() <= route {
            self.routes.resize(route + 1, RouteTime::default());
        }
        self.routes.iter_mut().for_each(|other| other.share *= 1.0 - SHARE_WEIGHT);
        let service_time_s = service_time.as_secs_f64();
        let time = &mut self.routes[route];
        time.share += SHARE_WEIGHT;
        time.usual_s = Some(smooth(time.usual_s, service_time_s, time.weight(now)));
        time.answered_at = Some(now);
        if was_lightly_loaded {
            time.light_load_s = Some(smooth(time.light_load_s, service_time_s, SAMPLE_WEIGHT_MIN));
        }
        time.light_load_s
            .filter(|light_load_s| *light_load_s > 0.0)
            .map(|light_load_s| service_time_s / light_load_s)
    }

    /// Returns the usual service time over all routes, weighted by their shares.
    ///
    /// One smoothed value over all responses would make a target look slow whenever a long request
    /// has just completed there, so that entries would follow the mix of requests rather than the
    /// load.
    pub fn mean(&self) -> Duration {
        let known = self.routes.iter().filter_map(|route| Some((route.usual_s?, route.share)));
        let (sum_s, shares) = known.fold((0.0, 0.0), |(sum_s, shares), (usual_s, share)| {
            (sum_s + usual_s * share, shares + share)
        });
        if shares > 0.0 { Duration::from_secs_f64(sum_s / shares) } else { DEFAULT_SERVICE_TIME }
    }

    /// Returns the usual service time of a route.
    pub fn usual(&self, route: usize) -> Duration {
        let known = self.routes.get(route).and_then(|route| route.usual_s);
        known.map_or_else(|| self.mean(), Duration::from_secs_f64)
    }
}

impl RouteTime {
    /// Returns the weight of a response received now.
    fn weight(&self, now: Instant) -> f64 {
        let gap = self.answered_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-gap.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        weight.max(SAMPLE_WEIGHT_MIN)
    }
}

fn smooth(old: Option<f64>, sample: f64, weight: f64) -> f64 {
    old.map_or(sample, |old| old + (sample - old) * weight)
}
