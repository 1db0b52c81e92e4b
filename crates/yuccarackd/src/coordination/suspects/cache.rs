//! What one daemon knows of suspects without asking the table.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use yuccarack_config::ids::{AttemptId, Fingerprint, InstanceId};
use yuccarack_policy::suspects::{SuspectPhase, Suspects, SuspectsConfig, Verdict};

use crate::protocol::suspect_update::{SuspectEvent, SuspectUpdate};

/// Deaths in whose course a request was in flight, after which it is quarantined.
pub(super) const CRASHES_MAX: usize = 2;

/// Most suspects whose deaths are told apart; as many as the policy remembers.
const CRASH_RECORDS_MAX: usize = 1_024;

/// The policy's memory, with what only a daemon knows: where targets died, which trials are here.
#[derive(Debug)]
pub struct SuspectCache {
    suspects: Suspects,
    crashes: HashMap<Fingerprint, HashSet<InstanceId>>,
    trials: HashMap<Fingerprint, AttemptId>,
}

impl SuspectCache {
    /// Makes an empty memory.
    pub fn new() -> Self {
        let suspects = Suspects::new(SuspectsConfig::default());
        Self { suspects, crashes: HashMap::new(), trials: HashMap::new() }
    }

    /// How a request may run.
    pub fn verdict(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let verdict = self.suspects.verdict(now, fingerprint);
        let crash_count = self.crashes.get(&fingerprint).map_or(0, HashSet::len);
        if verdict == Verdict::Alone && crash_count >= CRASHES_MAX {
            // Its quarantine is over; what led to it must not lead to the next one too.
            self.crashes.remove(&fingerprint);
        }
        verdict
    }

    /// Notes that the own target died; says what each request in flight is from now on.
    ///
    /// Trials of this gate count among them also when their caller has hung up: a caller that
    /// hangs up just before each crash would otherwise never be found.
    pub fn record_own_target_crash(
        &mut self,
        now: Instant,
        instance: &str,
        in_flight: &[(Fingerprint, bool)],
    ) -> Vec<(Fingerprint, SuspectEvent)> {
        let trials: Vec<Fingerprint> = self.trials.drain().map(|(trial, _)| trial).collect();
        let mut events = Vec::with_capacity(in_flight.len() + trials.len());
        let mut seen = HashSet::new();
        let others = in_flight.iter().copied();
        for (fingerprint, alone) in trials.into_iter().map(|trial| (trial, true)).chain(others) {
            if !seen.insert(fingerprint) {
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

    /// Takes over what a peer saw.
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

    /// Takes over what the table says.
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

    /// Forgets a request.
    fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.clear(fingerprint);
        self.crashes.remove(&fingerprint);
    }

    /// Where targets died with a request in flight, as far as it is known here.
    pub fn crashed_instances(&self, fingerprint: Fingerprint) -> Vec<InstanceId> {
        self.crashes.get(&fingerprint).into_iter().flatten().cloned().collect()
    }

    /// Notes that a trial was granted to this gate.
    pub fn record_trial_start(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.trial_started(now, fingerprint);
    }

    /// Notes that a trial's request is being handed to the target.
    pub fn record_trial_dispatch(&mut self, fingerprint: Fingerprint, trial: AttemptId) {
        self.trials.insert(fingerprint, trial);
    }

    /// Ends a trial whose request was never handed over.
    pub fn abandon_unstarted_trial(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.trial_abandoned(now, fingerprint);
    }

    /// Ends a trial of this gate well; false when the target has died of it meanwhile.
    pub fn finish_trial(&mut self, fingerprint: Fingerprint, trial: AttemptId) -> bool {
        let is_open = self.end_trial(fingerprint, trial);
        if is_open {
            self.clear(fingerprint);
        }
        is_open
    }

    /// Ends a trial of this gate that taught nothing; false when the target has died of it.
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

    /// Two targets that died with the same request in flight are proof enough, also when both had
    /// company: else a caller that sends it to two daemons at once would get a third target.
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
