//! The tries of one routed call: at which gates, and what their ends prove.

use std::{sync::Arc, time::Instant};

use http::{Response, header};
use rand::Rng;
use yuccarack_policy::{
    extra_tries::{BadTry, EndedBadly},
    placement::{Asked, GateKey, Said, TryEnd},
};

use super::{
    RoutedEntry,
    asked_gates::AskedGates,
    call::RoutedCall,
    service::{ChosenGate, RoutedService},
};
use crate::{
    coordination::{
        entry::fate::Fate,
        routed::{gate::GateRequest, log_lines::AttemptEnded},
    },
    protocol::{
        body::CallBody,
        gate_word::{GATE_WORD, GateWord},
        hop::Hop,
        refusal::{Outcome, Reason, Refusal},
    },
    transport::{connection::SendError, upstream::Freshness},
};

/// All tries of one call.
pub struct Tries<'a> {
    entry: &'a RoutedEntry,
    call: RoutedCall,
    service: Arc<RoutedService>,
    fate: &'a Fate,
    gates: &'a AskedGates,
    asked: Asked,
    /// Targets that may have run it.
    ran_on: u8,
    /// Least time after which a gate that was asked has room.
    retry_after: Option<std::time::Duration>,
}

/// How a try ended.
enum Ended {
    /// The target answered, well or not.
    Answered(Response<CallBody>),
    /// No target answered.
    Refused(Refusal),
}

impl<'a> Tries<'a> {
    /// Prepares the tries of `call`.
    pub fn new(
        entry: &'a RoutedEntry,
        call: RoutedCall,
        service: Arc<RoutedService>,
        fate: &'a Fate,
        gates: &'a AskedGates,
    ) -> Self {
        Self {
            entry,
            call,
            service,
            fate,
            gates,
            asked: Asked::default(),
            ran_on: 0,
            retry_after: None,
        }
    }

    /// Tries until there is an answer or no further try is worth it.
    ///
    /// # Errors
    ///
    /// The last refusal; its outcome speaks for its own try only.
    pub async fn run(mut self) -> Result<Response<CallBody>, Refusal> {
        let result = self.run_all().await;
        if result.as_ref().is_err_and(is_for_want_of_room) {
            self.entry.loads.short(Instant::now(), &self.call.service);
        }
        self.entry.parts.metrics.tried(self.asked.count());
        result
    }

    async fn run_all(&mut self) -> Result<Response<CallBody>, Refusal> {
        let mut last = None;
        loop {
            let settings = self.entry.parts.settings.current();
            self.service.keep_home(&mut self.asked, &self.call.home_regions, &settings);
            let Some(gate) = self.service.choose(Instant::now(), &self.asked) else {
                return last.unwrap_or_else(|| Err(Refusal::not_run(Reason::NoTarget)));
            };
            let ended = self.send(&gate).await;
            self.asked.note(gate.key, ended.said(gate.may_wait));
            let Some(bad) = self.judge(&ended) else {
                return match ended {
                    Ended::Answered(answer) => Ok(answer),
                    Ended::Refused(refusal) => Err(refusal),
                };
            };
            let is_again = self.is_again(&gate, &ended, bad);
            last = Some(match (ended, last) {
                (Ended::Answered(answer), _) => Ok(answer),
                // A target's failure says more than that no other one had room.
                (Ended::Refused(refusal), Some(Ok(failed))) if refusal.is_not_run() => Ok(failed),
                (Ended::Refused(refusal), _) => Err(self.with_least_wait(refusal)),
            });
            if !is_again {
                return last.unwrap_or_else(|| Err(Refusal::not_run(Reason::NoTarget)));
            }
        }
    }

    /// What a further try has to know of a bad end; none after a good one.
    fn judge(&mut self, ended: &Ended) -> Option<EndedBadly> {
        match ended {
            Ended::Answered(answer) if answer.status().is_server_error() => {
                self.ran_on += 1;
                Some(EndedBadly::Failed)
            }
            Ended::Answered(_) => None,
            Ended::Refused(refusal) => Some(match (refusal.outcome, refusal.reason) {
                (Outcome::NotRun, Reason::Shed) => EndedBadly::Shed,
                (Outcome::NotRun, _) => EndedBadly::Refused,
                _ => {
                    self.ran_on += 1;
                    EndedBadly::Unknown
                }
            }),
        }
    }

    fn is_again(&mut self, gate: &ChosenGate, ended: &Ended, bad: EndedBadly) -> bool {
        let now = Instant::now();
        let decision = self.service.decide(BadTry {
            ended: bad,
            is_repeatable: self.call.is_repeatable,
            ran_on: self.ran_on,
            targets_max: self.call.targets_max,
            left: self.call.deadline.remaining(now),
        });
        let is_again = decision.is_ok() && self.call.body.can_be_sent();
        let next = decision.err().map_or("another_gate", |no_more| no_more.as_str());
        if bad != EndedBadly::Refused {
            self.entry.parts.events.write(|| AttemptEnded {
                request: self.call.id_text(),
                gate: gate.member.instance.clone(),
                ended: format!("{bad:?}"),
                how: ended.describe(),
                took_ms: now.duration_since(self.call.came_at).as_millis() as u64,
                next,
            });
        }
        self.entry.parts.counters.add_reason("entry.after_bad_try", next);
        if is_again && bad != EndedBadly::Refused {
            self.entry.parts.counters.add("entry.extra_tries");
        }
        is_again
    }

