//! Requests that are no longer dispatched because targets crashed while running them.
//!
//! Used for routed calls.
//!
//! A single request may crash each target that starts to run it, while its caller sends it again
//! and again, at any daemon. Target after target is then down for seconds, together with all that
//! ran beside it. A request that was running at three crashes is taken for the cause; one that was
//! there by chance is cleared by its first successful run.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_config::ids::Fingerprint;

/// Crashes after which a request is no longer dispatched. Two happen by chance to requests that
/// many callers send; operators expect the third to be the last.
pub const CRASHES_MAX: u8 = 3;

/// Time for which a crash counts; callers of such requests retry within seconds.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Most requests that are counted: those of about a hundred crashes with all slots in use.
const FINGERPRINTS_MAX: usize = 1_024;

/// Number of crashes by request, as known to one gate.
#[derive(Clone, Debug, Default)]
pub struct CrashCounts {
    counts: HashMap<Fingerprint, CrashCount>,
}

#[derive(Clone, Copy, Debug)]
struct CrashCount {
    crashes: u8,
    expires_at: Instant,
}

impl CrashCounts {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target crashed while it ran the request.
    pub fn record_crash(&mut self, now: Instant, request: Fingerprint) {
        if self.counts.len() >= FINGERPRINTS_MAX {
            self.counts.retain(|_, count| count.expires_at > now);
        }
        if self.counts.len() >= FINGERPRINTS_MAX && !self.counts.contains_key(&request) {
            return;
        }
        let expires_at = now + RETENTION;
        let count = self.counts.entry(request).or_insert(CrashCount { crashes: 0, expires_at });
        if count.expires_at <= now {
            count.crashes = 0;
        }
        count.crashes = count.crashes.saturating_add(1);
        count.expires_at = expires_at;
    }

    /// Clears the count of a request that was answered.
    pub fn clear(&mut self, request: Fingerprint) {
        self.counts.remove(&request);
    }

    /// Returns whether the request is no longer dispatched.
    pub fn is_quarantined(&self, now: Instant, request: Fingerprint) -> bool {
        let count = self.counts.get(&request);
        count.is_some_and(|count| count.crashes >= CRASHES_MAX && count.expires_at > now)
    }
}
