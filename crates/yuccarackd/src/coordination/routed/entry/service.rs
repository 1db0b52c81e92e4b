//! One service as an entry sees it: its gates and the allowance for further tries.

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
    extra_tries::{BadTry, ExtraTries, NoMore},
    placement::{Asked, GateKey, GateLoad, Placement, TryEnd},
};

use crate::protocol::peer_news::RoutedMember;

/// Weight of what a gate tells in the mean time of the service's work.
const WORK_WEIGHT: f64 = 0.1;

/// One service at one entry.
pub struct RoutedService {
    state: Mutex<State>,
}

struct State {
    generation: u64,
    placement: Placement,
    known: HashMap<InstanceId, GateKey>,
    chosen_by: SecondaryMap<GateKey, Arc<RoutedMember>>,
    extra_tries: ExtraTries,
    mean_work: Option<Duration>,
    rng: SmallRng,
}

/// A gate that was chosen.
#[derive(Clone, Debug)]
pub struct ChosenGate {
    /// Its key at the placement.
    pub key: GateKey,
    /// Who it is.
    pub member: Arc<RoutedMember>,
    /// Whether the request may wait there.
    pub may_wait: bool,
}

impl ChosenGate {
    /// Where it is reached.
    pub fn address(&self) -> SocketAddr {
        self.member.gate_address
    }
}

/// What a service at an entry has to know of the members.
pub struct Followed<'a> {
    /// Failure domain of this entry.
    pub home: &'a DomainName,
    /// Instances that serve it.
    pub members: Vec<Arc<RoutedMember>>,
    /// All instances; each has an entry.
    pub entries: usize,
}

/// Work of a service of which nothing is known yet; between today's shortest and longest kinds.
const WORK_UNKNOWN: Duration = Duration::from_millis(100);

impl RoutedService {
    /// Starts without gates.
    pub fn new(settings: &RoutedSettings, entries: usize) -> Self {
        let bounds = &settings.bounds;
        let state = State {
            generation: 0,
            placement: Placement::new().with_decisions(settings.decisions),
            known: HashMap::new(),
            chosen_by: SecondaryMap::new(),
            extra_tries: ExtraTries::new(bounds.extra_tries_percent, bounds.extra_tries, entries),
            mean_work: None,
            rng: SmallRng::from_rng(&mut rand::rng()),
        };
        Self { state: Mutex::new(state) }
    }

    /// Whether it has followed the members up to `generation`.
    pub fn has_followed(&self, generation: u64) -> bool {
        self.state.lock().generation >= generation
    }

    /// Follows who serves it and who calls.
    pub fn follow(&self, generation: u64, news: Followed<'_>) {
        let Followed { home, members, entries } = news;
        let state = &mut *self.state.lock();
        if state.generation >= generation {
            return;
        }
        state.generation = generation;
        state.extra_tries.share_among(entries);
        let mut gone = std::mem::take(&mut state.known);
        for member in members {
            let key = match gone.remove(&member.instance) {
                Some(key) => key,
                None => state.placement.add(member.failure_domain == *home),
            };
            let old = state.chosen_by.insert(key, Arc::clone(&member));
            if old.is_some_and(|old| *old != *member) {
                state.placement.renewed(key);
            }
            state.known.insert(member.instance.clone(), key);
        }
        for key in gone.into_values() {
            state.placement.remove(key);
            state.chosen_by.remove(key);
        }
    }

    /// Keeps the request of `asked` from the gates of other regions than its homes.
    pub fn keep_home(&self, asked: &mut Asked, homes: &[RegionName], settings: &RoutedSettings) {
        if homes.is_empty() {
            return;
        }
        let is_home = |member: &RoutedMember| {
            settings.region_of(&member.failure_domain).is_some_and(|region| homes.contains(region))
        };
        let state = self.state.lock();
        let outside = state.chosen_by.iter().filter(|(_, member)| !is_home(member));
        asked.bar(outside.map(|(key, _)| key).collect());
    }

    /// Notes a request, which earns its share of further tries.
    pub fn earn(&self) {
        self.state.lock().extra_tries.earn();
    }

    /// Chooses a gate for a request that was `asked` for elsewhere before, and counts a request as sent there.
    pub fn choose(&self, now: Instant, asked: &Asked) -> Option<ChosenGate> {
        let state = &mut *self.state.lock();
        let mean_work = state.mean_work.unwrap_or(WORK_UNKNOWN);
        let placed = state.placement.choose(now, &mut state.rng, asked, mean_work)?;
        let member = Arc::clone(state.chosen_by.get(placed.gate)?);
        state.placement.sent(placed.gate);
        Some(ChosenGate { key: placed.gate, member, may_wait: placed.may_wait })
    }

    /// Where gates would be that can't be reached.
    pub fn unreachable(&self) -> Vec<(GateKey, SocketAddr)> {
        let state = self.state.lock();
        let with_address = |key| Some((key, state.chosen_by.get(key)?.gate_address));
        state.placement.unreachable().filter_map(with_address).collect()
    }

    /// Notes that a connection to a gate can be made again.
    pub fn reached(&self, key: GateKey) {
        self.state.lock().placement.renewed(key);
    }

    /// Notes how a try ended.
    pub fn ended(&self, now: Instant, key: GateKey, end: TryEnd) {
        let state = &mut *self.state.lock();
        state.placement.ended(now, key, end);
        if end == TryEnd::Answered {
            state.extra_tries.ended_well();
        }
    }

    /// Notes what a gate tells of its load.
    pub fn told(&self, now: Instant, key: GateKey, load: GateLoad) {
        let state = &mut *self.state.lock();
        state.placement.told(now, key, load);
        if load.mean_work.is_zero() {
            return;
        }
        let mean = state.mean_work.unwrap_or(load.mean_work);
        let told = load.mean_work.mul_f64(WORK_WEIGHT);
        state.mean_work = Some(mean.mul_f64(1.0 - WORK_WEIGHT) + told);
    }

    /// Decides on a further try.
    ///
    /// # Errors
    ///
    /// Why none is made.
    pub fn decide(&self, bad: BadTry) -> Result<(), NoMore> {
        self.state.lock().extra_tries.decide(bad)
    }
}
