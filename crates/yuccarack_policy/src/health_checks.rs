//! Schedule of the health checks by which a gate learns its target's slowdown.
//!
//! Used for routed calls.
//!
//! A target that gets few requests may be slowed down several times a second by other load on its
//! machine. Each response reports the slowdown, but where responses are rare the gate learns of it
//! late, and until then admits requests that another target would have answered in time. So it asks
//! a target that has work when no response has reported a slowdown for a while. A busy target is
//! never asked, since its responses report enough, and neither is one without work.
//!
//! A target that gets a request or two a second is mostly idle, so its last report is older than any
//! slowdown. In a large fleet all targets are like that, and no entry calls one of them often enough
//! to know better. A request that may still be passed on is therefore preceded by a check.

use std::time::{Duration, Instant};

use crate::slowdown::SlowdownEstimate;

/// Age of the latest report from which the target is asked, a sixth of the usual duration of a
/// slowdown.
pub const REPORT_AGE_MIN: Duration = Duration::from_millis(50);

/// Smallest such age as a share of the mean service time. Long requests see several slowdowns
/// anyway, and the one at their start says less about their end.
const REPORT_AGE_SHARE: f64 = 0.5;

/// Longest wait for the response, which would report nothing new after that.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(40);

/// Pause after the first failed health check; each further failure in a row doubles it.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after failures.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The target reported its slowdown.
    SlowdownReported,
    /// The check gave no slowdown report: it failed, timed out, or its response carried none.
    Unreported,
}

/// Schedule of the health checks of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthCheckSchedule {
    failed_in_row: u32,
    paused_until: Option<Instant>,
}

impl HealthCheckSchedule {
    /// Creates a schedule without a health check so far.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns when the next health check is due at a target with `running` requests, given their
    /// mean service time and the estimated slowdown; `None` while the target has no work or has
    /// never reported a slowdown.
    pub fn due_at(
        &self,
        running: usize,
        mean_service_time: Duration,
        slowdown: &SlowdownEstimate,
    ) -> Option<Instant> {
        let reported_at = slowdown.reported_at().filter(|_| running > 0)?;
        let due_at = reported_at + REPORT_AGE_MIN.max(mean_service_time.mul_f64(REPORT_AGE_SHARE));
        Some(self.paused_until.map_or(due_at, |until| until.max(due_at)))
    }

    /// Returns whether a request that arrives at `now` and may be passed on is to wait for a health
    /// check, as the latest report says nothing about the current slowdown. A target that has never
    /// reported one is not asked.
    pub fn is_due_on_arrival(&self, now: Instant, slowdown: &SlowdownEstimate) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| until > now);
        let reported_at = slowdown.reported_at().filter(|_| !is_paused);
        reported_at.is_some_and(|at| now.saturating_duration_since(at) >= REPORT_AGE_MIN)
    }

    /// Records the result of a health check.
    pub fn record(&mut self, now: Instant, result: HealthCheckResult) {
        match result {
            HealthCheckResult::SlowdownReported => *self = Self::new(),
            HealthCheckResult::Unreported => {
                let pause = PAUSE_FIRST * 2_u32.saturating_pow(self.failed_in_row.min(8));
                self.paused_until = Some(now + pause.min(PAUSE_MAX));
                self.failed_in_row += 1;
            }
        }
    }
}
