//! What one gate runs at once, what waits there, in which order, and what is turned away.
//!
//! The pattern is a burst on targets that slow down when they are full: at more than four fifths of
//! its slots a target takes 1.7 times as long for everything, so filling it up answers fewer
//! requests and not more. What doesn't fit waits here, where it can still be turned away unrun and
//! the most urgent goes first. What can't be answered before its caller gives up is turned away at
//! once, with the time after which there is room, and what can't be on time any more lets go first
//! all that still can: otherwise a burst of two seconds makes every answer late for many more.
//!
//! Much of what a service runs are calls that requests of other services make, which are short against
//! its own requests. Turned away or late, each of them wastes the run of its parent; let in first, it
//! holds up the rest by little. So short work goes first, and may wait for as long as its caller does. A cold
//! target is bounded by the number of requests and not by their time, and gets the most urgent ones first.

mod decision;
mod estimates;
mod request;
mod service_times;
mod waiting;

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use yuccarack_config::decisions::Decisions;

pub use self::{
    decision::{QueueDecision, QueueRefusal, QueueRefusalReason, WaitResult},
    request::{WorkOutcome, WorkRequest},
};
use self::{
    service_times::ServiceTimeEstimates,
    waiting::{PriorityKey, WaitingRequest, priority_key},
};
use crate::{cold_rate::ColdRate, slowdown::SlowdownEstimate};

new_key_type! {
    /// A request that runs; it must be released exactly once.
    pub struct RunningKey;
    /// A request that waits.
    pub struct WaitingKey;
}

/// Share of a target's slots that are filled.
///
/// Above it a target slows 1.7 times (measured on targets of 8 and 9 slots), which costs more
/// answers than the added slots bring: 7 at full pace against 9 / 1.7 = 5.3.
pub const USABLE_SLOT_SHARE: f64 = 0.8;

/// Pace from which a request that could go to another target is sent on.
///
/// Targets slow fourfold at their worst; at three times a bounce costs less than the slow run. The
/// table in docs/POLICY.md has the values that were tried.
pub const SLOWDOWN_MAX: f64 = 3.0;

/// Longest time after which a caller is told to come back; by then a burst is over.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// Shortest time after which a caller is told to come back: sooner, it meets the same queue.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Share of its time left that a request may wait which can't be on time any more.
///
/// It is overtaken by whatever still can, so that a long queue would hold it to its end unrun;
/// turned away at once, it may come back when there is room. The table in docs/POLICY.md has the
/// values that were tried.
const LATE_WAIT_SHARE_MAX: f64 = 0.1;

/// Least time between two looks at what waits; a request loses hope so much later at the most, which
/// is less than a network round trip between domains and the way back to its caller.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// Share of the time for an answer of full use that a request is taken to run for, until one of its kind has
/// ended here.
///
/// Failure: after a loss of all power no gate knows how long work takes. At a guess too low each of them lets
/// several times as many wait as can be answered in time, and all of these are late.
const ASSUMED_SERVICE_SHARE: f64 = 1.0 / 3.0;

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    kind: u64,
    started_at: Instant,
    slowdown: f64,
}

/// Decides at one gate.
#[derive(Clone, Debug)]
pub struct WorkQueue {
    slots: u16,
    running: SlotMap<RunningKey, RunningRequest>,
    waiting: SlotMap<WaitingKey, WaitingRequest>,
    service_times: ServiceTimeEstimates,
    slowdown: SlowdownEstimate,
    cold_rate: ColdRate,
    finished_waits: Vec<WaitResult>,
    is_draining: bool,
    decisions: Decisions,
}

