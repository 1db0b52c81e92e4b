//! A service at an entry: its gates, their load and the budget for extra attempts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SecondaryMap;
use yuccarack_config::{
    ids::{DomainName, InstanceId, RegionName},
    routed_settings::RoutedSettings,
};
use yuccarack_policy::{
    extra_attempts::{ExtraAttempts, FailedGateAttempt, NoExtraAttemptReason},
    placement::{
        AttemptHistory, ExpectedRequest, GateAttemptOutcome, GateKey, LinkReport, Placement,
    },
};

use crate::protocol::{
    gate_capacity::GateCapacity, gate_status::GateStatus, peer_update::RoutedMember,
    target_announcement::TargetAnnouncement,
};

/// Weight of a reported value in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// A service at one entry.
pub struct RoutedService {
    state: Mutex<State>,
}

struct State {
    generation: u64,
    placement: Placement,
    key_by_instance: HashMap<InstanceId, GateKey>,
    member_by_key: SecondaryMap<GateKey, Arc<RoutedMember>>,
    /// What targets announced with the latest responses that this entry passed on.
    announcement_by_key: SecondaryMap<GateKey, TargetAnnouncement>,
    extra_attempts: ExtraAttempts,
    mean_service_time: Option<Duration>,
    rng: SmallRng,
}

/// A gate chosen for an attempt, which counts as sent there.
#[derive(Clone, Debug)]
pub struct ChosenGate {
    /// Key of the gate in the placement.
    pub key: GateKey,
    /// Member that the gate belongs to.
    pub member: Arc<RoutedMember>,
    /// Whether the request may be queued there.
    pub may_wait: bool,
    /// What its target announced with a response that this entry passed on.
    pub announcement: Option<TargetAnnouncement>,
}

impl ChosenGate {
    /// Returns the address on which the gate is reached.
    pub fn address(&self) -> SocketAddr {
        self.member.gate_address
    }
}

/// Membership that a service at an entry needs.
pub struct MembershipUpdate<'a> {
    /// Failure domain of this entry, whose gates are preferred.
    pub local_domain: &'a DomainName,
    /// Instances that run targets of the service.
    pub members: Vec<Arc<RoutedMember>>,
    /// Number of all instances, each of which has an entry.
    pub entries: usize,
}

/// Mean service time until a gate reports one. It lies between the shortest and the longest kinds.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

impl RoutedService {
    /// Creates a service without gates. `has_exact_reserve` is whether the reserve of extra attempts
    /// is divided without rounding.
    pub fn new(settings: &RoutedSettings, entries: usize, has_exact_reserve: bool) -> Self {
        let bounds = &settings.bounds;
        let mut extra_attempts =
            ExtraAttempts::new(bounds.extra_tries_percent, bounds.extra_tries, entries);
        extra_attempts.set_exact_reserve(has_exact_reserve);
        let state = State {
            generation: 0,
            placement: Placement::new().with_decisions(settings.decisions),
            key_by_instance: HashMap::new(),
            member_by_key: SecondaryMap::new(),
            announcement_by_key: SecondaryMap::new(),
            extra_attempts,
            mean_service_time: None,
            rng: SmallRng::from_rng(&mut rand::rng()),
        };
        Self { state: Mutex::new(state) }
    }

    /// Returns whether the membership of `generation` or a later one has been applied.
    pub fn has_synced(&self, generation: u64) -> bool {
        self.state.lock().generation >= generation
    }

    /// Applies a membership update; one of an older generation has no effect.
    pub fn sync_members(&self, generation: u64, update: MembershipUpdate<'_>) {
        let MembershipUpdate { local_domain, members, entries } = update;
        let state = &mut *self.state.lock();
        if state.generation >= generation {
            return;
        }
        state.generation = generation;
        state.extra_attempts.set_entry_count(entries);
        let mut removed = std::mem::take(&mut state.key_by_instance);
        for member in members {
            let key = match removed.remove(&member.instance) {
                Some(key) => key,
                None => state.placement.add(member.failure_domain == *local_domain),
            };
            let old = state.member_by_key.insert(key, Arc::clone(&member));
            if old.is_some_and(|old| *old != *member) {
                state.placement.mark_reachable(key);
            }
            state.key_by_instance.insert(member.instance.clone(), key);
        }
        for key in removed.into_values() {
            state.placement.remove(key);
            state.member_by_key.remove(key);
            state.announcement_by_key.remove(key);
        }
    }

