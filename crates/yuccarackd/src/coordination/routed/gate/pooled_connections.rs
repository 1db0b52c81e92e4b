//! Decides how long a pooled connection to a target may have been idle to be used again.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::transport::upstream::Freshness;

/// Longest idle time of a connection that is used while the target drops idle ones. Connections to
/// a busy target are used again within some 100 ms, and no drop of one is known.
const CAUTIOUS_IDLE_MAX: Duration = Duration::from_millis(150);

/// Time after a broken connection in which only recently used ones are used. A target that drops
/// idle connections does so for seconds.
const CAUTIOUS_PERIOD: Duration = Duration::from_secs(5);

/// Tracks whether the target drops pooled connections.
#[derive(Debug, Default)]
pub struct PooledConnections {
    cautious_until: Mutex<Option<Instant>>,
}

impl PooledConnections {
    /// Records that a connection broke while a request was on it.
    pub fn record_broken(&self, now: Instant) {
        *self.cautious_until.lock() = Some(now + CAUTIOUS_PERIOD);
    }

    /// Returns which connections a repeatable request may use at `now`.
    pub fn freshness(&self, now: Instant) -> Freshness {
        match *self.cautious_until.lock() {
            Some(until) if until > now => Freshness::KeptWithin(CAUTIOUS_IDLE_MAX),
            _ => Freshness::Kept,
        }
    }
}
