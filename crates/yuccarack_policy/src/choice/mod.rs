//! Which target a request goes to.
//!
//! The pattern is load that shifts within milliseconds, seen through news that is already old.
//! Following the best news sends every entry to the same target, which is then the worst (a herd);
//! ignoring news keeps feeding a straggler. So a few random candidates are compared by the time
//! until they would answer, with news that fades toward the mean as it ages, and with what this
//! entry sees itself (requests it has out, answers that don't come, failures) before any report.

mod draw;
mod explain;
mod member;
mod refusal;
mod target;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::Rng;
use slotmap::{SlotMap, new_key_type};
use yuccarack_config::{
    ids::{DomainName, InstanceId},
    load::LoadReport,
};

use self::target::{ServiceMeans, Target};
pub use self::{
    draw::{LOCAL_CANDIDATES, PROBE_ONE_IN, REMOTE_CANDIDATES},
    explain::{CandidateView, ComparedCandidateView},
    member::{ChooserConfig, Member, MemberState, TargetAttemptOutcome},
    refusal::ChoiceRefusal,
};

new_key_type! {
    /// Key of a target at one chooser; a key of a target that has left stays unused.
    pub struct TargetKey;
}

/// Chooses targets of one service at one entry.
#[derive(Clone, Debug)]
pub struct Chooser {
    config: ChooserConfig,
    local_domain: DomainName,
    targets: SlotMap<TargetKey, Target>,
    keys: HashMap<InstanceId, TargetKey>,
    ready_local: Vec<TargetKey>,
    ready_remote: Vec<TargetKey>,
    ejected: Vec<TargetKey>,
    mean: ServiceMeans,
    /// Candidates of the latest choice; kept between choices so that none allocates.
    compared: Vec<Candidate>,
}

/// A candidate of a choice.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: TargetKey,
    expected_us: f32,
}

impl Chooser {
    /// Creates a chooser without members for an entry in `local_domain`.
    pub fn new(config: ChooserConfig, local_domain: DomainName) -> Self {
        Self {
            config,
            local_domain,
            targets: SlotMap::with_key(),
            keys: HashMap::new(),
            ready_local: Vec::new(),
            ready_remote: Vec::new(),
            ejected: Vec::new(),
            mean: ServiceMeans::default(),
            compared: Vec::with_capacity(LOCAL_CANDIDATES + REMOTE_CANDIDATES),
        }
    }

    /// Puts changed rules in force; what is known of targets stays.
    pub fn configure(&mut self, config: ChooserConfig) {
        self.config = config;
    }

    /// Replaces the members; what is known of those that stay in the same life is kept.
    ///
    /// The first members count as warm: that this entry has just started says nothing about how
    /// long its targets have run. Those that join later start slowly.
    pub fn set_members(&mut self, now: Instant, members: &[Member]) {
        let are_first = self.targets.is_empty();
        let mut keys = HashMap::with_capacity(members.len());
        for member in members {
            let key = self.update_or_insert(now, member, are_first);
            keys.insert(member.instance.clone(), key);
        }
        self.targets.retain(|key, target| keys.get(&target.instance) == Some(&key));
        self.keys = keys;
        let targets = &self.targets;
        self.ejected.retain(|&key| targets.contains_key(key));
        self.rebuild_ready_lists();
    }

