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

mod estimates;
mod times;
mod verdict;
mod waiting;
mod work;

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use yuccarack_config::decisions::Decisions;

use self::{
    times::WorkTimes,
    waiting::{Order, Waiting, order},
};
pub use self::{
    verdict::{Offered, Refused, RefusedReason, Settled},
    work::{RunEnd, Work},
};
use crate::{cold_rate::ColdRate, pace::Pace};

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
pub const FILLED_SHARE: f64 = 0.8;

/// Pace from which a request that could go to another target is sent on.
///
/// Targets slow fourfold at their worst; at three times a bounce costs less than the slow run. The
/// table in docs/POLICY.md has the values that were tried.
pub const SLOW_PACE: f64 = 3.0;

/// Longest time after which a caller is told to come back; by then a burst is over.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// Shortest time after which a caller is told to come back: sooner, it meets the same queue.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Share of its time left that a request may wait which can't be on time any more.
///
/// It is overtaken by whatever still can, so that a long queue would hold it to its end unrun;
/// turned away at once, it may come back when there is room. The table in docs/POLICY.md has the
/// values that were tried.
const LATE_WAIT_SHARE: f64 = 0.1;

/// Least time between two looks at what waits; a request loses hope so much later at the most, which
/// is less than a network round trip between domains and the way back to its caller.
const LOOK_STEP: Duration = Duration::from_millis(5);

/// Share of the time for an answer of full use that a request is taken to run for, until one of its kind has
/// ended here.
///
/// Failure: after a loss of all power no gate knows how long work takes. At a guess too low each of them lets
/// several times as many wait as can be answered in time, and all of these are late.
const ASSUMED_SHARE: f64 = 1.0 / 3.0;

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: u64,
    started_at: Instant,
    slowness: f64,
}

/// Decides at one gate.
#[derive(Clone, Debug)]
pub struct WorkQueue {
    slots: u16,
    running: SlotMap<RunningKey, Running>,
    waiting: SlotMap<WaitingKey, Waiting>,
    times: WorkTimes,
    pace: Pace,
    cold_rate: ColdRate,
    settled: Vec<Settled>,
    is_leaving: bool,
    decisions: Decisions,
}

impl WorkQueue {
    /// Creates the queue of an idle target with `slots`.
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            running: SlotMap::with_key(),
            waiting: SlotMap::with_key(),
            times: WorkTimes::new(),
            pace: Pace::new(),
            cold_rate: ColdRate::default(),
            settled: Vec::new(),
            is_leaving: false,
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
    pub fn pace_reported(&mut self, now: Instant, slowness: f64) {
        self.pace.reported(now, slowness);
    }