    async fn send(&mut self, gate: &ChosenGate) -> Ended {
        let slot = SentTry { service: Arc::clone(&self.service), key: gate.key, end: None };
        self.fate.sent();
        self.gates.ask(&gate.member.instance);
        let now = Instant::now();
        let settings = self.entry.parts.settings.current();
        let attempt = rand::rng().random();
        let hop = self.call.hop(now, attempt, gate.may_wait, settings.advertised_gate_address());
        let ended = if gate.member.instance == settings.instance {
            self.send_here(gate, hop).await
        } else {
            self.send_there(gate, hop).await
        };
        self.gates.said(ended.word());
        if let Ended::Refused(refusal) = &ended
            && refusal.is_not_run()
        {
            self.fate.proved_not_run();
            self.note_wait(refusal);
        }
        slot.ended(ended.as_try_end());
        ended
    }

    async fn send_here(&mut self, gate: &ChosenGate, hop: Hop) -> Ended {
        let parts = self.call.parts.to_head();
        let body = self.call.body.again();
        let work = GateRequest::new(Instant::now(), hop, parts, body);
        let local = &self.entry.parts.gate;
        let answer = local.handle(work).await;
        self.service.told(Instant::now(), gate.key, local.status().load);
        match answer {
            Ok(answer) => Ended::Answered(answer),
            Err(refusal) => Ended::Refused(refusal),
        }
    }

    async fn send_there(&mut self, gate: &ChosenGate, hop: Hop) -> Ended {
        let is_offered = self.entry.parts.settings.current().decisions.offered_bodies;
        let request = self.call.request(&hop, is_offered);
        let upstream = &self.entry.parts.upstream;
        match upstream.send(gate.address(), request, Freshness::Kept).await {
            Ok(answer) => self.heard(gate, answer),
            Err(error) => Ended::Refused(unsent(&error)),
        }
    }

    fn heard(&self, gate: &ChosenGate, mut answer: Response<CallBody>) -> Ended {
        let word = answer.headers_mut().remove(GATE_WORD);
        let word: Option<GateWord> = word.and_then(|word| word.to_str().ok()?.parse().ok());
        if let Some(word) = word {
            self.service.told(Instant::now(), gate.key, word.load);
            self.entry.parts.peers.note_version(gate.address(), word.routing_version);
        }
        match refusal_of(&answer) {
            Some(refusal) => Ended::Refused(refusal),
            None => Ended::Answered(answer),
        }
    }

    fn note_wait(&mut self, refusal: &Refusal) {
        let Some(wait) = refusal.retry_after else { return };
        self.retry_after = Some(self.retry_after.map_or(wait, |least| least.min(wait)));
    }

    fn with_least_wait(&self, refusal: Refusal) -> Refusal {
        Refusal { retry_after: self.retry_after.or(refusal.retry_after), ..refusal }
    }
}

/// A try that counts at its gate until it ends, however it ends.
struct SentTry {
    service: Arc<RoutedService>,
    key: GateKey,
    end: Option<TryEnd>,
}

impl SentTry {
    fn ended(mut self, end: TryEnd) {
        self.end = Some(end);
    }
}

impl Drop for SentTry {
    fn drop(&mut self) {
        let end = self.end.unwrap_or(TryEnd::Cancelled);
        self.service.ended(Instant::now(), self.key, end);
    }
}

impl Ended {
    /// What the gate said to a request that could wait or not.
    fn said(&self, may_wait: bool) -> Said {
        match self {
            Self::Refused(refusal) if matches!(refusal.reason, Reason::Admission(_)) => {
                if may_wait { Said::NoPlace } else { Said::NoSlot }
            }
            _ => Said::NotHere,
        }
    }

    fn as_try_end(&self) -> TryEnd {
        match self {
            Self::Answered(answer) if answer.status().is_server_error() => TryEnd::Failed,
            Self::Answered(_) => TryEnd::Answered,
            Self::Refused(refusal) => match (refusal.outcome, refusal.reason) {
                (
                    Outcome::NotRun,
                    Reason::Admission(_) | Reason::DeadlinePassed | Reason::Quarantined,
                ) => TryEnd::Refused,
                (Outcome::NotRun, Reason::Shed) => TryEnd::Failed,
                (Outcome::NotRun, Reason::NoConnection) => TryEnd::Unreachable,
                (Outcome::NotRun, _) => TryEnd::Away,
                (_, Reason::DeadlinePassed) => TryEnd::Failed,
                _ => TryEnd::Failed,
            },
        }
    }

    fn word(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(refusal) => refusal.reason.as_str(),
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Answered(answer) => answer.status().as_u16().to_string(),
            Self::Refused(refusal) => refusal.reason.as_str().to_owned(),
        }
    }
}

fn is_for_want_of_room(refusal: &Refusal) -> bool {
    refusal.is_not_run() && matches!(refusal.reason, Reason::Admission(_))
}

fn unsent(error: &SendError) -> Refusal {
    match error {
        SendError::Unreachable { .. } => Refusal::not_run(Reason::NoConnection),
        SendError::NothingSent => Refusal::not_run(Reason::Broken),
        SendError::Broken(_) => Refusal::unknown(Reason::Broken),
    }
}

/// The refusal that a gate's answer is, if it is one.
fn refusal_of(answer: &Response<CallBody>) -> Option<Refusal> {
    let outcome = Outcome::from_headers(answer.headers())?;
    let reason = Reason::from_headers(answer.headers());
    let seconds = answer.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = seconds.and_then(|text| text.parse().ok());
    let retry_after =
        seconds.and_then(|seconds| std::time::Duration::try_from_secs_f64(seconds).ok());
    Some(Refusal { reason, outcome, retry_after })
}
