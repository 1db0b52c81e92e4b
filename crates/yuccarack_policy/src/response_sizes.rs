//! Usual sizes of the responses to requests of one kind.
//!
//! Used for routed calls.

use std::collections::HashMap;

use crate::link_pacing::SHORT_MAX_BYTES;

/// Weight of one response in the moving average, which covers about ten responses.
const WEIGHT: f64 = 0.1;

/// Limit of tracked kinds, which is above the number of routes in an operator's table.
const KINDS_MAX: usize = 4_096;

/// Least share of long responses by which the next one is expected to be long. Calls between services
/// may share a route with downloads, and must not be taken for them.
const LONG_SHARE_MIN: f64 = 0.8;

/// Moving averages of the sizes of responses.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    by_kind: HashMap<u64, SizesOfKind>,
}

#[derive(Clone, Copy, Debug)]
struct SizesOfKind {
    mean_bytes: f64,
    long_share: f64,
}

impl ResponseSizes {
    /// Records the size of a response to a request of `kind`.
    pub fn record(&mut self, kind: u64, bytes: u64) {
        if self.by_kind.len() >= KINDS_MAX && !self.by_kind.contains_key(&kind) {
            // The map also holds kinds that no longer exist.
            self.by_kind.clear();
        }
        let long_share = f64::from(u8::from(bytes > SHORT_MAX_BYTES));
        let bytes = bytes as f64;
        let first = SizesOfKind { mean_bytes: bytes, long_share };
        let sizes = self.by_kind.entry(kind).or_insert(first);
        sizes.mean_bytes += WEIGHT * (bytes - sizes.mean_bytes);
        sizes.long_share += WEIGHT * (long_share - sizes.long_share);
    }

    /// Returns the usual size of a response to a request of `kind`; `None` before the first one.
    pub fn usual_bytes(&self, kind: u64) -> Option<u64> {
        self.by_kind.get(&kind).map(|sizes| sizes.mean_bytes as u64)
    }

    /// Returns the usual size of a response to a request of `kind` if nearly all are long.
    pub fn usual_long_bytes(&self, kind: u64) -> Option<u64> {
        let sizes = self.by_kind.get(&kind)?;
        (sizes.long_share >= LONG_SHARE_MIN).then_some(sizes.mean_bytes as u64)
    }
}
