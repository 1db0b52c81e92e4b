//! For how long connections to a target may lie idle before they are used again.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::transport::upstream::Freshness;

/// Idle time after which connections aren't used while the target drops some: a busy target's are
/// used again within some 100 ms, and those were never seen to be dropped.
const CAUTIOUS_IDLE_MAX: Duration = Duration::from_millis(150);

/// Time for which one broken connection makes wary; a target that drops idle ones does so for
/// seconds.
const CAUTIOUS_PERIOD: Duration = Duration::from_secs(5);

/// What was seen of the kept connections of one target.
#[derive(Debug, Default)]
pub struct PooledConnections {
    cautious_until: Mutex<Option<Instant>>,
}

impl PooledConnections {
    /// Notes that a request was lost on a connection.
    pub fn record_broken(&self, now: Instant) {
        *self.cautious_until.lock() = Some(now + CAUTIOUS_PERIOD);
    }

    /// Which connections a request that may repeat goes over.
    pub fn freshness(&self, now: Instant) -> Freshness {
        match *self.cautious_until.lock() {
            Some(until) if until > now => Freshness::KeptWithin(CAUTIOUS_IDLE_MAX),
            _ => Freshness::Kept,
        }
    }
}
