//! The attempts of one routed call: chooses their gates and classifies their results.

use std::{sync::Arc, time::Instant};

use http::Response;
use rand::Rng;
use yuccarack_policy::{
    extra_attempts::{FailedGateAttempt, GateAttemptFailure},
    placement::{AttemptHistory, GateAttemptOutcome, GateKey, GateReply},
    return_margin::time_for_another_attempt,
};

use super::{
    RoutedEntry,
    attempted_gates::AttemptedGates,
    call::RoutedCall,
    service::{ChosenGate, RoutedService},
};
use crate::{
    coordination::{
        entry::outcome_tracker::OutcomeTracker,
        routed::{gate::GateRequest, log_lines::AttemptEnded, return_margin::return_margin},
    },
    protocol::{
        body::CallBody,
        gate_capacity::{GATE_CAPACITY, GateCapacity},
        gate_status::{GATE_STATUS, GateStatus},
        hop::Hop,
        refusal::{Outcome, Reason, Refusal, retry_after_from_headers},
    },
    transport::{connection::SendError, upstream::Freshness},
};

/// All attempts of one call.
pub struct Attempts<'a> {
    entry: &'a RoutedEntry,
    call: RoutedCall,
    service: Arc<RoutedService>,
    tracker: &'a OutcomeTracker,
    gates: &'a AttemptedGates,
    history: AttemptHistory,
    /// Number of targets that may have run the request.
    targets_run: u8,
    /// Shortest `Retry-After` of the gates that refused the request.
    retry_after: Option<std::time::Duration>,
}

/// Result of an attempt.
enum Reply {
    /// The target responded, with success or an error status.
    Answered(Response<CallBody>),
    /// No target responded; a gate refused the request or the connection failed.
    Refused(Refusal),
}

impl<'a> Attempts<'a> {
    /// Prepares the attempts of `call`.
    pub fn new(
        entry: &'a RoutedEntry,
        call: RoutedCall,
        service: Arc<RoutedService>,
        tracker: &'a OutcomeTracker,
        gates: &'a AttemptedGates,
    ) -> Self {
        Self {
            entry,
            call,
            service,
            tracker,
            gates,
            history: AttemptHistory::default(),
            targets_run: 0,
            retry_after: None,
        }
    }

    /// Makes attempts until one succeeds or no further one is allowed.
    ///
    /// # Errors
    ///
    /// Returns the last refusal, whose outcome holds for its own attempt only.
    pub async fn run(mut self) -> Result<Response<CallBody>, Refusal> {
        let result = self.run_all().await;
        if result.as_ref().is_err_and(is_capacity_refusal) {
            self.entry.stats.record_shortage(Instant::now(), &self.call.service);
        }
        self.entry.parts.metrics.observe_attempts(self.history.count());
        result
    }

    async fn run_all(&mut self) -> Result<Response<CallBody>, Refusal> {
        let mut last = None;
        loop {
            if let Err(refusal) = self.check_organisation() {
                return last.unwrap_or(Err(refusal));
            }
            let settings = self.entry.parts.settings.current();
            self.service.restrict_to_home_regions(
                &mut self.history,
                &self.call.home_regions,
                &settings,
            );
            let response_bytes = self.call.response_bytes;
            let chosen = self.service.choose(Instant::now(), &self.history, response_bytes);
            let Some(gate) = chosen else {
                return last.unwrap_or_else(|| Err(Refusal::not_run(Reason::NoTarget)));
            };
            let reply = self.send(&gate).await;
            self.history.record(gate.key, reply.to_gate_reply(gate.may_wait));
            let Some(failure) = self.classify_failure(&reply) else {
                return match reply {
                    Reply::Answered(response) => Ok(response),
                    Reply::Refused(refusal) => Err(refusal),
                };
            };
            let is_retried = self.decide_retry(&gate, &reply, failure);
            last = Some(match (reply, last) {
                (Reply::Answered(response), _) => Ok(response),
                // A target's error response is more useful than a later refusal for lack of
                // capacity.
                (Reply::Refused(refusal), Some(Ok(failed))) if refusal.is_not_run() => Ok(failed),
                (Reply::Refused(refusal), _) => Err(self.with_least_retry_after(refusal)),
            });
            if !is_retried {
                return last.unwrap_or_else(|| Err(Refusal::not_run(Reason::NoTarget)));
            }
        }
    }

    /// Checks that the key of the call has not been removed since the call arrived.
    fn check_organisation(&self) -> Result<(), Refusal> {
        match (&self.call.organisation, self.entry.parts.routing.current()) {
            (Some(organisation), Some(routing)) => organisation.check(&routing),
            _ => Ok(()),
        }
    }

