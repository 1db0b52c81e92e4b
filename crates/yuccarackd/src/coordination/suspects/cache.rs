//! Suspects as one daemon knows them without reading the table.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use yuccarack_config::ids::{AttemptId, Fingerprint, InstanceId};
use yuccarack_policy::suspects::{SuspectPhase, Suspects, SuspectsConfig, Verdict};

use crate::protocol::suspect_update::{SuspectEvent, SuspectUpdate};

/// Number of instances whose target crashed with a request in flight from which on the request is
/// quarantined. Several crashes on one instance count once.
pub(super) const QUARANTINE_INSTANCE_COUNT: usize = 2;

/// Most suspects whose crashes are recorded by instance; as many as the policy remembers.
const CRASH_RECORDS_MAX: usize = 1_024;

/// State of the policy, with the instances where targets crashed and the running trials of this
/// gate.
#[derive(Debug)]
pub struct SuspectCache {
    suspects: Suspects,
    crashes: HashMap<Fingerprint, HashSet<InstanceId>>,
    trials: HashMap<Fingerprint, AttemptId>,
}

impl SuspectCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        let suspects = Suspects::new(SuspectsConfig::default());
        Self { suspects, crashes: HashMap::new(), trials: HashMap::new() }
    }

    /// Returns how a request may run.
    pub fn verdict(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let verdict = self.suspects.verdict(now, fingerprint);
        let crash_count = self.crashes.get(&fingerprint).map_or(0, HashSet::len);
        if verdict == Verdict::Isolated && crash_count >= QUARANTINE_INSTANCE_COUNT {
            // The quarantine is over; the crashes that led to it must not count for the next one.
            self.crashes.remove(&fingerprint);
        }
        verdict
    }

    /// Records that the own target crashed, and returns the event of each request in flight.
    ///
    /// Dispatched trials of this gate count as in flight even after their caller disconnected.
    /// Otherwise a request whose caller disconnects just before each crash would never be found.
    pub fn record_own_target_crash(
        &mut self,
        now: Instant,
        instance: &str,
        in_flight: &[(Fingerprint, bool)],
    ) -> Vec<(Fingerprint, SuspectEvent)> {
        let trials: Vec<Fingerprint> = self.trials.drain().map(|(trial, _)| trial).collect();
        let mut events = Vec::with_capacity(in_flight.len() + trials.len());
        let mut counted = HashSet::new();
        let others = in_flight.iter().copied();
        for (fingerprint, is_on_trial) in
            trials.into_iter().map(|trial| (trial, true)).chain(others)
        {
            if !counted.insert(fingerprint) {
                continue;
            }
            let phases = self.suspects.record_crash(now, &[fingerprint], is_on_trial);
            let reaches_limit = self.add_crash(now, fingerprint, instance);
            let is_quarantined = reaches_limit
                || phases.iter().any(|(_, phase)| *phase == SuspectPhase::Quarantined);
            if is_quarantined {
                events.push((fingerprint, SuspectEvent::Quarantined));
            } else {
                events.push((fingerprint, SuspectEvent::TargetDied));
            }
        }
        events
    }

    /// Applies an update of a peer.
    pub fn apply_update(&mut self, now: Instant, update: &SuspectUpdate) {
        let fingerprint = update.fingerprint;
        match update.event {
            SuspectEvent::TargetDied => {
                self.suspects.merge(now, fingerprint, SuspectPhase::Suspected);
                self.add_crash(now, fingerprint, &update.instance);
            }
            SuspectEvent::Quarantined => {
                self.suspects.merge(now, fingerprint, SuspectPhase::Quarantined);
            }
            SuspectEvent::TrialStarted => {
                self.suspects.merge(now, fingerprint, SuspectPhase::OnTrial);
            }
            SuspectEvent::TrialAbandoned => self.suspects.trial_abandoned(now, fingerprint),
            SuspectEvent::Cleared => self.clear(fingerprint),
        }
    }

    /// Merges a suspect's phase and crashes from the table.
    pub fn merge(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        phase: SuspectPhase,
        instances: &[InstanceId],
    ) {
        self.suspects.merge(now, fingerprint, phase);
        for instance in instances {
            self.add_crash(now, fingerprint, instance);
        }
    }

    /// Removes all state of a request.
    fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.clear(fingerprint);
        self.crashes.remove(&fingerprint);
    }

    /// Returns the instances whose target crashed with the request in flight, as far as known here.
    pub fn crashed_instances(&self, fingerprint: Fingerprint) -> Vec<InstanceId> {
        self.crashes.get(&fingerprint).into_iter().flatten().cloned().collect()
    }

    /// Records that this gate was granted a trial.
    pub fn record_trial_grant(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.trial_started(now, fingerprint);
    }

    /// Records that a trial's request is being dispatched to the target.
    pub fn record_trial_dispatch(&mut self, fingerprint: Fingerprint, trial_id: AttemptId) {
        self.trials.insert(fingerprint, trial_id);
    }

    /// Ends a trial whose request was never dispatched.
    pub fn abandon_undispatched_trial(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.trial_abandoned(now, fingerprint);
    }

    /// Ends a trial of this gate that succeeded, and clears the request. Returns false if the
    /// target has crashed meanwhile.
    pub fn finish_trial(&mut self, fingerprint: Fingerprint, trial_id: AttemptId) -> bool {
        let is_running = self.end_trial(fingerprint, trial_id);
        if is_running {
            self.clear(fingerprint);
        }
        is_running
    }

    /// Ends a trial of this gate without a result. Returns false if the target has crashed
    /// meanwhile.
    pub fn abandon_trial(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        trial_id: AttemptId,
    ) -> bool {
        let is_running = self.end_trial(fingerprint, trial_id);
        if is_running {
            self.suspects.trial_abandoned(now, fingerprint);
        }
        is_running
    }

    fn end_trial(&mut self, fingerprint: Fingerprint, trial_id: AttemptId) -> bool {
        let is_running = self.trials.get(&fingerprint) == Some(&trial_id);
        if is_running {
            self.trials.remove(&fingerprint);
        }
        is_running
    }

    /// Records a crash with the request in flight and returns whether the request is quarantined.
    ///
    /// Two crashed instances are enough even if other requests were in flight on both. Otherwise a
    /// caller that sends the request to two daemons at once could crash a third target.
    fn add_crash(&mut self, now: Instant, fingerprint: Fingerprint, instance: &str) -> bool {
        if self.crashes.len() >= CRASH_RECORDS_MAX {
            let suspects = &mut self.suspects;
            self.crashes.retain(|known, _| suspects.verdict(now, *known) != Verdict::Clear);
        }
        let instances = self.crashes.entry(fingerprint).or_default();
        instances.insert(instance.to_owned());
        let reaches_limit = instances.len() >= QUARANTINE_INSTANCE_COUNT;
        if reaches_limit {
            self.suspects.merge(now, fingerprint, SuspectPhase::Quarantined);
        }
        reaches_limit
    }
}
