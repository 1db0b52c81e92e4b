//! One entry: where it sends calls, and what it learns from their ends.

use std::time::{Duration, Instant};

use rand::{Rng, rngs::SmallRng};
use yuccarack_config::{
    load::LoadReport,
    rules::{HedgeRules, RetryRules},
};
use yuccarack_policy::{
    choice::{Chooser, ChooserConfig, Member, MemberState, TargetAttemptOutcome, TargetKey},
    hedge::HedgePolicy,
    retry::{AttemptFailure, RetryCandidate, RetryDecision, RetryPolicy},
};

use crate::{
    baseline::Baseline,
    scenario::{Policy, SLOTS, Scenario},
};

/// Most tries of one request by a baseline.
const BASELINE_TRIES_MAX: u8 = 3;

/// How a try came back to its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Back {
    Answered,
    Refused,
    Failed,
    BrokenNotRun,
    BrokenUnknown,
}

/// One entry of the fleet.
pub struct Entry {
    pub domain: usize,
    kind: Kind,
    targets: Vec<usize>,
}

enum Kind {
    Ours(Box<Ours>),
    Baseline(Baseline),
}

struct Ours {
    chooser: Chooser,
    retry: RetryPolicy,
    hedge: HedgePolicy,
    keys: Vec<Option<TargetKey>>,
}

impl Entry {
    pub fn new(index: usize, policy: Policy, scenario: &Scenario, rng: &mut SmallRng) -> Self {
        let targets = scenario.fleet.targets;
        let domain = index % scenario.fleet.domains;
        let kind = match policy {
            Policy::Yuccarack => Kind::Ours(Box::new(Ours {
                chooser: Chooser::new(ChooserConfig::default(), domain_name(domain)),
                retry: RetryPolicy::new(&RetryRules::default()),
                hedge: HedgePolicy::new(&HedgeRules::default()),
                keys: Vec::new(),
            })),
            _ => Kind::Baseline(Baseline::new(policy, targets, rng.random_range(0..targets))),
        };
        Self { domain, kind, targets: Vec::new() }
    }

    /// Replaces the targets that the entry knows of.
    pub fn set_targets(&mut self, now: Instant, targets: &[usize], scenario: &Scenario) {
        self.targets = targets.to_vec();
        let Kind::Ours(ours) = &mut self.kind else { return };
        let members: Vec<_> = targets.iter().map(|&target| member(target, scenario)).collect();
        ours.chooser.set_members(now, &members);
        ours.keys = (0..scenario.fleet.targets)
            .map(|target| ours.chooser.key_of(&instance_name(target)))
            .collect();
    }

    /// Chooses a target for a call's next try and notes that it is sent.
    pub fn choose(&mut self, now: Instant, rng: &mut SmallRng, tried: &[usize]) -> Option<usize> {
        match &mut self.kind {
            Kind::Baseline(baseline) => baseline.choose(rng, &self.targets, tried),
            Kind::Ours(ours) => {
                let excluded: Vec<_> = tried.iter().filter_map(|&t| ours.keys[t]).collect();
                let key = ours.chooser.choose(now, rng, &excluded).ok()?;
                ours.chooser.record_attempt(now, key);
                ours.keys.iter().position(|&known| known == Some(key))
            }
        }
    }

    /// Age of what is known of a target's load.
    pub fn news_age(&self, now: Instant, target: usize) -> Option<Duration> {
        let Kind::Ours(ours) = &self.kind else { return None };
        ours.chooser.report_age(now, ours.keys[target]?)
    }

    pub fn first_try(&mut self, now: Instant) {
        let Kind::Ours(ours) = &mut self.kind else { return };
        ours.retry.record_first_attempt(now);
        ours.hedge.record_first_attempt(now);
    }

    pub fn hedge_delay(&self, now: Instant) -> Option<Duration> {
        let Kind::Ours(ours) = &self.kind else { return None };
        ours.hedge.delay(now)
    }

    pub fn spend_hedge(&mut self, now: Instant) -> bool {
        let Kind::Ours(ours) = &mut self.kind else { return false };
        ours.hedge.spend(now)
    }

    /// Learns how a try ended; `None` means that the entry gave it up.
    pub fn ended(
        &mut self,
        now: Instant,
        target: usize,
        back: Option<Back>,
        response_time: Duration,
        report: Option<LoadReport>,
    ) {
        let Kind::Ours(ours) = &mut self.kind else { return };
        let Some(key) = ours.keys[target] else { return };
        let end = match back {
            Some(Back::Answered) => TargetAttemptOutcome::Answered { response_time },
            Some(Back::Refused) => TargetAttemptOutcome::Refused,
            Some(Back::Failed) => TargetAttemptOutcome::TargetFailed { response_time },
            Some(Back::BrokenNotRun | Back::BrokenUnknown) => TargetAttemptOutcome::Broken,
            None => TargetAttemptOutcome::Cancelled,
        };
        ours.chooser.record_outcome(now, key, end, report);
        match back {
            Some(Back::Answered) => ours.hedge.record_response(now, response_time),
            Some(Back::Refused) => ours.hedge.record_refusal(now),
            _ => {}
        }
    }

    /// Whether a call is tried again after a try that brought no answer.
    pub fn tries_again(
        &mut self,
        now: Instant,
        number: u8,
        deadline: Instant,
        back: Back,
        repeatable: bool,
    ) -> bool {
        let failure = match back {
            Back::Answered => return false,
            Back::Refused => AttemptFailure::RefusedNotRun,
            Back::Failed => AttemptFailure::TargetError,
            Back::BrokenNotRun => AttemptFailure::BrokenNotRun,
            Back::BrokenUnknown => AttemptFailure::BrokenUnknown,
        };
        match &mut self.kind {
            Kind::Baseline(_) => {
                number < BASELINE_TRIES_MAX && (repeatable || !failure.may_have_run())
            }
            Kind::Ours(ours) => {
                let ended = RetryCandidate { number, deadline, failure, repeatable, depth: 1 };
                matches!(ours.retry.decide(now, ended), RetryDecision::Again { .. })
            }
        }
    }

    /// Takes the reports of all targets, as a baseline polls them.
    pub fn report(&mut self, in_flight: &[u32]) {
        if let Kind::Baseline(baseline) = &mut self.kind {
            baseline.report(in_flight);
        }
    }
}

fn member(target: usize, scenario: &Scenario) -> Member {
    Member {
        instance: instance_name(target),
        incarnation: 1,
        failure_domain: domain_name(target % scenario.fleet.domains),
        slots: SLOTS,
        state: MemberState::Ready,
    }
}

fn instance_name(target: usize) -> String {
    format!("target-{target:03}")
}

fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}
