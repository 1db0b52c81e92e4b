//! Admission in front of a target: that of `yuccarack_policy`, or the target's own FIFO queue under
//! a baseline.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use yuccarack_config::{load::GateLoadReport, rules::LimitRules};
use yuccarack_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, RouteLimits, RunKey, RunOutcome, WaitKey,
    WaitOutcome,
};

use crate::scenario::{CONNECTIONS, Policy, SLOTS, Scenario};

/// Admission of one target; `A` is the key of an attempt.
pub enum Gate<A> {
    Admission { admission: Box<Admission>, waiting: HashMap<WaitKey, A> },
    Fifo { running: usize, waiting: VecDeque<A> },
}

/// Progress of an attempt at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    InTransit,
    Waiting(Option<WaitKey>),
    Running(Option<RunKey>),
    Returning,
}

/// How the wait of an attempt ended: a [`WaitOutcome`] with the attempt in place of its wait key.
/// The run key is `None` in a FIFO queue, which has none.
pub enum WaitEnd<A> {
    Started(A, Option<RunKey>),
    Refused(A),
}

impl<A: Copy + PartialEq> Gate<A> {
    pub fn new(now: Instant, policy: Policy, scenario: &Scenario) -> Self {
        if policy != Policy::Yuccarack {
            return Self::Fifo { running: 0, waiting: VecDeque::new() };
        }
        let long = scenario.workload.long_slots_percent;
        let routes = [100, long].map(|slot_share_percent| RouteLimits { slot_share_percent });
        let limits = LimitRules::default();
        let config = AdmissionConfig { slots: SLOTS, limits, routes: routes.to_vec() };
        let admission = Box::new(Admission::new(now, config));
        Self::Admission { admission, waiting: HashMap::new() }
    }

    /// Decides on an arriving attempt; `None` means that it is refused.
    pub fn offer(&mut self, now: Instant, attempt: A, offer: Offer) -> Option<AttemptState> {
        match self {
            Self::Fifo { running, waiting } => {
                if *running < usize::from(SLOTS) {
                    *running += 1;
                    return Some(AttemptState::Running(None));
                }
                if *running + waiting.len() >= CONNECTIONS {
                    return None;
                }
                waiting.push_back(attempt);
                Some(AttemptState::Waiting(None))
            }
            Self::Admission { admission, waiting } => match admission.offer(now, offer) {
                AdmissionDecision::Run(key) => Some(AttemptState::Running(Some(key))),
                AdmissionDecision::Wait(key) => {
                    waiting.insert(key, attempt);
                    Some(AttemptState::Waiting(Some(key)))
                }
                AdmissionDecision::Refused(_) => None,
            },
        }
    }

    /// Removes an attempt according to its state; `outcome` counts only for running attempts.
    pub fn remove(&mut self, now: Instant, attempt: A, state: AttemptState, outcome: RunOutcome) {
        match (self, state) {
            (Self::Fifo { running, .. }, AttemptState::Running(_)) => *running -= 1,
            (Self::Fifo { waiting, .. }, AttemptState::Waiting(_)) => {
                waiting.retain(|a| *a != attempt)
            }
            (Self::Admission { admission, .. }, AttemptState::Running(Some(key))) => {
                admission.release(now, key, outcome);
            }
            (Self::Admission { admission, waiting }, AttemptState::Waiting(Some(key))) => {
                admission.cancel_wait(now, key);
                waiting.remove(&key);
            }
            _ => {}
        }
    }

    /// Returns the attempts whose wait has ended by `now`.
    pub fn poll(&mut self, now: Instant) -> Vec<WaitEnd<A>> {
        match self {
            Self::Fifo { running, waiting } => {
                let mut ends = Vec::new();
                while *running < usize::from(SLOTS)
                    && let Some(attempt) = waiting.pop_front()
                {
                    *running += 1;
                    ends.push(WaitEnd::Started(attempt, None));
                }
                ends
            }
            Self::Admission { admission, waiting } => {
                let outcomes = admission.poll(now);
                outcomes.into_iter().filter_map(|outcome| wait_end(waiting, outcome)).collect()
            }
        }
    }

    pub fn next_wake(&self) -> Option<Instant> {
        match self {
            Self::Fifo { .. } => None,
            Self::Admission { admission, .. } => admission.next_wake(),
        }
    }

    pub fn load_report(&self) -> Option<GateLoadReport> {
        match self {
            Self::Fifo { .. } => None,
            Self::Admission { admission, .. } => Some(admission.load()),
        }
    }

    pub fn in_flight(&self) -> u32 {
        match self {
            Self::Fifo { running, waiting } => (running + waiting.len()) as u32,
            Self::Admission { admission, waiting } => {
                (admission.in_flight() + waiting.len()) as u32
            }
        }
    }
}

fn wait_end<A>(waiting: &mut HashMap<WaitKey, A>, outcome: WaitOutcome) -> Option<WaitEnd<A>> {
    match outcome {
        WaitOutcome::Run(key, run) => waiting.remove(&key).map(|a| WaitEnd::Started(a, Some(run))),
        WaitOutcome::Refused(key, _) => waiting.remove(&key).map(WaitEnd::Refused),
    }
}
