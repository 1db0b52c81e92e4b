//! How many requests a target runs at once without slowing down.
//!
//! The pattern is a target that promises more slots than it can serve just now, since its hardware
//! is shared: at its announced concurrency every answer is slow or shed. The limit follows what
//! is seen, between 1 and the announced slots.

use std::time::{Duration, Instant};

/// Factor when the target sheds or mostly fails.
const DECREASE: f64 = 0.8;

/// Factor while the busy target is slow.
///
/// At one step in 50 ms a neighbour that stays for 300 ms costs a sixth of the limit, a target
/// that promised too much is found within two seconds.
const SLOWDOWN_DECREASE: f64 = 0.97;

/// Shortest time between two decreases, so that one moment counts once.
const DECREASE_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Share of failures above which the limit falls.
const FAILURE_SHARE_MAX: f64 = 0.5;

/// Share of the limit below which the target counts as quiet.
const QUIET_SHARE: f64 = 0.5;

/// Weight of one answer in the slowdown of the busy target.
const SLOWDOWN_WEIGHT: f64 = 0.05;

/// Slowdown of the busy target above which its last slots bring nothing.
///
/// Twice as many requests that each take twice as long are no more answers a second.
const SLOWDOWN_MAX: f64 = 1.8;

/// Share of the slots below which slowness alone doesn't push the limit: a noisy neighbour slows
/// a target whatever its concurrency.
const SLOW_LIMIT_MIN: f64 = 0.3;

/// Limit between 1 and the announced slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
    failure_share: f64,
    busy_slowdown: f64,
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    pub fn new(_now: Instant, slots: u16) -> Self {
        let slots = f64::from(slots.max(1));
        Self { slots, limit: slots, failure_share: 0.0, busy_slowdown: 1.0, decreased_at: None }
    }

    pub fn set_slots(&mut self, _now: Instant, slots: u16) {
        let slots = f64::from(slots.max(1));
        let was_full = self.limit >= self.slots;
        self.limit = if was_full { slots } else { self.limit.min(slots) };
        self.slots = slots;
    }

    pub fn get(&self) -> usize {
        self.limit as usize
    }

    /// Whether most slots are free.
    pub fn is_quiet(&self, in_flight: usize) -> bool {
        in_flight as f64 <= self.limit * QUIET_SHARE
    }

    /// Notes an answer and how much longer it took than on the quiet target.
    pub fn record_response(&mut self, now: Instant, slowdown: Option<f64>, in_flight: usize) {
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        if in_flight < self.get() {
            return;
        }
        let slowdown = slowdown.unwrap_or(1.0);
        self.busy_slowdown += (slowdown - self.busy_slowdown) * SLOWDOWN_WEIGHT;
        if self.busy_slowdown <= SLOWDOWN_MAX {
            self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
        } else if self.limit > self.slots * SLOW_LIMIT_MIN {
            self.decrease(now, self.limit, SLOWDOWN_DECREASE);
        }
    }

    pub fn record_failure(&mut self, now: Instant, _took: Duration) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        if self.failure_share > FAILURE_SHARE_MAX {
            self.decrease(now, self.limit, DECREASE);
        }
    }

    pub fn record_shed(&mut self, now: Instant, in_flight: usize) {
        self.decrease(now, self.limit.min(in_flight as f64), DECREASE);
    }

    fn decrease(&mut self, now: Instant, from: f64, factor: f64) {
        let is_spaced = self.decreased_at.is_none_or(|at| now >= at + DECREASE_INTERVAL_MIN);
        if is_spaced {
            self.limit = (from * factor).max(1.0);
            self.decreased_at = Some(now);
        }
    }
}
