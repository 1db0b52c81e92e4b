//! Request queue of one gate: what runs at once, what waits in which order, and what is rejected.
//!
//! Used for routed calls.
//!
//! It is made for bursts on targets that slow down when they are full: with more than four fifths
//! of its slots in use a target takes 1.7 times as long for everything, so filling it up completes
//! fewer requests. Requests beyond that wait here, where they can still be rejected without having
//! run and the most urgent one goes first. A request that can't complete before its deadline is
//! rejected at once, with the time after which there is room. A request that can't meet its soft
//! deadline yields to all that still can; otherwise a burst of two seconds would make responses
//! late long after it has ended.
//!
//! Many requests of a service are calls made on behalf of requests of other services, and are short
//! compared with the rest. Rejecting or delaying one wastes the work of its parent request, whereas
//! admitting it first delays the others little. So short requests go first and may wait until their
//! deadline. A cold target is limited by the number of requests rather than by their time, so it
//! gets the most urgent ones first.
//!
//! A target that announces a rate limit gets no more than that. A request beyond the limit waits
//! only if its turn comes in time for its soft deadline; all others are rejected at once, with the
//! time of their turn.
//!
//! Requests of organisations are also ordered by the rank and the fair share of their organisation,
//! see `fair_share`. The order decides on rejections too, since a request is rejected by what is
//! ahead of it, so an organisation over its share is rejected first.

mod decision;
mod estimates;
mod fair_share;
mod rate_limited;
mod request;
mod service_times;
mod unservable;
mod waiting;

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};
use yuccarack_config::decisions::FeatureSwitches;

pub use self::{
    decision::{QueueDecision, QueueRefusal, QueueRefusalReason, WaitResult},
    request::{OrganisationShare, WorkOutcome, WorkRequest},
};
use self::{
    fair_share::FairShares,
    service_times::ServiceTimeEstimates,
    waiting::{PriorityKey, WaitingRequest, priority_key},
};
use crate::{cold_rate::ColdRate, rate_limit::RateLimit, slowdown::SlowdownEstimate};

new_key_type! {
    /// Key of a running request; it must be released exactly once.
    pub struct RunningKey;
    /// Key of a waiting request.
    pub struct WaitingKey;
}

/// Largest share of a target's slots that are used.
///
/// Above it a target of 8 or 9 slots is 1.7 times slower, which costs more responses than the added
/// slots bring: 7 slots at full speed against 9 / 1.7 = 5.3.
pub const SLOT_UTILIZATION_MAX: f64 = 0.8;

/// Slowdown from which a request that could go to another target is passed on.
///
/// Targets slow down fourfold at worst; at threefold another attempt costs less than the slow run.
pub const PASS_ON_SLOWDOWN: f64 = 3.0;

/// Longest time after which a caller is asked to retry; a burst is over by then.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// Shortest time after which a caller is asked to retry; earlier it would meet the same queue.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Largest share of its remaining time that a request may wait that can't meet its soft deadline.
///
/// Every request that still can overtakes it, so a long queue would hold it until its deadline
/// without running it. Rejected at once, it can come back when there is room.
const LATE_WAIT_SHARE_MAX: f64 = 0.1;

/// Share of the time to the soft deadline that is assumed as service time of a kind until a request
/// of that kind has completed here.
///
/// After a power loss no gate knows any service time. With too low a guess each gate would queue
/// several times as many requests as it can serve in time, and all of them would be late.
const ASSUMED_SERVICE_SHARE: f64 = 1.0 / 3.0;

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    kind: u64,
    started_at: Instant,
    slowdown: f64,
}

