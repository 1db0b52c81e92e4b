//! Usual sizes of the responses to requests of one kind.
//!
//! Used for routed calls.

use std::collections::HashMap;

/// Weight of one response in the moving average, which covers about ten responses.
const WEIGHT: f64 = 0.1;

/// Limit of tracked kinds, which is above the number of routes in an operator's table.
const KINDS_MAX: usize = 4_096;

/// Moving averages of the sizes of responses.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    mean_bytes_by_kind: HashMap<u64, f64>,
}

impl ResponseSizes {
    /// Records the size of a response to a request of `kind`.
    pub fn record(&mut self, kind: u64, bytes: u64) {
        let is_full = self.mean_bytes_by_kind.len() >= KINDS_MAX;
        if is_full && !self.mean_bytes_by_kind.contains_key(&kind) {
            // The map also holds kinds that no longer exist.
            self.mean_bytes_by_kind.clear();
        }
        let bytes = bytes as f64;
        let mean = self.mean_bytes_by_kind.entry(kind).or_insert(bytes);
        *mean += WEIGHT * (bytes - *mean);
    }

    /// Returns the usual size of a response to a request of `kind`; `None` before the first one.
    pub fn usual_bytes(&self, kind: u64) -> Option<u64> {
        self.mean_bytes_by_kind.get(&kind).map(|mean| *mean as u64)
    }
}
