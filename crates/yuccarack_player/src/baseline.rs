//! Baseline load balancing policies that those of `yuccarack_policy` are compared with.

use rand::{Rng, rngs::SmallRng};

use crate::scenario::Policy;

/// Target selection of one entry under a baseline policy.
pub struct Baseline {
    policy: Policy,
    next: usize,
    /// Requests in flight at each target as of the last report.
    reported_in_flight: Vec<u32>,
    /// Requests that this entry has sent to each target since that report.
    sent_since_report: Vec<u32>,
}

impl Baseline {
    pub fn new(policy: Policy, targets: usize, first: usize) -> Self {
        Self {
            policy,
            next: first,
            reported_in_flight: vec![0; targets],
            sent_since_report: vec![0; targets],
        }
    }

    /// Stores the reports of all targets and restarts the count of requests sent since.
    pub fn record_reports(&mut self, in_flight: &[u32]) {
        self.reported_in_flight.copy_from_slice(in_flight);
        self.sent_since_report.fill(0);
    }

    /// Chooses among the targets in `known` that weren't attempted yet, or among all of them when
    /// none is left.
    pub fn choose(
        &mut self,
        rng: &mut SmallRng,
        known: &[usize],
        attempted: &[usize],
    ) -> Option<usize> {
        let remaining: Vec<_> = known.iter().copied().filter(|t| !attempted.contains(t)).collect();
        let candidates = if remaining.is_empty() { known } else { &remaining };
        if candidates.is_empty() {
            return None;
        }
        let chosen = self.pick(rng, candidates);
        self.sent_since_report[chosen] += 1;
        Some(chosen)
    }

    fn pick(&mut self, rng: &mut SmallRng, candidates: &[usize]) -> usize {
        let random = |rng: &mut SmallRng| candidates[rng.random_range(0..candidates.len())];
        match self.policy {
            Policy::Yuccarack | Policy::Random => random(rng),
            Policy::RoundRobin => {
                self.next += 1;
                candidates[self.next % candidates.len()]
            }
            Policy::LeastInFlight => self.least_loaded(rng, candidates),
            Policy::PowerOfTwo => {
                let two = [random(rng), random(rng)];
                self.least_loaded(rng, &two)
            }
        }
    }

    fn least_loaded(&self, rng: &mut SmallRng, candidates: &[usize]) -> usize {
        let load = |target: usize| self.reported_in_flight[target] + self.sent_since_report[target];
        let first = rng.random_range(0..candidates.len());
        let (before, after) = candidates.split_at(first);
        let mut rotated = after.iter().chain(before).copied();
        let start = rotated.next().unwrap_or(candidates[first]);
        rotated.fold(start, |best, next| if load(next) < load(best) { next } else { best })
    }
}
