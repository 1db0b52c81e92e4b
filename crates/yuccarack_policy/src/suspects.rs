//! Requests that may crash the targets that run them.
//!
//! The pattern is a single request that crashes each target that runs it, whose caller sends it
//! again: without a memory of what was in flight, one request takes down a service of six
//! targets within six resends. Every request in flight at a death becomes a suspect. A suspect
//! runs alone, on one target at a time; if that target dies too, the request is quarantined.
//! Bystanders are cleared by their first run that ends well, so being in flight at the wrong
//! time costs one careful run and no more.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_config::ids::Fingerprint;

/// Times and sizes of the memory of suspects.
#[derive(Clone, Copy, Debug)]
pub struct SuspectsConfig {
    /// How long a suspect is remembered after its last crash.
    pub suspected_for: Duration,
    /// Longest trial; a trial that is neither ended nor crashed by then is forgotten.
    pub trial_max: Duration,
    /// How long a request is refused after it crashed a target while alone.
    pub quarantined_for: Duration,
    /// Pause told to a caller whose request is on trial elsewhere.
    pub trial_retry_after: Duration,
    /// Most fingerprints remembered; the oldest suspects make room.
    pub remembered_max: usize,
}

/// What is thought of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectPhase {
    /// It was in flight when a target died.
    Suspected,
    /// It runs alone on one target.
    OnTrial,
    /// It crashed a target while alone.
    Quarantined,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It may run with nothing else in flight on its target.
    Alone,
    /// It is on trial on another target.
    OnTrialElsewhere {
        /// When the caller may ask again.
        retry_after: Duration,
    },
    /// It is refused.
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

/// Memory of suspects, bounded in size.
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
    /// Creates an empty memory.
    pub fn new(config: SuspectsConfig) -> Self {
        Self { config, known: HashMap::new() }
    }

    /// How the request may run now.
    pub fn verdict(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        self.expire(now, fingerprint);
        let Some(suspect) = self.known.get(&fingerprint) else { return Verdict::Clear };
        match suspect.phase {
            SuspectPhase::Suspected => Verdict::Alone,
            SuspectPhase::OnTrial => {
                Verdict::OnTrialElsewhere { retry_after: self.config.trial_retry_after }
            }
            SuspectPhase::Quarantined => Verdict::Quarantined { until: suspect.until },
        }
    }

    /// Notes a death with these requests in flight; returns what is thought of each from now on.
    ///
    /// Only a request that ran alone while already suspected is quarantined: one in company may
    /// be a bystander, however often it was there.
    pub fn record_crash(
        &mut self,
        now: Instant,
        in_flight: &[Fingerprint],
        alone: bool,
    ) -> Vec<(Fingerprint, SuspectPhase)> {
        let mut phases = Vec::with_capacity(in_flight.len());
        for &fingerprint in in_flight {
            self.expire(now, fingerprint);
            let phase = self.phase_after_crash(fingerprint, alone);
            self.insert(now, fingerprint, phase);
            phases.push((fingerprint, phase));
        }
        phases
    }

    /// Notes that a suspect started to run alone.
    pub fn trial_started(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.raise_phase(now, fingerprint, SuspectPhase::OnTrial);
    }

    /// Notes that a suspect ran alone and its target lives; clears it.
    pub fn trial_succeeded(&mut self, fingerprint: Fingerprint) {
        self.known.remove(&fingerprint);
    }

    /// Notes that a trial ended before the request was handed over, so nothing was learned.
    pub fn trial_abandoned(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.known.get(&fingerprint).is_some_and(|known| known.phase == SuspectPhase::OnTrial) {
            self.insert(now, fingerprint, SuspectPhase::Suspected);
        }
    }

    /// Takes over what a peer or the table says; never lowers what is known already.
    pub fn merge(&mut self, now: Instant, fingerprint: Fingerprint, phase: SuspectPhase) {
        self.expire(now, fingerprint);
        self.raise_phase(now, fingerprint, phase);
    }

    /// Forgets a request by an operator's order or a peer's finished trial.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.known.remove(&fingerprint);
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn phase_after_crash(&self, fingerprint: Fingerprint, alone: bool) -> SuspectPhase {
        match self.known.get(&fingerprint).map(|known| known.phase) {
            Some(SuspectPhase::Quarantined) => SuspectPhase::Quarantined,
            Some(_) if alone => SuspectPhase::Quarantined,
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

    /// Lets go of the suspect with the lightest phase that would end first.
    fn evict_least(&mut self) {
        let least = self.known.iter().min_by_key(|(_, known)| (known.phase, known.until));
        if let Some((&fingerprint, _)) = least {
            self.known.remove(&fingerprint);
        }
    }

    /// Steps one phase down when its time is over: a trial or quarantine leaves a suspect, which
    /// is tried alone once more, and a suspect is forgotten.
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