/// Queue of one gate and its target.
#[derive(Clone, Debug)]
pub struct WorkQueue {
    slots: u16,
    running: SlotMap<RunningKey, RunningRequest>,
    waiting: SlotMap<WaitingKey, WaitingRequest>,
    service_times: ServiceTimeEstimates,
    slowdown: SlowdownEstimate,
    cold_rate: ColdRate,
    rate_limit: RateLimit,
    fair_shares: FairShares,
    finished_waits: Vec<WaitResult>,
    is_draining: bool,
    refuses_behind_overdue: bool,
    decisions: FeatureSwitches,
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
            rate_limit: RateLimit::new(),
            fair_shares: FairShares::new(),
            finished_waits: Vec::new(),
            is_draining: false,
            refuses_behind_overdue: false,
            decisions: FeatureSwitches::default(),
        }
    }

    /// Sets which of the optional decisions are in use.
    pub fn with_decisions(mut self, decisions: FeatureSwitches) -> Self {
        self.decisions = decisions;
        self.cold_rate = self.cold_rate.with_spread(decisions.cold_spread);
        self
    }

    /// Replaces the rate limit for the time that the target may be cold.
    pub fn with_cold_rate(mut self, cold_rate: ColdRate) -> Self {
        self.cold_rate = cold_rate.with_spread(self.decisions.cold_spread);
        self
    }

    /// Replaces the rate limit that the target announces.
    pub fn with_rate_limit(mut self, rate_limit: RateLimit) -> Self {
        self.rate_limit = rate_limit;
        self
    }

    /// Sets the number of slots that the target announces, and starts waiting requests if it grew.
    pub fn set_slots(&mut self, now: Instant, slots: u16) {
        self.slots = slots;
        self.start_waiting(now);
    }

    /// Returns the rate limit for the time that the target may be cold.
    pub fn cold_rate(&self) -> &ColdRate {
        &self.cold_rate
    }

    /// Returns the same rate limit, for recording what is known about the target.
    pub fn cold_rate_mut(&mut self) -> &mut ColdRate {
        &mut self.cold_rate
    }

    /// Returns the rate limit that the target announces.
    pub fn rate_limit(&self) -> &RateLimit {
        &self.rate_limit
    }

    /// Returns the same rate limit, for recording what the target announces.
    pub fn rate_limit_mut(&mut self) -> &mut RateLimit {
        &mut self.rate_limit
    }

    /// Records a slowdown that the target reported; 1.0 is the usual service time.
    pub fn record_slowdown(&mut self, now: Instant, slowdown: f64) {
        self.slowdown.record(now, slowdown);
    }

    /// Returns the estimate of the target's slowdown.
    pub fn slowdown(&self) -> &SlowdownEstimate {
        &self.slowdown
    }

    /// Returns the largest number of requests that run at once.
    pub fn limit(&self) -> usize {
        ((f64::from(self.slots) * SLOT_UTILIZATION_MAX) as usize).max(1)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the mean service time over all kinds, without slowdown.
    pub fn mean_service_time(&self) -> Duration {
        self.service_times.mean()
    }

    /// Decides on a request that arrives.
    pub fn offer(&mut self, now: Instant, request: WorkRequest) -> QueueDecision {
        if self.is_draining {
            return self.refused(now, QueueRefusalReason::Draining);
        }
        if request.deadline <= now {
            return self.refused(now, QueueRefusalReason::CannotEndInTime);
        }
        if let Some(soft_time_left) = request.soft_deadline.checked_duration_since(now) {
            self.service_times.assume(request.kind, soft_time_left.mul_f64(ASSUMED_SERVICE_SHARE));
        }
        let has_slot = self.has_free_slot();
        let is_limited = self.is_rate_limited(now);
        let has_room = has_slot && !is_limited && self.cold_rate.next_dispatch_at(now).is_none();
        let may_pass_on = self.decisions.slow_passed_over && !request.may_wait;
        if has_room && may_pass_on && self.slowdown.at(now) >= PASS_ON_SLOWDOWN {
            return self.refused(now, QueueRefusalReason::Slow);
        }
        let service_time = self.service_time(now, request.kind);
        if has_room {
            self.fair_shares.record_demand(now, request.organisation, service_time);
            return QueueDecision::Run(self.start(now, &request, service_time));
        }
        if !request.may_wait {
            let reason = match (has_slot, is_limited) {
                (_, true) => QueueRefusalReason::RateLimited,
                (true, false) => QueueRefusalReason::Cold,
                (false, false) => QueueRefusalReason::Full,
            };
            return self.refused(now, reason);
        }
        self.fair_shares.record_demand(now, request.organisation, service_time);
        if let Err(reason) = self.check_wait(now, &request) {
            self.fair_shares.record_refusal(request.organisation);
            return self.refused(now, reason);
        }
        let key = self.waiting.insert(WaitingRequest { request, service_time });
        // Requests that it overtakes may have no turn in time any more.
        self.refuse_rate_limited(now);
        QueueDecision::Wait(key)
    }

    /// Ends a run, which may start waiting requests; `poll` returns these.
    pub fn release(&mut self, now: Instant, key: RunningKey, outcome: WorkOutcome) {
        let Some(run) = self.running.remove(key) else { return };
        if outcome == WorkOutcome::Completed {
            let service_time = now.saturating_duration_since(run.started_at);
            let slowdown = (run.slowdown + self.slowdown.at(now)) / 2.0;
            self.service_times.record(run.kind, service_time.div_f64(slowdown.max(0.1)));
        }
        self.start_waiting(now);
    }

    /// Withdraws a waiting request whose caller has disconnected.
    ///
    /// The caller may disconnect between the decision to run the request and the `poll` that
    /// returns it. The run is then released here, since nobody else knows of it and its slot would
    /// be lost for good.
    pub fn cancel(&mut self, now: Instant, key: WaitingKey) {
        self.waiting.remove(key);
        let is_for_key = |result: &WaitResult| match result {
            WaitResult::Run(waiting, _) | WaitResult::Refused(waiting, _) => *waiting == key,
        };
        let position = self.finished_waits.iter().position(is_for_key);
        if let Some(index) = position
            && let WaitResult::Run(_, run) = self.finished_waits.remove(index)
        {
            self.release(now, run, WorkOutcome::Aborted);
        }
    }

    /// Updates the queue and returns the waits that have ended; each is returned once.
    pub fn poll(&mut self, now: Instant) -> Vec<WaitResult> {
        self.fair_shares.update(now);
        self.refuse_unservable(now);
        self.refuse_rate_limited(now);
        self.start_waiting(now);
        std::mem::take(&mut self.finished_waits)
    }

    /// Rejects all waiting and all new requests; running ones continue.
    pub fn start_draining(&mut self, now: Instant) {
        self.is_draining = true;
        let refusal = self.refusal(now, QueueRefusalReason::Draining);
        for (key, _) in self.waiting.drain() {
            self.finished_waits.push(WaitResult::Refused(key, refusal));
        }
    }

    /// Returns whether all requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Accepts requests again.
    pub fn stop_draining(&mut self) {
        self.is_draining = false;
    }

    fn start(&mut self, now: Instant, request: &WorkRequest, service_time: Duration) -> RunningKey {
        self.fair_shares.record_run(request.organisation, service_time);
        self.cold_rate.record_dispatch(now);
        self.rate_limit.record_dispatch(now);
        self.running.insert(RunningRequest {
            kind: request.kind,
            started_at: now,
            slowdown: self.slowdown.at(now),
        })
    }

    /// Checks whether a request that has to wait can still be answered in time to be of use.
    fn check_wait(&self, now: Instant, request: &WorkRequest) -> Result<(), QueueRefusalReason> {
        let upper_time = self.upper_service_time(now, request.kind);
        let arrived = self.priority_of(request, now);
        let others = self.waiting.values();
        let ahead = others.filter(|other| self.priority_of(&other.request, now) <= arrived);
        let ahead = ahead.count();
        if !self.has_turn_in_time(now, request, ahead) {
            return Err(QueueRefusalReason::RateLimited);
        }
        let starts_at = now + self.estimated_wait(now, ahead);
        let starts_at = self.overdue_slot_free_at(now).map_or(starts_at, |at| at.max(starts_at));
        if starts_at + self.service_time(now, request.kind) > request.deadline {
            return Err(QueueRefusalReason::CannotEndInTime);
        }
        if self.is_too_late_to_wait(now, request, starts_at + upper_time) {
            return Err(QueueRefusalReason::TooLate);
        }
        Ok(())
    }

    /// Returns whether a request that would complete at `done_at` is too late to wait for long.
    fn is_too_late_to_wait(&self, now: Instant, request: &WorkRequest, done_at: Instant) -> bool {
        if done_at <= request.soft_deadline || self.is_short(request.kind) {
            return false;
        }
        let wait = self.estimated_wait(now, self.waiting.len());
        let time_left = request.deadline.saturating_duration_since(now);
        wait > time_left.mul_f64(LATE_WAIT_SHARE_MAX)
    }

    fn is_short(&self, kind: u64) -> bool {
        self.decisions.short_first && self.service_times.is_short(kind)
    }

    /// Returns whether requests of `kind` go before all that aren't short.
    ///
    /// Not on a cold or limited target: that gets a fixed number of requests a second whatever their
    /// length, and short requests on behalf of less urgent ones would take them all.
    fn is_expedited(&self, now: Instant, kind: u64) -> bool {
        let is_bounded = self.decisions.cold_by_rank && self.dispatch_interval(now).is_some();
        self.is_short(kind) && !is_bounded
    }

    /// Starts waiting requests while there is room.
    fn start_waiting(&mut self, now: Instant) {
        while self.has_free_slot()
            && self.cold_rate.next_dispatch_at(now).is_none()
            && self.rate_limit.next_dispatch_at(now).is_none()
        {
            let Some(key) = self.next_waiting(now) else { return };
            let Some(waiting) = self.waiting.remove(key) else { return };
            let run = self.start(now, &waiting.request, waiting.service_time);
            self.finished_waits.push(WaitResult::Run(key, run));
        }
    }

    fn next_waiting(&self, now: Instant) -> Option<WaitingKey> {
        let order =
            |(_, waiting): &(WaitingKey, &WaitingRequest)| self.priority_of(&waiting.request, now);
        self.waiting.iter().min_by_key(order).map(|(key, _)| key)
    }

    fn priority_of(&self, request: &WorkRequest, now: Instant) -> PriorityKey {
        let upper_time = self.upper_service_time(now, request.kind);
        let standing = self.fair_shares.standing(request.organisation);
        priority_key(request, standing, self.is_expedited(now, request.kind), now, upper_time)
    }

    fn remove_refused(&mut self, key: WaitingKey) {
        if let Some(waiting) = self.waiting.remove(key) {
            self.fair_shares.record_refusal(waiting.request.organisation);
        }
    }

    fn refused(&self, now: Instant, reason: QueueRefusalReason) -> QueueDecision {
        QueueDecision::Refused(self.refusal(now, reason))
    }

    fn refusal(&self, now: Instant, reason: QueueRefusalReason) -> QueueRefusal {
        let room_in = self.estimated_wait(now, self.waiting.len());
        // A cold target rejects most of its usual load and has room only once it is warm.
        let room_in = room_in.max(self.cold_rate.cold_time_left(now));
        let slot_free_at = self.overdue_slot_free_at(now).unwrap_or(now);
        let room_in = room_in.max(slot_free_at.saturating_duration_since(now));
        let retry_after = room_in.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        QueueRefusal { reason, retry_after: retry_after.max(self.rate_limit_turn_in(now)) }
    }
}
