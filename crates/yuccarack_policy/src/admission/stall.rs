//! Detection of a target that has stopped responding to the requests that it runs.
//!
//! It is made for targets that freeze for some tens of milliseconds. A gate sees all of its
//! target's requests, so with several of them running it notices overdue responses several times
//! sooner than an entry with a single request there.

use std::time::{Duration, Instant};

/// Number of overdue responses above which a target counts as stalled.
///
/// Responses to independent requests arrive like a Poisson process, so a healthy target misses six
/// in a row with a probability of e^-6, about 0.25 %.
pub const STALL_THRESHOLD: f64 = 6.0;

/// Number of overdue responses from which waiting requests are rejected too, to go elsewhere.
///
/// They lose their places in the queue, so this takes stronger evidence: e^-12 is once in 160,000.
/// As one request counts for at most three, four must be overdue together.
pub const EVICTION_THRESHOLD: f64 = 12.0;

/// Share of its usual service time after which a response may arrive at any moment.
const EARLIEST_RESPONSE_SHARE: f64 = 0.5;

/// Most overdue responses that one request may count as.
///
/// A single long request, such as an invoice run among look-ups, is no stall of the target. With
/// half of [`STALL_THRESHOLD`] each, it takes three requests that are overdue together.
const OVERDUE_PER_REQUEST_MAX: f64 = STALL_THRESHOLD / 2.0;

/// Silence below which nothing counts as a stall.
///
/// A target that responds within 0.2 ms is now and then off its processor for some milliseconds.
/// Another target costs about 1 ms for the further hop, so it is better to wait for the end of
/// shorter stalls.
pub const SILENCE_MIN: Duration = Duration::from_millis(5);

/// Most running requests that are checked, which bounds the cost of a decision.
const REQUESTS_CHECKED_MAX: usize = 16;

/// Time of the latest sign of progress of the target.
#[derive(Clone, Debug)]
pub struct Progress {
    last_progress_at: Instant,
}

impl Progress {
    pub fn new(now: Instant) -> Self {
        Self { last_progress_at: now }
    }

    pub fn record(&mut self, now: Instant) {
        self.last_progress_at = now;
    }

    /// Returns the expected number of responses since the target's last progress, given the start
    /// and the usual service time of each running request. The number is an estimate with a
    /// fraction: a request that is overdue for longer counts as several responses.
    pub fn overdue_responses(
        &self,
        now: Instant,
        running: impl Iterator<Item = (Instant, Duration)>,
    ) -> f64 {
        if now.saturating_duration_since(self.last_progress_at) < SILENCE_MIN {
            return 0.0;
        }
        running
            .take(REQUESTS_CHECKED_MAX)
            .map(|(started_at, usual)| {
                let due_from =
                    self.last_progress_at.max(started_at + usual.mul_f64(EARLIEST_RESPONSE_SHARE));
                let overdue_s = now.saturating_duration_since(due_from).as_secs_f64();
                let responses = overdue_s
                    / usual.mul_f64(1.0 - EARLIEST_RESPONSE_SHARE).as_secs_f64().max(1e-6);
                responses.min(OVERDUE_PER_REQUEST_MAX)
            })
            .sum()
    }
}
