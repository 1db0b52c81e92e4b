//! What stands in front of a target: our gate, or the target's own queue.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use yuccarack_config::{load::LoadReport, rules::LimitRules};
use yuccarack_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, RouteShare, RunKey, RunOutcome, WaitKey,
    WaitOutcome,
};

use crate::scenario::{CONNECTIONS, Policy, SLOTS, Scenario};

/// Front of one target; `A` names an attempt.
pub enum Gate<A> {
    Ours { admission: Box<Admission>, waiting: HashMap<WaitKey, A> },
    Plain { running: usize, waiting: VecDeque<A> },
}

/// Where an attempt stands at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    OnTheWay,
    Waiting(Option<WaitKey>),
    Running(Option<RunKey>),
    Returning,
}

/// What became of an attempt that waited.
pub enum Step<A> {
    Runs(A, Option<RunKey>),
    Refused(A),
}

impl<A: Copy + PartialEq> Gate<A> {
    pub fn new(now: Instant, policy: Policy, scenario: &Scenario) -> Self {
        if policy != Policy::Yuccarack {
            return Self::Plain { running: 0, waiting: VecDeque::new() };
        }
        let long = scenario.work.long_slots_percent;
        let routes = [100, long].map(|slot_share_percent| RouteShare { slot_share_percent });
        let limits = LimitRules::default();
        let config = AdmissionConfig { slots: SLOTS, limits, routes: routes.to_vec() };
        let admission = Box::new(Admission::new(now, config));
        Self::Ours { admission, waiting: HashMap::new() }
    }

    /// Decides on an attempt that arrives; `None` refuses it.
    pub fn offer(&mut self, now: Instant, attempt: A, offer: Offer) -> Option<Place> {
        match self {
            Self::Plain { running, waiting } => {
                if *running < usize::from(SLOTS) {
                    *running += 1;
                    return Some(Place::Running(None));
                }
                if *running + waiting.len() >= CONNECTIONS {
                    return None;
                }
                waiting.push_back(attempt);
                Some(Place::Waiting(None))
            }
            Self::Ours { admission, waiting } => match admission.offer(now, offer) {
                AdmissionDecision::Run(key) => Some(Place::Running(Some(key))),
                AdmissionDecision::Wait(key) => {
                    waiting.insert(key, attempt);
                    Some(Place::Waiting(Some(key)))
                }
                AdmissionDecision::Refused(_) => None,
            },
        }
    }

    /// Takes an attempt out, from where it stands.
    pub fn remove(&mut self, now: Instant, attempt: A, place: Place, end: RunOutcome) {
        match (self, place) {
            (Self::Plain { running, .. }, Place::Running(_)) => *running -= 1,
            (Self::Plain { waiting, .. }, Place::Waiting(_)) => waiting.retain(|a| *a != attempt),
            (Self::Ours { admission, .. }, Place::Running(Some(key))) => {
                admission.release(now, key, end);
            }
            (Self::Ours { admission, waiting }, Place::Waiting(Some(key))) => {
                admission.cancel_wait(now, key);
                waiting.remove(&key);
            }
            _ => {}
        }
    }

    /// What waiting attempts do now.
    pub fn poll(&mut self, now: Instant) -> Vec<Step<A>> {
        match self {
            Self::Plain { running, waiting } => {
                let mut steps = Vec::new();
                while *running < usize::from(SLOTS)
                    && let Some(attempt) = waiting.pop_front()
                {
                    *running += 1;
                    steps.push(Step::Runs(attempt, None));
                }
                steps
            }
            Self::Ours { admission, waiting } => {
                let settled = admission.poll(now);
                settled.into_iter().filter_map(|settled| step(waiting, settled)).collect()
            }
        }
    }

    pub fn next_wake(&self) -> Option<Instant> {
        match self {
            Self::Plain { .. } => None,
            Self::Ours { admission, .. } => admission.next_wake(),
        }
    }

    pub fn report(&self) -> Option<LoadReport> {
        match self {
            Self::Plain { .. } => None,
            Self::Ours { admission, .. } => Some(admission.load()),
        }
    }

    pub fn in_flight(&self) -> u32 {
        match self {
            Self::Plain { running, waiting } => (running + waiting.len()) as u32,
            Self::Ours { admission, waiting } => (admission.in_flight() + waiting.len()) as u32,
        }
    }
}

fn step<A>(waiting: &mut HashMap<WaitKey, A>, settled: WaitOutcome) -> Option<Step<A>> {
    match settled {
        WaitOutcome::Run(key, run) => waiting.remove(&key).map(|a| Step::Runs(a, Some(run))),
        WaitOutcome::Refused(key, _) => waiting.remove(&key).map(Step::Refused),
    }
}
