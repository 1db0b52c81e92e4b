//! Plan of a walk: its faults and their times, derived from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};
use yuccarack_platform_standin::{instance::Links, store::StoreServerMode, target::Behaviour};
use yuccarack_standins::proxy::Direction;

use super::organisations::{KEYS, ORGANISATIONS};

/// Instances of a walk without additional load.
pub const INSTANCES: usize = 4;

/// Period in which the faults of a walk begin, in ms.
const FAULT_PERIOD_MS: u64 = 6_000;

/// Upper limit of a fault's duration, in ms.
const FAULT_DURATION_MAX_MS: u64 = 2_500;

/// Share of the walks in which all targets fail together, and the duration of that, in ms.
const ALL_FAIL_SHARE: f64 = 0.35;
const ALL_FAIL_MS: u64 = 2_500;

/// Instances of a walk under additional load: two failure domains, each with two daemons that query
/// the store and two that receive its updates from them.
pub const INSTANCES_UNDER_LOAD: usize = 8;

/// Callers of each instance, by default and for more callers than slots; a target has 9 slots.
const CALLERS: usize = 2;
const CALLERS_OVER_CAPACITY: usize = 14;

/// Targets that a request may run on, by default and in walks where each attempt fails.
const TARGETS_MAX: u32 = 2;
const TARGETS_MAX_WHEN_FAILING: u32 = 4;

/// Requests per second that a cold target may get.
const COLD_PER_S: usize = 10;

/// Upper limit of the time for which a target is cold, in ms.
const COLD_DURATION_MAX_MS: u64 = 2_500;

/// Duration of an evacuation, in ms; longer than the time in which it has to be in force.
const EVACUATION_MS: u64 = 6_000;

/// Rate limits that targets announce, in requests per 1,000 s.
const RATE_LIMITS: [u32; 5] = [0, 500, 2_500, 6_900, 20_000];

/// Range of the time for which a target announces a limit, in ms; longer than the window in which
/// its requests are counted.
const LIMITED_MS: std::ops::Range<u64> = 4_600..7_000;

/// Duration of the departure of a target that announces it in its responses, in ms; another process
/// replaces it then.
const LEAVING_MS: std::ops::Range<u64> = 2_500..4_500;

/// Number of keys that are removed in a walk with organisations, and the time for which the walk
/// goes on after each of them, in ms; much longer than that in which the key has to be refused.
const REMOVED_KEYS: usize = 3;
const KEY_REMOVED_MS: u64 = 6_000;

/// The same time after a quota was lowered: longer than that until it is in force and applies to the
/// whole window in which the requests are counted.
const QUOTA_LOWERED_MS: u64 = 9_500;

/// Duration of a step, in ms, of a walk in steps.
const STEP_DURATION_MS: u64 = 800;

/// Number of steps of a walk in steps.
const STEPS: u64 = 6;

/// A kind of fault and the instance or failure domain that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KilledDaemon(usize),
    StoppedDaemon(usize),
    FrozenDaemon(usize),
    ReloadedDaemon(usize),
    DrainedTarget(usize),
    CrashedTarget(usize),
    /// The target dies and restarts with its clock set back.
    BackdatedTarget(usize),
    FaultyTarget(usize, Behaviour),
    /// All targets get the same behaviour, so that a retry on another target fails as well.
    FaultyTargets(Behaviour),
    StoreListener(usize, StoreServerMode),
    /// The store's listeners of all instances get the same mode.
    StoreListeners(StoreServerMode),
    StoreCompaction,
    SlowStore(usize),
    NewRoutes,
    /// Between the other daemons and the gate of an instance.
    GateLink(usize, LinkFault),
    /// Between the daemon of an instance and its target.
    TargetLink(usize, LinkFault),
    /// The target is cold for the duration of the fault.
    ColdTarget(usize),
    /// Operators evacuate the failure domain of this index.
    EvacuatedDomain(usize),
    /// The target announces this rate limit, in requests per 1,000 s, with its responses.
    LimitedTarget(usize, u32),
    /// The target announces with its responses that it leaves.
    LeavingTarget(usize),
    /// Operators remove the key of this index, for good.
    RemovedKey(usize),
    /// Operators halve the quota of the organisation of this index.
    LoweredQuota(usize),
}

