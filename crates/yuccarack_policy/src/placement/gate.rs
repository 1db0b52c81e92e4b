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
    pub mean_service_time: Duration,
    /// How much longer than usual work takes there now.
    pub slowdown: f64,
}

/// How a try ended, as far as the gate or its target is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAttemptOutcome {
    /// The target answered.
    Answered,
    /// The target answered that it failed, or its answer was broken.
    Failed,
    /// The gate turned the request away for now.
    Refused,
    /// The gate says that its target takes no work: it leaves or has gone.
    Unavailable,
    /// No connection to the gate could be made.
    Unreachable,
    /// The caller left or gave up.
    Cancelled,
}

/// Time in which what was told of the load is half forgotten; a request takes about as long.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age up to which word of the load is taken as it is; a slot gets free every 20 to 30 ms.
const LOAD_FRESH_MAX_AGE: Duration = Duration::from_millis(30);

/// Weight of a new end in the share of failures: some twenty ends make it up.
const FAILURE_WEIGHT: f64 = 0.08;

/// Requests that a gate is taken to run at once that has told nothing yet, as today's do.
const DEFAULT_LIMIT: u16 = 6;

/// First time for which a gate that is away gets nothing.
const UNAVAILABLE_BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest such time; a daemon that has come back is in the table by then.
const UNAVAILABLE_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// One gate with what is known of it.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Whether it is in the entry's own failure domain.
    pub is_local: bool,
    /// Requests of this entry that it has now.
    pub outstanding: u16,
    load: Option<(GateLoad, Instant)>,
    slowdown: SlowdownEstimate,
    /// Requests sent since the last word of its load.
    sent_since_report: u16,
    failure_share: f64,
    unavailable_until: Option<Instant>,
    unavailable_in_row: u32,
    /// Whether nothing is sent there until a connection could be made again.
    pub is_unreachable: bool,
}

impl Gate {
    pub fn new(is_local: bool) -> Self {
        Self {
            is_local,
            outstanding: 0,
            load: None,
            slowdown: SlowdownEstimate::new(),
            sent_since_report: 0,
            failure_share: 0.0,
            unavailable_until: None,
            unavailable_in_row: 0,
            is_unreachable: false,
        }
    }

    pub fn record_load(&mut self, now: Instant, load: GateLoad) {
        self.slowdown.record(now, load.slowdown);
        self.load = Some((load, now));
        self.sent_since_report = 0;
    }

    pub fn record_attempt(&mut self) {
        self.outstanding += 1;
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    pub fn record_outcome(&mut self, now: Instant, end: GateAttemptOutcome) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if matches!(end, GateAttemptOutcome::Unavailable | GateAttemptOutcome::Unreachable) {
            // Nothing of it is there, and no word of the load came that would say so.
            self.sent_since_report = self.sent_since_report.saturating_sub(1);
        }
        match end {
            GateAttemptOutcome::Answered => {
                self.failure_share -= FAILURE_WEIGHT * self.failure_share;
                self.mark_reachable();
            }
            GateAttemptOutcome::Failed => {
                self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)
            }
            GateAttemptOutcome::Refused => self.mark_reachable(),
            GateAttemptOutcome::Unavailable => self.mark_unavailable(now),
            GateAttemptOutcome::Unreachable => self.is_unreachable = true,
            GateAttemptOutcome::Cancelled => {}
        }
    }

    /// Forgets that it was away: its daemon has told of itself anew.
    pub fn mark_reachable(&mut self) {
        self.unavailable_until = None;
        self.unavailable_in_row = 0;
        self.is_unreachable = false;
    }

    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.is_unreachable || self.unavailable_until.is_some_and(|until| until > now)
    }

    /// Share of its answers that are failures, lately.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Whether word of its load is fresh enough to say that it is full.
    pub fn is_load_fresh(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.load.is_some_and(|(_, at)| age(at) < LOAD_FRESH_MAX_AGE)
    }

    /// Requests that are there beyond what it lets run, as far as is known.
    pub fn excess(&self, now: Instant) -> f64 {
        self.estimated_load(now) + 1.0 - self.limit()
    }

    /// Time until the answer of a request that is sent now.
    pub fn expected_response_time(&self, now: Instant, mean_work: Duration) -> Duration {
        let work = self.load.map_or(mean_work, |(load, _)| load.mean_service_time);
        let run_time = self.slowdown.service_time(now, work);
        let turns = (self.excess(now).max(0.0)) / self.limit();
        run_time + run_time.mul_f64(turns)
    }

    fn limit(&self) -> f64 {
        f64::from(self.load.map_or(DEFAULT_LIMIT, |(load, _)| load.limit).max(1))
    }

    /// Requests there: those that were told of, as far as they aren't over by now, and those that
    /// were sent since; at least those of this entry.
    fn estimated_load(&self, now: Instant) -> f64 {
        let told = self.load.map_or(0.0, |(load, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let left = (-age / LOAD_HALF_LIFE.as_secs_f64()).exp2();
            f64::from(load.running + load.waiting) * left
        });
        (told + f64::from(self.sent_since_report)).max(f64::from(self.outstanding))
    }

    fn mark_unavailable(&mut self, now: Instant) {
        let time = UNAVAILABLE_BACKOFF_MIN * 2_u32.saturating_pow(self.unavailable_in_row.min(4));
        self.unavailable_until = Some(now + time.min(UNAVAILABLE_BACKOFF_MAX));
        self.unavailable_in_row += 1;
    }
}
