//! Choice of the target that a request is sent to.
//!
//! Used for calls by service.
//!
//! Load shifts within milliseconds, and reports of it are already old when they arrive. Following
//! the latest report sends every entry to the same target, which is then the worst one (a herd);
//! ignoring reports keeps sending to a straggler. So a few random candidates are compared by their
//! expected response time. It is based on reports that fade toward the mean as they age, and on
//! what the entry itself observes before any report: its requests in flight, missing responses and
//! failures.

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
    load::GateLoadReport,
};

use self::target::{ServiceMeans, Target};
pub use self::{
    draw::{LOCAL_CANDIDATES, PROBE_ONE_IN, REMOTE_CANDIDATES},
    explain::{ComparedCandidateView, MemberView},
    member::{ChooserConfig, Member, MemberState, TargetAttemptOutcome},
    refusal::ChoiceRefusal,
};

new_key_type! {
    /// Key of a target at one chooser; the key of a removed target isn't used again.
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
    /// Candidates of the latest choice; the buffer is reused so that no choice allocates.
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

    /// Applies changed rules; what is known of the targets stays.
    pub fn configure(&mut self, config: ChooserConfig) {
        self.config = config;
    }

    /// Replaces the members; what is known of members with the same incarnation is kept.
    ///
    /// The first members skip the slow start, since the start of this entry says nothing about how
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
    /// Returns why no target can be chosen; the request was not sent to any target.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        excluded: &[TargetKey],
    ) -> Result<TargetKey, ChoiceRefusal> {
        let mut compared = std::mem::take(&mut self.compared);
        compared.clear();
        let best = self
            .probe_ejected(now, rng, excluded)
            .or_else(|| self.best_candidate(now, rng, excluded, &mut compared));
        self.compared = compared;
        if let Some(key) = best {
            return Ok(key);
        }
        // Every target that isn't excluded is ejected: a doubtful one is better than none.
        let mut ready = self.ready_local.iter().chain(&self.ready_remote);
        ready.find(|key| !excluded.contains(key)).copied().ok_or_else(|| self.refusal())
    }

    /// Records that an attempt was sent to the target.
    pub fn record_attempt(&mut self, now: Instant, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_attempt(now);
        }
    }

    /// Records the outcome of an attempt and the load report that came with the response.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        key: TargetKey,
        outcome: TargetAttemptOutcome,
        report: Option<GateLoadReport>,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.record_end(now);
        if let Some(report) = report {
            target.record_report(now, report, &mut self.mean);
        }
        match outcome {
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

    /// Records a load report that didn't come with a response.
    pub fn record_report(&mut self, now: Instant, key: TargetKey, report: GateLoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_report(now, report, &mut self.mean);
        }
    }

    /// Returns the key of an instance while it is a member.
    pub fn key_of(&self, instance: &str) -> Option<TargetKey> {
        self.keys.get(instance).copied()
    }

    /// Returns the instance of a key while it is a member.
    pub fn instance_of(&self, key: TargetKey) -> Option<&InstanceId> {
        self.targets.get(key).map(|target| &target.instance)
    }

    /// Returns the age of the latest load report of a target.
    pub fn report_age(&self, now: Instant, key: TargetKey) -> Option<Duration> {
        let reported_at = self.targets.get(key)?.reported_at?;
        Some(now.saturating_duration_since(reported_at))
    }

    /// Returns the candidates that the latest choice compared; none when it probed an ejected
    /// target.
    pub fn compared(&self, now: Instant) -> Vec<ComparedCandidateView> {
        let known = self.compared.iter().filter_map(|candidate| {
            let target = self.targets.get(candidate.key)?;
            Some(ComparedCandidateView::new(now, target, candidate.expected_us))
        });
        known.collect()
    }

    /// Returns what is known of each member, sorted by instance.
    pub fn explain(&self, now: Instant) -> Vec<MemberView> {
        let mut views: Vec<_> = self
            .targets
            .iter()
            .map(|(key, target)| {
                MemberView::new(now, key, target, &self.mean, self.config.remote_penalty)
            })
            .collect();
        views.sort_by(|left, right| left.instance.cmp(&right.instance));
        views
    }

    fn update_or_insert(
        &mut self,
        now: Instant,
        member: &Member,
        skips_slow_start: bool,
    ) -> TargetKey {
        let is_local = member.failure_domain == self.local_domain;
        if let Some(&key) = self.keys.get(&member.instance)
            && let Some(target) = self.targets.get_mut(key)
            && target.incarnation == member.incarnation
        {
            target.update(now, member, is_local);
            return key;
        }
        self.targets.insert(Target::new(now, member, is_local, skips_slow_start))
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
        let any_starting =
            self.targets.values().any(|target| target.state == MemberState::Starting);
        if any_starting { ChoiceRefusal::AllStarting } else { ChoiceRefusal::AllDraining }
    }
}
