//! State of one service at an entry: its members and the policies for choice, retries and hedges.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng};
use yuccarack_config::{
    ids::{DomainName, InstanceId, Revision},
    load::LoadReport,
};
use yuccarack_platform::rows::{MemberRow, TargetState};
use yuccarack_policy::{
    choice::{
        ChoiceRefusal, Chooser, ChooserConfig, ComparedCandidateView, Member, MemberState,
        TargetAttemptOutcome, TargetKey,
    },
    hedge::HedgePolicy,
    retry::{RetryCandidate, RetryDecision, RetryPolicy},
};

use crate::state::directory::ServiceView;

/// A service at one entry.
pub struct EntryService {
    policies: Mutex<Policies>,
}

struct Policies {
    generation: u64,
    rules_revision: Revision,
    chooser: Chooser,
    retry: RetryPolicy,
    hedge: HedgePolicy,
    gates: HashMap<InstanceId, SocketAddr>,
    rng: SmallRng,
}

/// A gate chosen for an attempt, which counts as sent there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenGate {
    /// Key of the gate's target in the chooser.
    pub key: TargetKey,
    /// Instance that the gate runs on.
    pub instance: InstanceId,
    /// Address on which the gate accepts requests.
    pub address: SocketAddr,
    /// Candidates that were compared, for the call log.
    pub candidates: Vec<ComparedCandidateView>,
}

impl EntryService {
    /// Creates a service with the rules and members of `view`. Targets in `local_domain`, which is
    /// the failure domain of this instance, are preferred.
    ///
    /// # Errors
    ///
    /// Returns an error if `view` has no rules.
    pub fn new(view: &ServiceView, local_domain: DomainName) -> Result<Self, NoRules> {
        let rules = view.rules.as_ref().ok_or(NoRules)?;
        let mut policies = Policies {
            generation: view.generation,
            rules_revision: view.rules_revision,
            chooser: Chooser::new(ChooserConfig::new(&rules.ejection), local_domain),
            retry: RetryPolicy::new(&rules.retry),
            hedge: HedgePolicy::new(&rules.hedge),
            gates: HashMap::new(),
            rng: SmallRng::from_os_rng(),
        };
        policies.set_members(&view.members);
        Ok(Self { policies: Mutex::new(policies) })
    }

    /// Applies the rules and members of `view` if they have changed.
    pub fn sync_view(&self, view: &ServiceView) {
        let mut policies = self.policies.lock();
        if policies.generation == view.generation {
            return;
        }
        policies.generation = view.generation;
        policies.set_members(&view.members);
        if policies.rules_revision == view.rules_revision {
            return;
        }
        let Some(rules) = &view.rules else {
            return;
        };
        policies.rules_revision = view.rules_revision;
        policies.chooser.configure(ChooserConfig::new(&rules.ejection));
        policies.retry = RetryPolicy::new(&rules.retry);
        policies.hedge = HedgePolicy::new(&rules.hedge);
    }

    /// Records the first attempt of a call, which adds its share to the retry and hedge budgets.
    pub fn record_first_attempt(&self, now: Instant) {
        let mut policies = self.policies.lock();
        policies.retry.record_first_attempt(now);
        policies.hedge.record_first_attempt(now);
    }

    /// Chooses a gate that isn't in `attempted` and records the start of an attempt there.
    ///
    /// # Errors
    ///
    /// Returns why there is no such gate.
    pub fn start_attempt(
        &self,
        now: Instant,
        attempted: &[TargetKey],
    ) -> Result<ChosenGate, ChoiceRefusal> {
        let policies = &mut *self.policies.lock();
        let key = policies.chooser.choose(now, &mut policies.rng, attempted)?;
        let instance = policies.chooser.instance_of(key).ok_or(ChoiceRefusal::NoMembers)?.clone();
        let address = *policies.gates.get(&instance).ok_or(ChoiceRefusal::NoMembers)?;
        let candidates = policies.chooser.compared(now);
        policies.chooser.record_attempt(now, key);
        Ok(ChosenGate { key, instance, address, candidates })
    }

    /// Records how an attempt ended and the load that its gate reported.
    pub fn record_attempt_end(
        &self,
        now: Instant,
        key: TargetKey,
        end: TargetAttemptOutcome,
        load: Option<LoadReport>,
    ) {
        let mut policies = self.policies.lock();
        policies.chooser.record_outcome(now, key, end, load);
        match end {
            TargetAttemptOutcome::Answered { response_time } => {
                policies.hedge.record_response(now, response_time)
            }
            TargetAttemptOutcome::Refused => policies.hedge.record_refusal(now),
            TargetAttemptOutcome::TargetFailed { .. }
            | TargetAttemptOutcome::Broken
            | TargetAttemptOutcome::Cancelled => {}
        }
    }

    /// Decides on another attempt after a failed one.
    pub fn decide_retry(&self, now: Instant, ended_attempt: RetryCandidate) -> RetryDecision {
        self.policies.lock().retry.decide(now, ended_attempt)
    }

    /// Returns the time after which a hedge is sent; `None` if no hedges are sent.
    pub fn hedge_delay(&self, now: Instant) -> Option<Duration> {
        self.policies.lock().hedge.delay(now)
    }

    /// Takes a hedge from the budget; returns `false` if the budget is used up.
    pub fn spend_hedge(&self, now: Instant) -> bool {
        self.policies.lock().hedge.spend(now)
    }
}

impl Policies {
    fn set_members(&mut self, rows: &Arc<Vec<MemberRow>>) {
        let members: Vec<Member> = rows.iter().filter_map(member).collect();
        self.chooser.set_members(Instant::now(), &members);
        self.gates = rows.iter().map(|row| (row.instance.clone(), row.gate_address)).collect();
    }
}

/// Error for a service without rules, to which no call can be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the service has no rules in force")]
pub struct NoRules;

fn member(row: &MemberRow) -> Option<Member> {
    let state = match row.state {
        TargetState::Starting => MemberState::Starting,
        TargetState::Ready => MemberState::Ready,
        TargetState::Draining => MemberState::Draining,
        TargetState::Gone => return None,
    };
    Some(Member {
        instance: row.instance.clone(),
        incarnation: row.incarnation,
        failure_domain: row.failure_domain.clone(),
        slots: row.slots,
        state,
    })
}
