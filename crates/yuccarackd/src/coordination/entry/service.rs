//! One service as this entry sees it: the policies with what they have learnt.

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
        CallEnd, ChoiceRefusal, Chooser, ChooserConfig, Member, MemberState, TargetKey, WeighedView,
    },
    hedge::HedgePolicy,
    retry::{RetryDecision, RetryPolicy, Try},
};

use crate::state::directory::ServiceView;

/// The policies of one service at this entry.
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

/// A gate that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenGate {
    /// Its target at the chooser.
    pub key: TargetKey,
    /// Its instance.
    pub instance: InstanceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The candidates that were compared.
    pub candidates: Vec<WeighedView>,
}

impl EntryService {
    /// Starts with the rules and members of `view`; `home` is this instance's failure domain.
    ///
    /// # Errors
    ///
    /// The absence of rules.
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

    /// Follows changed rules and members.
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

    /// Notes a call's first try, which earns budgets their share.
    pub fn record_first_attempt(&self, now: Instant) {
        let mut policies = self.policies.lock();
        policies.retry.first_try(now);
        policies.hedge.first_try(now);
    }

    /// Chooses a gate that hasn't been tried and notes the try.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn start_attempt(
        &self,
        now: Instant,
        attempted: &[TargetKey],
    ) -> Result<ChosenGate, ChoiceRefusal> {
        let policies = &mut *self.policies.lock();
        let key = policies.chooser.choose(now, &mut policies.rng, attempted)?;
        let instance = policies.chooser.instance_of(key).ok_or(ChoiceRefusal::NoMembers)?.clone();
        let address = *policies.gates.get(&instance).ok_or(ChoiceRefusal::NoMembers)?;
        let candidates = policies.chooser.weighed(now);
        policies.chooser.started(now, key);
        Ok(ChosenGate { key, instance, address, candidates })
    }

    /// Notes how a try ended.
    pub fn record_attempt_end(
        &self,
        now: Instant,
        key: TargetKey,
        end: CallEnd,
        load: Option<LoadReport>,
    ) {
        let mut policies = self.policies.lock();
        policies.chooser.finished(now, key, end, load);
        match end {
            CallEnd::Answered { took } => policies.hedge.answered(now, took),
            CallEnd::Refused => policies.hedge.refused(now),
            CallEnd::TargetFailed { .. } | CallEnd::Broken | CallEnd::Cancelled => {}
        }
    }

    /// Whether a failed try is worth another.
    pub fn decide_retry(&self, now: Instant, ended_attempt: Try) -> RetryDecision {
        self.policies.lock().retry.decide(now, ended_attempt)
    }

    /// Time after which a second gate is asked, if at all.
    pub fn hedge_delay(&self, now: Instant) -> Option<Duration> {
        self.policies.lock().hedge.delay(now)
    }

    /// Pays for a hedge.
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

/// A service without rules, which no call can be for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no rules of the service are in force")]
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
