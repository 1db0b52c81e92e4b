//! Suspects as one daemon knows them without reading the table.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use yuccarack_config::ids::{AttemptId, Fingerprint, InstanceId};
use yuccarack_policy::suspects::{SuspectPhase, Suspects, SuspectsConfig, Verdict};

use crate::protocol::suspect_update::{SuspectEvent, SuspectUpdate};

/// Target crashes with a request in flight after which the request is quarantined.
pub(super) const CRASHES_MAX: usize = 2;

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
        if verdict == Verdict::Isolated && crash_count >= CRASHES_MAX {
            // The quarantine is over; the crashes that led to it must not count for the next one.
            self.crashes.remove(&fingerprint);
        }
        verdict
    }

    /// Records that the own target crashed, and returns the event of each request in flight.
    ///
    /// Running trials of this gate count as in flight even after their caller disconnected.
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
        for (fingerprint, alone) in trials.into_iter().map(|trial| (trial, true)).chain(others) {
            if !counted.insert(fingerprint) {
                continue;
            }
            let phases = self.suspects.record_crash(now, &[fingerprint], alone);
            let is_second = self.add_crash(now, fingerprint, instance);
            let is_quarantined =
                is_second || phases.iter().any(|(_, phase)| *phase == SuspectPhase::Quarantined);
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
    pub fn record_trial_start(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.trial_started(now, fingerprint);
    }

    /// Records that a trial's request is being dispatched to the target.
    pub fn record_trial_dispatch(&mut self, fingerprint: Fingerprint, trial: AttemptId) {
        self.trials.insert(fingerprint, trial);
    }

    /// Ends a trial whose request was never dispatched.
    pub fn abandon_unstarted_trial(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.trial_abandoned(now, fingerprint);
    }

    /// Ends a trial of this gate that succeeded, and clears the request. Returns false if the
    /// target has crashed meanwhile.
    pub fn finish_trial(&mut self, fingerprint: Fingerprint, trial: AttemptId) -> bool {
        let is_open = self.end_trial(fingerprint, trial);
        if is_open {
            self.clear(fingerprint);
        }
        is_open
    }

    /// Ends a trial of this gate without a result. Returns false if the target has crashed
    /// meanwhile.
    pub fn abandon_trial(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        trial: AttemptId,
    ) -> bool {
        let is_open = self.end_trial(fingerprint, trial);
        if is_open {
            self.suspects.trial_abandoned(now, fingerprint);
        }
        is_open
    }

    fn end_trial(&mut self, fingerprint: Fingerprint, trial: AttemptId) -> bool {
        let is_open = self.trials.get(&fingerprint) == Some(&trial);
        if is_open {
            self.trials.remove(&fingerprint);
        }
        is_open
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
        let is_second = instances.len() >= CRASHES_MAX;
        if is_second {
            self.suspects.merge(now, fingerprint, SuspectPhase::Quarantined);
        }
        is_second
    }
}
