//! How long requests of each route usually take on the target.

use std::time::{Duration, Instant};

/// Time assumed before the first answer.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Least weight of one answer in the usual time.
const SAMPLE_WEIGHT_MIN: f64 = 0.1;

/// Time without answers after which the next one counts half.
///
/// A target that was slow gets few requests. Each counted for a tenth, it would be called slow
/// for ten more after it has recovered.
pub const HALF_LIFE: Duration = Duration::from_millis(50);

/// Weight of one answer in the routes' shares of all requests.
const SHARE_WEIGHT: f64 = 0.01;

/// Smoothed times of each route, and the routes' shares of all requests.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    routes: Vec<RouteTime>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteTime {
    usual_s: Option<f64>,
    /// Usual time of those that started while most slots were free.
    quiet_s: Option<f64>,
    answered_at: Option<Instant>,
    share: f64,
}

impl ServiceTimes {
    pub fn new() -> Self {
        Self { routes: Vec::new() }
    }

    /// Notes an answer to a request that started while the target was quiet or not; returns how
    /// many times longer it took than its route takes on the quiet target, if that is known.
    pub fn record(
        &mut self,
        now: Instant,
        route: usize,
        took: Duration,
        was_quiet: bool,
    ) -> Option<f64> {
        if self.routes.len() <= route {
            self.routes.resize(route + 1, RouteTime::default());
        }
        self.routes.iter_mut().for_each(|other| other.share *= 1.0 - SHARE_WEIGHT);
        let took_s = took.as_secs_f64();
        let time = &mut self.routes[route];
        time.share += SHARE_WEIGHT;
        time.usual_s = Some(smooth(time.usual_s, took_s, time.weight(now)));
        time.answered_at = Some(now);
        if was_quiet {
            time.quiet_s = Some(smooth(time.quiet_s, took_s, SAMPLE_WEIGHT_MIN));
        }
        time.quiet_s.filter(|quiet_s| *quiet_s > 0.0).map(|quiet_s| took_s / quiet_s)
    }

    /// Usual time over all routes, each with its share.
    ///
    /// Smoothing all answers in one would make a target look slow whenever a long request has
    /// just ended there, and send entries after the mix of requests in place of the load.
    pub fn mean(&self) -> Duration {
        let known = self.routes.iter().filter_map(|r| Some((r.usual_s?, r.share)));
        let (sum_s, shares) = known.fold((0.0, 0.0), |(sum_s, shares), (usual_s, share)| {
            (sum_s + usual_s * share, shares + share)
        });
        if shares > 0.0 { Duration::from_secs_f64(sum_s / shares) } else { DEFAULT_SERVICE_TIME }
    }

    /// Usual time of one route.
    pub fn usual(&self, route: usize) -> Duration {
        let known = self.routes.get(route).and_then(|route| route.usual_s);
        known.map_or_else(|| self.mean(), Duration::from_secs_f64)
    }
}

impl RouteTime {
    /// Weight of an answer that comes now.
    fn weight(&self, now: Instant) -> f64 {
        let gap = self.answered_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let faded = 1.0 - (-gap.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        faded.max(SAMPLE_WEIGHT_MIN)
    }
}

fn smooth(old: Option<f64>, sample: f64, weight: f64) -> f64 {
    old.map_or(sample, |old| old + (sample - old) * weight)
}
