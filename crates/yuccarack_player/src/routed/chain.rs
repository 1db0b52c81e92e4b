//! The chain itself: requests on their way, runs, and what they call.

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
    credit::Credit,
    load::{COLD_PER_S, DOMAINS, KINDS, Load, SERVICES, SLOTS, TARGETS},
    queue::{Queue, Ticket},
};
use crate::clock::Clock;

/// One way between failure domains, and within one.
const WAY_FAR: Duration = Duration::from_micros(1_400);
const WAY_NEAR: Duration = Duration::from_micros(200);

/// Time between two shifts of a target's pace, and the part of the shifts that slow it fourfold.
const PACE_LASTS: Duration = Duration::from_millis(300);
const SLOW_SHARE: f64 = 0.15;
const SLOW_PACE: f64 = 4.0;

/// Filled share from which a target slows, and how much.
const FULL_SHARE: f64 = 0.8;
const FULL_FACTOR: f64 = 1.7;

/// How much longer work takes for how long after a start.
const COLD_FACTOR: f64 = 2.0;
const COLD_LASTS: Duration = Duration::from_secs(3);

/// Time in which the requests of a cold target count that may crash it, and how long it is down then.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
const DOWN_LASTS: Duration = Duration::from_millis(500);

/// Time between two looks of a gate at its target, and after the end of a cold time until the first.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
const LOOK_AFTER: Duration = Duration::from_millis(10);

/// When targets start cold, or are lost.
const CHANGE_AT: Duration = Duration::from_secs(4);

/// Times that a caller comes back: as told once, or at once and more often.
const RETURNS: u8 = 1;
const EARLY_RETURNS: u8 = 3;

/// When a caller comes back that was told no time.
const RETURN_AFTER: Duration = Duration::from_millis(100);

/// Spread of work around its mean.
const WORK_SPREAD: (f64, f64) = (0.7, 1.3);

struct Gate {
    domain: usize,
    queue: Queue,
    pace: f64,
    running: usize,
    cold_until: Option<Instant>,
    /// Requests that it began to run in the last second while it was cold.
    cold_runs: VecDeque<Instant>,
    is_lost: bool,
}

struct Entry {
    domain: usize,
    placements: Vec<Placement>,
    gates: Vec<SecondaryMap<GateKey, usize>>,
}

/// One attempt of a caller, or one call of a run.
struct Request {
    kind: usize,
    entry: usize,
    /// When its caller came first.
    came_at: Instant,
    deadline: Instant,
    asked: AttemptHistory,
    /// The gate that has it, under its key at the entry.
    gate: Option<(usize, Option<GateKey>)>,
    /// Whether it may wait there.
    may_wait: bool,
    is_running: bool,
    has_ended: bool,
    /// The run that made it.
    parent: Option<Ticket>,
    returns_left: u8,
    is_early: bool,
}

enum Event {
    Arrive(usize),
    Try(Ticket),
    AtGate(Ticket),
    Refused(Ticket),
    Wake(usize),
    OwnWork(Ticket),
    RunEnds(Ticket),
    Back(Ticket, bool),
    Deadline(Ticket),
    Shift(usize),
    Change,
    /// A crashed target is back.
    Return(usize),
    /// A look at a target that may be warm.
    Look(usize),
}

struct Chain {
    load: Load,
    policy: Policy,
    rng: SmallRng,
    clock: Clock<Event>,
    started_at: Instant,
    gates: Vec<Gate>,
    of_service: Vec<Vec<usize>>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    credit: Credit,
}

/// Plays `load` under `policy`; one seed gives one run.
pub fn play_chain(load: &Load, policy: Policy, seed: u64) -> Credit {
    let mut chain = Chain::new(*load, policy, seed);
    while let Some(event) = chain.clock.next() {
        chain.handle(event);
    }
    chain.credit
}

