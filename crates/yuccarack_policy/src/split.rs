//! Weighted split of a route's requests over several services.
//!
//! Used for routed calls.
//!
//! The requests of a route are split by weight at many entries, each of which sees a few a second.
//! If drawn at random, a share of two hundred requests would be off by several percent. So each
//! entry assigns its requests by weighted round robin from a random start, and all entries together
//! are off by less than one request each.

use rand::Rng;

/// Assigns the requests of one route at one entry by smooth weighted round robin.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    /// Current credit of each part, in units of weight.
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Creates a round robin by `weights` with a random start.
    pub fn new(weights: Vec<u32>, rng: &mut impl Rng) -> Self {
        let total: i64 = weights.iter().map(|&weight| i64::from(weight)).sum();
        let mut start = || if total == 0 { 0 } else { rng.random_range(0..total) };
        let credits = weights.iter().map(|_| start()).collect();
        Self { weights, credits }
    }

    /// Returns whether the weights are `weights`.
    pub fn has_weights(&self, weights: &[u32]) -> bool {
        self.weights == weights
    }

    /// Returns the part that gets the next request; `None` when no part has a weight.
    pub fn next_part(&mut self) -> Option<usize> {
        let total: i64 = self.weights.iter().map(|&weight| i64::from(weight)).sum();
        for (owed, weight) in self.credits.iter_mut().zip(&self.weights) {
            *owed += i64::from(*weight);
        }
        let weighted = (0..self.weights.len()).filter(|&part| self.weights[part] > 0);
        let part = weighted.max_by_key(|&part| self.credits[part])?;
        self.credits[part] -= total;
        Some(part)
    }
}
