//! Token bucket whose rate and capacity change.

use std::time::Instant;

#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    pub level: f64,
    refilled_at: Instant,
}

impl Bucket {
    pub fn new(now: Instant, level: f64) -> Self {
        Self { level, refilled_at: now }
    }

    /// Adds the tokens since the last call.
    pub fn refill(&mut self, now: Instant, rate_per_s: f64, capacity: f64) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + elapsed_s * rate_per_s).min(capacity);
    }
}
