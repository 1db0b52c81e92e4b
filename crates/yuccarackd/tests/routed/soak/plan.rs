//! What goes wrong in one walk, and when.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};
use yuccarack_platform_standin::{instance::Links, store::DoorMode, target::Behaviour};
use yuccarack_standins::proxy::Direction;

/// Instances of a usual walk.
pub const INSTANCES: usize = 4;

/// Time in which the faults of a usual walk strike, in ms.
const FAULT_PERIOD_MS: u64 = 6_000;

/// Longest time that a fault lasts, in ms.
const FAULT_DURATION_MAX_MS: u64 = 2_500;

/// Part of the walks in which all targets fail together for a while, and for how long, in ms.
const ALL_FAIL_SHARE: f64 = 0.35;
const ALL_FAIL_MS: u64 = 2_500;

/// Instances of a walk under pressure: in two failure domains, each with two daemons that ask the store
/// and two that are told by them.
pub const INSTANCES_UNDER_LOAD: usize = 8;

/// Callers of each instance, usually and in a crowd; a target has 9 slots.
const CALLERS: usize = 2;
const CALLERS_OVER_CAPACITY: usize = 14;

/// Targets that a request may run on, usually and where each try fails.
const TARGETS_MAX: u32 = 2;
const TARGETS_MAX_WHEN_FAILING: u32 = 4;

/// Requests a second that a cold target may get.
const COLD_PER_S: usize = 10;

/// Longest time for which a target is cold, in ms.
const COLD_DURATION_MAX_MS: u64 = 2_500;

/// Time for which a failure domain is evacuated, in ms; beyond that in which this has to be in force.
const EVACUATION_MS: u64 = 6_000;

/// Length of a step of a walk in steps, in ms.
const STEP_DURATION_MS: u64 = 800;

/// Steps of such a walk.
const STEPS: u64 = 6;

/// Something that goes wrong at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KilledDaemon(usize),
    StoppedDaemon(usize),
    FrozenDaemon(usize),
    ReloadedDaemon(usize),
    DrainedTarget(usize),
    CrashedTarget(usize),
    /// The target dies and starts again on a clock that was set back.
    BackdatedTarget(usize),
    FaultyTarget(usize, Behaviour),
    /// All targets treat requests so; each try that is made again fails again.
    FaultyTargets(Behaviour),
    StoreListener(usize, DoorMode),
    /// The store treats all alike.
    StoreListeners(DoorMode),
    StoreCompaction,
    SlowStore(usize),
    NewRoutes,
    /// Between the other daemons and the gate of an instance.
    GateLink(usize, LinkFault),
    /// Between the daemon of an instance and its target.
    TargetLink(usize, LinkFault),
    /// The target is cold for as long as the fault lasts.
    ColdTarget(usize),
    /// Operators evacuate the failure domain of this number.
    EvacuatedDomain(usize),
}

/// Something that goes wrong with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Each piece takes longer.
    Delayed(Duration),
    /// All that are open end.
    Reset,
    /// Nothing is carried one way.
    OneWay(Direction),
    /// Nothing is carried.
    Silent,
    /// New ones end at once.
    Refused,
    /// What comes back is dropped, and the connection ends.
    ResponsesLost,
}

/// A fault in time.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// When it strikes, in ms from the start.
    pub at_ms: u64,
    /// How long it lasts, in ms.
    pub duration_ms: u64,
    /// What it is.
    pub fault: Fault,
}

/// All that goes wrong in one walk.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where it comes from; it names the walk's files too.
    pub seed: u64,
    /// Instances of the deployment.
    pub instances: usize,
    /// Failure domains that they stand in.
    pub domains: usize,
    /// Callers of each instance.
    pub callers: usize,
    /// Targets that a request may run on.
    pub targets_max: u32,
    /// Requests a second that a cold target may get, as operators say; 0 for no bound.
    pub cold_per_s: usize,
    /// Whether one more caller of each instance sends requests ahead.
    pub has_pipelining_callers: bool,
    /// Faults, in no order.
    pub events: Vec<Event>,
}

