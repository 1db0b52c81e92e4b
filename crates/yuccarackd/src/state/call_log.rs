//! Bounded log of the steps of recent calls, which operators query for single calls.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Response, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use yuccarack_config::{
    headers,
    ids::{InstanceId, RequestId},
};
use yuccarack_policy::choice::ComparedCandidateView;

use crate::protocol::{body::CallBody, refusal::Refusal};

/// Largest number of calls in the log; at some 400 B each it stays below half a megabyte.
const CALLS_MAX: usize = 1024;

/// Largest number of events per call.
const EVENTS_MAX: usize = 32;

/// One step of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum CallEvent {
    /// A gate was chosen.
    Chosen {
        /// Instance of the gate.
        instance: InstanceId,
        /// The candidates that were compared.
        weighed: Vec<Candidate>,
    },
    /// A hedged request was sent to a second gate because the first one was late.
    Hedged {
        /// Instance of the second gate.
        instance: InstanceId,
    },
    /// A gate responded.
    Answered {
        /// Instance of the gate.
        instance: InstanceId,
        /// Status of the response.
        status: u16,
        /// Time from sending the request until the response head, in µs.
        took_us: u64,
        /// Reason header, if the response is a refusal.
        reason: Option<String>,
        /// Load that the gate reported.
        load: Option<String>,
    },
    /// Another attempt was made.
    Retried {
        /// Reason of the attempt.
        reason: &'static str,
    },
    /// No further attempt was made.
    GaveUp {
        /// Reason for giving up.
        reason: &'static str,
    },
    /// The entry refused the call.
    Refused {
        /// Reason of the refusal.
        reason: &'static str,
        /// What is known about the execution of the request.
        outcome: &'static str,
    },
}

/// A candidate for an attempt and what was known of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Candidate {
    /// Instance of the candidate.
    pub instance: InstanceId,
    /// Expected response time, in µs.
    pub expected_us: u64,
    /// Age of the latest load report, in µs; `None` without a report.
    pub news_age_us: Option<u64>,
}

/// One step of a call with its time.
#[derive(Clone, Debug, Serialize)]
pub struct TimedEvent {
    /// Time since the first step of the call, in µs.
    pub after_us: u64,
    /// The step.
    #[serde(flatten)]
    pub event: CallEvent,
}

/// Steps of recent calls; clones share the log.
#[derive(Clone, Debug, Default)]
pub struct CallLog {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    calls: HashMap<RequestId, Call>,
    order: VecDeque<RequestId>,
}

#[derive(Debug)]
struct Call {
    started_at: Instant,
    events: Vec<TimedEvent>,
}

impl CallLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a step of a call. A new call evicts the oldest one if the log is full.
    pub fn note(&self, id: RequestId, event: CallEvent) {
        let now = Instant::now();
        let state = &mut *self.state.lock();
        if !state.calls.contains_key(&id) {
            state.make_room();
            state.order.push_back(id);
            state.calls.insert(id, Call { started_at: now, events: Vec::with_capacity(4) });
        }
        let Some(call) = state.calls.get_mut(&id) else {
            return;
        };
        if call.events.len() < EVENTS_MAX {
            let after_us = micros(now.duration_since(call.started_at));
            call.events.push(TimedEvent { after_us, event });
        }
    }

    /// Returns the steps of a call, if it is still in the log.
    pub fn find(&self, id: RequestId) -> Option<Vec<TimedEvent>> {
        self.state.lock().calls.get(&id).map(|call| call.events.clone())
    }
}

impl State {
    fn make_room(&mut self) {
        if self.order.len() < CALLS_MAX {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.calls.remove(&oldest);
        }
    }
}

impl Candidate {
    fn new(view: &ComparedCandidateView) -> Self {
        Self {
            instance: view.instance.clone(),
            expected_us: micros(view.expected),
            news_age_us: view.report_age.map(micros),
        }
    }
}

impl CallEvent {
    /// Creates the event for the choice of a gate.
    pub fn chosen(instance: &str, weighed: &[ComparedCandidateView]) -> Self {
        let weighed = weighed.iter().map(Candidate::new).collect();
        Self::Chosen { instance: instance.to_owned(), weighed }
    }

    /// Creates the event for a hedged request.
    pub fn hedged(instance: &str) -> Self {
        Self::Hedged { instance: instance.to_owned() }
    }

    /// Creates the event for a response that took `duration`.
    pub fn answered(
        instance: &str,
        status: StatusCode,
        duration: Duration,
        response: &Response<CallBody>,
    ) -> Self {
        Self::Answered {
            instance: instance.to_owned(),
            status: status.as_u16(),
            took_us: micros(duration),
            reason: header_text(response, headers::REASON),
            load: header_text(response, headers::LOAD),
        }
    }

    /// Creates the event for another attempt.
    pub fn retried(reason: &'static str) -> Self {
        Self::Retried { reason }
    }

    /// Creates the event for giving up.
    pub fn gave_up(reason: &'static str) -> Self {
        Self::GaveUp { reason }
    }

    /// Creates the event for a refusal by the entry.
    pub fn refused(refusal: &Refusal) -> Self {
        Self::Refused { reason: refusal.reason.as_str(), outcome: refusal.outcome.as_str() }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn header_text(response: &Response<CallBody>, name: &str) -> Option<String> {
    response.headers().get(name)?.to_str().ok().map(str::to_owned)
}
