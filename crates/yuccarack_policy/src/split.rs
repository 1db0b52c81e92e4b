//! Which service of a split route takes the next request.
//!
//! The pattern is a route whose requests are shared out by weight over many entries, each of which
//! sees a few a second: drawn at random, a share of two hundred requests is off by several in a
//! hundred. Each entry deals its requests out in turn instead, starting anywhere, so that all
//! entries together are off by less than one request each.

use rand::Rng;

/// Deals the requests of one route at one entry out.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    /// What each part is owed, in weights.
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Deals by `weights`, starting at a random place.
    pub fn new(weights: Vec<u32>, rng: &mut impl Rng) -> Self {
        let total: i64 = weights.iter().map(|&weight| i64::from(weight)).sum();
        let mut start = || if total == 0 { 0 } else { rng.random_range(0..total) };
        let credits = weights.iter().map(|_| start()).collect();
        Self { weights, credits }
    }

    /// Whether it deals by `weights`.
    pub fn has_weights(&self, weights: &[u32]) -> bool {
        self.weights == weights
    }

    /// The part that takes the next request; none when no part has a weight.
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
