//! Requests suspected of crashing the targets that run them.
//!
//! Used for calls by service.
//!
//! A single request may crash each target that runs it while its caller sends it again: without a
//! record of what was in flight, one request takes down a service of six targets within six
//! retries. Every request in flight at a crash becomes a suspect. A suspect is tried by an isolated
//! run, that is, with nothing else in flight on its target and on one target at a time. Such a run
//! is the suspect's trial; if its target crashes too, the request is quarantined. Requests that
//! were there by chance are cleared by their first successful run, so they cost one isolated run
//! and no more.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_config::ids::Fingerprint;

/// Durations and size limit of the record of suspects.
#[derive(Clone, Copy, Debug)]
pub struct SuspectsConfig {
    /// How long a suspect is remembered after its last crash.
    pub suspected_for: Duration,
    /// Longest trial; without a result by then, the request is a suspect again.
    pub trial_max: Duration,
    /// How long a request is rejected after it crashed a target in an isolated run.
    pub quarantined_for: Duration,
    /// Time after which a caller may retry whose request is on trial at another target.
    pub trial_retry_after: Duration,
    /// Most fingerprints remembered; beyond that the least severe and oldest suspects are removed.
    pub remembered_max: usize,
}

/// State of a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectPhase {
    /// The request was in flight when a target crashed.
    Suspected,
    /// The request is in an isolated run on one target.
    OnTrial,
    /// The request crashed a target in an isolated run.
    Quarantined,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against the request.
    Clear,
    /// The request may run isolated, with nothing else in flight on its target.
    Isolated,
    /// The request is on trial on another target.
    OnTrialElsewhere {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request is rejected.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    phase: SuspectPhase,
    until: Instant,
}

/// Record of suspects, bounded in size.
#[derive(Clone, Debug)]
pub struct Suspects {
    config: SuspectsConfig,
    known: HashMap<Fingerprint, Suspect>,
}

impl Default for SuspectsConfig {
    fn default() -> Self {
        Self {
            suspected_for: Duration::from_secs(600),
            trial_max: Duration::from_secs(30),
            quarantined_for: Duration::from_secs(600),
            trial_retry_after: Duration::from_secs(1),
            remembered_max: 1_024,
        }
    }
}

impl Suspects {
    /// Creates an empty record.
    pub fn new(config: SuspectsConfig) -> Self {
        Self { config, known: HashMap::new() }
    }

    /// Returns how the request may run now.
    pub fn verdict(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        self.expire(now, fingerprint);
        let Some(suspect) = self.known.get(&fingerprint) else { return Verdict::Clear };
        match suspect.phase {
            SuspectPhase::Suspected => Verdict::Isolated,
            SuspectPhase::OnTrial => {
                Verdict::OnTrialElsewhere { retry_after: self.config.trial_retry_after }
            }
            SuspectPhase::Quarantined => Verdict::Quarantined { until: suspect.until },
        }
    }

    /// Records a crash with these requests in flight and returns the new phase of each.
    ///
    /// Only a request that ran isolated while already suspected is quarantined: one that ran beside
    /// others may have been there by chance, however often it happened.
    pub fn record_crash(
        &mut self,
        now: Instant,
        in_flight: &[Fingerprint],
        ran_isolated: bool,
    ) -> Vec<(Fingerprint, SuspectPhase)> {
        let mut phases = Vec::with_capacity(in_flight.len());
        for &fingerprint in in_flight {
            self.expire(now, fingerprint);
            let phase = self.phase_after_crash(fingerprint, ran_isolated);
            self.insert(now, fingerprint, phase);
            phases.push((fingerprint, phase));
        }
        phases
    }

    /// Records that the isolated run of a suspect started.
    pub fn trial_started(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.raise_phase(now, fingerprint, SuspectPhase::OnTrial);
    }

    /// Records that the isolated run of a suspect ended without a crash, and clears the suspect.
    pub fn trial_succeeded(&mut self, fingerprint: Fingerprint) {
        self.known.remove(&fingerprint);
    }

    /// Records that a trial ended before the request was dispatched, so that it showed nothing.
    pub fn trial_abandoned(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.known.get(&fingerprint).is_some_and(|known| known.phase == SuspectPhase::OnTrial) {
            self.insert(now, fingerprint, SuspectPhase::Suspected);
        }
    }

    /// Merges a phase known to a peer or the table; never lowers the known phase.
    pub fn merge(&mut self, now: Instant, fingerprint: Fingerprint, phase: SuspectPhase) {
        self.expire(now, fingerprint);
        self.raise_phase(now, fingerprint, phase);
    }

    /// Removes a request after an operator's order or a peer's completed trial.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.known.remove(&fingerprint);
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn phase_after_crash(&self, fingerprint: Fingerprint, ran_isolated: bool) -> SuspectPhase {
        match self.known.get(&fingerprint).map(|known| known.phase) {
            Some(SuspectPhase::Quarantined) => SuspectPhase::Quarantined,
            Some(_) if ran_isolated => SuspectPhase::Quarantined,
            Some(_) | None => SuspectPhase::Suspected,
        }
    }

    fn raise_phase(&mut self, now: Instant, fingerprint: Fingerprint, phase: SuspectPhase) {
        let known = self.known.get(&fingerprint).map(|known| known.phase);
        if known.is_none_or(|known| known < phase) {
            self.insert(now, fingerprint, phase);
        }
    }

    fn insert(&mut self, now: Instant, fingerprint: Fingerprint, phase: SuspectPhase) {
        let until = now + self.phase_duration(phase);
        self.known.insert(fingerprint, Suspect { phase, until });
        if self.known.len() > self.config.remembered_max {
            self.evict_least();
        }
    }

    fn phase_duration(&self, phase: SuspectPhase) -> Duration {
        match phase {
            SuspectPhase::Suspected => self.config.suspected_for,
            SuspectPhase::OnTrial => self.config.trial_max,
            SuspectPhase::Quarantined => self.config.quarantined_for,
        }
    }

    /// Removes the suspect with the lowest phase that would expire first.
    fn evict_least(&mut self) {
        let least = self.known.iter().min_by_key(|(_, known)| (known.phase, known.until));
        if let Some((&fingerprint, _)) = least {
            self.known.remove(&fingerprint);
        }
    }

    /// Lowers the phase by one step when its time is over: after a trial or quarantine the request
    /// is a suspect again and gets another isolated run; a suspect is removed.
    fn expire(&mut self, now: Instant, fingerprint: Fingerprint) {
        let Some(known) = self.known.get(&fingerprint) else { return };
        if now < known.until {
            return;
        }
        match known.phase {
            SuspectPhase::Suspected => {
                self.known.remove(&fingerprint);
            }
            SuspectPhase::OnTrial | SuspectPhase::Quarantined => {
                self.insert(now, fingerprint, SuspectPhase::Suspected);
            }
        }
    }
}
