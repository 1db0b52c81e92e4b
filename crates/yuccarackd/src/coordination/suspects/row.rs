//! Rows of suspects in the table, and how each event changes them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use yuccarack_config::ids::{AttemptId, Fingerprint, InstanceId, ServiceName};
use yuccarack_platform::rows::{SuspectRow, SuspectState};
use yuccarack_policy::suspects::{SuspectPhase, SuspectsConfig};

use super::{cache::QUARANTINE_INSTANCE_COUNT, trial::TrialIdentity};

/// Status of a suspect's row at a given time.
///
/// The wall clocks of two daemons differ. They only decide when a row expires, and an expired trial
/// counts as the more severe of its two possible ends, see [`RowStatus::TrialLost`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowStatus {
    /// There is no row, or it has expired.
    Clear,
    /// The request may run alone, on trial.
    Suspected,
    /// The request is on trial.
    OnTrial,
    /// The trial expired without an end: the gate that ran it exited or is frozen. The request may
    /// have crashed the whole instance, so this counts as the second crash.
    TrialLost,
    /// The request is quarantined.
    Quarantined {
        /// Remaining time of the quarantine.
        remaining: Duration,
    },
}

/// A change of one suspect's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target crashed with the request in flight.
    Crashed {
        /// Instances whose target crashed, as far as this daemon knows.
        instances: Vec<InstanceId>,
        /// Whether this daemon counts it as the second crash.
        is_quarantined: bool,
    },
    /// A trial ended without a result.
    TrialAbandoned {
        /// Id of the trial.
        trial_id: AttemptId,
    },
    /// A trial's write may or may not have taken effect, and no gate holds the trial.
    ///
    /// If the write takes effect after the row was read without it, the request stays on a trial
    /// that no gate runs. So the row is written anew in any case: the late write, which requires
    /// the earlier revision, then fails.
    TrialVoid {
        /// Id of the trial.
        trial_id: AttemptId,
    },
    /// A trial succeeded.
    Cleared {
        /// Id of the trial.
        trial_id: AttemptId,
    },
}

/// Result of applying a change to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// Nothing needs to be written.
    Unchanged,
    /// This row is written.
    Put(Box<SuspectRow>),
    /// The row is deleted.
    Delete,
}

/// Returns the status of the row at `now_unix_ms`.
pub fn row_status(row: Option<&SuspectRow>, now_unix_ms: u64) -> RowStatus {
    let Some(row) = row else { return RowStatus::Clear };
    let remaining_ms = row.expires_at_unix_ms.saturating_sub(now_unix_ms);
    match (row.state, remaining_ms) {
        (SuspectState::Suspected, 0) => RowStatus::Clear,
        (SuspectState::OnTrial, 0) => RowStatus::TrialLost,
        // After a quarantine the request is tried alone once more, as in the policy.
        (SuspectState::Quarantined, 0) | (SuspectState::Suspected, _) => RowStatus::Suspected,
        (SuspectState::OnTrial, _) => RowStatus::OnTrial,
        (SuspectState::Quarantined, _) => {
            RowStatus::Quarantined { remaining: Duration::from_millis(remaining_ms) }
        }
    }
}

impl RowStatus {
    /// Returns the corresponding phase of the policy; `None` for no suspect.
    pub fn phase(&self) -> Option<SuspectPhase> {
        match self {
            Self::Clear => None,
            Self::Suspected => Some(SuspectPhase::Suspected),
            Self::OnTrial => Some(SuspectPhase::OnTrial),
            Self::TrialLost | Self::Quarantined { .. } => Some(SuspectPhase::Quarantined),
        }
    }
}

