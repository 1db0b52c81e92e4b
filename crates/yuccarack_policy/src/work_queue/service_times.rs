//! Estimates of the service time by kind of request, without slowdown.

use std::{collections::HashMap, time::Duration};

/// Service time assumed while none is known. It lies between the shortest and the longest kinds of
/// the services, 22 and 210 ms.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Weight of a new sample. The mean covers about ten requests, a second of work of a busy target.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Most kinds that are told apart; an operator's table has a few dozen routes to one service.
const KINDS_MAX: usize = 1_024;

/// Largest service time of a short request, as a share of the length-biased mean (see
/// `ServiceTimeEstimates::moments`).
///
/// The calls between services take a fifth to a third of the time of the requests that they are
/// made for.
const SHORT_SHARE: f64 = 0.6;

/// Weight of a new sample in the statistical moments, low enough that they cover all kinds of a
/// mix.
const MOMENTS_WEIGHT: f64 = 0.02;

/// Number of mean deviations above the mean that most requests of a kind stay within.
const UPPER_DEVIATIONS: f64 = 1.0;

/// Smoothed service time of one kind.
#[derive(Clone, Copy, Debug)]
struct KindEstimate {
    mean: Duration,
    /// Smoothed absolute deviation from the mean.
    deviation: Duration,
    /// Whether the time is assumed, which holds until the first request of the kind has completed.
    is_assumed: bool,
}

/// Smoothed service times by kind.
#[derive(Clone, Debug)]
pub struct ServiceTimeEstimates {
    by_kind: HashMap<u64, KindEstimate>,
    mean: Option<Duration>,
    /// First and second statistical moments of the service time S, `E[S]` and `E[S²]`, in s and s².
    /// Their ratio `E[S²] / E[S]` is the length-biased mean: the mean service time of the request
    /// found in a busy slot at a random time.
    moments: Option<(f64, f64)>,
}

impl ServiceTimeEstimates {
    pub fn new() -> Self {
        Self { by_kind: HashMap::new(), mean: None, moments: None }
    }

    pub fn mean_of(&self, kind: u64) -> Duration {
        self.by_kind.get(&kind).map_or_else(|| self.mean(), |time| time.mean)
    }

    /// Returns a time that most requests of `kind` stay within.
    pub fn upper_estimate(&self, kind: u64) -> Duration {
        let upper = |time: &KindEstimate| time.mean + time.deviation.mul_f64(UPPER_DEVIATIONS);
        self.by_kind.get(&kind).map_or_else(|| self.mean(), upper)
    }

    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// Returns whether requests of `kind` are short compared with what usually occupies a slot.
    ///
    /// The mean over requests does not show that: a service that gets ten calls on behalf of others
    /// for each request of its own would seem to have short requests only.
    pub fn is_short(&self, kind: u64) -> bool {
        let (Some(time), Some((mean, square))) = (self.by_kind.get(&kind), self.moments) else {
            return false;
        };
        time.mean.as_secs_f64() <= SHORT_SHARE * square / mean.max(f64::MIN_POSITIVE)
    }

    /// Assumes `time` as the service time of `kind` until a request of that kind has completed.
    pub fn assume(&mut self, kind: u64, time: Duration) {
        if self.by_kind.len() >= KINDS_MAX || self.by_kind.contains_key(&kind) {
            return;
        }
        let assumed = KindEstimate { mean: time, deviation: Duration::ZERO, is_assumed: true };
        self.by_kind.insert(kind, assumed);
        self.mean.get_or_insert(time);
    }

    pub fn record(&mut self, kind: u64, time: Duration) {
        let (seconds, square) = (time.as_secs_f64(), time.as_secs_f64().powi(2));
        let (mean, mean_square) = self.moments.unwrap_or((seconds, square));
        self.moments = Some((
            mean + MOMENTS_WEIGHT * (seconds - mean),
            mean_square + MOMENTS_WEIGHT * (square - mean_square),
        ));
        self.mean = Some(self.mean.map_or(time, |mean| smoothed(mean, time)));
        let sample = KindEstimate { mean: time, deviation: Duration::ZERO, is_assumed: false };
        if let Some(known) = self.by_kind.get_mut(&kind) {
            if known.is_assumed {
                *known = sample;
            }
            known.deviation = smoothed(known.deviation, known.mean.abs_diff(time));
            known.mean = smoothed(known.mean, time);
        } else if self.by_kind.len() < KINDS_MAX {
            self.by_kind.insert(kind, sample);
        }
    }
}

fn smoothed(mean: Duration, time: Duration) -> Duration {
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT)
}