    /// The pace as it is known.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Most requests that run at once.
    pub fn limit(&self) -> usize {
        ((f64::from(self.slots) * FILLED_SHARE) as usize).max(1)
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
    pub fn mean_work(&self) -> Duration {
        self.times.mean()
    }

    /// Decides on a request that arrives.
    pub fn offer(&mut self, now: Instant, work: Work) -> Offered {
        if self.is_leaving {
            return self.refused(now, RefusedReason::Leaving);
        }
        if work.give_up_by <= now {
            return self.refused(now, RefusedReason::CannotEndInTime);
        }
        if let Some(on_time_left) = work.on_time_by.checked_duration_since(now) {
            self.times.assume(work.kind, on_time_left.mul_f64(ASSUMED_SHARE));
        }
        let has_slot = self.running.len() < self.limit();
        let has_room = has_slot && self.cold_rate.free_at(now).is_none();
        let is_passed_over = self.decisions.slow_passed_over && !work.may_wait;
        if has_room && is_passed_over && self.pace.at(now) >= SLOW_PACE {
            return self.refused(now, RefusedReason::Slow);
        }
        if has_room {
            return Offered::Run(self.start(now, work.kind));
        }
        if !work.may_wait {
            let reason = if has_slot { RefusedReason::Cold } else { RefusedReason::Full };
            return self.refused(now, reason);
        }
        match self.fits(now, &work) {
            Ok(()) => Offered::Wait(self.waiting.insert(Waiting { work })),
            Err(reason) => self.refused(now, reason),
        }
    }

    /// Ends a run, which may let waiting requests run; `poll` tells which.
    pub fn release(&mut self, now: Instant, key: RunningKey, end: RunEnd) {
        let Some(run) = self.running.remove(key) else { return };
        if end == RunEnd::Answered {
            let took = now.saturating_duration_since(run.started_at);
            let slowness = (run.slowness + self.pace.at(now)) / 2.0;
            self.times.took(run.kind, took.div_f64(slowness.max(0.1)));
        }
        self.start_waiting(now);
    }

    /// Takes back a waiting request whose caller has left.
    ///
    /// Failure: its caller leaves between the decision that it runs and the `poll` that tells so;
    /// nobody would know of the run, and its slot would be lost for good.
    pub fn cancel(&mut self, now: Instant, key: WaitingKey) {
        self.waiting.remove(key);
        let of_key = |settled: &Settled| match settled {
            Settled::Run(waiting, _) | Settled::Refused(waiting, _) => *waiting == key,
        };
        let settled = self.settled.iter().position(of_key);
        if let Some(index) = settled
            && let Settled::Run(_, run) = self.settled.remove(index)
        {
            self.release(now, run, RunEnd::Other);
        }
    }

    /// Settles what has become due; each waiting request is told once.
    pub fn poll(&mut self, now: Instant) -> Vec<Settled> {
        self.refuse_hopeless(now);
        self.start_waiting(now);
        std::mem::take(&mut self.settled)
    }

    /// When `poll` must be called next, if nothing else happens before; always after `now`.
    ///
    /// Failure: the pace changes while a request waits, so that it was to be looked at by now and has
    /// hope all the same. Asked for the past, its caller looks again at once and again, and burns the
    /// processor for up to a tenth of a second, all that a daemon has on a tenth of a core.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let loses_hope_at = |waiting: &Waiting| {
            let work = waiting.work;
            let run_time = self.run_time(now, work.kind);
            let late_at = work.on_time_by.checked_sub(self.likely_run_time(now, work.kind));
            let late_at = late_at.filter(|late_at| *late_at > now);
            let hopeless_at = work.give_up_by.checked_sub(run_time).unwrap_or(work.give_up_by);
            late_at.map_or(hopeless_at, |late_at| late_at.min(hopeless_at))
        };
        let next = self.waiting.values().map(loses_hope_at).min()?;
        let has_slot = self.running.len() < self.limit();
        let starts_at = self.cold_rate.free_at(now).filter(|_| has_slot);
        let next = starts_at.map_or(next, |starts_at| starts_at.min(next));
        Some(next.max(now + LOOK_STEP))
    }

    /// Refuses all that waits and all that comes from now on; what runs goes on.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        let refused = self.refusal(now, RefusedReason::Leaving);
        for (key, _) in self.waiting.drain() {
            self.settled.push(Settled::Refused(key, refused));
        }
    }

    /// Takes work again after all.
    pub fn stay(&mut self) {
        self.is_leaving = false;
    }

    fn start(&mut self, now: Instant, kind: u64) -> RunningKey {
        self.cold_rate.handed_over(now);
        self.running.insert(Running { kind, started_at: now, slowness: self.pace.at(now) })
    }

    /// Whether a request that has to wait is answered while that is of use.
    fn fits(&self, now: Instant, work: &Work) -> Result<(), RefusedReason> {
        let likely_time = self.likely_run_time(now, work.kind);
        let arrived = order(work, self.goes_ahead(now, work.kind), now, likely_time);
        let ahead = self.waiting.values().filter(|other| self.order(other, now) <= arrived);
        let starts_at = now + self.wait_behind(now, ahead.count());
        if starts_at + self.run_time(now, work.kind) > work.give_up_by {
            return Err(RefusedReason::CannotEndInTime);
        }
        if self.waits_in_vain(now, work, starts_at + likely_time) {
            return Err(RefusedReason::TooLate);
        }
        Ok(())
    }

    /// Whether a request that would be answered at `done_at` is too late to wait for long.
    fn waits_in_vain(&self, now: Instant, work: &Work, done_at: Instant) -> bool {
        if done_at <= work.on_time_by || self.is_short(work.kind) {
            return false;
        }
        let wait = self.wait_behind(now, self.waiting.len());
        let left = work.give_up_by.saturating_duration_since(now);
        wait > left.mul_f64(LATE_WAIT_SHARE)
    }

    fn is_short(&self, kind: u64) -> bool {
        self.decisions.short_first && self.times.is_short(kind)
    }

    /// Whether work of `kind` goes before all that isn't short.
    ///
    /// Failure: a cold target gets so many requests a second, short ones or not, and those that are called for
    /// less urgent work take them all.
    fn goes_ahead(&self, now: Instant, kind: u64) -> bool {
        let is_bounded = self.decisions.cold_by_rank && self.cold_rate.interval(now).is_some();
        self.is_short(kind) && !is_bounded
    }

    /// Starts waiting requests while there is room.
    fn start_waiting(&mut self, now: Instant) {
        while self.running.len() < self.limit() && self.cold_rate.free_at(now).is_none() {
            let Some(key) = self.next(now) else { return };
            let Some(waiting) = self.waiting.remove(key) else { return };
            let run = self.start(now, waiting.work.kind);
            self.settled.push(Settled::Run(key, run));
        }
    }

    fn next(&self, now: Instant) -> Option<WaitingKey> {
        let order = |(_, waiting): &(WaitingKey, &Waiting)| self.order(waiting, now);
        self.waiting.iter().min_by_key(order).map(|(key, _)| key)
    }

    fn order(&self, waiting: &Waiting, now: Instant) -> Order {
        let work = &waiting.work;
        let likely_time = self.likely_run_time(now, work.kind);
        order(work, self.goes_ahead(now, work.kind), now, likely_time)
    }

    /// Turns away what waits without hope.
    ///
    /// What can't be answered any more would be held to its end, and its caller could not come back.
    /// What can't be on time any more is overtaken by all that still can: in an overload of seconds it
    /// waited for up to eight tenths of its time and was turned away then. Worth held to the end
    /// unserved, over 12 played days of high load: 1.4 % to 0.4 %.
    fn refuse_hopeless(&mut self, now: Instant) {
        let waiting = self.waiting.iter();
        let hopeless =
            waiting.filter_map(|(key, waiting)| Some((key, self.hopeless(now, waiting)?)));
        let hopeless: Vec<(WaitingKey, RefusedReason)> = hopeless.collect();
        for (key, reason) in hopeless {
            let refused = self.refusal(now, reason);
            self.waiting.remove(key);
            self.settled.push(Settled::Refused(key, refused));
        }
    }

    /// Why a waiting request has no hope, if it has none.
    fn hopeless(&self, now: Instant, waiting: &Waiting) -> Option<RefusedReason> {
        let done_at = now + self.run_time(now, waiting.work.kind);
        if done_at > waiting.work.give_up_by {
            return Some(RefusedReason::CannotEndInTime);
        }
        let likely_at = now + self.likely_run_time(now, waiting.work.kind);
        let is_in_vain = self.waits_in_vain(now, &waiting.work, likely_at);
        is_in_vain.then_some(RefusedReason::TooLate)
    }

    fn refused(&self, now: Instant, reason: RefusedReason) -> Offered {
        Offered::Refused(self.refusal(now, reason))
    }

    fn refusal(&self, now: Instant, reason: RefusedReason) -> Refused {
        let drained = self.wait_behind(now, self.waiting.len());
        // While it is cold most of its usual load is refused, and has room only after that.
        let drained = drained.max(self.cold_rate.cold_for(now));
        Refused { reason, retry_after: drained.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
    }
}
