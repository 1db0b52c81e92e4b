//! Value of the responses that callers received, and counts of request outcomes.

use std::time::Duration;

use super::load::{REQUEST_KINDS, RequestKind};

/// Length of the windows over which the worst share of the value is computed.
const WINDOW: Duration = Duration::from_secs(2);

/// Outcomes of the requests of one kind, counted once per caller over all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Answered within their soft deadline.
    pub in_time: u64,
    /// Answered after their soft deadline.
    pub late: u64,
    /// Refused on every attempt.
    pub refused: u64,
    /// Failed, or without a response by the deadline.
    pub failed: u64,
}

/// Value earned in one scenario under one policy; a response earns value by its kind and time.
#[derive(Clone, Debug, Default)]
pub struct EarnedValue {
    /// Outcomes by request kind.
    pub outcomes: [OutcomeCounts; REQUEST_KINDS.len()],
    /// Earned and attainable value of the requests that arrived in each window.
    windows: Vec<(f64, f64)>,
    /// Runs whose caller received no response from them.
    pub wasted_runs: u64,
    /// Number of all runs.
    pub runs: u64,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered, with the time since its arrival.
    Answered(Duration),
    /// Refused on every attempt.
    Refused,
    /// Failed, or without a response by the deadline.
    Failed,
}

impl EarnedValue {
    /// Records the outcome of a request that arrived `at` after the start.
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

    /// Returns the earned share of the attainable value.
    pub fn earned_share(&self) -> f64 {
        self.earned_share_from(Duration::ZERO)
    }

    /// Returns the earned share of the requests that arrived from `from` on, a multiple of the
    /// window length.
    pub fn earned_share_from(&self, from: Duration) -> f64 {
        let first = (from.as_micros() / WINDOW.as_micros()) as usize;
        let later = self.windows.iter().skip(first);
        let (earned, attainable) =
            later.fold((0.0, 0.0), |sum, window| (sum.0 + window.0, sum.1 + window.1));
        earned / f64::max(attainable, f64::MIN_POSITIVE)
    }

    /// Returns the mean of the earned shares of the two worst windows.
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
