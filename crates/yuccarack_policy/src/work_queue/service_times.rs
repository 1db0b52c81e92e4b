//! How long requests of each kind take at the usual pace.

use std::{collections::HashMap, time::Duration};

/// Time that a request is taken to need while nothing is known of any kind; between the shortest and the
/// longest kinds of today's services, 22 and 210 ms.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Weight of a new time; some ten requests make up the mean, a second of work of a busy target.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Most kinds that are told apart; an operator's table has some dozen routes to one service.
const KINDS_MAX: usize = 1_024;

/// Share of the work that a busy slot does at a random moment, up to which work counts as short.
///
/// The calls that services make of each other take a fifth to a third of the time of the requests
/// they are made for.
const SHORT_SHARE: f64 = 0.6;

/// Weight of a new time in what a busy slot does; both kinds of a mix have to be seen for it.
const SLOT_TIME_WEIGHT: f64 = 0.02;

/// Deviations by which a time that most work keeps lies above the mean.
const UPPER_DEVIATIONS: f64 = 1.0;

/// Smoothed time of one kind.
#[derive(Clone, Copy, Debug)]
struct KindEstimate {
    mean: Duration,
    /// Mean distance from the mean.
    deviation: Duration,
    /// Whether it is only assumed, until a first request has ended.
    is_assumed: bool,
}

/// Smoothed times by kind.
#[derive(Clone, Debug)]
pub struct ServiceTimeEstimates {
    by_kind: HashMap<u64, KindEstimate>,
    mean: Option<Duration>,
    /// Means of the times and of their squares, in s; their ratio is the work that a busy slot does.
    moments: Option<(f64, f64)>,
}

impl ServiceTimeEstimates {
    pub fn new() -> Self {
        Self { by_kind: HashMap::new(), mean: None, moments: None }
    }

    pub fn mean_of(&self, kind: u64) -> Duration {
        self.by_kind.get(&kind).map_or_else(|| self.mean(), |time| time.mean)
    }

    /// Time that most work of `kind` keeps.
    pub fn upper_estimate(&self, kind: u64) -> Duration {
        let likely = |time: &KindEstimate| time.mean + time.deviation.mul_f64(UPPER_DEVIATIONS);
        self.by_kind.get(&kind).map_or_else(|| self.mean(), likely)
    }

    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// Whether work of `kind` is short against what usually holds a slot.
    ///
    /// The mean over requests would not tell: a service that is called ten times for each request
    /// of its own seems to do nothing but short work.
    pub fn is_short(&self, kind: u64) -> bool {
        let (Some(time), Some((mean, square))) = (self.by_kind.get(&kind), self.moments) else {
            return false;
        };
        time.mean.as_secs_f64() <= SHORT_SHARE * square / mean.max(f64::MIN_POSITIVE)
    }

    /// Takes `time` for that of `kind` until a request of it has ended.
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
            mean + SLOT_TIME_WEIGHT * (seconds - mean),
            mean_square + SLOT_TIME_WEIGHT * (square - mean_square),
        ));
        self.mean = Some(self.mean.map_or(time, |mean| smoothed(mean, time)));
        let first = KindEstimate { mean: time, deviation: Duration::ZERO, is_assumed: false };
        if let Some(known) = self.by_kind.get_mut(&kind) {
            if known.is_assumed {
                *known = first;
            }
            known.deviation = smoothed(known.deviation, known.mean.abs_diff(time));
            known.mean = smoothed(known.mean, time);
        } else if self.by_kind.len() < KINDS_MAX {
            self.by_kind.insert(kind, first);
        }
    }
}

fn smoothed(mean: Duration, time: Duration) -> Duration {
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT)
}
