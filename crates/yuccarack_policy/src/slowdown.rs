//! Estimate of a target's current slowdown: its service time relative to the usual one.
//!
//! Used for routed calls.
//!
//! Other load on the same machine makes a target up to four times slower several times a second, so
//! a report that is half a second old says little. A report counts while it is fresh and then fades
//! toward the mean.

use std::time::{Duration, Instant};

/// Usual duration of a slowdown; the other load on a target's machine changes about as often.
pub const SLOWDOWN_DURATION: Duration = Duration::from_millis(300);

/// Weight of a new report in the mean, which covers about twenty reports or a second or two of
/// work.
const MEAN_WEIGHT: f64 = 0.05;

/// Estimated slowdown of one target.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownEstimate {
    last: f64,
    reported_at: Option<Instant>,
    mean: f64,
}

impl SlowdownEstimate {
    /// Creates an estimate without a slowdown.
    pub fn new() -> Self {
        Self { last: 1.0, reported_at: None, mean: 1.0 }
    }

    /// Records a report made at `at`; 1.0 is the usual service time, 4.0 four times that.
    pub fn record(&mut self, at: Instant, slowdown: f64) {
        if self.reported_at.is_some_and(|reported_at| reported_at > at) {
            return;
        }
        let slowdown = slowdown.clamp(0.1, 100.0);
        self.last = slowdown;
        self.reported_at = Some(at);
        self.mean += MEAN_WEIGHT * (slowdown - self.mean);
    }

    /// Returns the time of the latest report.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reported_at
    }

    /// Returns the mean of the reports.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the slowdown expected at `now`: the latest report, fading toward the mean with its
    /// age.
    pub fn at(&self, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else { return self.mean };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        let weight = (-age / SLOWDOWN_DURATION.as_secs_f64()).exp();
        self.mean + weight * (self.last - self.mean)
    }

    /// Returns the service time of a request that starts at `now` and takes `unloaded_time` without
    /// a slowdown.
    ///
    /// The current slowdown is taken to last for [`SLOWDOWN_DURATION`], and the mean to hold after
    /// that.
    pub fn service_time(&self, now: Instant, unloaded_time: Duration) -> Duration {
        let slowdown = self.at(now);
        let slowed_time = unloaded_time.mul_f64(slowdown);
        if slowed_time <= SLOWDOWN_DURATION {
            return slowed_time;
        }
        let remaining = unloaded_time.saturating_sub(SLOWDOWN_DURATION.div_f64(slowdown));
        SLOWDOWN_DURATION + remaining.mul_f64(self.mean)
    }
}

impl Default for SlowdownEstimate {
    fn default() -> Self {
        Self::new()
    }
}