impl Chain {
    fn new(load: Load, policy: Policy, seed: u64) -> Self {
        let clock = Clock::new();
        let (mut gates, mut of_service) = (Vec::new(), vec![Vec::new(); SERVICES]);
        for (service, targets) in TARGETS.into_iter().enumerate() {
            for _ in 0..targets {
                of_service[service].push(gates.len());
                gates.push(Gate {
                    domain: gates.len() % DOMAINS,
                    queue: Queue::new(policy, SLOTS),
                    pace: 1.0,
                    running: 0,
                    cold_until: None,
                    cold_runs: VecDeque::new(),
                    is_lost: false,
                });
            }
        }
        let entry = |number: usize| {
            let domain = number % DOMAINS;
            let mut entry = Entry { domain, placements: Vec::new(), gates: Vec::new() };
            for gates_of in &of_service {
                let (mut placement, mut known) = (Placement::new(), SecondaryMap::new());
                for &gate in gates_of {
                    known.insert(placement.add(gates[gate].domain == domain), gate);
                }
                entry.placements.push(placement);
                entry.gates.push(known);
            }
            entry
        };
        let entries = (0..gates.len()).map(entry).collect();
        let mut chain = Self {
            load,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            started_at: clock.now(),
            clock,
            gates,
            of_service,
            entries,
            requests: Vec::new(),
            credit: Credit::default(),
        };
        let of_callers = KINDS.iter().enumerate().filter(|(_, kind)| kind.rate_per_s > 0.0);
        for (kind, _) in of_callers {
            chain.clock.plan_after(Duration::ZERO, Event::Arrive(kind));
        }
        for gate in 0..chain.gates.len() {
            chain.clock.plan_after(Duration::ZERO, Event::Shift(gate));
        }
        chain.clock.plan_after(CHANGE_AT, Event::Change);
        chain
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::Try(ticket) => self.try_next(ticket),
            Event::AtGate(ticket) => self.at_gate(ticket),
            Event::Refused(ticket) => self.refused(ticket),
            Event::Wake(gate) => {
                let verdicts = self.gates[gate].queue.settle(self.clock.now());
                self.follow(gate, verdicts);
            }
            Event::OwnWork(ticket) => self.own_work(ticket),
            Event::RunEnds(ticket) => self.run_ends(ticket, true),
            Event::Back(ticket, is_good) => self.back(ticket, is_good),
            Event::Deadline(ticket) => self.deadline(ticket),
            Event::Shift(gate) => self.shift(gate),
            Event::Change => self.change(),
            Event::Return(gate) => {
                self.gates[gate].is_lost = false;
                self.cool_down(gate);
            }
            Event::Look(gate) => self.look(gate),
        }
    }

    fn shift(&mut self, gate: usize) {
        let is_slow = self.rng.random_bool(SLOW_SHARE);
        self.gates[gate].pace = if is_slow { SLOW_PACE } else { self.rng.random_range(1.0..1.3) };
        if self.clock.elapsed() < self.load.lasts {
            let lasts = PACE_LASTS.mul_f64(self.rng.random_range(0.5..1.5));
            self.clock.plan_after(lasts, Event::Shift(gate));
        }
    }

    fn change(&mut self) {
        for (service, gates) in self.of_service.clone().into_iter().enumerate() {
            for &gate in gates.iter().take(self.load.cold) {
                self.cool_down(gate);
            }
            if service > 0 {
                for &gate in gates.iter().take(self.load.lost) {
                    self.gates[gate].is_lost = true;
                }
            }
        }
    }

    /// The target of `gate` is cold from now on.
    fn cool_down(&mut self, gate: usize) {
        let cold_until = self.clock.now() + COLD_LASTS;
        self.gates[gate].cold_until = Some(cold_until);
        self.gates[gate].cold_runs.clear();
        if self.load.crashes_at.is_some() {
            let bound = ColdBound::new(COLD_PER_S * 1_000, 100, 0);
            self.gates[gate].queue.set_cold_until(cold_until, bound);
            self.clock.plan(cold_until + LOOK_AFTER, Event::Look(gate));
        }
    }

    fn look(&mut self, gate: usize) {
        let now = self.clock.now();
        let at = &mut self.gates[gate];
        if at.is_lost || at.cold_until.is_some_and(|until| until > now) {
            return;
        }
        at.queue.set_warm(now);
        if self.clock.elapsed() < self.load.lasts {
            self.clock.plan_after(LOOK_INTERVAL, Event::Look(gate));
        }
    }

    /// Notes that the target of `gate` begins to run a request; says whether it crashes of it.
    fn crashes(&mut self, gate: usize) -> bool {
        let now = self.clock.now();
        let at = &mut self.gates[gate];
        let Some(most) = self.load.crashes_at else { return false };
        if at.cold_until.is_none_or(|until| until <= now) {
            return false;
        }
        at.cold_runs.push_back(now);
        at.cold_runs.retain(|began_at| *began_at + CRASH_WINDOW > now);
        at.cold_runs.len() >= most
    }

    /// The target of `gate` crashes with all that it runs, and returns cold.
    fn crash(&mut self, gate: usize) {
        let at = &mut self.gates[gate];
        at.is_lost = true;
        at.running = 0;
        let waiting = std::mem::replace(&mut at.queue, Queue::new(self.policy, SLOTS)).waiting();
        for ticket in waiting {
            let way = self.way(self.requests[ticket].entry, gate);
            self.clock.plan_after(way, Event::Refused(ticket));
        }
        for ticket in 0..self.requests.len() {
            let request = &mut self.requests[ticket];
            let is_there = request.gate.is_some_and(|(at, _)| at == gate);
            if is_there && std::mem::take(&mut request.is_running) {
                let way = self.way(self.requests[ticket].entry, gate);
                self.clock.plan_after(way, Event::Back(ticket, false));
            }
        }
        self.clock.plan_after(DOWN_LASTS, Event::Return(gate));
    }

    fn way(&self, entry: usize, gate: usize) -> Duration {
        match self.entries[entry].domain == self.gates[gate].domain {
            true => WAY_NEAR,
            false => WAY_FAR,
        }
    }
}
