//! What asking a target for its load may cost.
//!
//! The pattern is a noisy shared server: the load endpoint answers slowly or not at all, and a
//! fixed polling interval then keeps asking, so measuring costs most where the target has least
//! to give. Here every look is paid from bytes, requests and time in flight, charged for the
//! worst case while it is open, so that the budget holds in any window of a second even when
//! answers stop.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use yuccarack_config::rules::MeasuringRules;

/// Window over which bytes and time are limited.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Fewest bytes for which asking is worth it: status line, a few headers and two numbers.
pub const BYTES_MIN: u32 = 128;

/// Shortest time for which asking is worth it.
pub const TIME_MIN: Duration = Duration::from_millis(1);

/// Longest pause after looks that got no answer.
///
/// Each look without an answer doubles the pause; half a minute still notices a repaired
/// endpoint while it costs a thirtieth of the budget.
pub const PAUSE_MAX: Duration = Duration::from_secs(30);

/// Leave to ask the target once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasurementPermit {
    /// Most bytes to read; the connection is closed at the next one.
    pub bytes_max: u32,
    /// When to stop waiting for the answer.
    pub give_up_at: Instant,
}

/// What measuring has cost since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeasuringCost {
    /// Load reports asked for.
    pub requests: u64,
    /// Bytes read.
    pub bytes: u64,
    /// Time that looks were in flight, in µs.
    pub time_us: u64,
    /// Looks that ended at their give-up time.
    pub timeouts: u64,
}

/// Budget for looks at one target.
#[derive(Clone, Debug)]
pub struct MeasuringBudget {
    bytes_max: u32,
    time_max: Duration,
    spacing: Option<Duration>,
    open: Option<OpenMeasurement>,
    finished: VecDeque<FinishedMeasurement>,
    next_start_at: Option<Instant>,
    timeouts_in_row: u32,
    total_cost: MeasuringCost,
}

#[derive(Clone, Copy, Debug)]
struct OpenMeasurement {
    started_at: Instant,
    permit: MeasurementPermit,
}

#[derive(Clone, Copy, Debug)]
struct FinishedMeasurement {
    ended_at: Instant,
    bytes: u32,
    time: Duration,
}

impl MeasuringBudget {
    /// Creates an unspent budget; rules that allow no requests turn measuring off.
    pub fn new(rules: &MeasuringRules) -> Self {
        let requests = rules.requests_per_1000s_max;
        Self {
            bytes_max: rules.bytes_per_s_max,
            time_max: Duration::from_millis(u64::from(rules.time_ms_per_s_max)),
            spacing: (requests > 0).then(|| Duration::from_secs(1_000) / requests),
            open: None,
            finished: VecDeque::new(),
            next_start_at: None,
            timeouts_in_row: 0,
            total_cost: MeasuringCost::default(),
        }
    }

    /// Starts a look if the budget allows one; at most one is open at a time.
    pub fn try_start(&mut self, now: Instant) -> Option<MeasurementPermit> {
        let spacing = self.spacing?;
        self.close_overdue(now);
        if self.open.is_some() || self.next_start_at.is_some_and(|next| now < next) {
            return None;
        }
        self.drop_expired(now);
        let (bytes_left, time_left) = self.remaining();
        if bytes_left < BYTES_MIN || time_left < TIME_MIN {
            return None;
        }
        let permit = MeasurementPermit { bytes_max: bytes_left, give_up_at: now + time_left };
        self.open = Some(OpenMeasurement { started_at: now, permit });
        self.next_start_at = Some(now + spacing);
        self.total_cost.requests += 1;
        Some(permit)
    }

    /// Notes the end of the open look, answered or not, with the bytes that were read.
    pub fn record_end(&mut self, now: Instant, bytes: u32) {
        let Some(open) = self.open.take() else { return };
        self.charge(open, now, bytes);
    }

    /// What has been spent since the start.
    pub fn total_cost(&self) -> MeasuringCost {
        self.total_cost
    }

    /// Earliest time at which a look could start, as far as is known now.
    pub fn next_at(&self, now: Instant) -> Instant {
        if self.spacing.is_none() || self.bytes_max < BYTES_MIN || self.time_max < TIME_MIN {
            return now + PAUSE_MAX;
        }
        let after_open = self.open.map_or(now, |open| open.permit.give_up_at);
        let earliest = self.next_start_at.unwrap_or(now).max(after_open).max(now);
        let (mut bytes, mut time) = (0, Duration::ZERO);
        for look in self.finished.iter().rev() {
            bytes += look.bytes;
            time += look.time;
            let short_of_bytes = bytes + BYTES_MIN > self.bytes_max;
            if short_of_bytes || time + TIME_MIN > self.time_max {
                return earliest.max(look.ended_at + WINDOW);
            }
        }
        earliest
    }

    /// Ends a look whose owner never told its end.
    ///
    /// The failure is a lost answer: without this the one open look would stop all later ones.
    /// It is charged in full, so the budget holds whatever became of it.
    fn close_overdue(&mut self, now: Instant) {
        let Some(open) = self.open.take_if(|open| now > open.permit.give_up_at) else { return };
        self.charge(open, open.permit.give_up_at, open.permit.bytes_max);
    }

    fn charge(&mut self, open: OpenMeasurement, ended_at: Instant, bytes: u32) {
        let time = ended_at.saturating_duration_since(open.started_at);
        self.finished.push_back(FinishedMeasurement { ended_at, bytes, time });
        self.total_cost.bytes += u64::from(bytes);
        self.total_cost.time_us += time.as_micros() as u64;
        if ended_at < open.permit.give_up_at {
            self.timeouts_in_row = 0;
            return;
        }
        self.total_cost.timeouts += 1;
        self.timeouts_in_row += 1;
        let pause = WINDOW.saturating_mul(1 << self.timeouts_in_row.min(5)).min(PAUSE_MAX);
        self.next_start_at = self.next_start_at.max(Some(ended_at + pause));
    }

    fn drop_expired(&mut self, now: Instant) {
        while self.finished.front().is_some_and(|look| look.ended_at + WINDOW <= now) {
            self.finished.pop_front();
        }
    }

    fn remaining(&self) -> (u32, Duration) {
        let bytes: u32 = self.finished.iter().map(|look| look.bytes).sum();
        let time: Duration = self.finished.iter().map(|look| look.time).sum();
        (self.bytes_max.saturating_sub(bytes), self.time_max.saturating_sub(time))
    }
}