impl WorkQueue {
    /// Creates the queue of an idle target with `slots`.
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            running: SlotMap::with_key(),
            waiting: SlotMap::with_key(),
            service_times: ServiceTimeEstimates::new(),
            slowdown: SlowdownEstimate::new(),
            cold_rate: ColdRate::default(),
            finished_waits: Vec::new(),
            is_draining: false,
            decisions: Decisions::default(),
        }
    }

    /// Decides by these.
    pub fn with_decisions(mut self, decisions: Decisions) -> Self {
        self.decisions = decisions;
        self.cold_rate = self.cold_rate.with_spread(decisions.cold_spread);
        self
    }

    /// Lets the target get what `cold_rate` allows.
    pub fn with_cold_rate(mut self, cold_rate: ColdRate) -> Self {
        self.cold_rate = cold_rate.with_spread(self.decisions.cold_spread);
        self
    }

    /// Follows a changed number of slots.
    pub fn set_slots(&mut self, now: Instant, slots: u16) {
        self.slots = slots;
        self.start_waiting(now);
    }

    /// Limits what the target gets while it may be cold.
    pub fn cold_rate(&self) -> &ColdRate {
        &self.cold_rate
    }

    /// The same, to note what is known of it.
    pub fn cold_rate_mut(&mut self) -> &mut ColdRate {
        &mut self.cold_rate
    }

    /// Takes a report of the target's pace.
    pub fn record_slowdown(&mut self, now: Instant, slowness: f64) {
        self.slowdown.record(now, slowness);
    }

    /// The pace as it is known.
    pub fn slowdown(&self) -> &SlowdownEstimate {
        &self.slowdown
    }

    /// Most requests that run at once.
    pub fn limit(&self) -> usize {
        ((f64::from(self.slots) * USABLE_SLOT_SHARE) as usize).max(1)
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Mean time that a request takes at the usual pace.
    pub fn mean_service_time(&self) -> Duration {
        self.service_times.mean()
    }

    /// Decides on a request that arrives.
    pub fn offer(&mut self, now: Instant, request: WorkRequest) -> QueueDecision {
        if self.is_draining {
            return self.refused(now, QueueRefusalReason::Leaving);
        }
        if request.deadline <= now {
            return self.refused(now, QueueRefusalReason::CannotEndInTime);
        }
        if let Some(on_time_left) = request.soft_deadline.checked_duration_since(now) {
            self.service_times.assume(request.kind, on_time_left.mul_f64(ASSUMED_SERVICE_SHARE));
        }
        let has_slot = self.running.len() < self.limit();
        let has_room = has_slot && self.cold_rate.next_dispatch_at(now).is_none();
        let is_passed_over = self.decisions.slow_passed_over && !request.may_wait;
        if has_room && is_passed_over && self.slowdown.at(now) >= SLOWDOWN_MAX {
            return self.refused(now, QueueRefusalReason::Slow);
        }
        if has_room {
            return QueueDecision::Run(self.start(now, request.kind));
        }
        if !request.may_wait {
            let reason = if has_slot { QueueRefusalReason::Cold } else { QueueRefusalReason::Full };
            return self.refused(now, reason);
        }
        match self.check_wait(now, &request) {
            Ok(()) => QueueDecision::Wait(self.waiting.insert(WaitingRequest { request })),
            Err(reason) => self.refused(now, reason),
        }
    }

    /// Ends a run, which may let waiting requests run; `poll` tells which.
    pub fn release(&mut self, now: Instant, key: RunningKey, end: WorkOutcome) {
        let Some(run) = self.running.remove(key) else { return };
        if end == WorkOutcome::Completed {
            let took = now.saturating_duration_since(run.started_at);
            let slowness = (run.slowdown + self.slowdown.at(now)) / 2.0;
            self.service_times.record(run.kind, took.div_f64(slowness.max(0.1)));
        }
        self.start_waiting(now);
    }

    /// Takes back a waiting request whose caller has left.
    ///
    /// Failure: its caller leaves between the decision that it runs and the `poll` that tells so;
    /// nobody would know of the run, and its slot would be lost for good.
    pub fn cancel(&mut self, now: Instant, key: WaitingKey) {
        self.waiting.remove(key);
        let of_key = |settled: &WaitResult| match settled {
            WaitResult::Run(waiting, _) | WaitResult::Refused(waiting, _) => *waiting == key,
        };
        let settled = self.finished_waits.iter().position(of_key);
        if let Some(index) = settled
            && let WaitResult::Run(_, run) = self.finished_waits.remove(index)
        {
            self.release(now, run, WorkOutcome::Aborted);
        }
    }

    /// Settles what has become due; each waiting request is told once.
    pub fn poll(&mut self, now: Instant) -> Vec<WaitResult> {
        self.refuse_unservable(now);
        self.start_waiting(now);
        std::mem::take(&mut self.finished_waits)
    }

    /// When `poll` must be called next, if nothing else happens before; always after `now`.
    ///
    /// Failure: the pace changes while a request waits, so that it was to be looked at by now and has
    /// hope all the same. Asked for the past, its caller looks again at once and again, and burns the
    /// processor for up to a tenth of a second, all that a daemon has on a tenth of a core.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let loses_hope_at = |waiting: &WaitingRequest| {
            let work = waiting.request;
            let run_time = self.service_time(now, work.kind);
            let late_at = work.soft_deadline.checked_sub(self.upper_service_time(now, work.kind));
            let late_at = late_at.filter(|late_at| *late_at > now);
            let hopeless_at = work.deadline.checked_sub(run_time).unwrap_or(work.deadline);
            late_at.map_or(hopeless_at, |late_at| late_at.min(hopeless_at))
        };
        let next = self.waiting.values().map(loses_hope_at).min()?;
        let has_slot = self.running.len() < self.limit();
        let starts_at = self.cold_rate.next_dispatch_at(now).filter(|_| has_slot);
        let next = starts_at.map_or(next, |starts_at| starts_at.min(next));
        Some(next.max(now + POLL_INTERVAL_MIN))
    }

    /// Refuses all that waits and all that comes from now on; what runs goes on.
    pub fn start_draining(&mut self, now: Instant) {
        self.is_draining = true;
        let refused = self.refusal(now, QueueRefusalReason::Leaving);
        for (key, _) in self.waiting.drain() {
            self.finished_waits.push(WaitResult::Refused(key, refused));
        }
    }

    /// Takes work again after all.
    pub fn stop_draining(&mut self) {
        self.is_draining = false;
    }

    fn start(&mut self, now: Instant, kind: u64) -> RunningKey {
        self.cold_rate.record_dispatch(now);
        self.running.insert(RunningRequest {
            kind,
            started_at: now,
            slowdown: self.slowdown.at(now),
        })
    }

    /// Whether a request that has to wait is answered while that is of use.
    fn check_wait(&self, now: Instant, work: &WorkRequest) -> Result<(), QueueRefusalReason> {
        let likely_time = self.upper_service_time(now, work.kind);
        let arrived = priority_key(work, self.is_expedited(now, work.kind), now, likely_time);
        let ahead = self.waiting.values().filter(|other| self.priority_of(other, now) <= arrived);
        let starts_at = now + self.estimated_wait(now, ahead.count());
        if starts_at + self.service_time(now, work.kind) > work.deadline {
            return Err(QueueRefusalReason::CannotEndInTime);
        }
        if self.is_too_late_to_wait(now, work, starts_at + likely_time) {
            return Err(QueueRefusalReason::TooLate);
        }
        Ok(())
    }

    /// Whether a request that would be answered at `done_at` is too late to wait for long.
    fn is_too_late_to_wait(&self, now: Instant, work: &WorkRequest, done_at: Instant) -> bool {
        if done_at <= work.soft_deadline || self.is_short(work.kind) {
            return false;
        }
        let wait = self.estimated_wait(now, self.waiting.len());
        let left = work.deadline.saturating_duration_since(now);
        wait > left.mul_f64(LATE_WAIT_SHARE_MAX)
    }

    fn is_short(&self, kind: u64) -> bool {
        self.decisions.short_first && self.service_times.is_short(kind)
    }

    /// Whether work of `kind` goes before all that isn't short.
    ///
    /// Failure: a cold target gets so many requests a second, short ones or not, and those that are called for
    /// less urgent work take them all.
    fn is_expedited(&self, now: Instant, kind: u64) -> bool {
        let is_bounded = self.decisions.cold_by_rank && self.cold_rate.interval(now).is_some();
        self.is_short(kind) && !is_bounded
    }

    /// Starts waiting requests while there is room.
    fn start_waiting(&mut self, now: Instant) {
        while self.running.len() < self.limit() && self.cold_rate.next_dispatch_at(now).is_none() {
            let Some(key) = self.next_waiting(now) else { return };
            let Some(waiting) = self.waiting.remove(key) else { return };
            let run = self.start(now, waiting.request.kind);
            self.finished_waits.push(WaitResult::Run(key, run));
        }
    }

    fn next_waiting(&self, now: Instant) -> Option<WaitingKey> {
        let order = |(_, waiting): &(WaitingKey, &WaitingRequest)| self.priority_of(waiting, now);
        self.waiting.iter().min_by_key(order).map(|(key, _)| key)
    }

    fn priority_of(&self, waiting: &WaitingRequest, now: Instant) -> PriorityKey {
        let work = &waiting.request;
        let likely_time = self.upper_service_time(now, work.kind);
        priority_key(work, self.is_expedited(now, work.kind), now, likely_time)
    }

    /// Turns away what waits without hope.
    ///
    /// What can't be answered any more would be held to its end, and its caller could not come back.
    /// What can't be on time any more is overtaken by all that still can: in an overload of seconds it
    /// waited for up to eight tenths of its time and was turned away then. Worth held to the end
    /// unserved, over 12 played days of high load: 1.4 % to 0.4 %.
    fn refuse_unservable(&mut self, now: Instant) {
        let waiting = self.waiting.iter();
        let hopeless =
            waiting.filter_map(|(key, waiting)| Some((key, self.refusal_reason(now, waiting)?)));
        let hopeless: Vec<(WaitingKey, QueueRefusalReason)> = hopeless.collect();
        for (key, reason) in hopeless {
            let refused = self.refusal(now, reason);
            self.waiting.remove(key);
            self.finished_waits.push(WaitResult::Refused(key, refused));
        }
    }

    /// Why a waiting request has no hope, if it has none.
    fn refusal_reason(&self, now: Instant, waiting: &WaitingRequest) -> Option<QueueRefusalReason> {
        let done_at = now + self.service_time(now, waiting.request.kind);
        if done_at > waiting.request.deadline {
            return Some(QueueRefusalReason::CannotEndInTime);
        }
        let likely_at = now + self.upper_service_time(now, waiting.request.kind);
        let is_in_vain = self.is_too_late_to_wait(now, &waiting.request, likely_at);
        is_in_vain.then_some(QueueRefusalReason::TooLate)
    }

    fn refused(&self, now: Instant, reason: QueueRefusalReason) -> QueueDecision {
        QueueDecision::Refused(self.refusal(now, reason))
    }

    fn refusal(&self, now: Instant, reason: QueueRefusalReason) -> QueueRefusal {
        let drained = self.estimated_wait(now, self.waiting.len());
        // While it is cold most of its usual load is refused, and has room only after that.
        let drained = drained.max(self.cold_rate.cold_time_left(now));
        QueueRefusal { reason, retry_after: drained.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
    }
}
