//! Which requests are no longer handed to targets, since targets died of them.
//!
//! The pattern is one request that crashes each target that begins to run it, and that its caller
//! sends again and again, at any daemon: target after target is down for seconds, with all that ran
//! beside it. A request that was running at three deaths is held to be the cause; one that was there
//! by chance is cleared by its first good end.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_config::ids::Fingerprint;

/// Deaths after which a request isn't handed over any more. Two happen by chance to requests that
/// many callers send; operators expect the third to be the last.
pub const CRASHES_MAX: u8 = 3;

/// Time for which a death is remembered; callers of such requests come back within seconds.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Most requests that are remembered: some hundred deaths with all slots in use.
const FINGERPRINTS_MAX: usize = 1_024;

/// Deaths by request, as one gate knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashCounts {
    counts: HashMap<Fingerprint, CrashCount>,
}

#[derive(Clone, Copy, Debug)]
struct CrashCount {
    crashes: u8,
    forget_at: Instant,
}

impl CrashCounts {
    /// Starts with none.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a target died with the request on it.
    pub fn record_crash(&mut self, now: Instant, request: Fingerprint) {
        if self.counts.len() >= FINGERPRINTS_MAX {
            self.counts.retain(|_, count| count.forget_at > now);
        }
        if self.counts.len() >= FINGERPRINTS_MAX && !self.counts.contains_key(&request) {
            return;
        }
        let forget_at = now + RETENTION;
        let count = self.counts.entry(request).or_insert(CrashCount { crashes: 0, forget_at });
        if count.forget_at <= now {
            count.crashes = 0;
        }
        count.crashes = count.crashes.saturating_add(1);
        count.forget_at = forget_at;
    }

    /// Notes that the request was answered.
    pub fn clear(&mut self, request: Fingerprint) {
        self.counts.remove(&request);
    }

    /// Whether the request isn't handed over any more.
    pub fn is_blocked(&self, now: Instant, request: Fingerprint) -> bool {
        let count = self.counts.get(&request);
        count.is_some_and(|count| count.crashes >= CRASHES_MAX && count.forget_at > now)
    }
}
