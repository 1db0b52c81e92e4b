//! Which other daemons answered when they were last asked.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use yuccarack_config::ids::InstanceId;

/// What was observed of a daemon that doesn't answer.
struct Silence {
    since: Instant,
    failures: u32,
}

#[derive(Default)]
struct Observed {
    silent: HashMap<InstanceId, Silence>,
    responded_at: Option<Instant>,
}

/// Which other daemons answer; clones share it.
#[derive(Clone, Default)]
pub struct Reachability {
    observed: Arc<Mutex<Observed>>,
}

impl Reachability {
    /// Starts with nobody known to be silent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that `instance` answered.
    pub fn record_response(&self, instance: &str, now: Instant) {
        let mut observed = self.observed.lock();
        observed.silent.remove(instance);
        observed.responded_at = Some(now);
    }

    /// Takes in that `instance` gave no answer.
    pub fn record_failure(&self, instance: &str, now: Instant) {
        let mut observed = self.observed.lock();
        let new = || Silence { since: now, failures: 0 };
        observed.silent.entry(instance.to_owned()).or_insert_with(new).failures += 1;
    }

    /// Whether `instance` answered when it was last asked, or hasn't been asked.
    pub fn is_reachable(&self, instance: &str) -> bool {
        !self.observed.lock().silent.contains_key(instance)
    }

    /// Whether `instance` has been silent for `time` over `failures` questions or more.
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

    /// Whether anybody answered within the last `time`.
    pub fn has_response_within(&self, time: Duration, now: Instant) -> bool {
        let responded_at = self.observed.lock().responded_at;
        responded_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Forgets those for whom `is_known` doesn't hold.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.observed.lock().silent.retain(|instance, _| is_known(instance));
    }
}