/// A kind of fault of a network link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Each chunk of data is delayed.
    Delayed(Duration),
    /// All open connections are closed.
    Reset,
    /// Data in one direction is dropped.
    OneWay(Direction),
    /// Data in both directions is dropped.
    Silent,
    /// New connections are closed at once.
    Refused,
    /// Responses are dropped, and the connection is closed.
    ResponsesLost,
}

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Start of the fault, in ms from the start of the walk.
    pub at_ms: u64,
    /// Duration of the fault, in ms.
    pub duration_ms: u64,
    /// Kind and place of the fault.
    pub fault: Fault,
}

/// All faults and the size of one walk.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed that the plan is derived from; it names the walk's files too.
    pub seed: u64,
    /// Number of instances of the deployment.
    pub instances: usize,
    /// Number of failure domains that the instances are spread over.
    pub domains: usize,
    /// Number of callers of each instance.
    pub callers: usize,
    /// Upper limit of targets that a request may run on.
    pub targets_max: u32,
    /// Requests per second that a cold target may get, as set by operators; 0 for no limit.
    pub cold_per_s: usize,
    /// Whether each instance has one more caller, which pipelines its requests.
    pub has_pipelining_callers: bool,
    /// Whether callers need the key of an organisation.
    pub has_organisations: bool,
    /// Faults, in no particular order.
    pub events: Vec<Event>,
}

impl Plan {
    /// Plans faults at random times that overlap and come in series, about two for each instance.
    pub fn new(seed: u64, instances: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(instances..=instances * 3);
        let random_event = |random: &mut StdRng| Event {
            at_ms: random.random_range(0..FAULT_PERIOD_MS),
            duration_ms: random.random_range(50..FAULT_DURATION_MAX_MS),
            fault: Fault::random(random, instances),
        };
        let mut events: Vec<Event> = (0..count).map(|_| random_event(&mut random)).collect();
        if random.random_bool(0.4) {
            events.extend(signal_series(&mut random, instances));
        }
        if random.random_bool(ALL_FAIL_SHARE) {
            let fault = Fault::FaultyTargets(random_behaviour(&mut random));
            events.push(Event {
                at_ms: random.random_range(0..FAULT_PERIOD_MS / 2),
                duration_ms: ALL_FAIL_MS,
                fault,
            });
        }
        Self {
            seed,
            instances,
            domains: 3,
            callers: CALLERS,
            targets_max: TARGETS_MAX,
            cold_per_s: 0,
            has_pipelining_callers: false,
            has_organisations: false,
            events,
        }
    }

    /// Adds one pipelining caller for each instance.
    pub fn with_pipelining(mut self) -> Self {
        self.has_pipelining_callers = true;
        self
    }

    /// Lets callers use the keys of organisations, and adds keys that are removed and a quota that is
    /// lowered. The first key is never removed, so that callers can be served.
    pub fn with_organisations(mut self) -> Self {
        let mut random = StdRng::seed_from_u64(self.seed.wrapping_mul(41));
        self.has_organisations = true;
        for _ in 0..REMOVED_KEYS {
            let fault = Fault::RemovedKey(random.random_range(1..KEYS.len()));
            let at_ms = random.random_range(0..FAULT_PERIOD_MS / 2);
            self.events.push(Event { at_ms, duration_ms: KEY_REMOVED_MS, fault });
        }
        let fault = Fault::LoweredQuota(random.random_range(0..ORGANISATIONS.len()));
        let at_ms = random.random_range(0..1_000);
        self.events.push(Event { at_ms, duration_ms: QUOTA_LOWERED_MS, fault });
        self
    }

    /// Adds targets that become cold and a failure domain that is evacuated.
    pub fn with_cold_targets(mut self) -> Self {
        let mut random = StdRng::seed_from_u64(self.seed.wrapping_mul(31));
        self.cold_per_s = COLD_PER_S;
        for _ in 0..self.instances {
            let fault = Fault::ColdTarget(random.random_range(0..self.instances));
            let (at_ms, duration_ms) = (
                random.random_range(0..FAULT_PERIOD_MS),
                random.random_range(300..COLD_DURATION_MAX_MS),
            );
            self.events.push(Event { at_ms, duration_ms, fault });
        }
        let fault = Fault::EvacuatedDomain(random.random_range(0..self.domains));
        self.events.push(Event {
            at_ms: random.random_range(0..1_000),
            duration_ms: EVACUATION_MS,
            fault,
        });
        self
    }

