//! Simulation of the service chain: requests in transit, runs at targets, and the calls that runs
//! make.

mod calls;
mod runs;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SecondaryMap;
use yuccarack_policy::{
    cold_rate::ColdBound,
    placement::{AttemptHistory, GateKey, Placement},
};

use super::{
    Policy,
    credit::EarnedValue,
    load::{COLD_RATE_PER_S, ChainScenario, DOMAINS, REQUEST_KINDS, SERVICES, SLOTS, TARGETS},
    queue::{Queue, RequestId},
};
use crate::clock::Clock;

/// One-way delay between failure domains, and within one.
const REMOTE_LINK_DELAY: Duration = Duration::from_micros(1_400);
const LOCAL_LINK_DELAY: Duration = Duration::from_micros(200);

/// Mean interval at which a target's slowdown changes, share of the changes to a slow phase, and
/// the slowdown in a slow phase.
const SLOWDOWN_INTERVAL: Duration = Duration::from_millis(300);
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 4.0;

/// Share of running slots above which a target slows down, and the factor by which it does.
const OVERLOAD_FILL: f64 = 0.8;
const OVERLOAD_SLOWDOWN: f64 = 1.7;

/// Factor on the service time after a start, and how long it lasts.
const COLD_FACTOR: f64 = 2.0;
const COLD_DURATION: Duration = Duration::from_secs(3);

/// Window in which the runs of a cold target count towards a crash, and the downtime after one.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
const RESTART_DURATION: Duration = Duration::from_millis(500);

/// Interval of a gate's health checks, and the delay of the first one after the cold phase.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
const HEALTH_CHECK_DELAY: Duration = Duration::from_millis(10);

/// Time at which targets start cold or are lost.
const FAULTS_START: Duration = Duration::from_secs(4);

/// Retries of a caller: one after a delay, or several at once.
const DELAYED_RETRIES: u8 = 1;
const IMMEDIATE_RETRIES: u8 = 3;

/// Longest delay of a retry by a caller that doesn't retry at once.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Range of the random factor on the service time.
const SERVICE_TIME_SPREAD: (f64, f64) = (0.7, 1.3);

/// An instance: a gate with its queue, and the state of its target.
struct Instance {
    domain: usize,
    queue: Queue,
    slowdown: f64,
    running: usize,
    cold_until: Option<Instant>,
    /// Start times of the runs of the last second that started while the target was cold.
    cold_runs: VecDeque<Instant>,
    /// Whether the target is lost for good, or has crashed and is restarting.
    is_down: bool,
}

struct Entry {
    domain: usize,
    placements: Vec<Placement>,
    gates: Vec<SecondaryMap<GateKey, usize>>,
}

/// One request of a caller, or one call that a run makes.
struct Request {
    kind: usize,
    entry: usize,
    /// Arrival time of the caller's first request.
    arrived_at: Instant,
    deadline: Instant,
    history: AttemptHistory,
    /// Gate to which it was sent, with the key of the gate at the entry.
    gate: Option<(usize, Option<GateKey>)>,
    /// Whether it may wait in that gate's queue.
    may_wait: bool,
    is_running: bool,
    has_ended: bool,
    /// Request whose run made this call.
    parent: Option<RequestId>,
    retries_left: u8,
    has_immediate_retries: bool,
}

enum Event {
    Arrive(usize),
    Attempt(RequestId),
    ReachGate(RequestId),
    Refusal(RequestId),
    Wake(usize),
    StartWork(RequestId),
    RunEnd(RequestId),
    Response(RequestId, bool),
    Deadline(RequestId),
    SlowdownChange(usize),
    FaultsStart,
    /// A crashed target has restarted.
    Restart(usize),
    /// The gate checks whether its target is warm.
    HealthCheck(usize),
}

struct Chain {
    scenario: ChainScenario,
    policy: Policy,
    rng: SmallRng,
    clock: Clock<Event>,
    started_at: Instant,
    gates: Vec<Instance>,
    gates_by_service: Vec<Vec<usize>>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    earned_value: EarnedValue,
}

/// Plays `scenario` under `policy`; equal seeds give equal runs.
pub fn play_chain(scenario: &ChainScenario, policy: Policy, seed: u64) -> EarnedValue {
    let mut chain = Chain::new(*scenario, policy, seed);
    while let Some(event) = chain.clock.next() {
        chain.handle(event);
    }
    chain.earned_value
}