impl Change {
    /// Applies this change to `row`. Applying it twice has the same result as applying it once.
    pub fn apply(
        &self,
        row: Option<&SuspectRow>,
        service: &ServiceName,
        fingerprint: Fingerprint,
        now_unix_ms: u64,
    ) -> ChangeResult {
        match self {
            Self::Crashed { instances, is_quarantined } => {
                let counted =
                    row.filter(|row| row_status(Some(row), now_unix_ms) != RowStatus::Clear);
                let new = new_row(service, fingerprint, now_unix_ms);
                let old = counted.cloned();
                merge_crashes(old, new, instances, *is_quarantined, now_unix_ms)
            }
            Self::TrialAbandoned { trial_id } => match row {
                Some(row) if row.trial == Some(*trial_id) => {
                    ChangeResult::Put(Box::new(suspected(row, now_unix_ms)))
                }
                _ => ChangeResult::Unchanged,
            },
            Self::TrialVoid { trial_id } => {
                let Some(row) = row else {
                    return ChangeResult::Put(Box::new(new_row(service, fingerprint, now_unix_ms)));
                };
                match row_status(Some(row), now_unix_ms) {
                    RowStatus::Clear | RowStatus::Suspected => {}
                    _ if row.trial == Some(*trial_id) => {}
                    // Another daemon has written the row since, so the late write fails anyway.
                    _ => return ChangeResult::Unchanged,
                }
                ChangeResult::Put(Box::new(suspected(row, now_unix_ms)))
            }
            Self::Cleared { trial_id } => match row {
                Some(row) if row.trial == Some(*trial_id) => ChangeResult::Delete,
                _ => ChangeResult::Unchanged,
            },
        }
    }
}

fn merge_crashes(
    old: Option<SuspectRow>,
    new: SuspectRow,
    instances: &[InstanceId],
    is_quarantined: bool,
    now_unix_ms: u64,
) -> ChangeResult {
    let is_new = old.is_none();
    let mut row = old.unwrap_or(new);
    let before = row.clone();
    add_crashes(&mut row, instances);
    let has_more = row.died.len() > before.died.len();
    if is_quarantined || row.died.len() >= QUARANTINE_INSTANCE_COUNT {
        if row.state != SuspectState::Quarantined || has_more {
            set_state(&mut row, SuspectState::Quarantined, now_unix_ms);
        }
    } else if is_new {
        set_state(&mut row, SuspectState::Suspected, now_unix_ms);
    }
    if !is_new && row == before {
        return ChangeResult::Unchanged;
    }
    ChangeResult::Put(Box::new(row))
}

fn suspected(row: &SuspectRow, now_unix_ms: u64) -> SuspectRow {
    let mut row = row.clone();
    clear_quarantined_crashes(&mut row);
    set_state(&mut row, SuspectState::Suspected, now_unix_ms);
    row.trial = None;
    row
}

/// Clears the crashes of a quarantined row that becomes a suspect or starts a trial, so that they
/// don't count for the next quarantine.
///
/// It doesn't check that the quarantine is over: `Change::TrialAbandoned` and `Change::TrialVoid`
/// also pass a row that was quarantined while their trial was open.
fn clear_quarantined_crashes(row: &mut SuspectRow) {
    if row.state == SuspectState::Quarantined {
        row.died.clear();
    }
}

/// Returns the row of a trial; `None` if the crashes in the row and in `instances` forbid it.
pub fn trial_row(
    mut row: SuspectRow,
    identity: &TrialIdentity,
    instances: &[InstanceId],
    now_unix_ms: u64,
) -> Option<SuspectRow> {
    clear_quarantined_crashes(&mut row);
    add_crashes(&mut row, instances);
    if row.died.len() >= QUARANTINE_INSTANCE_COUNT {
        return None;
    }
    row.trial = Some(identity.trial_id);
    set_state(&mut row, SuspectState::OnTrial, now_unix_ms);
    Some(row)
}

fn add_crashes(row: &mut SuspectRow, instances: &[InstanceId]) {
    for instance in instances {
        if !row.died.contains(instance) {
            row.died.push(instance.clone());
        }
    }
}

/// Returns a row for a request that isn't a suspect yet.
pub fn new_row(service: &ServiceName, fingerprint: Fingerprint, now_unix_ms: u64) -> SuspectRow {
    let mut row = SuspectRow {
        service: service.clone(),
        fingerprint,
        state: SuspectState::Suspected,
        died: Vec::new(),
        trial: None,
        expires_at_unix_ms: 0,
    };
    set_state(&mut row, SuspectState::Suspected, now_unix_ms);
    row
}

/// Sets the state of `row` and restarts its expiry.
fn set_state(row: &mut SuspectRow, state: SuspectState, now_unix_ms: u64) {
    let config = SuspectsConfig::default();
    let duration = match state {
        SuspectState::Suspected => config.suspected_for,
        SuspectState::OnTrial => config.trial_max,
        SuspectState::Quarantined => config.quarantined_for,
    };
    row.state = state;
    row.expires_at_unix_ms = now_unix_ms.saturating_add(duration_ms(duration));
}

/// Returns the wall-clock time in ms since 1970.
pub fn unix_ms() -> u64 {
    duration_ms(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn duration_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