    /// Classifies a failed attempt for the decision on a retry, and counts the targets that may
    /// have run the request. Returns `None` after a success.
    fn classify_failure(&mut self, reply: &Reply) -> Option<GateAttemptFailure> {
        match reply {
            Reply::Answered(response) if response.status().is_server_error() => {
                self.targets_run += 1;
                Some(GateAttemptFailure::Failed)
            }
            Reply::Answered(_) => None,
            Reply::Refused(refusal) => Some(match (refusal.outcome, refusal.reason) {
                (Outcome::NotRun, Reason::Shed) => GateAttemptFailure::Shed,
                (Outcome::NotRun, _) => GateAttemptFailure::Refused,
                _ => {
                    self.targets_run += 1;
                    GateAttemptFailure::Unknown
                }
            }),
        }
    }

    fn decide_retry(
        &mut self,
        gate: &ChosenGate,
        reply: &Reply,
        failure: GateAttemptFailure,
    ) -> bool {
        let now = Instant::now();
        let decision = self.service.decide_extra_attempt(FailedGateAttempt {
            kind: failure,
            is_repeatable: self.call.is_repeatable,
            targets_run: self.targets_run,
            targets_max: self.call.targets_max,
            time_left: time_for_another_attempt(
                self.call.deadline.remaining(now),
                return_margin(&self.entry.parts.routing),
            ),
            can_return: match reply {
                Reply::Answered(_) => false,
                Reply::Refused(refusal) => {
                    self.call.can_return(now, refusal, &self.entry.parts.routing)
                }
            },
        });
        let is_retried = decision.is_ok() && self.call.body.can_be_sent();
        let next = decision.err().map_or("another_gate", |reason| reason.as_str());
        if failure != GateAttemptFailure::Refused {
            self.entry.parts.events.write(|| AttemptEnded {
                request: self.call.request_id_text(),
                gate: gate.member.instance.clone(),
                ended: format!("{failure:?}"),
                how: reply.describe(),
                took_ms: now.duration_since(self.call.received_at).as_millis() as u64,
                next,
            });
        }
        self.entry.parts.counters.add_reason("entry.after_bad_try", next);
        if is_retried && failure != GateAttemptFailure::Refused {
            self.entry.parts.counters.add("entry.extra_tries");
        }
        is_retried
    }

    async fn send(&mut self, gate: &ChosenGate) -> Reply {
        let sent = SentAttempt { service: Arc::clone(&self.service), key: gate.key, outcome: None };
        self.tracker.record_sent();
        self.gates.start(&gate.member.instance);
        let now = Instant::now();
        let settings = self.entry.parts.settings.current();
        let attempt = rand::rng().random();
        let hop = self.call.hop(now, attempt, gate, settings.advertised_gate_address());
        let reply = if gate.member.instance == settings.instance {
            self.send_local(gate, hop).await
        } else {
            self.send_remote(gate, hop).await
        };
        self.gates.finish(reply.label());
        if let Reply::Refused(refusal) = &reply
            && refusal.is_not_run()
        {
            self.tracker.record_not_run();
            self.record_retry_after(refusal);
        }
        sent.finish(reply.to_outcome());
        reply
    }

