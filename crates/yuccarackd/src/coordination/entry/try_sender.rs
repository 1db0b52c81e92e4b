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
    fate::Fate,
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
pub struct FailedTry {
    /// How it ended.
    pub failure: TryFailure,
    /// Whether the claim at the gates guards a further try even of a request that must not repeat.
    pub is_guarded: bool,
    /// What the caller gets if no further try is made.
    pub answer: Result<Response<CallBody>, Refusal>,
}

/// A try that is to be sent.
pub struct ReadyTry {
    /// Where to.
    pub chosen: ChosenGate,
    /// Its name.
    pub attempt: AttemptId,
    /// What the gate gets.
    pub request: Request<CallBody>,
}

/// Sends tries of one call; apart from the tries themselves so that two can be on their way at once.
pub struct TrySender<'a> {
    /// The entry.
    pub entry: &'a Entry,
    /// The call's service.
    pub service: &'a EntryService,
    /// What is proved of the call.
    pub fate: &'a Fate,
    /// What the call's head says.
    pub head: CallHead,
    /// When the caller gives up.
    pub deadline: Instant,
}

impl TrySender<'_> {
    /// Sends one try; dropping this future cancels it at its gate.
    ///
    /// # Errors
    ///
    /// A try without an answer worth passing on at once.
    pub async fn send(&self, ready: ReadyTry) -> Result<Response<CallBody>, Box<FailedTry>> {
        let mut record = TryRecord::new(self.service, &ready.chosen);
        self.fate.sent();
        let sent = if ready.chosen.instance == self.entry.parts.instance {
            Ok(self.ask_own_gate(ready.attempt, ready.request).await)
        } else {
            let address = ready.chosen.address;
            self.entry.parts.upstream.send(address, ready.request, Freshness::Kept).await
        };
        match sent {
            Ok(answer) => self.judge(answer, &mut record),
            Err(error) => Err(Box::new(self.link_failed(&error, &mut record))),
        }
    }

    async fn ask_own_gate(
        &self,
        attempt: AttemptId,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let (parts, body) = request.into_parts();
        let head = self.head.clone();
        let call = GateCall { head, attempt, deadline: self.deadline, parts, body };
        self.entry.parts.gate.handle(call).await
    }

    fn judge(
        &self,
        answer: Response<CallBody>,
        record: &mut TryRecord<'_>,
    ) -> Result<Response<CallBody>, Box<FailedTry>> {
        let load = load_of(&answer);
        self.hear_revision(&answer);
        let outcome = Outcome::from_headers(answer.headers());
        self.note(CallEvent::answered(&record.instance, answer.status(), record.took(), &answer));
        let failure = match outcome {
            Some(Outcome::NotRun) => {
                self.fate.proved_not_run();
                record.end(CallEnd::Refused, load);
                TryFailure::RefusedNotRun
            }
            Some(Outcome::Unknown) => {
                record.end(CallEnd::Broken, load);
                TryFailure::BrokenUnknown
            }
            None if answer.status().is_server_error() => {
                record.end(CallEnd::TargetFailed { took: record.took() }, load);
                TryFailure::TargetError
            }
            None | Some(Outcome::Run) => {
                record.end(CallEnd::Answered { took: record.took() }, load);
                return Ok(answer);
            }
        };
        if is_final(&answer) {
            return Ok(answer);
        }
        Err(Box::new(FailedTry { failure, is_guarded: false, answer: Ok(answer) }))
    }

    /// A request that broke on the way to a gate may be sent again even when it must not repeat:
    /// whichever gate gets it has to claim its key first, and only one can.
    fn link_failed(&self, error: &SendError, record: &mut TryRecord<'_>) -> FailedTry {
        record.end(CallEnd::Broken, None);
        let counters = &self.entry.parts.counters;
        if error.is_not_sent() {
            self.fate.proved_not_run();
            counters.add("entry.gate_unreachable");
            let refusal = Refusal::not_run(Reason::Unreachable);
            let failure = TryFailure::BrokenNotRun;
            return FailedTry { failure, is_guarded: true, answer: Err(refusal) };
        }
        counters.add("entry.gate_link_broken");
        let refusal = Refusal::unknown(Reason::Broken);
        FailedTry { failure: TryFailure::BrokenUnknown, is_guarded: true, answer: Err(refusal) }
    }

    fn hear_revision(&self, answer: &Response<CallBody>) {
        let revision = answer.headers().get(headers::RULES_REVISION);
        let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(revision) = revision {
            self.entry.parts.directory.note_rules_revision(&self.head.service, revision);
        }
    }

    fn note(&self, event: CallEvent) {
        self.entry.parts.call_log.note(self.head.request_id, event);
    }
}

/// Tells the chooser how a try ended; dropped without an end, the try was cancelled.
struct TryRecord<'a> {
    service: &'a EntryService,
    key: Option<TargetKey>,
    instance: String,
    started_at: Instant,
}

impl<'a> TryRecord<'a> {
    fn new(service: &'a EntryService, chosen: &ChosenGate) -> Self {
        let instance = chosen.instance.clone();
        Self { service, key: Some(chosen.key), instance, started_at: Instant::now() }
    }

    fn took(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn end(&mut self, end: CallEnd, load: Option<LoadReport>) {
        if let Some(key) = self.key.take() {
            self.service.end_try(Instant::now(), key, end, load);
        }
    }
}

impl Drop for TryRecord<'_> {
    fn drop(&mut self) {
        self.end(CallEnd::Cancelled, None);
    }
}

/// An answer that no other gate would give differently, or that must not be asked for again.
///
/// A crash suspect isn't repeated by us: it would take the next target down as well.
fn is_final(answer: &Response<CallBody>) -> bool {
    let reason = answer.headers().get(headers::REASON).map(|value| value.as_bytes());
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
    is_final_reason || answer.status() == StatusCode::NOT_IMPLEMENTED
}

fn load_of(answer: &Response<CallBody>) -> Option<LoadReport> {
    answer.headers().get(headers::LOAD)?.to_str().ok()?.parse().ok()
}
