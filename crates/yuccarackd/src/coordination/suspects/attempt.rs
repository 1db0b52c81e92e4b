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
    row::{Change, RowStatus, new_row, row_status, trial_row, unix_ms},
    shared::{Shared, StoredSuspect},
    trial::{Trial, TrialEnd, TrialParts, TrialVerdict},
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
    trial_end_sender: UnboundedSender<TrialEnd>,
    /// Whether a write may have taken effect, or may still.
    is_open: bool,
}

enum Step {
    Written,
    Retry,
    Rejected(TrialVerdict),
}

impl TrialAttempt {
    /// Makes a try for the trial of `parts`, whose end goes to `ended`.
    pub fn new(
        shared: Shared,
        parts: TrialParts,
        trial_end_sender: UnboundedSender<TrialEnd>,
    ) -> Self {
        Self { shared, parts, trial_end_sender, is_open: false }
    }

    /// Asks the table.
    ///
    /// A write whose answer is lost is simply made again: both carry this trial's name and ask for
    /// the same revision, so one of them at most takes effect, and reading finds whose it was.
    pub async fn run(mut self) -> TrialVerdict {
        for _ in 0..WRITES_MAX {
            match self.step().await {
                Step::Written => return self.grant(),
                Step::Rejected(verdict) => return verdict,
                Step::Retry => {}
            }
        }
        TrialVerdict::OnTrialElsewhere { retry_after: RETRY_AFTER }
    }

    async fn step(&mut self) -> Step {
        let key = suspect_key(&self.parts.service, self.parts.fingerprint);
        let Ok(stored) = self.shared.read(&key).await else {
            return Step::Rejected(self.store_unavailable());
        };
        match row_status(stored.value.as_ref(), unix_ms()) {
            RowStatus::Clear | RowStatus::Suspected => self.write(&key, &stored).await,
            RowStatus::OnTrial if self.is_own(&stored) => Step::Written,
            RowStatus::OnTrial => Step::Rejected(self.reject_on_trial()),
            RowStatus::TrialLost => {
                self.shared.counters.add("suspects.trial_lost");
                self.record_quarantine(&stored);
                Step::Rejected(self.reject_quarantined())
            }
            RowStatus::Quarantined { .. } => Step::Rejected(self.reject_quarantined()),
        }
    }

    async fn write(&mut self, key: &str, stored: &StoredSuspect) -> Step {
        let Some(row) = self.row_to_write(stored) else {
            self.record_quarantine(stored);
            return Step::Rejected(self.reject_quarantined());
        };
        let Ok(value) = serde_json::to_value(row) else {
            return Step::Rejected(self.store_unavailable());
        };
        // Before the write, so that a call that is dropped in its midst has it undone.
        let was_open = std::mem::replace(&mut self.is_open, true);
        match self.shared.commit_over(stored, Write::put(key, value)).await {
            Ok(()) => Step::Written,
            Err(PlatformError::Conflict { .. }) => {
                self.is_open = was_open;
                Step::Retry
            }
            Err(error) if error.is_not_written() => {
                self.is_open = was_open;
                Step::Rejected(self.store_unavailable())
            }
            Err(_) => Step::Retry,
        }
    }

    /// The row that is to be written; `None` when the deaths known here and there forbid it.
    fn row_to_write(&self, stored: &StoredSuspect) -> Option<SuspectRow> {
        let TrialParts { service, fingerprint, .. } = &self.parts;
        let now = unix_ms();
        let row = stored.value.clone().unwrap_or_else(|| new_row(service, *fingerprint, now));
        let instances = self.shared.cache.lock().crashed_instances(*fingerprint);
        trial_row(row, &self.parts, &instances, now)
    }

    fn is_own(&self, stored: &StoredSuspect) -> bool {
        stored.value.as_ref().is_some_and(|row| row.trial == Some(self.parts.trial))
    }

    fn grant(mut self) -> TrialVerdict {
        self.is_open = false;
        let TrialParts { service, fingerprint, .. } = &self.parts;
        self.shared.cache.lock().record_trial_start(Instant::now(), *fingerprint);
        self.shared.counters.add("suspects.trial_started");
        self.shared.broadcast(service, &[(*fingerprint, SuspectEvent::TrialStarted)]);
        let cache = self.shared.cache.clone();
        TrialVerdict::Granted(Trial::new(self.parts.clone(), self.trial_end_sender.clone(), cache))
    }

    fn record_quarantine(&self, stored: &StoredSuspect) {
        let TrialParts { service, fingerprint, .. } = &self.parts;
        let mut instances = self.shared.cache.lock().crashed_instances(*fingerprint);
        instances.extend(stored.value.iter().flat_map(|row| row.died.iter().cloned()));
        self.shared.queue_change(
            service,
            *fingerprint,
            Change::Crashed { instances, is_quarantined: true },
        );
        self.shared.broadcast(service, &[(*fingerprint, SuspectEvent::Quarantined)]);
    }

    fn reject_on_trial(&self) -> TrialVerdict {
        self.merge_phase(SuspectPhase::OnTrial);
        TrialVerdict::OnTrialElsewhere { retry_after: RETRY_AFTER }
    }

    fn reject_quarantined(&self) -> TrialVerdict {
        match self.merge_phase(SuspectPhase::Quarantined) {
            Verdict::Quarantined { until } => TrialVerdict::Quarantined { until },
            _ => TrialVerdict::Quarantined { until: Instant::now() + RETRY_AFTER },
        }
    }

    fn merge_phase(&self, phase: SuspectPhase) -> Verdict {
        let fingerprint: Fingerprint = self.parts.fingerprint;
        let now = Instant::now();
        let mut cache = self.shared.cache.lock();
        cache.merge(now, fingerprint, phase, &[]);
        cache.verdict(now, fingerprint)
    }

    fn store_unavailable(&self) -> TrialVerdict {
        self.shared.counters.add("suspects.store_away");
        TrialVerdict::StoreUnavailable { retry_after: RETRY_AFTER }
    }
}

impl Drop for TrialAttempt {
    fn drop(&mut self) {
        if self.is_open {
            let TrialParts { service, fingerprint, trial } = &self.parts;
            self.shared.queue_change(service, *fingerprint, Change::TrialVoid { trial: *trial });
        }
    }
}
