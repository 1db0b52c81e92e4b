//! Reachability of other daemons, by the results of the latest requests to them.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use yuccarack_config::ids::InstanceId;

/// Failed requests to a daemon since its latest response.
struct Silence {
    since: Instant,
    failures: u32,
}

#[derive(Default)]
struct Observed {
    silent: HashMap<InstanceId, Silence>,
    responded_at: Option<Instant>,
}

/// Which other daemons respond; clones share it.
#[derive(Clone, Default)]
pub struct Reachability {
    observed: Arc<Mutex<Observed>>,
}

impl Reachability {
    /// Starts with all daemons considered reachable.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a response of `instance`.
    pub fn record_response(&self, instance: &str, now: Instant) {
        let mut observed = self.observed.lock();
        observed.silent.remove(instance);
        observed.responded_at = Some(now);
    }

    /// Records a request to `instance` that failed.
    pub fn record_failure(&self, instance: &str, now: Instant) {
        let mut observed = self.observed.lock();
        let new = || Silence { since: now, failures: 0 };
        observed.silent.entry(instance.to_owned()).or_insert_with(new).failures += 1;
    }

    /// Returns whether the latest request to `instance` succeeded, or none was sent yet.
    pub fn is_reachable(&self, instance: &str) -> bool {
        !self.observed.lock().silent.contains_key(instance)
    }

    /// Returns whether `instance` has been silent for `time` and over `failures` requests or more.
    pub fn is_silent_for(
        &self,
        instance: &str,
        time: Duration,
        failures: u32,
        now: Instant,
    ) -> bool {
        let observed = self.observed.lock();
        let Some(silence) = observed.silent.get(instance) else { return false };
        silence.failures >= failures && now.saturating_duration_since(silence.since) >= time
    }

    /// Returns whether any daemon responded within the last `time`.
    pub fn has_response_within(&self, time: Duration, now: Instant) -> bool {
        let responded_at = self.observed.lock().responded_at;
        responded_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Drops the instances for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.observed.lock().silent.retain(|instance, _| is_known(instance));
    }
}
