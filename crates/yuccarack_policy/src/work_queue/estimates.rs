//! How long requests take and wait at one gate, as far as it can be known.

use std::time::{Duration, Instant};

use super::WorkQueue;

/// How much longer work takes at a target that has just started, as targets of the fleet do.
const COLD_SLOWDOWN: f64 = 2.0;

impl WorkQueue {
    /// Most requests that run at once at the rate that the target gets now.
    pub fn effective_limit(&self, now: Instant) -> usize {
        let Some(interval) = self.cold_rate.interval(now) else { return self.limit() };
        let run_time = self.with_slowdown(now, self.service_times.mean());
        let at_once = run_time.div_duration_f64(interval) as usize;
        at_once.clamp(1, self.limit())
    }

    pub(super) fn estimated_wait(&self, now: Instant, ahead: usize) -> Duration {
        let turn =
            self.slowdown.service_time(now, self.service_times.mean()).div_f64(self.limit() as f64);
        let turn = self.cold_rate.interval(now).map_or(turn, |interval| interval.max(turn));
        turn.mul_f64((ahead + 1) as f64)
    }

    pub(super) fn service_time(&self, now: Instant, kind: u64) -> Duration {
        self.with_slowdown(now, self.service_times.mean_of(kind))
    }

    /// Time within which most work of `kind` ends that starts now.
    ///
    /// Failure: work is let in that is just on time if it takes as long as the mean. In an overload
    /// all of it is, so that half of it is late, and the slots work for answers of little use.
    pub(super) fn upper_service_time(&self, now: Instant, kind: u64) -> Duration {
        let time = match self.decisions.likely_times {
            true => self.service_times.upper_estimate(kind),
            false => self.service_times.mean_of(kind),
        };
        self.with_slowdown(now, time)
    }

    /// Time that `work` takes that starts now. The pace that a target tells after its start counts that
    /// it is slow then.
    fn with_slowdown(&self, now: Instant, work: Duration) -> Duration {
        let time = self.slowdown.service_time(now, work);
        if self.cold_rate.is_cold(now) { time.max(work.mul_f64(COLD_SLOWDOWN)) } else { time }
    }
}
