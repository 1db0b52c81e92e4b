//! What became of recent calls, in a bounded memory, for operators who ask about one.

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
use yuccarack_policy::choice::WeighedView;

use crate::protocol::{body::CallBody, refusal::Refusal};

/// Calls that are remembered; at some 400 B each, under half a megabyte.
const CALLS_MAX: usize = 1024;

/// Events that are remembered of one call.
const EVENTS_MAX: usize = 32;

/// One step of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum CallEvent {
    /// A gate was chosen.
    Chosen {
        /// Its instance.
        instance: InstanceId,
        /// The candidates that were compared.
        weighed: Vec<Candidate>,
    },
    /// A second gate was asked because the first was late.
    Hedged {
        /// Its instance.
        instance: InstanceId,
    },
    /// A gate answered.
    Answered {
        /// Its instance.
        instance: InstanceId,
        /// The answer's status.
        status: u16,
        /// Time from sending until the answer's head, in µs.
        took_us: u64,
        /// Its reason, where the answer is a refusal.
        reason: Option<String>,
        /// The gate's load, as it said.
        load: Option<String>,
    },
    /// Another try was made.
    Retried {
        /// Why.
        reason: &'static str,
    },
    /// No other try was made.
    GaveUp {
        /// Why.
        reason: &'static str,
    },
    /// The entry refused.
    Refused {
        /// Why.
        reason: &'static str,
        /// What is proved.
        outcome: &'static str,
    },
}

/// A candidate for a try, with what was known of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Candidate {
    /// Its instance.
    pub instance: InstanceId,
    /// Time in which it was expected to answer, in µs.
    pub expected_us: u64,
    /// Age of the news of its load, in µs; unset without any.
    pub news_age_us: Option<u64>,
}

/// One step with its time.
#[derive(Clone, Debug, Serialize)]
pub struct TimedEvent {
    /// Time since the call's first step, in µs.
    pub after_us: u64,
    /// The step.
    #[serde(flatten)]
    pub event: CallEvent,
}

/// What became of recent calls; clones share it.
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
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a step of a call; the oldest call makes room.
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

    /// The steps of a call, if it is still remembered.
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
    fn new(view: &WeighedView) -> Self {
        Self {
            instance: view.instance.clone(),
            expected_us: micros(view.expected),
            news_age_us: view.report_age.map(micros),
        }
    }
}

impl CallEvent {
    /// A gate was chosen.
    pub fn chosen(instance: &str, weighed: &[WeighedView]) -> Self {
        let weighed = weighed.iter().map(Candidate::new).collect();
        Self::Chosen { instance: instance.to_owned(), weighed }
    }

    /// A second gate was asked.
    pub fn hedged(instance: &str) -> Self {
        Self::Hedged { instance: instance.to_owned() }
    }

    /// A gate answered after `took`.
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

    /// Another try was made.
    pub fn retried(reason: &'static str) -> Self {
        Self::Retried { reason }
    }

    /// No other try was made.
    pub fn gave_up(reason: &'static str) -> Self {
        Self::GaveUp { reason }
    }

    /// The entry refused.
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
