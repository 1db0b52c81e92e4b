//! Requests to a target that announces a rate limit.

use std::time::{Duration, Instant};

use super::{
    QueueRefusalReason, RETRY_AFTER_MAX, WaitResult, WaitingKey, WorkQueue, WorkRequest,
    waiting::{PriorityKey, WaitingRequest},
};

impl WorkQueue {
    /// Returns whether a slot is free. Of a target that hasn't been queried for a limit yet only one
    /// is used.
    pub(super) fn has_free_slot(&self) -> bool {
        let is_unchecked = self.rate_limit.is_unchecked();
        self.running.len() < if is_unchecked { 1 } else { self.limit() }
    }

    /// Returns whether the rate limit leaves no room for a request that arrives now. Requests that
    /// wait for the limit go first.
    pub(super) fn is_rate_limited(&self, now: Instant) -> bool {
        let limit = &self.rate_limit;
        limit.rate().is_some()
            && (!self.waiting.is_empty() || limit.next_dispatch_at(now).is_some())
    }

    /// Returns whether the rate limit lets a request that `ahead` others precede meet its soft
    /// deadline; always true without a limit.
    pub(super) fn has_turn_in_time(
        &self,
        now: Instant,
        request: &WorkRequest,
        ahead: usize,
    ) -> bool {
        if self.rate_limit.rate().is_none() {
            return true;
        }
        let upper_time = self.upper_service_time(now, request.kind);
        let turn_at = self.rate_limit.turn_at(now, ahead);
        turn_at.is_some_and(|turn_at| turn_at + upper_time <= request.soft_deadline)
    }

    /// Returns the time until the rate limit has room for a request behind all that wait; zero
    /// without a limit.
    pub fn rate_limit_turn_in(&self, now: Instant) -> Duration {
        match self.rate_limit.turn_at(now, self.waiting.len()) {
            Some(turn_at) => turn_at.saturating_duration_since(now),
            None => RETRY_AFTER_MAX,
        }
    }

    /// Rejects the waiting requests that have no turn in time under the rate limit: the limit fell
    /// or more urgent requests arrived since.
    pub(super) fn refuse_rate_limited(&mut self, now: Instant) {
        if self.rate_limit.rate().is_none() || self.waiting.is_empty() {
            return;
        }
        let priority = |(key, waiting): (WaitingKey, &WaitingRequest)| {
            (self.priority_of(&waiting.request, now), key)
        };
        let mut order: Vec<(PriorityKey, WaitingKey)> = self.waiting.iter().map(priority).collect();
        order.sort_unstable_by_key(|(priority, _)| *priority);
        let mut ahead = 0;
        for (_, key) in order {
            let Some(waiting) = self.waiting.get(key) else { continue };
            if self.has_turn_in_time(now, &waiting.request, ahead) {
                ahead += 1;
                continue;
            }
            self.remove_refused(key);
            let refusal = self.refusal(now, QueueRefusalReason::RateLimited);
            self.finished_waits.push(WaitResult::Refused(key, refusal));
        }
    }
}
