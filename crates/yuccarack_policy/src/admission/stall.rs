//! Whether a target has stopped answering what it runs.
//!
//! The pattern is a target that freezes for some tens of milliseconds. A gate sees all of its
//! work, so with several requests running it notices the missing answers several times sooner
//! than one entry that has a single request there.

use std::time::{Duration, Instant};

/// Answers that must be missing before a target counts as stalled.
///
/// Answers of independent requests come like a Poisson stream, so that a healthy target misses
/// six in a row with a chance of e^-6, about 0.25 %.
pub const MISSING_RESPONSES_MAX: f64 = 6.0;

/// Answers that must be missing before what waits is sent elsewhere too.
///
/// That gives up places in the queue, so it wants surer evidence: e^-12 is once in 160,000.
/// As one request counts for at most three, four must be overdue together.
pub const MISSING_RESPONSES_TO_EVICT: f64 = 12.0;

/// Share of its usual time after which a request may be answered any moment.
const EARLIEST_RESPONSE_SHARE: f64 = 0.5;

/// Answers that one request may count as missing.
///
/// One request that takes long, an invoice run among look-ups, is no stall of the target. With
/// half of [`MISSING_MAX`] each it takes three requests that are overdue together.
const MISSING_PER_REQUEST_MAX: f64 = MISSING_RESPONSES_MAX / 2.0;

/// Silence below which nothing counts as a stall.
///
/// A target that answers within 0.2 ms is off its processor for some milliseconds now and then.
/// Going elsewhere costs about 1 ms for the further hop, so that shorter stalls are best sat out.
pub const SILENCE_MIN: Duration = Duration::from_millis(5);

/// Running requests that are looked at, which bounds the cost of a decision.
const REQUESTS_CHECKED_MAX: usize = 16;

/// When the target was last seen to end a request.
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

    /// How many answers are missing, given when each request started and what it usually
    /// takes.
    pub fn missing_responses(
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
                let overdue = now.saturating_duration_since(due_from).as_secs_f64();
                let missing =
                    overdue / usual.mul_f64(1.0 - EARLIEST_RESPONSE_SHARE).as_secs_f64().max(1e-6);
                missing.min(MISSING_PER_REQUEST_MAX)
            })
            .sum()
    }
}
