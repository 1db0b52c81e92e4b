//! One try to get a trial: the conditional write that at most one gate wins.

use std::time::{Duration, Instant};

use tokio::sync::mpsc::UnboundedSender;
use yuccarack_config::ids::Fingerprint;
use yuccarack_platform::{
    PlatformError,
    messages::Write,
    rows::{SuspectRow, suspect_key},
};
use yuccarack_policy::suspects::{SuspectPhase, Verdict};

use super::{
    row::{Change, Standing, new_row, standing, trial_row, unix_ms},
    shared::{Found, Shared},
    trial::{Ended, Trial, TrialParts, TrialVerdict},
};
use crate::protocol::suspect_update::SuspectEvent;

/// Said to callers whose request is on trial or whose store is away.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Times that a trial is written: again when another gate was faster, or when an answer is lost.
const WRITES_MAX: u8 = 4;

/// A try to get a trial; dropped with a write on its way, it has that write undone.
pub struct TrialAttempt {
    shared: Shared,
    parts: TrialParts,
    ended: UnboundedSender<Ended>,
    /// Whether a write may have taken effect, or may still.
    is_open: bool,
}

enum Step {
    Written,
    Again,
    Refused(TrialVerdict),
}

impl TrialAttempt {
    /// Makes a try for the trial of `parts`, whose end goes to `ended`.
    pub fn new(shared: Shared, parts: TrialParts, ended: UnboundedSender<Ended>) -> Self {
        Self { shared, parts, ended, is_open: false }
    }

    /// Asks the table.
    ///
    /// A write whose answer is lost is simply made again: both carry this trial's name and ask for
    /// the same revision, so one of them at most takes effect, and reading finds whose it was.
    pub async fn run(mut self) -> TrialVerdict {
        for _ in 0..WRITES_MAX {
            match self.step().await {
                Step::Written => return self.grant(),
                Step::Refused(verdict) => return verdict,
                Step::Again => {}
            }
        }
        TrialVerdict::OnTrialElsewhere { retry_after: RETRY_AFTER }
    }

    async fn step(&mut self) -> Step {
        let key = suspect_key(&self.parts.service, self.parts.fingerprint);
        let Ok(found) = self.shared.read(&key).await else {
            return Step::Refused(self.store_away());
        };
        match standing(found.value.as_ref(), unix_ms()) {
            Standing::Clear | Standing::Suspected => self.write(&key, &found).await,
            Standing::OnTrial if self.is_own(&found) => Step::Written,
            Standing::OnTrial => Step::Refused(self.on_trial()),
            Standing::TrialLost => {
                self.shared.counters.add("suspects.trial_lost");
                self.record_quarantine(&found);
                Step::Refused(self.quarantined())
            }
            Standing::Quarantined { .. } => Step::Refused(self.quarantined()),
        }
    }

    async fn write(&mut self, key: &str, found: &Found) -> Step {
        let Some(row) = self.row_to_write(found) else {
            self.record_quarantine(found);
            return Step::Refused(self.quarantined());
        };
        let Ok(value) = serde_json::to_value(row) else {
            return Step::Refused(self.store_away());
        };
        // Before the write, so that a call that is dropped in its midst has it undone.
        let was_open = std::mem::replace(&mut self.is_open, true);
        match self.shared.write_over(found, Write::put(key, value)).await {
            Ok(()) => Step::Written,
            Err(PlatformError::Conflict { .. }) => {
                self.is_open = was_open;
                Step::Again
            }
            Err(error) if error.is_not_written() => {
                self.is_open = was_open;
                Step::Refused(self.store_away())
            }
            Err(_) => Step::Again,
        }
    }

    /// The row that is to be written; `None` when the deaths known here and there forbid it.
    fn row_to_write(&self, found: &Found) -> Option<SuspectRow> {
        let TrialParts { service, fingerprint, .. } = &self.parts;
        let now = unix_ms();
        let row = found.value.clone().unwrap_or_else(|| new_row(service, *fingerprint, now));
        let died = self.shared.memory.lock().died(*fingerprint);
        trial_row(row, &self.parts, &died, now)
    }

    fn is_own(&self, found: &Found) -> bool {
        found.value.as_ref().is_some_and(|row| row.trial == Some(self.parts.trial))
    }

    fn grant(mut self) -> TrialVerdict {
        self.is_open = false;
        let TrialParts { service, fingerprint, .. } = &self.parts;
        self.shared.memory.lock().trial_started(Instant::now(), *fingerprint);
        self.shared.counters.add("suspects.trial_started");
        self.shared.tell(service, &[(*fingerprint, SuspectEvent::TrialStarted)]);
        let memory = self.shared.memory.clone();
        TrialVerdict::Granted(Trial::new(self.parts.clone(), self.ended.clone(), memory))
    }

    fn record_quarantine(&self, found: &Found) {
        let TrialParts { service, fingerprint, .. } = &self.parts;
        let mut died = self.shared.memory.lock().died(*fingerprint);
        died.extend(found.value.iter().flat_map(|row| row.died.iter().cloned()));
        self.shared.change(service, *fingerprint, Change::Died { died, is_quarantined: true });
        self.shared.tell(service, &[(*fingerprint, SuspectEvent::Quarantined)]);
    }

    fn on_trial(&self) -> TrialVerdict {
        self.learn(SuspectPhase::OnTrial);
        TrialVerdict::OnTrialElsewhere { retry_after: RETRY_AFTER }
    }

    fn quarantined(&self) -> TrialVerdict {
        match self.learn(SuspectPhase::Quarantined) {
            Verdict::Quarantined { until } => TrialVerdict::Quarantined { until },
            _ => TrialVerdict::Quarantined { until: Instant::now() + RETRY_AFTER },
        }
    }

    fn learn(&self, phase: SuspectPhase) -> Verdict {
        let fingerprint: Fingerprint = self.parts.fingerprint;
        let now = Instant::now();
        let mut memory = self.shared.memory.lock();
        memory.learn(now, fingerprint, phase, &[]);
        memory.verdict(now, fingerprint)
    }

    fn store_away(&self) -> TrialVerdict {
        self.shared.counters.add("suspects.store_away");
        TrialVerdict::StoreAway { retry_after: RETRY_AFTER }
    }
}

impl Drop for TrialAttempt {
    fn drop(&mut self) {
        if self.is_open {
            let TrialParts { service, fingerprint, trial } = &self.parts;
            self.shared.change(service, *fingerprint, Change::TrialVoid { trial: *trial });
        }
    }
}
