//! Random arrivals of calls: rate, caller, entry and service time.

use rand::Rng;

use super::{Call, Player, SERVICE_TIME_SPREAD};

impl Player<'_> {
    pub(super) fn rate_per_s(&self) -> f64 {
        let rate = self.scenario.load * self.scenario.capacity_per_s();
        let Some(burst) = self.scenario.burst else { return rate };
        let offset = self.clock.elapsed().as_micros() % burst.interval.as_micros();
        if offset < burst.duration.as_micros() { rate * burst.factor } else { rate }
    }

    pub(super) fn draw_call(&mut self) -> Call {
        let now = self.clock.now();
        let callers = self.scenario.callers;
        let is_heavy = self.rng.random::<f64>() < callers.heavy_share;
        let caller = match is_heavy {
            true => self.rng.random_range(0..callers.heavy),
            false => self.rng.random_range(callers.heavy..callers.count),
        };
        let workload = self.scenario.workload;
        let is_long = self.rng.random::<f64>() < workload.long_share;
        let spread = 0.5 - 0.5 * (1.0 - self.rng.random::<f64>()).ln();
        let factor = if is_long { workload.long_factor } else { 1.0 };
        let service_time = workload
            .mean
            .mul_f64(factor * spread.clamp(SERVICE_TIME_SPREAD.0, SERVICE_TIME_SPREAD.1));
        Call {
            entry: self.draw_entry(),
            caller,
            is_heavy,
            is_long,
            arrived_at: now,
            deadline: now + self.scenario.deadline,
            service_time,
            attempted_targets: Vec::new(),
            live_attempts: Vec::new(),
            attempt_count: 0,
            runs: 0,
        }
    }

    fn draw_entry(&mut self) -> usize {
        loop {
            let entry = self.rng.random_range(0..self.entries.len());
            if !self.is_domain_lost || self.entries[entry].domain != 0 {
                return entry;
            }
        }
    }
}
