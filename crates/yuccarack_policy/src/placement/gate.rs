//! One gate as an entry sees it.

use std::time::{Duration, Instant};

use crate::slowdown::SlowdownEstimate;

/// What a gate tells with each answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateLoad {
    /// Requests that run at its target.
    pub running: u16,
    /// Requests that wait there.
    pub waiting: u16,
    /// Requests that it lets run at once.
    pub limit: u16,
    /// Mean time that a request takes at the usual pace.
    pub mean_work: Duration,
    /// How much longer than usual work takes there now.
    pub slowness: f64,
}

/// How a try ended, as far as the gate or its target is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// The target answered.
    Answered,
    /// The target answered that it failed, or its answer was broken.
    Failed,
    /// The gate turned the request away for now.
    Refused,
    /// The gate says that its target takes no work: it leaves or has gone.
    Away,
    /// No connection to the gate could be made.
    Unreachable,
    /// The caller left or gave up.
    Cancelled,
}

/// Time in which what was told of the load is half forgotten; a request takes about as long.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age up to which word of the load is taken as it is; a slot gets free every 20 to 30 ms.
const LOAD_FRESH: Duration = Duration::from_millis(30);

/// Weight of a new end in the share of failures: some twenty ends make it up.
const FAILURE_WEIGHT: f64 = 0.08;

/// Requests that a gate is taken to run at once that has told nothing yet, as today's do.
const LIMIT_UNKNOWN: u16 = 6;

/// First time for which a gate that is away gets nothing.
const AWAY_MIN: Duration = Duration::from_millis(250);

/// Longest such time; a daemon that has come back is in the table by then.
const AWAY_MAX: Duration = Duration::from_secs(2);

/// One gate with what is known of it.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Whether it is in the entry's own failure domain.
    pub is_near: bool,
    /// Requests of this entry that it has now.
    pub outstanding: u16,
    load: Option<(GateLoad, Instant)>,
    pace: SlowdownEstimate,
    /// Requests sent since the last word of its load.
    sent_since: u16,
    failures: f64,
    away_until: Option<Instant>,
    away_times: u32,
    /// Whether nothing is sent there until a connection could be made again.
    pub is_unreachable: bool,
}

impl Gate {
    pub fn new(is_near: bool) -> Self {
        Self {
            is_near,
            outstanding: 0,
            load: None,
            pace: SlowdownEstimate::new(),
            sent_since: 0,
            failures: 0.0,
            away_until: None,
            away_times: 0,
            is_unreachable: false,
        }
    }

    pub fn told(&mut self, now: Instant, load: GateLoad) {
        self.pace.record(now, load.slowness);
        self.load = Some((load, now));
        self.sent_since = 0;
    }

    pub fn sent(&mut self) {
        self.outstanding += 1;
        self.sent_since = self.sent_since.saturating_add(1);
    }

    pub fn ended(&mut self, now: Instant, end: TryEnd) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if matches!(end, TryEnd::Away | TryEnd::Unreachable) {
            // Nothing of it is there, and no word of the load came that would say so.
            self.sent_since = self.sent_since.saturating_sub(1);
        }
        match end {
            TryEnd::Answered => {
                self.failures -= FAILURE_WEIGHT * self.failures;
                self.back();
            }
            TryEnd::Failed => self.failures += FAILURE_WEIGHT * (1.0 - self.failures),
            TryEnd::Refused => self.back(),
            TryEnd::Away => self.away(now),
            TryEnd::Unreachable => self.is_unreachable = true,
            TryEnd::Cancelled => {}
        }
    }

    /// Forgets that it was away: its daemon has told of itself anew.
    pub fn back(&mut self) {
        self.away_until = None;
        self.away_times = 0;
        self.is_unreachable = false;
    }

    pub fn is_away(&self, now: Instant) -> bool {
        self.is_unreachable || self.away_until.is_some_and(|until| until > now)
    }

    /// Share of its answers that are failures, lately.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    /// Whether word of its load is fresh enough to say that it is full.
    pub fn is_known(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.load.is_some_and(|(_, at)| age(at) < LOAD_FRESH)
    }

    /// Requests that are there beyond what it lets run, as far as is known.
    pub fn excess(&self, now: Instant) -> f64 {
        self.occupied(now) + 1.0 - self.limit()
    }

    /// Time until the answer of a request that is sent now.
    pub fn expected(&self, now: Instant, mean_work: Duration) -> Duration {
        let work = self.load.map_or(mean_work, |(load, _)| load.mean_work);
        let run_time = self.pace.service_time(now, work);
        let turns = (self.excess(now).max(0.0)) / self.limit();
        run_time + run_time.mul_f64(turns)
    }

    fn limit(&self) -> f64 {
        f64::from(self.load.map_or(LIMIT_UNKNOWN, |(load, _)| load.limit).max(1))
    }

    /// Requests there: those that were told of, as far as they aren't over by now, and those that
    /// were sent since; at least those of this entry.
    fn occupied(&self, now: Instant) -> f64 {
        let told = self.load.map_or(0.0, |(load, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let left = (-age / LOAD_HALF_LIFE.as_secs_f64()).exp2();
            f64::from(load.running + load.waiting) * left
        });
        (told + f64::from(self.sent_since)).max(f64::from(self.outstanding))
    }

    fn away(&mut self, now: Instant) {
        let time = AWAY_MIN * 2_u32.saturating_pow(self.away_times.min(4));
        self.away_until = Some(now + time.min(AWAY_MAX));
        self.away_times += 1;
    }
}
