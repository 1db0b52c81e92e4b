//! Who may wait at a gate, for how long, and what is told to those who may not.

use std::time::{Duration, Instant};

use super::{Admission, Offer, Refusal, RefusalReason, WaitKey, WaitOutcome, queue::Waiting};

/// Longest pause told to a refused caller.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Time after which a queue that was never empty counts as standing.
pub const STANDING_AFTER: Duration = Duration::from_millis(250);

/// Longest wait in a standing queue, in times of service.
pub const STANDING_WAIT_SERVICES: u32 = 3;

/// When a waiting request is refused at the latest, and why.
#[derive(Clone, Copy, Debug)]
pub(super) struct GiveUp {
    at: Instant,
    is_for_deadline: bool,
}

impl Admission {
    /// Refuses what has waited as long as it may.
    pub(super) fn refuse_overdue(&mut self, now: Instant) {
        for (key, waiting) in self.queue.take_overdue(now) {
            let is_deadline = waiting.gives_up_for_deadline;
            let reason = match is_deadline {
                true => RefusalReason::DeadlineClose,
                false => RefusalReason::WaitTooLong,
            };
            let refusal = self.refusal(reason, waiting.offer.route);
            self.finished_waits.push(WaitOutcome::Refused(key, refusal));
        }
    }

    /// Lets a request wait.
    pub(super) fn enqueue(&mut self, now: Instant, offer: Offer, give_up: GiveUp) -> WaitKey {
        if self.queue.len() >= usize::from(self.config.limits.queue_length_max) {
            self.evict_latest();
        }
        let waiting = Waiting {
            offer,
            give_up_at: give_up.at,
            gives_up_for_deadline: give_up.is_for_deadline,
        };
        let callers = self.queue.callers() + 1;
        let turn = self.service_times.mean().mul_f64(callers as f64 / self.limit.get() as f64);
        self.queue.push(now, waiting, turn)
    }

    /// Whether a request may wait, and until when.
    pub(super) fn give_up_at(&self, now: Instant, offer: &Offer) -> Result<GiveUp, RefusalReason> {
        self.check_queue_shares(offer)?;
        let service = self.service_times.usual(offer.route);
        let wait = self.expected_wait(offer);
        let left = offer.deadline.saturating_duration_since(now).saturating_sub(service);
        if wait > left {
            return Err(RefusalReason::DeadlineClose);
        }
        let wait_max = self.wait_max(now);
        if wait > wait_max {
            return Err(RefusalReason::WaitTooLong);
        }
        Ok(GiveUp { at: now + left.min(wait_max), is_for_deadline: left < wait_max })
    }

    /// Longest wait: what the rules allow while a burst passes, little once the queue stands.
    ///
    /// A queue that absorbs a burst is empty again soon. One that stays is a sign of more load
    /// than the target can do, and a longer queue then only makes every answer later.
    fn wait_max(&self, now: Instant) -> Duration {
        let rules_max = Duration::from_millis(u64::from(self.config.limits.queue_wait_max_ms));
        if self.queue.is_standing(now, STANDING_AFTER) {
            rules_max.min(self.service_times.mean() * STANDING_WAIT_SERVICES)
        } else {
            rules_max
        }
    }

    fn check_queue_shares(&self, offer: &Offer) -> Result<(), RefusalReason> {
        let length_max = usize::from(self.config.limits.queue_length_max);
        if length_max == 0 {
            return Err(RefusalReason::QueueFull);
        }
        let route_percent = self.route_percent(offer.route);
        let route_max = share_of(length_max, route_percent);
        if route_percent < 100 && self.queue.route_len(offer.route) >= route_max {
            return Err(RefusalReason::RouteShare);
        }
        let own = self.queue.caller_len(offer.caller);
        let others_wait = self.queue.len() > own;
        let caller_max = share_of(length_max, self.config.limits.caller_share_percent);
        if others_wait && own >= caller_max {
            return Err(RefusalReason::CallerShare);
        }
        let is_full = self.queue.len() >= length_max;
        if is_full && self.queue.longest_caller().is_none_or(|(_, count)| count <= own + 1) {
            return Err(RefusalReason::QueueFull);
        }
        Ok(())
    }

    /// Makes room in a full queue: the caller with most waiting loses its latest request.
    ///
    /// The failure is a caller that fills the queue first; everyone else would be refused for as
    /// long as it goes on.
    fn evict_latest(&mut self) {
        let Some((caller, _)) = self.queue.longest_caller() else { return };
        let Some((key, waiting)) = self.queue.take_latest_of(caller) else { return };
        let refusal = self.refusal(RefusalReason::CallerShare, waiting.offer.route);
        self.finished_waits.push(WaitOutcome::Refused(key, refusal));
    }

    /// Time until a newcomer would run: what is served before it, at the rate of the slots.
    fn expected_wait(&self, offer: &Offer) -> Duration {
        let ahead = self.queue.requests_ahead_of(offer.caller);
        let limit = self.limit.get().max(1);
        self.service_times.mean().mul_f64((ahead + 1) as f64 / limit as f64)
    }

    pub(super) fn refusal(&self, reason: RefusalReason, route: usize) -> Refusal {
        let slots = match reason {
            RefusalReason::RouteShare => self.route_slots(route).min(self.limit.get()),
            _ => self.limit.get(),
        };
        let queued = match reason {
            RefusalReason::RouteShare => self.queue.route_len(route),
            _ => self.queue.len(),
        };
        let drain =
            self.service_times.usual(route).mul_f64((queued + 1) as f64 / slots.max(1) as f64);
        Refusal { reason, retry_after: drain.min(RETRY_AFTER_MAX) }
    }

    fn route_percent(&self, route: usize) -> u8 {
        self.config.routes.get(route).map_or(100, |share| share.slot_share_percent)
    }

    pub(super) fn route_slots(&self, route: usize) -> usize {
        share_of(usize::from(self.config.slots), self.route_percent(route))
    }
}

/// A share of a whole, rounded up and at least one.
fn share_of(whole: usize, percent: u8) -> usize {
    (whole * usize::from(percent)).div_ceil(100).max(1)
}