    async fn send_local(&mut self, gate: &ChosenGate, hop: Hop) -> Reply {
        let parts = self.call.head.to_parts();
        let body = self.call.body.nested_offer();
        let request = GateRequest::new(Instant::now(), hop, parts, body);
        let local = &self.entry.parts.gate;
        let response = local.handle(request).await;
        self.service.record_status(Instant::now(), gate.key, local.status(), response.is_ok());
        self.service.record_capacity(Instant::now(), gate.key, local.capacity());
        match response {
            Ok(response) => Reply::Answered(response),
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    async fn send_remote(&mut self, gate: &ChosenGate, hop: Hop) -> Reply {
        // `offered_bodies` enables `Expect: 100-continue` for streamed bodies.
        let expects_continue = self.entry.parts.settings.current().decisions.offered_bodies;
        let request = self.call.request(&hop, expects_continue);
        let upstream = &self.entry.parts.upstream;
        match upstream.send(gate.address(), request, Freshness::Pooled).await {
            Ok(response) => self.receive_response(gate, response),
            Err(error) => Reply::Refused(send_error_refusal(&error)),
        }
    }

    fn receive_response(&self, gate: &ChosenGate, mut response: Response<CallBody>) -> Reply {
        let capacity = response.headers_mut().remove(GATE_CAPACITY);
        let capacity: Option<GateCapacity> =
            capacity.and_then(|capacity| capacity.to_str().ok()?.parse().ok());
        self.service.record_capacity(Instant::now(), gate.key, capacity.unwrap_or_default());
        let status = response.headers_mut().remove(GATE_STATUS);
        let status: Option<GateStatus> =
            status.and_then(|status| status.to_str().ok()?.parse().ok());
        let refusal = parse_refusal(&response);
        if let Some(status) = status {
            self.service.record_status(Instant::now(), gate.key, status, refusal.is_none());
            self.entry.parts.peers.note_version(gate.address(), status.routing_version);
        }
        match refusal {
            Some(refusal) => Reply::Refused(refusal),
            None => Reply::Answered(response),
        }
    }

    fn record_retry_after(&mut self, refusal: &Refusal) {
        let Some(wait) = refusal.retry_after else { return };
        self.retry_after = Some(self.retry_after.map_or(wait, |least| least.min(wait)));
    }

    fn with_least_retry_after(&self, refusal: Refusal) -> Refusal {
        Refusal { retry_after: self.retry_after.or(refusal.retry_after), ..refusal }
    }
}

/// A running attempt, which counts at its gate until it is finished or dropped.
struct SentAttempt {
    service: Arc<RoutedService>,
    key: GateKey,
    outcome: Option<GateAttemptOutcome>,
}

impl SentAttempt {
    fn finish(mut self, outcome: GateAttemptOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(GateAttemptOutcome::Cancelled);
        self.service.record_attempt_outcome(Instant::now(), self.key, outcome);
    }
}

impl Reply {
    /// Classifies the reply for the choice of the next gate; `may_wait` is whether the gate may
    /// queue it.
    fn to_gate_reply(&self, may_wait: bool) -> GateReply {
        match self {
            Self::Refused(refusal) if matches!(refusal.reason, Reason::Admission(_)) => {
                if may_wait { GateReply::NoQueueSpace } else { GateReply::NoFreeSlot }
            }
            // A gate that refused for another reason or whose target responded with an error is not
            // chosen again. A success is recorded in the same way, which has no effect, as the call
            // ends with it.
            _ => GateReply::Unavailable,
        }
    }

    /// Classifies the reply for the record of the gate's reliability and reachability, which later
    /// calls choose their gates by.
    fn to_outcome(&self) -> GateAttemptOutcome {
        match self {
            Self::Answered(response) if response.status().is_server_error() => {
                GateAttemptOutcome::Failed
            }
            Self::Answered(_) => GateAttemptOutcome::Answered,
            Self::Refused(refusal) => match (refusal.outcome, refusal.reason) {
                (
                    Outcome::NotRun,
                    Reason::Admission(_) | Reason::DeadlinePassed | Reason::Quarantined,
                ) => GateAttemptOutcome::Refused,
                (Outcome::NotRun, Reason::Shed) => GateAttemptOutcome::Failed,
                // The gate is unreachable. `Reason::Unreachable`, which a gate sends for an
                // unreachable target, is one of the reasons below.
                (Outcome::NotRun, Reason::NoConnection) => GateAttemptOutcome::Unreachable,
                (Outcome::NotRun, _) => GateAttemptOutcome::Unavailable,
                (_, Reason::DeadlinePassed) => GateAttemptOutcome::Failed,
                _ => GateAttemptOutcome::Failed,
            },
        }
    }

    /// Returns the name of the reply in the list of attempted gates.
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(refusal) => refusal.reason.as_str(),
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Answered(response) => response.status().as_u16().to_string(),
            Self::Refused(refusal) => refusal.reason.as_str().to_owned(),
        }
    }
}

fn is_capacity_refusal(refusal: &Refusal) -> bool {
    refusal.is_not_run() && matches!(refusal.reason, Reason::Admission(_))
}

fn send_error_refusal(error: &SendError) -> Refusal {
    match error {
        SendError::Unreachable { .. } => Refusal::not_run(Reason::NoConnection),
        SendError::NothingSent => Refusal::not_run(Reason::Broken),
        SendError::Broken(_) | SendError::Malformed(_) => Refusal::unknown(Reason::Broken),
    }
}

/// Parses a refusal from a gate's response; `None` if it is a target's response.
fn parse_refusal(response: &Response<CallBody>) -> Option<Refusal> {
    let outcome = Outcome::from_headers(response.headers())?;
    let reason = Reason::from_headers(response.headers());
    let retry_after = retry_after_from_headers(response.headers());
    Some(Refusal { reason, outcome, retry_after })
}
