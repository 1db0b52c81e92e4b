//! Sends one attempt to a gate and classifies its result for the retry policy and the gate choice.

use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use yuccarack_config::{headers, ids::AttemptId, load::LoadReport};
use yuccarack_policy::{
    choice::{TargetAttemptOutcome, TargetKey},
    retry::AttemptFailure,
};

use super::{
    Entry,
    outcome_tracker::OutcomeTracker,
    service::{ChosenGate, EntryService},
};
use crate::{
    coordination::gate::call::GateCall,
    protocol::{
        body::CallBody,
        call::CallHead,
        refusal::{Outcome, Reason, Refusal},
    },
    state::call_log::CallEvent,
    transport::{connection::SendError, upstream::Freshness},
};

/// An attempt that failed or was refused, after which the retry policy decides.
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Whether another attempt is safe even for a request that must not repeat, as a gate has to
    /// claim its key first.
    pub is_guarded: bool,
    /// Response or refusal for the caller if no further attempt is made.
    pub response: Result<Response<CallBody>, Refusal>,
}

/// An attempt that is ready to be sent.
pub struct PreparedAttempt {
    /// Gate that the attempt goes to.
    pub chosen: ChosenGate,
    /// ID of the attempt.
    pub attempt: AttemptId,
    /// Request as sent to the gate.
    pub request: Request<CallBody>,
}

/// Sends attempts of one call. It is separate from `Attempts` so that two can run at once.
pub struct AttemptSender<'a> {
    /// Entry that the call arrived at.
    pub entry: &'a Entry,
    /// Service that the call goes to.
    pub service: &'a EntryService,
    /// Outcome of the call over all its attempts.
    pub tracker: &'a OutcomeTracker,
    /// Metadata from the call's head.
    pub head: CallHead,
    /// Time at which the caller gives up.
    pub deadline: Instant,
}

impl AttemptSender<'_> {
    /// Sends one attempt. Dropping the future cancels the attempt at its gate.
    ///
    /// # Errors
    ///
    /// Returns the failed attempt with its response or refusal.
    pub async fn send(
        &self,
        prepared: PreparedAttempt,
    ) -> Result<Response<CallBody>, Box<FailedAttempt>> {
        let mut record = AttemptRecord::new(self.service, &prepared.chosen);
        self.tracker.record_sent();
        let result = if prepared.chosen.instance == self.entry.parts.instance {
            Ok(self.send_local(prepared.attempt, prepared.request).await)
        } else {
            let address = prepared.chosen.address;
            self.entry.parts.upstream.send(address, prepared.request, Freshness::Kept).await
        };
        match result {
            Ok(response) => self.classify_response(response, &mut record),
            Err(error) => Err(Box::new(self.classify_send_error(&error, &mut record))),
        }
    }

    async fn send_local(
        &self,
        attempt: AttemptId,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let (parts, body) = request.into_parts();
        let head = self.head.clone();
        let call = GateCall { head, attempt, deadline: self.deadline, parts, body };
        self.entry.parts.gate.handle(call).await
    }

    fn classify_response(
        &self,
        response: Response<CallBody>,
        record: &mut AttemptRecord<'_>,
    ) -> Result<Response<CallBody>, Box<FailedAttempt>> {
        let load = parse_load(&response);
        self.note_rules_revision(&response);
        let outcome = Outcome::from_headers(response.headers());
        self.log_event(CallEvent::answered(
            &record.instance,
            response.status(),
            record.elapsed(),
            &response,
        ));
        let failure = match outcome {
            Some(Outcome::NotRun) => {
                self.tracker.record_not_run();
                record.finish(TargetAttemptOutcome::Refused, load);
                AttemptFailure::RefusedNotRun
            }
            Some(Outcome::Unknown) => {
                record.finish(TargetAttemptOutcome::Broken, load);
                AttemptFailure::BrokenUnknown
            }
            None if response.status().is_server_error() => {
                record.finish(
                    TargetAttemptOutcome::TargetFailed { response_time: record.elapsed() },
                    load,
                );
                AttemptFailure::TargetError
            }
            None | Some(Outcome::Run) => {
                record.finish(
                    TargetAttemptOutcome::Answered { response_time: record.elapsed() },
                    load,
                );
                return Ok(response);
            }
        };
        if is_final(&response) {
            return Ok(response);
        }
        Err(Box::new(FailedAttempt { failure, is_guarded: false, response: Ok(response) }))
    }

    /// Classifies an attempt whose connection failed.
    ///
    /// Another attempt is safe even for a request that must not repeat: a gate has to claim its key
    /// first, and only one gate can.
    fn classify_send_error(
        &self,
        error: &SendError,
        record: &mut AttemptRecord<'_>,
    ) -> FailedAttempt {
        record.finish(TargetAttemptOutcome::Broken, None);
        let counters = &self.entry.parts.counters;
        if error.is_not_sent() {
            self.tracker.record_not_run();
            counters.add("entry.gate_unreachable");
            let refusal = Refusal::not_run(Reason::Unreachable);
            let failure = AttemptFailure::BrokenNotRun;
            return FailedAttempt { failure, is_guarded: true, response: Err(refusal) };
        }
        counters.add("entry.gate_link_broken");
        let refusal = Refusal::unknown(Reason::Broken);
        FailedAttempt {
            failure: AttemptFailure::BrokenUnknown,
            is_guarded: true,
            response: Err(refusal),
        }
    }

    fn note_rules_revision(&self, response: &Response<CallBody>) {
        let revision = response.headers().get(headers::RULES_REVISION);
        let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(revision) = revision {
            self.entry.parts.directory.note_rules_revision(&self.head.service, revision);
        }
    }

    fn log_event(&self, event: CallEvent) {
        self.entry.parts.call_log.note(self.head.request_id, event);
    }
}

/// A running attempt, whose end is reported to the service; dropped unfinished, it is reported as
/// cancelled.
struct AttemptRecord<'a> {
    service: &'a EntryService,
    key: Option<TargetKey>,
    instance: String,
    started_at: Instant,
}

impl<'a> AttemptRecord<'a> {
    fn new(service: &'a EntryService, chosen: &ChosenGate) -> Self {
        let instance = chosen.instance.clone();
        Self { service, key: Some(chosen.key), instance, started_at: Instant::now() }
    }

    fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn finish(&mut self, end: TargetAttemptOutcome, load: Option<LoadReport>) {
        if let Some(key) = self.key.take() {
            self.service.record_attempt_end(Instant::now(), key, end, load);
        }
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        self.finish(TargetAttemptOutcome::Cancelled, None);
    }
}

/// Returns whether no further attempt is made after `response`, as every gate would respond alike
/// or another attempt would do harm.
///
/// A suspect isn't retried here because it could crash the next target as well.
fn is_final(response: &Response<CallBody>) -> bool {
    let reason = response.headers().get(headers::REASON).map(|value| value.as_bytes());
    let is_final_reason = matches!(
        reason,
        Some(
            b"target_died"
                | b"in_progress"
                | b"key_reused"
                | b"quarantined"
                | b"on_trial"
                | b"no_idempotency_key"
                | b"unknown_route"
                | b"store_away"
                | b"caller_body_cut"
                | b"deadline_passed"
        )
    );
    is_final_reason || response.status() == StatusCode::NOT_IMPLEMENTED
}

fn parse_load(response: &Response<CallBody>) -> Option<LoadReport> {
    response.headers().get(headers::LOAD)?.to_str().ok()?.parse().ok()
}
