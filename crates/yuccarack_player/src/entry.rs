//! One entry: chooses targets for calls and records the results of attempts.

use std::time::{Duration, Instant};

use rand::{Rng, rngs::SmallRng};
use yuccarack_config::{
    load::GateLoadReport,
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

/// Highest number of attempts of one request by a baseline.
const BASELINE_ATTEMPTS_MAX: u8 = 3;

/// Result of an attempt as its entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Answered,
    Refused,
    Failed,
    BrokenNotRun,
    BrokenUnknown,
}

/// One entry of the fleet, in a failure domain.
pub struct Entry {
    pub domain: usize,
    balancer: Balancer,
    targets: Vec<usize>,
}

enum Balancer {
    Yuccarack(Box<YuccarackBalancer>),
    Baseline(Baseline),
}

struct YuccarackBalancer {
    chooser: Chooser,
    retry: RetryPolicy,
    hedge: HedgePolicy,
    keys: Vec<Option<TargetKey>>,
}

impl Entry {
    pub fn new(index: usize, policy: Policy, scenario: &Scenario, rng: &mut SmallRng) -> Self {
        let targets = scenario.fleet.targets;
        let domain = index % scenario.fleet.domains;
        let balancer = match policy {
            Policy::Yuccarack => Balancer::Yuccarack(Box::new(YuccarackBalancer {
                chooser: Chooser::new(ChooserConfig::default(), domain_name(domain)),
                retry: RetryPolicy::new(&RetryRules::default()),
                hedge: HedgePolicy::new(&HedgeRules::default()),
                keys: Vec::new(),
            })),
            _ => Balancer::Baseline(Baseline::new(policy, targets, rng.random_range(0..targets))),
        };
        Self { domain, balancer, targets: Vec::new() }
    }

    /// Replaces the targets known to the entry.
    pub fn set_targets(&mut self, now: Instant, targets: &[usize], scenario: &Scenario) {
        self.targets = targets.to_vec();
        let Balancer::Yuccarack(balancer) = &mut self.balancer else { return };
        let members: Vec<_> = targets.iter().map(|&target| member(target, scenario)).collect();
        balancer.chooser.set_members(now, &members);
        balancer.keys = (0..scenario.fleet.targets)
            .map(|target| balancer.chooser.key_of(&instance_name(target)))
            .collect();
    }

    /// Chooses a target for a call's next attempt and records the attempt as sent.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut SmallRng,
        attempted: &[usize],
    ) -> Option<usize> {
        match &mut self.balancer {
            Balancer::Baseline(baseline) => baseline.choose(rng, &self.targets, attempted),
            Balancer::Yuccarack(balancer) => {
                let excluded: Vec<_> = attempted.iter().filter_map(|&t| balancer.keys[t]).collect();
                let key = balancer.chooser.choose(now, rng, &excluded).ok()?;
                balancer.chooser.record_attempt(now, key);
                balancer.keys.iter().position(|&other| other == Some(key))
            }
        }
    }

    /// Returns the age of the latest load report of a target; `None` under a baseline.
    pub fn report_age(&self, now: Instant, target: usize) -> Option<Duration> {
        let Balancer::Yuccarack(balancer) = &self.balancer else { return None };
        balancer.chooser.report_age(now, balancer.keys[target]?)
    }

    pub fn record_first_attempt(&mut self, now: Instant) {
        let Balancer::Yuccarack(balancer) = &mut self.balancer else { return };
        balancer.retry.record_first_attempt(now);
        balancer.hedge.record_first_attempt(now);
    }

    pub fn hedge_delay(&self, now: Instant) -> Option<Duration> {
        let Balancer::Yuccarack(balancer) = &self.balancer else { return None };
        balancer.hedge.delay(now)
    }

    /// Takes one hedge from the budget; returns `false` if none is left, or under a baseline.
    pub fn try_take_hedge(&mut self, now: Instant) -> bool {
        let Balancer::Yuccarack(balancer) = &mut self.balancer else { return false };
        balancer.hedge.spend(now)
    }

    /// Records how an attempt ended; a `result` of `None` means that the entry cancelled it.
    pub fn record_attempt_end(
        &mut self,
        now: Instant,
        target: usize,
        result: Option<AttemptResult>,
        response_time: Duration,
        report: Option<GateLoadReport>,
    ) {
        let Balancer::Yuccarack(balancer) = &mut self.balancer else { return };
        let Some(key) = balancer.keys[target] else { return };
        let outcome = match result {
            Some(AttemptResult::Answered) => TargetAttemptOutcome::Answered { response_time },
            Some(AttemptResult::Refused) => TargetAttemptOutcome::Refused,
            Some(AttemptResult::Failed) => TargetAttemptOutcome::TargetFailed { response_time },
            Some(AttemptResult::BrokenNotRun | AttemptResult::BrokenUnknown) => {
                TargetAttemptOutcome::Broken
            }
            None => TargetAttemptOutcome::Cancelled,
        };
        balancer.chooser.record_outcome(now, key, outcome, report);
        match result {
            Some(AttemptResult::Answered) => balancer.hedge.record_response(now, response_time),
            Some(AttemptResult::Refused) => balancer.hedge.record_refusal(now),
            _ => {}
        }
    }

    /// Returns whether to retry a call after an attempt without a successful response.
    pub fn should_retry(
        &mut self,
        now: Instant,
        number: u8,
        deadline: Instant,
        result: AttemptResult,
        is_repeatable: bool,
    ) -> bool {
        let failure = match result {
            AttemptResult::Answered => return false,
            AttemptResult::Refused => AttemptFailure::RefusedNotRun,
            AttemptResult::Failed => AttemptFailure::TargetError,
            AttemptResult::BrokenNotRun => AttemptFailure::BrokenNotRun,
            AttemptResult::BrokenUnknown => AttemptFailure::BrokenUnknown,
        };
        match &mut self.balancer {
            Balancer::Baseline(_) => {
                number < BASELINE_ATTEMPTS_MAX && (is_repeatable || !failure.may_have_run())
            }
            Balancer::Yuccarack(balancer) => {
                let candidate =
                    RetryCandidate { number, deadline, failure, is_repeatable, depth: 1 };
                matches!(balancer.retry.decide(now, candidate), RetryDecision::Again { .. })
            }
        }
    }

    /// Passes the polled reports of all targets to a baseline; ignored by the project's policies.
    pub fn record_reports(&mut self, in_flight: &[u32]) {
        if let Balancer::Baseline(baseline) = &mut self.balancer {
            baseline.record_reports(in_flight);
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
