//! Makes the attempts of one call: the first one, retries and hedges.

use std::time::Instant;

use http::Response;
use tokio::time::sleep;
use yuccarack_policy::{
    choice::TargetKey,
    retry::{RetryCandidate, RetryDecision},
};

use super::{
    Entry,
    attempt_sender::{AttemptSender, FailedAttempt, PreparedAttempt},
    call::EntryCall,
    outcome_tracker::OutcomeTracker,
    service::EntryService,
};
use crate::{
    protocol::{
        body::CallBody,
        refusal::{Reason, Refusal},
    },
    state::call_log::CallEvent,
};

/// All attempts of one call.
pub struct Attempts<'a> {
    entry: &'a Entry,
    call: EntryCall,
    service: &'a EntryService,
    tracker: &'a OutcomeTracker,
    attempted: Vec<TargetKey>,
}

impl<'a> Attempts<'a> {
    /// Prepares the attempts of `call`; `tracker` records which of them may have run.
    pub fn new(
        entry: &'a Entry,
        call: EntryCall,
        service: &'a EntryService,
        tracker: &'a OutcomeTracker,
    ) -> Self {
        Self { entry, call, service, tracker, attempted: Vec::new() }
    }

    /// Makes attempts until one succeeds or the retry policy gives up.
    ///
    /// # Errors
    ///
    /// Returns the last refusal, whose outcome holds for its own attempt only.
    pub async fn run(mut self) -> Result<Response<CallBody>, Refusal> {
        let mut last_failure: Option<Box<FailedAttempt>> = None;
        for number in 1..=u8::MAX {
            let prepared = match self.prepare_attempt() {
                Ok(prepared) => prepared,
                // Without a gate left, the last gate's response says more than the refusal.
                Err(refusal) => return last_failure.map_or(Err(refusal), |failed| failed.response),
            };
            let failed = match self.send_hedged(prepared).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            if !self.decide_retry(number, &failed) {
                return failed.response;
            }
            last_failure = Some(failed);
        }
        last_failure.map_or(Err(Refusal::not_run(Reason::NoTarget)), |failed| failed.response)
    }

    fn prepare_attempt(&mut self) -> Result<PreparedAttempt, Refusal> {
        let chosen =
            self.service.start_attempt(Instant::now(), &self.attempted).map_err(|reason| {
                self.entry.parts.counters.add_reason("choice.refused", reason.as_str());
                Refusal::not_run(Reason::NoTarget).with_retry_after(super::LOOKUP_RETRY_AFTER)
            })?;
        self.attempted.push(chosen.key);
        self.log_event(CallEvent::chosen(&chosen.instance, &chosen.candidates));
        let (attempt, request) = self.call.next_attempt();
        Ok(PreparedAttempt { chosen, attempt, request })
    }

    fn decide_retry(&self, number: u8, failed: &FailedAttempt) -> bool {
        let ended_attempt = RetryCandidate {
            number,
            deadline: self.call.deadline,
            failure: failed.failure,
            repeatable: self.call.is_repeatable || failed.is_guarded,
            depth: self.call.head.depth,
        };
        let counters = &self.entry.parts.counters;
        if !self.call.can_be_sent() {
            counters.add_reason("retry.gave_up", "body_not_kept");
            return false;
        }
        match self.service.decide_retry(Instant::now(), ended_attempt) {
            RetryDecision::Again { reason } => {
                counters.add_reason("retry.again", reason.as_str());
                self.log_event(CallEvent::retried(reason.as_str()));
                true
            }
            RetryDecision::GiveUp { reason } => {
                counters.add_reason("retry.gave_up", reason.as_str());
                self.log_event(CallEvent::gave_up(reason.as_str()));
                false
            }
        }
    }

    /// Sends an attempt, and a hedge to a second gate if the first one is slow and the hedge budget
    /// allows it.
    async fn send_hedged(
        &mut self,
        prepared: PreparedAttempt,
    ) -> Result<Response<CallBody>, Box<FailedAttempt>> {
        let delay = match self.service.hedge_delay(Instant::now()) {
            Some(delay) if self.call.can_be_hedged() => delay,
            _ => return self.sender().send(prepared).await,
        };
        let sender = self.sender();
        let mut first = Box::pin(sender.send(prepared));
        tokio::select! {
            biased;
            result = &mut first => return result,
            () = sleep(delay) => {}
        }
        let Some(second) = self.prepare_hedge() else {
            return first.await;
        };
        let mut second = Box::pin(sender.send(second));
        let (result, is_first) = tokio::select! {
            result = &mut first => (result, true),
            result = &mut second => (result, false),
        };
        match result {
            // The other attempt is dropped, which cancels it at its gate.
            Ok(response) => {
                let winner = if is_first { "first_won" } else { "second_won" };
                self.entry.parts.counters.add_reason("hedge", winner);
                Ok(response)
            }
            Err(_) if is_first => second.await,
            Err(_) => first.await,
        }
    }

    fn prepare_hedge(&mut self) -> Option<PreparedAttempt> {
        let counters = &self.entry.parts.counters;
        if !self.service.spend_hedge(Instant::now()) {
            counters.add_reason("hedge", "budget_spent");
            return None;
        }
        counters.add_reason("hedge", "sent");
        let prepared = self.prepare_attempt().ok()?;
        self.log_event(CallEvent::hedged(&prepared.chosen.instance));
        Some(prepared)
    }

    fn sender(&self) -> AttemptSender<'a> {
        AttemptSender {
            entry: self.entry,
            service: self.service,
            tracker: self.tracker,
            head: self.call.head.clone(),
            deadline: self.call.deadline,
        }
    }

    fn log_event(&self, event: CallEvent) {
        self.entry.parts.call_log.note(self.call.head.request_id, event);
    }
}
