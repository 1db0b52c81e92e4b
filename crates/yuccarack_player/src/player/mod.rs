//! Event loop of one simulated run on a single service.

mod arrivals;
mod domain_loss;
mod gate_events;

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::{SlotMap, new_key_type};
use yuccarack_config::load::GateLoadReport;

use crate::{
    clock::Clock,
    entry::{AttemptResult, Entry},
    gate::{AttemptState, Gate},
    scenario::{Fault, Policy, Scenario},
    tally::{POLL_BYTES, Tally},
    target::Target,
};

/// Interval at which baselines poll load reports.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which gates probe the load of their targets; only the cost in bytes is simulated.
const LOAD_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// One-way delay within a failure domain.
const LOCAL_LINK_DELAY: Duration = Duration::from_micros(100);

/// Time after which an unanswered connection attempt counts as broken.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after which an entry treats an attempt at a lost target as broken.
const LOST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time until lost targets are removed from the membership.
const MEMBER_REMOVAL_DELAY: Duration = Duration::from_secs(3);

/// Shortest and longest service time as multiples of the mean.
const SERVICE_TIME_SPREAD: (f64, f64) = (0.5, 5.0);

new_key_type! {
    struct CallKey;
    struct AttemptKey;
}

enum Event {
    Arrive,
    ReachGate(AttemptKey),
    RunEnd(AttemptKey, AttemptResult),
    ReturnToEntry(AttemptKey, AttemptResult, Option<GateLoadReport>),
    Cancel(AttemptKey),
    Wake(usize),
    Hedge(CallKey),
    Deadline(CallKey),
    Poll,
    LoadProbe,
    DomainLoss,
    LostTargetsRemoved,
}

struct Call {
    entry: usize,
    caller: u64,
    is_heavy: bool,
    is_long: bool,
    arrived_at: Instant,
    deadline: Instant,
    service_time: Duration,
    attempted_targets: Vec<usize>,
    live_attempts: Vec<AttemptKey>,
    attempt_count: u8,
    runs: u32,
}

struct Attempt {
    call: CallKey,
    entry: usize,
    target: usize,
    sent_at: Instant,
    started_at: Instant,
    state: AttemptState,
    is_cancelled: bool,
}

struct Player<'a> {
    scenario: &'a Scenario,
    clock: Clock<Event>,
    rng: SmallRng,
    targets: Vec<Target>,
    gates: Vec<Gate<AttemptKey>>,
    scheduled_wakes: Vec<Option<Instant>>,
    entries: Vec<Entry>,
    calls: SlotMap<CallKey, Call>,
    attempts: SlotMap<AttemptKey, Attempt>,
    polled_at: Instant,
    is_domain_lost: bool,
    tally: Tally,
}

/// Plays a scenario to its end; equal seeds give equal tallies.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Tally {
    let mut player = Player::new(scenario, policy, seed);
    player.clock.schedule_after(Duration::ZERO, Event::Arrive);
    match policy {
        Policy::Yuccarack => player.clock.schedule_after(LOAD_PROBE_INTERVAL, Event::LoadProbe),
        Policy::LeastInFlight | Policy::PowerOfTwo => {
            player.clock.schedule_after(POLL_INTERVAL, Event::Poll);
        }
        Policy::Random | Policy::RoundRobin => {}
    }
    for fault in &scenario.faults {
        if let Fault::DomainLoss { from } = *fault {
            player.clock.schedule_after(from, Event::DomainLoss);
            player.clock.schedule_after(from + MEMBER_REMOVAL_DELAY, Event::LostTargetsRemoved);
        }
    }
    while let Some(event) = player.clock.next() {
        player.handle(event);
    }
    player.tally
}