    /// Adds targets that announce rate limits, some at the same time, and one that announces that it
    /// leaves.
    pub fn with_limited_targets(mut self) -> Self {
        let mut random = StdRng::seed_from_u64(self.seed.wrapping_mul(37));
        for _ in 0..self.instances {
            let rate_limit = RATE_LIMITS[random.random_range(0..RATE_LIMITS.len())];
            let fault = Fault::LimitedTarget(random.random_range(0..self.instances), rate_limit);
            let at_ms = random.random_range(0..FAULT_PERIOD_MS / 2);
            let duration_ms = random.random_range(LIMITED_MS);
            self.events.push(Event { at_ms, duration_ms, fault });
        }
        let fault = Fault::LeavingTarget(random.random_range(0..self.instances));
        let at_ms = random.random_range(0..FAULT_PERIOD_MS / 2);
        let duration_ms = random.random_range(LEAVING_MS);
        self.events.push(Event { at_ms, duration_ms, fault });
        self
    }

    /// Plans the same faults and adds one of three loads that they seldom cause: all daemons
    /// restart while the store refuses connections, each attempt fails, or there are more callers
    /// than slots, some of whom disconnect.
    pub fn under_load(seed: u64) -> Self {
        let mut plan = Self { domains: 2, ..Self::new(seed, INSTANCES_UNDER_LOAD) };
        let mut random = StdRng::seed_from_u64(seed ^ u64::MAX);
        let at_ms = random.random_range(500..FAULT_PERIOD_MS / 3);
        let mut add =
            |at_ms, duration_ms, fault| plan.events.push(Event { at_ms, duration_ms, fault });
        match seed % 3 {
            0 => {
                // A versioned route has to exist, so that it is requested while daemons have no
                // routes.
                add(0, 50, Fault::NewRoutes);
                add(at_ms, 3_000, Fault::StoreListeners(StoreServerMode::Unavailable));
                (0..INSTANCES_UNDER_LOAD)
                    .for_each(|at| add(at_ms + 100, 300, Fault::KilledDaemon(at)));
            }
            1 => {
                add(at_ms, FAULT_PERIOD_MS, Fault::FaultyTargets(Behaviour::Fail));
                plan.targets_max = TARGETS_MAX_WHEN_FAILING;
            }
            _ => {
                let slow_response = Behaviour::Respond(Duration::from_millis(250));
                add(at_ms, FAULT_PERIOD_MS, Fault::FaultyTargets(slow_response));
                plan.callers = CALLERS_OVER_CAPACITY;
            }
        }
        plan
    }

    /// Plans steps of equal length with one or two faults each, without faults of links and targets
    /// that restart.
    pub fn in_steps(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut events = Vec::new();
        for step in 0..STEPS {
            for _ in 0..random.random_range(1..=2) {
                let fault = Fault::random_for_step(&mut random);
                events.push(Event {
                    at_ms: step * STEP_DURATION_MS,
                    duration_ms: STEP_DURATION_MS * 4 / 5,
                    fault,
                });
            }
        }
        Self { events, ..Self::new(seed, INSTANCES) }
    }

    /// Returns which links of an instance need a proxy: those that a fault affects, and no others.
    pub fn links(&self, at: usize) -> Links {
        let is_proxied = |affects: fn(Fault, usize) -> bool| {
            self.events.iter().any(|event| affects(event.fault, at))
        };
        Links {
            is_gate_proxied: is_proxied(
                |fault, at| matches!(fault, Fault::GateLink(index, _) if index == at),
            ),
            is_target_proxied: is_proxied(
                |fault, at| matches!(fault, Fault::TargetLink(index, _) if index == at),
            ),
        }
    }

    /// Returns the plan without the fault at `index`.
    pub fn without(&self, index: usize) -> Self {
        let mut plan = self.clone();
        plan.events.remove(index);
        plan
    }
}

/// Plans the same fault for one daemon after another, or several times for one daemon.
fn signal_series(random: &mut StdRng, instances: usize) -> Vec<Event> {
    let kind = random.random_range(0..4);
    let is_rolling = random.random_bool(0.5);
    let first = random.random_range(0..instances);
    let gap_ms = random.random_range(30..700);
    let duration_ms = random.random_range(50..800);
    let event_at = |number: u64| {
        let at = if is_rolling { first + number as usize } else { first } % instances;
        let fault = match kind {
            0 => Fault::StoppedDaemon(at),
            1 => Fault::ReloadedDaemon(at),
            2 => Fault::NewRoutes,
            _ => Fault::KilledDaemon(at),
        };
        Event { at_ms: 300 + number * gap_ms, duration_ms, fault }
    };
    (0..random.random_range(3..8)).map(event_at).collect()
}