    /// Chooses a target that isn't excluded.
    ///
    /// # Errors
    ///
    /// Says why no target can be chosen; the request was not handed to anyone.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        excluded: &[TargetKey],
    ) -> Result<TargetKey, ChoiceRefusal> {
        let mut weighed = std::mem::take(&mut self.compared);
        weighed.clear();
        let best = self
            .probe_ejected(now, rng, excluded)
            .or_else(|| self.best_candidate(now, rng, excluded, &mut weighed));
        self.compared = weighed;
        if let Some(key) = best {
            return Ok(key);
        }
        // Every target that isn't excluded is ejected: a doubtful one is better than none.
        let mut ready = self.ready_local.iter().chain(&self.ready_remote);
        ready.find(|key| !excluded.contains(key)).copied().ok_or_else(|| self.refusal())
    }

    /// Notes that a try was sent to the target.
    pub fn record_attempt(&mut self, now: Instant, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_attempt(now);
        }
    }

    /// Notes how a try ended, with the load that came with the answer.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        key: TargetKey,
        end: TargetAttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.record_end(now);
        if let Some(report) = report {
            target.record_report(now, report, &mut self.mean);
        }
        match end {
            TargetAttemptOutcome::Answered { response_time } => {
                target.record_response(response_time, &mut self.mean);
                if target.has_recovered() {
                    target.readmit(now);
                    self.ejected.retain(|&ejected| ejected != key);
                }
            }
            TargetAttemptOutcome::TargetFailed { .. } | TargetAttemptOutcome::Broken => {
                target.record_failure(now)
            }
            TargetAttemptOutcome::Refused => target.record_refusal(now),
            TargetAttemptOutcome::Cancelled => {}
        }
        self.eject_if_failing(now, key);
    }

    /// Takes a load report that came by another way than an answer.
    pub fn record_report(&mut self, now: Instant, key: TargetKey, report: LoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_report(now, report, &mut self.mean);
        }
    }

    /// The key of an instance, while it is a member.
    pub fn key_of(&self, instance: &str) -> Option<TargetKey> {
        self.keys.get(instance).copied()
    }

    /// The instance behind a key, while it is a member.
    pub fn instance_of(&self, key: TargetKey) -> Option<&InstanceId> {
        self.targets.get(key).map(|target| &target.instance)
    }

    /// Age of the latest load report of a target.
    pub fn report_age(&self, now: Instant, key: TargetKey) -> Option<Duration> {
        let reported_at = self.targets.get(key)?.reported_at?;
        Some(now.saturating_duration_since(reported_at))
    }

    /// The candidates that the latest choice compared; none when a trickle went out.
    pub fn compared(&self, now: Instant) -> Vec<ComparedCandidateView> {
        let known = self.compared.iter().filter_map(|weighed| {
            let target = self.targets.get(weighed.key)?;
            Some(ComparedCandidateView::new(now, target, weighed.expected_us))
        });
        known.collect()
    }

    /// What is known of each member, in the order of their names.
    pub fn explain(&self, now: Instant) -> Vec<CandidateView> {
        let mut views: Vec<_> = self
            .targets
            .iter()
            .map(|(key, target)| {
                CandidateView::new(now, key, target, &self.mean, self.config.remote_penalty)
            })
            .collect();
        views.sort_by(|left, right| left.instance.cmp(&right.instance));
        views
    }

    fn update_or_insert(&mut self, now: Instant, member: &Member, is_warm: bool) -> TargetKey {
        let is_local = member.failure_domain == self.local_domain;
        if let Some(&key) = self.keys.get(&member.instance)
            && let Some(target) = self.targets.get_mut(key)
            && target.incarnation == member.incarnation
        {
            target.update(now, member, is_local);
            return key;
        }
        self.targets.insert(Target::new(now, member, is_local, is_warm))
    }

    fn rebuild_ready_lists(&mut self) {
        self.ready_local.clear();
        self.ready_remote.clear();
        for (key, target) in &self.targets {
            match (target.state, target.is_local) {
                (MemberState::Ready, true) => self.ready_local.push(key),
                (MemberState::Ready, false) => self.ready_remote.push(key),
                (MemberState::Starting | MemberState::Draining, _) => {}
            }
        }
    }

    fn eject_if_failing(&mut self, now: Instant, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else { return };
        if target.is_ejected() {
            return;
        }
        let ready = self.ready_local.len() + self.ready_remote.len();
        let ejected_max = ready * usize::from(self.config.ejected_max_percent) / 100;
        let has_room = self.ejected.len() < ejected_max;
        if has_room && target.failures_in_row >= self.config.failures_in_row {
            target.eject(now);
            self.ejected.push(key);
        }
    }

    fn refusal(&self) -> ChoiceRefusal {
        if self.targets.is_empty() {
            return ChoiceRefusal::NoMembers;
        }
        if !self.ready_local.is_empty() || !self.ready_remote.is_empty() {
            return ChoiceRefusal::AllExcluded;
        }
        let any_starting = self.targets.values().any(|t| t.state == MemberState::Starting);
        if any_starting { ChoiceRefusal::AllStarting } else { ChoiceRefusal::AllDraining }
    }
}
