//! One try on its way to a gate, and what its end says of call and gate.

use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use yuccarack_config::{headers, ids::AttemptId, load::LoadReport};
use yuccarack_policy::{
    choice::{CallEnd, TargetKey},
    retry::TryFailure,
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

/// A try that brought no answer worth passing on at once.
pub struct FailedAttempt {
    /// How it ended.
    pub failure: TryFailure,
    /// Whether the claim at the gates guards a further try even of a request that must not repeat.
    pub is_guarded: bool,
    /// What the caller gets if no further try is made.
    pub response: Result<Response<CallBody>, Refusal>,
}

/// A try that is to be sent.
pub struct PreparedAttempt {
    /// Where to.
    pub chosen: ChosenGate,
    /// Its name.
    pub attempt: AttemptId,
    /// What the gate gets.
    pub request: Request<CallBody>,
}

/// Sends tries of one call; apart from the tries themselves so that two can be on their way at once.
pub struct AttemptSender<'a> {
    /// The entry.
    pub entry: &'a Entry,
    /// The call's service.
    pub service: &'a EntryService,
    /// What is proved of the call.
    pub tracker: &'a OutcomeTracker,
    /// What the call's head says.
    pub head: CallHead,
    /// When the caller gives up.
    pub deadline: Instant,
}

impl AttemptSender<'_> {
    /// Sends one try; dropping this future cancels it at its gate.
    ///
    /// # Errors
    ///
    /// A try without an answer worth passing on at once.
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
                record.finish(CallEnd::Refused, load);
                TryFailure::RefusedNotRun
            }
            Some(Outcome::Unknown) => {
                record.finish(CallEnd::Broken, load);
                TryFailure::BrokenUnknown
            }
            None if response.status().is_server_error() => {
                record.finish(CallEnd::TargetFailed { took: record.elapsed() }, load);
                TryFailure::TargetError
            }
            None | Some(Outcome::Run) => {
                record.finish(CallEnd::Answered { took: record.elapsed() }, load);
                return Ok(response);
            }
        };
        if is_final(&response) {
            return Ok(response);
        }
        Err(Box::new(FailedAttempt { failure, is_guarded: false, response: Ok(response) }))
    }

    /// A request that broke on the way to a gate may be sent again even when it must not repeat:
    /// whichever gate gets it has to claim its key first, and only one can.
    fn classify_send_error(
        &self,
        error: &SendError,
        record: &mut AttemptRecord<'_>,
    ) -> FailedAttempt {
        record.finish(CallEnd::Broken, None);
        let counters = &self.entry.parts.counters;
        if error.is_not_sent() {
            self.tracker.record_not_run();
            counters.add("entry.gate_unreachable");
            let refusal = Refusal::not_run(Reason::Unreachable);
            let failure = TryFailure::BrokenNotRun;
            return FailedAttempt { failure, is_guarded: true, response: Err(refusal) };
        }
        counters.add("entry.gate_link_broken");
        let refusal = Refusal::unknown(Reason::Broken);
        FailedAttempt {
            failure: TryFailure::BrokenUnknown,
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

/// Tells the chooser how a try ended; dropped without an end, the try was cancelled.
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

    fn finish(&mut self, end: CallEnd, load: Option<LoadReport>) {
        if let Some(key) = self.key.take() {
            self.service.record_attempt_end(Instant::now(), key, end, load);
        }
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        self.finish(CallEnd::Cancelled, None);
    }
}

/// An answer that no other gate would give differently, or that must not be asked for again.
///
/// A crash suspect isn't repeated by us: it would take the next target down as well.
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