impl<'a> Player<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let clock = Clock::new();
        let now = clock.now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let fleet = scenario.fleet;
        let targets: Vec<_> =
            (0..fleet.targets).map(|i| Target::new(i, now, scenario, &mut rng)).collect();
        let all: Vec<_> = (0..fleet.targets).collect();
        let mut entries: Vec<_> =
            (0..fleet.entries).map(|i| Entry::new(i, policy, scenario, &mut rng)).collect();
        entries.iter_mut().for_each(|entry| entry.set_targets(now, &all, scenario));
        let mut tally = Tally::new();
        let duration_s = scenario.duration.as_secs_f64();
        tally.capacity = scenario.capacity_per_s() * duration_s;
        tally.target_s = fleet.targets as f64 * duration_s;
        tally.pair_s = tally.target_s * fleet.entries as f64;
        Self {
            gates: all.iter().map(|_| Gate::new(now, policy, scenario)).collect(),
            scheduled_wakes: vec![None; fleet.targets],
            polled_at: now,
            calls: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            is_domain_lost: false,
            scenario,
            clock,
            rng,
            targets,
            entries,
            tally,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::ReachGate(attempt) => self.reach_gate(attempt),
            Event::RunEnd(attempt, result) => self.handle_run_end(attempt, result),
            Event::ReturnToEntry(attempt, result, report) => {
                self.receive_result(attempt, result, report)
            }
            Event::Cancel(attempt) => self.cancel_at_gate(attempt),
            Event::Wake(target) => {
                self.scheduled_wakes[target] = None;
                self.poll_gate(target);
            }
            Event::Hedge(call) => self.hedge(call),
            Event::Deadline(call) => self.handle_deadline(call),
            Event::Poll => self.poll_reports(),
            Event::LoadProbe => self.count_load_probes(),
            Event::DomainLoss => self.lose_domain(),
            Event::LostTargetsRemoved => self.remove_lost_targets(),
        }
    }

    fn arrive(&mut self) {
        if self.clock.elapsed() >= self.scenario.duration {
            return;
        }
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / self.rate_per_s();
        self.clock.schedule_after(Duration::from_secs_f64(gap_s), Event::Arrive);
        let call = self.draw_call();
        self.tally.offered += 1;
        if call.is_heavy {
            self.tally.heavy.0 += 1;
        } else {
            self.tally.light.0 += 1;
        }
        let (entry, deadline) = (call.entry, call.deadline);
        let key = self.calls.insert(call);
        self.clock.schedule(deadline, Event::Deadline(key));
        let now = self.clock.now();
        self.entries[entry].record_first_attempt(now);
        if self.send_attempt(key) {
            self.schedule_hedge(key);
        }
    }

    /// Sends the call's next attempt; returns `false` if no target can be chosen.
    fn send_attempt(&mut self, key: CallKey) -> bool {
        let now = self.clock.now();
        let call = &mut self.calls[key];
        let entry = &mut self.entries[call.entry];
        let Some(target) = entry.choose(now, &mut self.rng, &call.attempted_targets) else {
            if call.live_attempts.is_empty() {
                self.tally.refused += 1;
                self.calls.remove(key);
            }
            return false;
        };
        let age = entry.report_age(now, target).unwrap_or(now - self.polled_at);
        self.tally.report_age_us.0 += age.as_micros() as u64;
        self.tally.report_age_us.1 += 1;
        call.attempt_count += 1;
        call.attempted_targets.push(target);
        let link_delay = link_delay(self.scenario, entry.domain, self.targets[target].domain);
        let attempt = self.attempts.insert(Attempt {
            call: key,
            entry: call.entry,
            target,
            sent_at: now,
            started_at: now,
            state: AttemptState::InTransit,
            is_cancelled: false,
        });
        call.live_attempts.push(attempt);
        if self.targets[target].is_lost(now) {
            self.attempts[attempt].state = AttemptState::Returning;
            let event = Event::ReturnToEntry(attempt, AttemptResult::BrokenNotRun, None);
            self.clock.schedule_after(CONNECT_TIMEOUT, event);
        } else {
            self.clock.schedule_after(link_delay, Event::ReachGate(attempt));
        }
        true
    }

    fn schedule_hedge(&mut self, key: CallKey) {
        let call = &self.calls[key];
        if !self.scenario.fleet.is_repeatable || call.is_long {
            return;
        }
        if let Some(delay) = self.entries[call.entry].hedge_delay(self.clock.now()) {
            self.clock.schedule_after(delay, Event::Hedge(key));
        }
    }

    fn hedge(&mut self, key: CallKey) {
        let now = self.clock.now();
        let Some(call) = self.calls.get(key) else { return };
        if self.entries[call.entry].try_take_hedge(now) && self.send_attempt(key) {
            self.tally.hedges += 1;
        }
    }

    fn receive_result(
        &mut self,
        key: AttemptKey,
        result: AttemptResult,
        report: Option<GateLoadReport>,
    ) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.remove(key) else { return };
        if attempt.is_cancelled {
            return;
        }
        let response_time = now - attempt.sent_at;
        self.entries[attempt.entry].record_attempt_end(
            now,
            attempt.target,
            Some(result),
            response_time,
            report,
        );
        let Some(call) = self.calls.get_mut(attempt.call) else { return };
        call.live_attempts.retain(|&other| other != key);
        if result == AttemptResult::Answered {
            let response_time = now - call.arrived_at;
            self.tally.record_response(response_time, call.is_heavy, call.is_long);
            let is_offering = self.clock.elapsed() < self.scenario.duration;
            self.tally.answered_while_offered += u64::from(is_offering);
            self.end_call(attempt.call);
            return;
        }
        let is_repeatable = self.scenario.fleet.is_repeatable;
        let entry = &mut self.entries[call.entry];
        if entry.should_retry(now, call.attempt_count, call.deadline, result, is_repeatable) {
            self.tally.retries += 1;
            self.send_attempt(attempt.call);
            return;
        }
        if call.live_attempts.is_empty() {
            match result {
                AttemptResult::Refused | AttemptResult::BrokenNotRun => self.tally.refused += 1,
                _ => self.tally.failed += 1,
            }
            self.end_call(attempt.call);
        }
    }

    fn handle_deadline(&mut self, key: CallKey) {
        if self.calls.contains_key(key) {
            self.tally.late += 1;
            self.end_call(key);
        }
    }

    /// Ends a call and cancels its remaining attempts.
    fn end_call(&mut self, key: CallKey) {
        let now = self.clock.now();
        let Some(call) = self.calls.remove(key) else { return };
        for attempt_key in call.live_attempts {
            let Some(attempt) = self.attempts.get_mut(attempt_key) else { continue };
            attempt.is_cancelled = true;
            let entry = &mut self.entries[attempt.entry];
            entry.record_attempt_end(now, attempt.target, None, now - attempt.sent_at, None);
            let link_delay =
                link_delay(self.scenario, entry.domain, self.targets[attempt.target].domain);
            self.clock.schedule_after(link_delay, Event::Cancel(attempt_key));
        }
    }

    fn poll_reports(&mut self) {
        self.polled_at = self.clock.now();
        let reports: Vec<_> = self.gates.iter().zip(&self.targets).map(polled_in_flight).collect();
        self.entries.iter_mut().for_each(|entry| entry.record_reports(&reports));
        let polls = self.entries.len() * self.targets.len();
        self.tally.measuring_bytes += polls as u64 * POLL_BYTES;
        if self.clock.elapsed() < self.scenario.duration {
            self.clock.schedule_after(POLL_INTERVAL, Event::Poll);
        }
    }

    fn count_load_probes(&mut self) {
        self.tally.measuring_bytes += self.targets.len() as u64 * POLL_BYTES;
        if self.clock.elapsed() < self.scenario.duration {
            self.clock.schedule_after(LOAD_PROBE_INTERVAL, Event::LoadProbe);
        }
    }
}

fn polled_in_flight((gate, target): (&Gate<AttemptKey>, &Target)) -> u32 {
    if target.has_false_reports { 0 } else { gate.in_flight() }
}

fn link_delay(scenario: &Scenario, from: usize, to: usize) -> Duration {
    if from == to { LOCAL_LINK_DELAY } else { scenario.fleet.link_delay }
}
