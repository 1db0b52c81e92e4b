//! What callers got.

use std::time::Duration;

use super::load::{REQUEST_KINDS, RequestKind};

/// Length of the pieces of time of which the worst counts.
const WINDOW: Duration = Duration::from_secs(2);

/// How requests of one kind ended, once for each caller, over all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Within their aim.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Turned away to the last.
    pub refused: u64,
    /// Failed, or without an answer in time.
    pub failed: u64,
}

/// What callers got in one story under one policy.
#[derive(Clone, Debug, Default)]
pub struct Credit {
    /// By kind.
    pub outcomes: [OutcomeCounts; REQUEST_KINDS.len()],
    /// Credit earned and owed by window.
    windows: Vec<(f64, f64)>,
    /// Runs that were wasted: their caller got nothing for them.
    pub wasted_runs: u64,
    /// All runs.
    pub runs: u64,
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered so long after it came.
    Answered(Duration),
    /// Turned away to the last.
    Refused,
    /// Failed, or without an answer in time.
    Failed,
}

impl Credit {
    /// Notes the end of a request that came `at` after the start.
    pub fn record(&mut self, kind: usize, at: Duration, outcome: RequestOutcome) {
        let RequestKind { soft_deadline, value, .. } = REQUEST_KINDS[kind];
        let counts = &mut self.outcomes[kind];
        let earned = match outcome {
            RequestOutcome::Answered(response_time) if response_time <= soft_deadline => {
                counts.in_time += 1;
                value.0
            }
            RequestOutcome::Answered(_) => {
                counts.late += 1;
                value.1
            }
            RequestOutcome::Refused => {
                counts.refused += 1;
                0.0
            }
            RequestOutcome::Failed => {
                counts.failed += 1;
                0.0
            }
        };
        let window = (at.as_micros() / WINDOW.as_micros()) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, (0.0, 0.0));
        }
        self.windows[window].0 += earned;
        self.windows[window].1 += value.0;
    }

    /// Credit earned over credit owed.
    pub fn earned_share(&self) -> f64 {
        self.earned_share_from(Duration::ZERO)
    }

    /// The same of requests that came after `from`, a whole number of windows.
    pub fn earned_share_from(&self, from: Duration) -> f64 {
        let first = (from.as_micros() / WINDOW.as_micros()) as usize;
        let later = self.windows.iter().skip(first);
        let (earned, attainable) =
            later.fold((0.0, 0.0), |sum, window| (sum.0 + window.0, sum.1 + window.1));
        earned / f64::max(attainable, f64::MIN_POSITIVE)
    }

    /// The same in the two worst windows.
    pub fn worst_share(&self) -> f64 {
        let mut shares: Vec<f64> = self
            .windows
            .iter()
            .filter(|(_, attainable)| *attainable > 0.0)
            .map(|(earned, attainable)| earned / attainable)
            .collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(2)];
        worst.iter().sum::<f64>() / worst.len().max(1) as f64
    }
}
