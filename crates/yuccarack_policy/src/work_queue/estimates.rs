//! Estimates of service times and waits at one gate.

use std::time::{Duration, Instant};

use super::WorkQueue;

/// Factor by which a target of the fleet is slower while it is cold, that is, just after its start.
const COLD_SLOWDOWN: f64 = 2.0;

impl WorkQueue {
    /// Returns the concurrency limit, lowered for a cold or limited target to the number of slots
    /// that its rate limit can keep busy.
    pub fn effective_limit(&self, now: Instant) -> usize {
        let Some(interval) = self.dispatch_interval(now) else { return self.limit() };
        let service_time = self.with_slowdown(now, self.service_times.mean());
        let concurrency = service_time.div_duration_f64(interval) as usize;
        concurrency.clamp(1, self.limit())
    }

    pub(super) fn estimated_wait(&self, now: Instant, ahead: usize) -> Duration {
        let slot_interval =
            self.slowdown.service_time(now, self.service_times.mean()).div_f64(self.limit() as f64);
        let slot_interval = self
            .dispatch_interval(now)
            .map_or(slot_interval, |interval| interval.max(slot_interval));
        slot_interval.mul_f64((ahead + 1) as f64)
    }

    /// Returns the mean time between two dispatches by the rate limits in force; `None` without
    /// one.
    pub(super) fn dispatch_interval(&self, now: Instant) -> Option<Duration> {
        self.cold_rate.interval(now).max(self.rate_limit.interval())
    }

    pub(super) fn service_time(&self, now: Instant, kind: u64) -> Duration {
        self.with_slowdown(now, self.service_times.mean_of(kind))
    }

    /// Returns the time within which most requests of `kind` complete that start now.
    ///
    /// Judged by the mean, a request is admitted that is just on time if it takes no longer than
    /// average. In an overload all admitted requests are of that sort, so half of them are late and
    /// the slots are spent on responses of little use.
    pub(super) fn upper_service_time(&self, now: Instant, kind: u64) -> Duration {
        let time = match self.decisions.likely_times {
            true => self.service_times.upper_estimate(kind),
            false => self.service_times.mean_of(kind),
        };
        self.with_slowdown(now, time)
    }

    /// Returns the service time of a request that starts now and takes `unloaded_time` without a
    /// slowdown. The slowdown that a target reports after its start already includes that it is
    /// cold.
    fn with_slowdown(&self, now: Instant, unloaded_time: Duration) -> Duration {
        let time = self.slowdown.service_time(now, unloaded_time);
        if self.cold_rate.is_cold(now) {
            time.max(unloaded_time.mul_f64(COLD_SLOWDOWN))
        } else {
            time
        }
    }
}
