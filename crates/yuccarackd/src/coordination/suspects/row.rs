//! Rows of suspects: how each event changes them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use yuccarack_config::ids::{AttemptId, Fingerprint, InstanceId, ServiceName};
use yuccarack_platform::rows::{SuspectRow, SuspectState};
use yuccarack_policy::suspects::{SuspectPhase, SuspectsConfig};

use super::{cache::CRASHES_MAX, trial::TrialParts};

/// What stands in the table of one request, as far as it still counts.
///
/// The wall clocks of two daemons differ. They only decide when something is forgotten, and what
/// lies beyond its time is taken for the graver of its two readings, see [`RowStatus::TrialLost`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowStatus {
    /// Nothing, or nothing that counts.
    Clear,
    /// It may be tried alone.
    Suspected,
    /// It is on trial.
    OnTrial,
    /// Its trial never ended: the gate that ran it is gone or frozen. It may have crashed the
    /// whole instance, so it counts as the second crash.
    TrialLost,
    /// It isn't run for this long.
    Quarantined {
        /// Time left.
        left: Duration,
    },
}

/// A change of one suspect's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target died.
    Crashed {
        /// Where targets died, as far as this daemon knows.
        instances: Vec<InstanceId>,
        /// Whether this daemon takes it for the second crash.
        is_quarantined: bool,
    },
    /// A trial ended before anything was learned.
    TrialAbandoned {
        /// The trial.
        trial: AttemptId,
    },
    /// A trial's write may or may not have taken effect, and nobody holds the trial.
    ///
    /// Failure: the write lands after the row was found without it, and the request stays on a
    /// trial that nobody runs. So the row is written anew in any case: the late write, which asks
    /// for the revision before, then fails.
    TrialVoid {
        /// The trial.
        trial: AttemptId,
    },
    /// A trial ended well.
    Cleared {
        /// The trial.
        trial: AttemptId,
    },
}

/// What a change makes of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// Nothing is to be written.
    Unchanged,
    /// This is written.
    Put(Box<SuspectRow>),
    /// The row is taken away.
    Delete,
}

/// The row's standing at `now_unix_ms`.
pub fn row_status(row: Option<&SuspectRow>, now_unix_ms: u64) -> RowStatus {
    let Some(row) = row else { return RowStatus::Clear };
    let left_ms = row.expires_at_unix_ms.saturating_sub(now_unix_ms);
    match (row.state, left_ms) {
        (SuspectState::Suspected, 0) => RowStatus::Clear,
        (SuspectState::OnTrial, 0) => RowStatus::TrialLost,
        // Once its time is over it is tried alone once more, as the policy does.
        (SuspectState::Quarantined, 0) | (SuspectState::Suspected, _) => RowStatus::Suspected,
        (SuspectState::OnTrial, _) => RowStatus::OnTrial,
        (SuspectState::Quarantined, _) => {
            RowStatus::Quarantined { left: Duration::from_millis(left_ms) }
        }
    }
}

impl RowStatus {
    /// The phase that the policy knows it by.
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
    /// What this change makes of `row`; the same again when it was made already.
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
            Self::TrialAbandoned { trial } => match row {
                Some(row) if row.trial == Some(*trial) => {
                    ChangeResult::Put(Box::new(suspected(row, now_unix_ms)))
                }
                _ => ChangeResult::Unchanged,
            },
            Self::TrialVoid { trial } => {
                let Some(row) = row else {
                    return ChangeResult::Put(Box::new(new_row(service, fingerprint, now_unix_ms)));
                };
                match row_status(Some(row), now_unix_ms) {
                    RowStatus::Clear | RowStatus::Suspected => {}
                    _ if row.trial == Some(*trial) => {}
                    // Written since by another, so the late write fails already.
                    _ => return ChangeResult::Unchanged,
                }
                ChangeResult::Put(Box::new(suspected(row, now_unix_ms)))
            }
            Self::Cleared { trial } => match row {
                Some(row) if row.trial == Some(*trial) => ChangeResult::Delete,
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
    if is_quarantined || row.died.len() >= CRASHES_MAX {
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
    forget_served_quarantine(&mut row);
    set_state(&mut row, SuspectState::Suspected, now_unix_ms);
    row.trial = None;
    row
}

/// Deaths that led to a quarantine which is over don't count towards the next one.
fn forget_served_quarantine(row: &mut SuspectRow) {
    if row.state == SuspectState::Quarantined {
        row.died.clear();
    }
}

/// The row of a trial; `None` when the deaths known together forbid it.
pub fn trial_row(
    mut row: SuspectRow,
    parts: &TrialParts,
    instances: &[InstanceId],
    now_unix_ms: u64,
) -> Option<SuspectRow> {
    forget_served_quarantine(&mut row);
    add_crashes(&mut row, instances);
    if row.died.len() >= CRASHES_MAX {
        return None;
    }
    row.trial = Some(parts.trial);
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

/// A row of a request of which nothing is known yet.
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

/// Puts `row` into `state`, from which its time runs anew.
fn set_state(row: &mut SuspectRow, state: SuspectState, now_unix_ms: u64) {
    let config = SuspectsConfig::default();
    let lasts = match state {
        SuspectState::Suspected => config.suspected_for,
        SuspectState::OnTrial => config.trial_max,
        SuspectState::Quarantined => config.quarantined_for,
    };
    row.state = state;
    row.expires_at_unix_ms = now_unix_ms.saturating_add(ms(lasts));
}

/// The wall clock, in ms since 1970.
pub fn unix_ms() -> u64 {
    ms(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
