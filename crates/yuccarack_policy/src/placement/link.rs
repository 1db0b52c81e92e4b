//! What an entry knows of the link of a gate, over which responses come.

use std::time::{Duration, Instant};

use crate::link_pacing::{PIECE_MAX_BYTES, SHORT_MAX_BYTES, transfer_time};

/// State of its link that a gate reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkReport {
    /// Time that the link needs for the responses that wait at the gate.
    pub backlog: Duration,
    /// Rate of the link; `None` if the gate doesn't report it.
    pub kbit_per_s: Option<u32>,
}

/// Link of one gate as known to an entry.
#[derive(Clone, Copy, Debug)]
pub struct LinkLoad {
    report: LinkReport,
    reported_at: Instant,
    /// Expected bytes of the long responses to requests sent since the report.
    expected_bytes: u64,
}

impl LinkLoad {
    pub fn new(now: Instant, report: LinkReport) -> Self {
        Self { report, reported_at: now, expected_bytes: 0 }
    }

    /// Records that a request was sent whose response is expected to have `bytes`.
    pub fn record_attempt(&mut self, bytes: u64) {
        if bytes > SHORT_MAX_BYTES {
            self.expected_bytes += bytes;
        }
    }

    /// Returns the time that a response of `bytes` needs over the link. A long one waits for those
    /// before it; a short one passes them and waits for half of a piece on average.
    pub fn delay(&self, now: Instant, bytes: u64) -> Duration {
        let backlog = self.report.backlog + self.transfer_time(self.expected_bytes);
        let backlog = backlog.saturating_sub(now.saturating_duration_since(self.reported_at));
        if bytes > SHORT_MAX_BYTES {
            return backlog + self.transfer_time(bytes);
        }
        match backlog.is_zero() {
            true => Duration::ZERO,
            false => self.transfer_time(PIECE_MAX_BYTES as u64) / 2,
        }
    }

    fn transfer_time(&self, bytes: u64) -> Duration {
        let rate = self.report.kbit_per_s;
        rate.map_or(Duration::ZERO, |kbit_per_s| transfer_time(kbit_per_s, bytes))
    }
}