impl Chain {
    fn new(scenario: ChainScenario, policy: Policy, seed: u64) -> Self {
        let clock = Clock::new();
        let (mut gates, mut gates_by_service) = (Vec::new(), vec![Vec::new(); SERVICES]);
        for (service, targets) in TARGETS.into_iter().enumerate() {
            for _ in 0..targets {
                gates_by_service[service].push(gates.len());
                gates.push(Instance {
                    domain: gates.len() % DOMAINS,
                    queue: Queue::new(policy, SLOTS),
                    slowdown: 1.0,
                    running: 0,
                    cold_until: None,
                    cold_runs: VecDeque::new(),
                    is_down: false,
                });
            }
        }
        let entry = |number: usize| {
            let domain = number % DOMAINS;
            let mut entry = Entry { domain, placements: Vec::new(), gates: Vec::new() };
            for service_gates in &gates_by_service {
                let (mut placement, mut known) = (Placement::new(), SecondaryMap::new());
                for &gate in service_gates {
                    known.insert(placement.add(gates[gate].domain == domain), gate);
                }
                entry.placements.push(placement);
                entry.gates.push(known);
            }
            entry
        };
        let entries = (0..gates.len()).map(entry).collect();
        let mut chain = Self {
            scenario,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            started_at: clock.now(),
            clock,
            gates,
            gates_by_service,
            entries,
            requests: Vec::new(),
            earned_value: EarnedValue::default(),
        };
        let caller_kinds =
            REQUEST_KINDS.iter().enumerate().filter(|(_, kind)| kind.rate_per_s > 0.0);
        for (kind, _) in caller_kinds {
            chain.clock.schedule_after(Duration::ZERO, Event::Arrive(kind));
        }
        for gate in 0..chain.gates.len() {
            chain.clock.schedule_after(Duration::ZERO, Event::SlowdownChange(gate));
        }
        chain.clock.schedule_after(FAULTS_START, Event::FaultsStart);
        chain
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::Attempt(request_id) => self.start_attempt(request_id),
            Event::ReachGate(request_id) => self.reach_gate(request_id),
            Event::Refusal(request_id) => self.handle_refusal(request_id),
            Event::Wake(gate) => {
                let decisions = self.gates[gate].queue.poll(self.clock.now());
                self.apply_decisions(gate, decisions);
            }
            Event::StartWork(request_id) => self.start_work(request_id),
            Event::RunEnd(request_id) => self.handle_run_end(request_id, true),
            Event::Response(request_id, is_success) => self.handle_response(request_id, is_success),
            Event::Deadline(request_id) => self.handle_deadline(request_id),
            Event::SlowdownChange(gate) => self.change_slowdown(gate),
            Event::FaultsStart => self.start_faults(),
            Event::Restart(gate) => {
                self.gates[gate].is_down = false;
                self.set_cold(gate);
            }
            Event::HealthCheck(gate) => self.check_health(gate),
        }
    }

    fn change_slowdown(&mut self, gate: usize) {
        let is_slow = self.rng.random_bool(SLOW_SHARE);
        self.gates[gate].slowdown =
            if is_slow { SLOW_FACTOR } else { self.rng.random_range(1.0..1.3) };
        if self.clock.elapsed() < self.scenario.duration {
            let interval = SLOWDOWN_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
            self.clock.schedule_after(interval, Event::SlowdownChange(gate));
        }
    }

    fn start_faults(&mut self) {
        for (service, gates) in self.gates_by_service.clone().into_iter().enumerate() {
            for &gate in gates.iter().take(self.scenario.cold_targets) {
                self.set_cold(gate);
            }
            if service > 0 {
                for &gate in gates.iter().take(self.scenario.lost_targets) {
                    self.gates[gate].is_down = true;
                }
            }
        }
    }

    /// Makes the target of `gate` cold from now on.
    fn set_cold(&mut self, gate: usize) {
        let cold_until = self.clock.now() + COLD_DURATION;
        self.gates[gate].cold_until = Some(cold_until);
        self.gates[gate].cold_runs.clear();
        if self.scenario.crash_threshold.is_some() {
            // Exactly that rate per second: no excess, and no further requests.
            let bound = ColdBound::new(COLD_RATE_PER_S * 1_000, 100, 0);
            self.gates[gate].queue.set_cold_until(cold_until, bound);
            self.clock.schedule(cold_until + HEALTH_CHECK_DELAY, Event::HealthCheck(gate));
        }
    }

    fn check_health(&mut self, gate: usize) {
        let now = self.clock.now();
        let state = &mut self.gates[gate];
        if state.is_down || state.cold_until.is_some_and(|until| until > now) {
            return;
        }
        state.queue.set_warm(now);
        if self.clock.elapsed() < self.scenario.duration {
            self.clock.schedule_after(HEALTH_CHECK_INTERVAL, Event::HealthCheck(gate));
        }
    }

    /// Records the start of a run at the target of `gate`; returns whether it crashes the target.
    fn record_cold_run(&mut self, gate: usize) -> bool {
        let now = self.clock.now();
        let state = &mut self.gates[gate];
        let Some(threshold) = self.scenario.crash_threshold else { return false };
        if state.cold_until.is_none_or(|until| until <= now) {
            return false;
        }
        state.cold_runs.push_back(now);
        state.cold_runs.retain(|started_at| *started_at + CRASH_WINDOW > now);
        state.cold_runs.len() >= threshold
    }

    /// Crashes the target of `gate`: its runs fail, its queue is refused, and it restarts cold.
    fn crash(&mut self, gate: usize) {
        let state = &mut self.gates[gate];
        state.is_down = true;
        state.running = 0;
        let waiting = std::mem::replace(&mut state.queue, Queue::new(self.policy, SLOTS)).waiting();
        for request_id in waiting {
            let link_delay = self.link_delay(self.requests[request_id].entry, gate);
            self.clock.schedule_after(link_delay, Event::Refusal(request_id));
        }
        for request_id in 0..self.requests.len() {
            let request = &mut self.requests[request_id];
            let is_at_gate = request.gate.is_some_and(|(other, _)| other == gate);
            if is_at_gate && std::mem::take(&mut request.is_running) {
                let link_delay = self.link_delay(self.requests[request_id].entry, gate);
                self.clock.schedule_after(link_delay, Event::Response(request_id, false));
            }
        }
        self.clock.schedule_after(RESTART_DURATION, Event::Restart(gate));
    }

    fn link_delay(&self, entry: usize, gate: usize) -> Duration {
        match self.entries[entry].domain == self.gates[gate].domain {
            true => LOCAL_LINK_DELAY,
            false => REMOTE_LINK_DELAY,
        }
    }
}