impl Plan {
    /// Faults that strike at any moment, overlap and come in series, some two for each instance.
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
            events,
        }
    }

    /// The plan with a caller more at each instance, which sends requests ahead.
    pub fn with_pipelining(mut self) -> Self {
        self.has_pipelining_callers = true;
        self
    }

    /// The plan with targets that become cold and failure domains that are evacuated besides.
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

    /// Such faults, and one of three loads that few of them bring about: all daemons start while no
    /// news are to be had, each try fails, or more callers than slots, some of whom leave.
    pub fn under_load(seed: u64) -> Self {
        let mut plan = Self { domains: 2, ..Self::new(seed, INSTANCES_UNDER_LOAD) };
        let mut random = StdRng::seed_from_u64(seed ^ u64::MAX);
        let at_ms = random.random_range(500..FAULT_PERIOD_MS / 3);
        let mut add =
            |at_ms, duration_ms, fault| plan.events.push(Event { at_ms, duration_ms, fault });
        match seed % 3 {
            0 => {
                // There has to be a route that is looked for while daemons know none.
                add(0, 50, Fault::NewRoutes);
                add(at_ms, 3_000, Fault::StoreListeners(DoorMode::Refusing));
                (0..INSTANCES_UNDER_LOAD)
                    .for_each(|at| add(at_ms + 100, 300, Fault::KilledDaemon(at)));
            }
            1 => {
                add(at_ms, FAULT_PERIOD_MS, Fault::FaultyTargets(Behaviour::Fail));
                plan.targets_max = TARGETS_MAX_WHEN_FAILING;
            }
            _ => {
                let slow_response = Behaviour::Answer(Duration::from_millis(250));
                add(at_ms, FAULT_PERIOD_MS, Fault::FaultyTargets(slow_response));
                plan.callers = CALLERS_OVER_CAPACITY;
            }
        }
        plan
    }

    /// Steps with one or two faults each, the first kinds of faults only.
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

    /// Where proxies stand at an instance: on the links that are disturbed, and on no others.
    pub fn links(&self, at: usize) -> Links {
        let is_proxied = |affects: fn(Fault, usize) -> bool| {
            self.events.iter().any(|one| affects(one.fault, at))
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

    /// The plan without one of its faults.
    pub fn without(&self, index: usize) -> Self {
        let mut plan = self.clone();
        plan.events.remove(index);
        plan
    }
}

/// The same signal to one daemon after another, or again and again to one.
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

    /// Whether it ends the daemon of `instance`, or holds it up.
    pub fn affects_daemon(self, instance: usize) -> bool {
        match self {
            Self::KilledDaemon(at) | Self::StoppedDaemon(at) | Self::FrozenDaemon(at) => {
                at == instance
            }
            _ => false,
        }
    }

    /// Whether requests on their way may be lost by it.
    pub fn may_lose_requests(self) -> bool {
        match self {
            Self::KilledDaemon(_)
            | Self::FrozenDaemon(_)
            | Self::CrashedTarget(_)
            | Self::BackdatedTarget(_)
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
            | Self::EvacuatedDomain(_)
            | Self::NewRoutes => false,
        }
    }

    /// Whether it keeps news of the store from `instance`.
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
        Behaviour::Mute,
        Behaviour::CutBody,
        Behaviour::LoseAnswer,
        Behaviour::UnframedReset,
        Behaviour::WrongId,
        Behaviour::ResetKept,
        Behaviour::AnswerTwice(Duration::from_millis(random.random_range(0..30))),
        Behaviour::Answer(Duration::from_millis(400)),
    ];
    behaviours[random.random_range(0..behaviours.len())]
}

fn random_listener_mode(random: &mut StdRng) -> DoorMode {
    let modes = [DoorMode::Refusing, DoorMode::Silent, DoorMode::Cutting, DoorMode::LosingAnswers];
    modes[random.random_range(0..modes.len())]
}
