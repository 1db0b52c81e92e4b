//! Simulated target whose service times change with its faults and its load.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::SmallRng};

use crate::scenario::{Fault, SLOTS, Scenario};

/// Responses after which a cold target is warm.
const WARM_UP_RESPONSES: f64 = 200.0;

/// Factor on the service time of a target right after a cold start.
const COLD_START_FACTOR: f64 = 5.0;

/// Response time of a target that fails every request at once.
const FAIL_FAST_RESPONSE_TIME: Duration = Duration::from_micros(200);

/// State and faults of one target.
pub struct Target {
    pub domain: usize,
    pub has_false_reports: bool,
    pub lost_at: Option<Instant>,
    slowdowns: VecDeque<Slowdown>,
    failing_period: Option<(Instant, Instant)>,
    is_cold: bool,
    real_slots: u16,
    running: u16,
    responses: u64,
}

struct Slowdown {
    from: Instant,
    until: Instant,
    factor: f64,
}

/// How and when a started run will end.
pub enum PlannedEnd {
    Response { at: Instant },
    Failure { at: Instant },
}

impl Target {
    pub fn new(index: usize, start: Instant, scenario: &Scenario, rng: &mut SmallRng) -> Self {
        let mut target = Self {
            domain: index % scenario.fleet.domains,
            has_false_reports: false,
            lost_at: None,
            slowdowns: VecDeque::new(),
            failing_period: None,
            is_cold: false,
            real_slots: SLOTS,
            running: 0,
            responses: 0,
        };
        for fault in &scenario.faults {
            target.apply_fault(index, start, scenario, fault, rng);
        }
        target
    }

    fn apply_fault(
        &mut self,
        index: usize,
        start: Instant,
        scenario: &Scenario,
        fault: &Fault,
        rng: &mut SmallRng,
    ) {
        match *fault {
            Fault::Stalls { mean_interval, shortest, longest, factor } => {
                self.add_stalls(
                    start,
                    scenario.duration,
                    (mean_interval, shortest, longest),
                    factor,
                    rng,
                );
            }
            Fault::NoisyNeighbour { duration, factor } => {
                self.add_neighbour_slowdowns(index, start, scenario, duration, factor);
            }
            Fault::Slow { from, until, factor } if index == 0 => {
                self.add_slowdown(start + from, start + until, factor);
            }
            Fault::FailsFast { from, until } if index == 0 => {
                self.failing_period = Some((start + from, start + until));
            }
            Fault::FalseReports => self.has_false_reports = index == 0,
            Fault::ColdStart => self.is_cold = true,
            Fault::OverstatedSlots { real_slots } => self.real_slots = real_slots,
            Fault::DomainLoss { from } if self.domain == 0 => self.lost_at = Some(start + from),
            Fault::Slow { .. } | Fault::FailsFast { .. } | Fault::DomainLoss { .. } => {}
        }
    }

    fn add_stalls(
        &mut self,
        start: Instant,
        duration: Duration,
        (mean_interval, shortest, longest): (Duration, Duration, Duration),
        factor: f64,
        rng: &mut SmallRng,
    ) {
        let mut at = start;
        loop {
            at += mean_interval.mul_f64(-(1.0 - rng.random::<f64>()).ln());
            if at > start + duration {
                return;
            }
            let until = at + rng.random_range(shortest..=longest);
            self.add_slowdown(at, until, factor);
            at = until;
        }
    }

    fn add_neighbour_slowdowns(
        &mut self,
        index: usize,
        start: Instant,
        scenario: &Scenario,
        duration: Duration,
        factor: f64,
    ) {
        // One neighbour for every ten targets, each cycling through its own targets.
        let cycle_length = scenario.fleet.targets.min(10) as u32;
        let mut at = start + duration * (index as u32 % cycle_length);
        while at < start + scenario.duration {
            self.add_slowdown(at, at + duration, factor);
            at += duration * cycle_length;
        }
    }

    fn add_slowdown(&mut self, from: Instant, until: Instant, factor: f64) {
        self.slowdowns.push_back(Slowdown { from, until, factor });
    }

    pub fn is_lost(&self, now: Instant) -> bool {
        self.lost_at.is_some_and(|from| now >= from)
    }

    /// Starts a run; [`Self::finish_run`] must be called when it ends.
    pub fn start(&mut self, now: Instant, service_time: Duration) -> PlannedEnd {
        self.running += 1;
        if self.failing_period.is_some_and(|(from, until)| now >= from && now < until) {
            return PlannedEnd::Failure { at: now + FAIL_FAST_RESPONSE_TIME };
        }
        let overload_factor = (f64::from(self.running) / f64::from(self.real_slots)).max(1.0);
        let service_time = service_time.mul_f64(overload_factor * self.cold_start_factor());
        PlannedEnd::Response { at: self.completion_time(now, service_time) }
    }

    pub fn finish_run(&mut self) {
        self.running -= 1;
        self.responses += 1;
    }

    fn cold_start_factor(&self) -> f64 {
        if !self.is_cold {
            return 1.0;
        }
        let cold_share = 1.0 - (self.responses as f64 / WARM_UP_RESPONSES).min(1.0);
        1.0 + (COLD_START_FACTOR - 1.0) * cold_share
    }

    /// Returns when work that starts now is done, given the slowdowns until then.
    fn completion_time(&mut self, now: Instant, service_time: Duration) -> Instant {
        while self.slowdowns.front().is_some_and(|slowdown| slowdown.until <= now) {
            self.slowdowns.pop_front();
        }
        let (mut at, mut work_left) = (now, service_time);
        for slowdown in &self.slowdowns {
            let normal_time = slowdown.from.saturating_duration_since(at);
            if normal_time >= work_left {
                break;
            }
            work_left -= normal_time;
            at += normal_time;
            let slow_time = slowdown.until - at;
            let work_done = slow_time.div_f64(slowdown.factor);
            if work_done >= work_left {
                return at + work_left.mul_f64(slowdown.factor);
            }
            work_left -= work_done;
            at += slow_time;
        }
        at + work_left
    }
}
