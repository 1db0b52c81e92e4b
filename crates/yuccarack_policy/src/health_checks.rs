//! When a gate asks its target for the pace.
//!
//! The pattern is a target that few requests reach and whose neighbours slow it down several times a
//! second. Each answer tells its pace, but where answers are few the gate learns of a slow spell late,
//! and until then lets in what would have been answered in time elsewhere. So it asks a target that
//! works when no answer has told the pace for a while. A target under load is never asked, since its
//! answers tell enough, nor one without work.

use std::time::{Duration, Instant};

use crate::slowdown::SlowdownEstimate;

/// Least age of the newest word of the pace from which the target is asked; a sixth of the time for
/// which a pace lasts.
pub const REPORT_AGE_MIN: Duration = Duration::from_millis(50);

/// Share of the mean work that this age has at least: long work sees several paces in any case, and
/// the one at its start says less of its end.
const REPORT_AGE_SHARE: f64 = 0.5;

/// Longest wait for the answer, which tells nothing new after that.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(40);

/// First pause after a look that was in vain; each further one doubles it.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Longest such pause.
const PAUSE_MAX: Duration = Duration::from_secs(3);

/// How a look ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The target told its pace.
    SlowdownReported,
    /// It didn't.
    NoReport,
}

/// Looks at one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthCheckSchedule {
    failed_in_row: u32,
    paused_until: Option<Instant>,
}

impl HealthCheckSchedule {
    /// Starts without a look.
    pub fn new() -> Self {
        Self::default()
    }

    /// When the next look is due at a target with so many requests `running` of such mean work, by
    /// what is known of its pace; none while it has no work, or has never told a pace.
    pub fn due_at(
        &self,
        running: usize,
        mean_work: Duration,
        pace: &SlowdownEstimate,
    ) -> Option<Instant> {
        let reported_at = pace.reported_at().filter(|_| running > 0)?;
        let due_at = reported_at + REPORT_AGE_MIN.max(mean_work.mul_f64(REPORT_AGE_SHARE));
        Some(self.paused_until.map_or(due_at, |until| until.max(due_at)))
    }

    /// Notes the end of a look.
    pub fn record(&mut self, now: Instant, looked: HealthCheckResult) {
        match looked {
            HealthCheckResult::SlowdownReported => *self = Self::new(),
            HealthCheckResult::NoReport => {
                let pause = PAUSE_FIRST * 2_u32.saturating_pow(self.failed_in_row.min(8));
                self.paused_until = Some(now + pause.min(PAUSE_MAX));
                self.failed_in_row += 1;
            }
        }
    }
}