    /// Excludes gates outside of `home_regions` from further attempts; an empty list excludes none.
    pub fn restrict_to_home_regions(
        &self,
        history: &mut AttemptHistory,
        home_regions: &[RegionName],
        settings: &RoutedSettings,
    ) {
        if home_regions.is_empty() {
            return;
        }
        let is_in_home_region = |member: &RoutedMember| {
            settings
                .region_of(&member.failure_domain)
                .is_some_and(|region| home_regions.contains(region))
        };
        let state = self.state.lock();
        let outside = state.member_by_key.iter().filter(|(_, member)| !is_in_home_region(member));
        history.set_excluded(outside.map(|(key, _)| key).collect());
    }

    /// Records a request, which adds its share to the budget of extra attempts.
    pub fn record_request(&self) {
        self.state.lock().extra_attempts.earn();
    }

    /// Chooses a gate for a request whose earlier attempts are in `history`, and counts the request
    /// as sent there.
    ///
    /// `response_bytes` is the usual size of the response, if the choice depends on it.
    pub fn choose(
        &self,
        now: Instant,
        history: &AttemptHistory,
        response_bytes: Option<u64>,
    ) -> Option<ChosenGate> {
        let state = &mut *self.state.lock();
        let mean_service_time = state.mean_service_time.unwrap_or(DEFAULT_SERVICE_TIME);
        let request = ExpectedRequest { mean_service_time, response_bytes };
        let placed = state.placement.choose(now, &mut state.rng, history, request)?;
        let member = Arc::clone(state.member_by_key.get(placed.gate)?);
        state.placement.record_attempt(placed.gate);
        if let Some(bytes) = response_bytes {
            state.placement.record_expected_response(placed.gate, bytes);
        }
        let announcement = state.announcement_by_key.get(placed.gate).copied();
        Some(ChosenGate { key: placed.gate, member, may_wait: placed.may_wait, announcement })
    }

    /// Returns the unreachable gates with their addresses.
    pub fn unreachable_gates(&self) -> Vec<(GateKey, SocketAddr)> {
        let state = self.state.lock();
        let with_address = |key| Some((key, state.member_by_key.get(key)?.gate_address));
        state.placement.unreachable_gates().filter_map(with_address).collect()
    }

    /// Marks a gate as reachable after a connection to it succeeded.
    pub fn mark_reachable(&self, key: GateKey) {
        self.state.lock().placement.mark_reachable(key);
    }

    /// Records how an attempt at a gate ended.
    pub fn record_attempt_outcome(&self, now: Instant, key: GateKey, outcome: GateAttemptOutcome) {
        let state = &mut *self.state.lock();
        state.placement.record_outcome(now, key, outcome);
        if outcome == GateAttemptOutcome::Answered {
            state.extra_attempts.record_success();
        }
    }

    /// Records the status that a gate reports; `has_response` is whether it came with a response of
    /// the target.
    ///
    /// A gate that has restarted doesn't know what its target announced before, so only a response
    /// of the target without an announcement ends the earlier one.
    pub fn record_status(
        &self,
        now: Instant,
        key: GateKey,
        status: GateStatus,
        has_response: bool,
    ) {
        let load = status.load;
        let state = &mut *self.state.lock();
        match status.announcement {
            Some(announcement) => {
                state.announcement_by_key.insert(key, announcement);
            }
            None if has_response => {
                state.announcement_by_key.remove(key);
            }
            None => {}
        }
        state.placement.record_load(now, key, load);
        if load.mean_service_time.is_zero() {
            return;
        }
        let mean = state.mean_service_time.unwrap_or(load.mean_service_time);
        let reported = load.mean_service_time.mul_f64(SERVICE_TIME_WEIGHT);
        state.mean_service_time = Some(mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + reported);
    }

    /// Records the capacity that a gate reports; without a report the gate counts as unrestricted.
    pub fn record_capacity(&self, now: Instant, key: GateKey, capacity: GateCapacity) {
        let kbit_per_s = capacity.link_kbit_per_s;
        let report = capacity.link_backlog.map(|backlog| LinkReport { backlog, kbit_per_s });
        self.state.lock().placement.record_link(now, key, report);
    }

    /// Decides on an extra attempt after a failed one, and takes it from the budget.
    ///
    /// # Errors
    ///
    /// Returns why no further attempt is made.
    pub fn decide_extra_attempt(
        &self,
        failure: FailedGateAttempt,
    ) -> Result<(), NoExtraAttemptReason> {
        let state = &mut *self.state.lock();
        state.extra_attempts.decide(&mut state.rng, failure)
    }
}