impl Fault {
    fn random(random: &mut StdRng, instances: usize) -> Self {
        let at = random.random_range(0..instances);
        match random.random_range(0..22) {
            0 => Self::KilledDaemon(at),
            1 | 2 => Self::StoppedDaemon(at),
            3 => Self::FrozenDaemon(at),
            4 => Self::ReloadedDaemon(at),
            5 => Self::DrainedTarget(at),
            6 => Self::CrashedTarget(at),
            7 => Self::BackdatedTarget(at),
            8..=10 => Self::FaultyTarget(at, random_behaviour(random)),
            11 => Self::StoreListener(at, random_listener_mode(random)),
            12 => Self::StoreListeners(random_listener_mode(random)),
            13 => Self::StoreCompaction,
            14 => Self::SlowStore(at),
            15 | 16 => Self::NewRoutes,
            17..=19 => Self::GateLink(at, LinkFault::random(random)),
            _ => Self::TargetLink(at, LinkFault::random(random)),
        }
    }

    fn random_for_step(random: &mut StdRng) -> Self {
        let at = random.random_range(0..INSTANCES);
        match random.random_range(0..12) {
            0 => Self::KilledDaemon(at),
            1 => Self::StoppedDaemon(at),
            2 => Self::FrozenDaemon(at),
            3 => Self::ReloadedDaemon(at),
            4 => Self::DrainedTarget(at),
            5..=7 => Self::FaultyTarget(at, random_behaviour(random)),
            8 => Self::StoreListener(at, random_listener_mode(random)),
            9 => Self::StoreCompaction,
            10 => Self::SlowStore(at),
            _ => Self::NewRoutes,
        }
    }

    /// Whether it stops or suspends the daemon of `instance`.
    pub fn affects_daemon(self, instance: usize) -> bool {
        match self {
            Self::KilledDaemon(at) | Self::StoppedDaemon(at) | Self::FrozenDaemon(at) => {
                at == instance
            }
            _ => false,
        }
    }

    /// Whether requests in flight may be lost by it.
    pub fn may_lose_requests(self) -> bool {
        match self {
            Self::KilledDaemon(_)
            | Self::FrozenDaemon(_)
            | Self::CrashedTarget(_)
            | Self::BackdatedTarget(_)
            | Self::LeavingTarget(_)
            | Self::FaultyTarget(..)
            | Self::FaultyTargets(_)
            | Self::GateLink(..)
            | Self::TargetLink(..) => true,
            Self::StoppedDaemon(_)
            | Self::ReloadedDaemon(_)
            | Self::DrainedTarget(_)
            | Self::StoreListener(..)
            | Self::StoreListeners(_)
            | Self::StoreCompaction
            | Self::SlowStore(_)
            | Self::ColdTarget(_)
            | Self::LimitedTarget(..)
            | Self::EvacuatedDomain(_)
            | Self::RemovedKey(_)
            | Self::LoweredQuota(_)
            | Self::NewRoutes => false,
        }
    }

    /// Whether it keeps updates of the store from `instance`.
    pub fn affects_store_of(self, instance: usize) -> bool {
        match self {
            Self::StoreListener(at, _) | Self::SlowStore(at) => at == instance,
            Self::StoreListeners(_) | Self::StoreCompaction => true,
            _ => false,
        }
    }
}

impl LinkFault {
    fn random(random: &mut StdRng) -> Self {
        match random.random_range(0..7) {
            0 => Self::Delayed(Duration::from_millis(random.random_range(5..80))),
            1 => Self::Reset,
            2 => Self::OneWay(Direction::Upstream),
            3 => Self::OneWay(Direction::Downstream),
            4 => Self::Silent,
            5 => Self::Refused,
            _ => Self::ResponsesLost,
        }
    }
}

fn random_behaviour(random: &mut StdRng) -> Behaviour {
    let behaviours = [
        Behaviour::Fail,
        Behaviour::Shed,
        Behaviour::Hang,
        Behaviour::Ignore,
        Behaviour::TruncateBody,
        Behaviour::ResetBeforeResponse,
        Behaviour::UnframedReset,
        Behaviour::WrongId,
        Behaviour::ResetReused,
        Behaviour::RespondTwice(Duration::from_millis(random.random_range(0..30))),
        Behaviour::Respond(Duration::from_millis(400)),
    ];
    behaviours[random.random_range(0..behaviours.len())]
}

fn random_listener_mode(random: &mut StdRng) -> StoreServerMode {
    let modes = [
        StoreServerMode::Unavailable,
        StoreServerMode::Unresponsive,
        StoreServerMode::Disconnecting,
        StoreServerMode::LosingResponses,
    ];
    modes[random.random_range(0..modes.len())]
}
