//! Acquisition of a trial by a conditional write, which succeeds for one gate at most.

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
    trial::{Trial, TrialEnd, TrialIdentity, TrialVerdict},
};
use crate::protocol::suspect_update::SuspectEvent;

/// Delay that callers are told to wait while their request is on trial or the store unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Most writes of one trial. A write is repeated after a conflict with another gate and after a
/// lost response.
const WRITES_MAX: u8 = 4;

/// Acquisition of one trial. If it is dropped while a write is in progress, it has that write
/// undone.
pub struct TrialAcquisition {
    shared: Shared,
    identity: TrialIdentity,
    trial_end_sender: UnboundedSender<TrialEnd>,
    /// Whether a write may have taken effect, or may still take effect.
    may_be_written: bool,
}

enum Step {
    Written,
    Retry,
    Rejected(TrialVerdict),
}

impl TrialAcquisition {
    /// Creates an acquisition of the trial of `identity`, whose end is reported to
    /// `trial_end_sender`.
    pub fn new(
        shared: Shared,
        identity: TrialIdentity,
        trial_end_sender: UnboundedSender<TrialEnd>,
    ) -> Self {
        Self { shared, identity, trial_end_sender, may_be_written: false }
    }

    /// Writes the trial to the table.
    ///
    /// A write whose response is lost is repeated. Both writes contain the id of this trial and
    /// require the same revision, so at most one of them takes effect, and reading the row shows
    /// whose it is.
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
        let key = suspect_key(&self.identity.service, self.identity.fingerprint);
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
        // Set before the write, so that a call that is dropped during the write has it undone.
        let may_have_been_written = std::mem::replace(&mut self.may_be_written, true);
        match self.shared.commit_over(stored, Write::put(key, value)).await {
            Ok(()) => Step::Written,
            Err(PlatformError::Conflict { .. }) => {
                self.may_be_written = may_have_been_written;
                Step::Retry
            }
            Err(error) if error.is_not_written() => {
                self.may_be_written = may_have_been_written;
                Step::Rejected(self.store_unavailable())
            }
            Err(_) => Step::Retry,
        }
    }

    /// Returns the row to write; `None` if the crashes known here and in the table forbid a trial.
    fn row_to_write(&self, stored: &StoredSuspect) -> Option<SuspectRow> {
        let TrialIdentity { service, fingerprint, .. } = &self.identity;
        let now = unix_ms();
        let row = stored.value.clone().unwrap_or_else(|| new_row(service, *fingerprint, now));
        let instances = self.shared.cache.lock().crashed_instances(*fingerprint);
        trial_row(row, &self.identity, &instances, now)
    }

    fn is_own(&self, stored: &StoredSuspect) -> bool {
        stored.value.as_ref().is_some_and(|row| row.trial == Some(self.identity.trial_id))
    }

    fn grant(mut self) -> TrialVerdict {
        self.may_be_written = false;
        let TrialIdentity { service, fingerprint, .. } = &self.identity;
        self.shared.cache.lock().record_trial_grant(Instant::now(), *fingerprint);
        self.shared.counters.add("suspects.trial_started");
        self.shared.queue_updates(service, &[(*fingerprint, SuspectEvent::TrialStarted)]);
        let cache = self.shared.cache.clone();
        TrialVerdict::Granted(Trial::new(
            self.identity.clone(),
            self.trial_end_sender.clone(),
            cache,
        ))
    }

    fn record_quarantine(&self, stored: &StoredSuspect) {
        let TrialIdentity { service, fingerprint, .. } = &self.identity;
        let mut instances = self.shared.cache.lock().crashed_instances(*fingerprint);
        instances.extend(stored.value.iter().flat_map(|row| row.died.iter().cloned()));
        self.shared.queue_change(
            service,
            *fingerprint,
            Change::Crashed { instances, is_quarantined: true },
        );
        self.shared.queue_updates(service, &[(*fingerprint, SuspectEvent::Quarantined)]);
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
        let fingerprint: Fingerprint = self.identity.fingerprint;
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

impl Drop for TrialAcquisition {
    fn drop(&mut self) {
        if self.may_be_written {
            let TrialIdentity { service, fingerprint, trial_id } = &self.identity;
            self.shared.queue_change(
                service,
                *fingerprint,
                Change::TrialVoid { trial_id: *trial_id },
            );
        }
    }
}
