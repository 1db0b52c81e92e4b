//! How long work takes at a target at this moment, against the usual time.
//!
//! The pattern is a neighbour on the same machine: several times a second a target slows fourfold
//! and recovers, so a figure from half a second ago says little. A report is believed while it is
//! fresh and then forgotten in favour of the mean.

use std::time::{Duration, Instant};

/// Time for which a pace usually lasts; the neighbours of a target change their load about as often.
pub const SLOWDOWN_DURATION: Duration = Duration::from_millis(300);

/// Weight of a new report in the mean; some twenty reports, a second or two of work, make it up.
const MEAN_WEIGHT: f64 = 0.05;

/// The pace of one target.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownEstimate {
    last: f64,
    reported_at: Option<Instant>,
    mean: f64,
}

impl SlowdownEstimate {
    /// Starts at the usual pace.
    pub fn new() -> Self {
        Self { last: 1.0, reported_at: None, mean: 1.0 }
    }

    /// Takes a report; 1.0 is the usual time, 4.0 four times as long.
    pub fn record(&mut self, at: Instant, slowness: f64) {
        if self.reported_at.is_some_and(|reported_at| reported_at > at) {
            return;
        }
        let slowness = slowness.clamp(0.1, 100.0);
        self.last = slowness;
        self.reported_at = Some(at);
        self.mean += MEAN_WEIGHT * (slowness - self.mean);
    }

    /// When the last report came.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reported_at
    }

    /// The mean of the reports.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// The pace expected at `now`: the last report's, and the older that is the more the mean.
    pub fn at(&self, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else { return self.mean };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        let trust = (-age / SLOWDOWN_DURATION.as_secs_f64()).exp();
        self.mean + trust * (self.last - self.mean)
    }

    /// Time that `work` of the usual pace takes when it starts at `now`.
    ///
    /// The pace of now holds for [`PACE_LASTS`], the mean after that.
    pub fn service_time(&self, now: Instant, work: Duration) -> Duration {
        let pace = self.at(now);
        let at_this_pace = work.mul_f64(pace);
        if at_this_pace <= SLOWDOWN_DURATION {
            return at_this_pace;
        }
        let left = work.saturating_sub(SLOWDOWN_DURATION.div_f64(pace));
        SLOWDOWN_DURATION + left.mul_f64(self.mean)
    }
}

impl Default for SlowdownEstimate {
    fn default() -> Self {
        Self::new()
    }
}
