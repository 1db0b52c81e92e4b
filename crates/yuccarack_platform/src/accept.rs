//! Accepting a rules file: all of it in one commit, or none of it.
//!
//! Each service that the file names is conditioned on by itself, so operators who change
//! different services at the same moment both win; docs/CONFIGURATION.md has the figures.

mod errors;
mod pace;
mod proposal;

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use yuccarack_config::{ids::Revision, wire_data};

pub use errors::{AcceptError, ServiceConflict};
pub use proposal::Proposal;

use crate::{
    client::PlatformClient,
    errors::PlatformError,
    rows::{AppliedRow, applied_key},
};
use pace::Pace;

wire_data! {
    /// A file that is in the table.
    pub struct AcceptedFile {
        /// Revision of the commit that wrote it.
        pub revision: Revision,
        /// What was recorded of it.
        pub applied: AppliedRow,
    }
}

/// Writes `proposal` into the table, or finds out that it can't be.
///
/// The answer of a commit can get lost though it took effect: the operator would be told of a
/// failure while the rules are in force. So nothing is believed but the row of the apply id. It is
/// read back, and while it is absent the same commit is sent again: its condition on that row lets
/// at most one of the copies take effect, late ones included. Revisions of a service only rise,
/// so a conflict holds for copies under way, too.
///
/// # Errors
///
/// See [`AcceptError`]; [`AcceptError::UnknownOutcome`] only when `deadline` passed.
pub async fn accept(
    client: &PlatformClient,
    proposal: &Proposal,
    deadline: Instant,
) -> Result<AcceptedFile, AcceptError> {
    keep_file(client, proposal, deadline).await?;
    let applied = proposal.applied_row();
    let commit = proposal.commit(&applied).map_err(unwritable)?;
    let mut pace = Pace::new(deadline);
    let mut in_doubt = false;
    loop {
        let error = match client.commit(&commit).await {
            Ok(committed) => return Ok(AcceptedFile { revision: committed.revision, applied }),
            Err(PlatformError::Conflict { failed }) => {
                if failed.iter().all(|failed| failed.key != applied_key(&proposal.apply_id)) {
                    return Err(proposal.conflict(&failed));
                }
                in_doubt = true;
                PlatformError::Conflict { failed }
            }
            Err(error) => {
                in_doubt |= !error.is_not_written();
                error
            }
        };
        if in_doubt && let Ok(Some(accepted)) = read_back(client, &proposal.apply_id).await {
            return same_file(proposal, accepted);
        }
        if is_final(&error) && !in_doubt {
            return Err(AcceptError::NotAccepted(error));
        }
        if !pace.wait().await {
            return Err(gave_up(proposal, in_doubt, error));
        }
    }
}

/// Reads what was recorded under `apply_id`.
///
/// # Errors
///
/// The platform's failure; absence is no failure, and no proof while a commit may be under way.
pub async fn read_back(
    client: &PlatformClient,
    apply_id: &str,
) -> Result<Option<AcceptedFile>, PlatformError> {
    let Some(row) = client.row(&applied_key(apply_id)).await? else { return Ok(None) };
    let applied = serde_json::from_value(row.value).map_err(PlatformError::Malformed)?;
    Ok(Some(AcceptedFile { revision: row.revision, applied }))
}

/// The file goes first: a commit must not name an object that was never kept. Putting it twice
/// does no harm, since its name follows from its text.
async fn keep_file(
    client: &PlatformClient,
    proposal: &Proposal,
    deadline: Instant,
) -> Result<(), AcceptError> {
    let mut pace = Pace::new(deadline);
    loop {
        let put = client.put_object(&proposal.object_name(), proposal.text.clone()).await;
        let Err(error) = put else { return Ok(()) };
        if is_final(&error) || !pace.wait().await {
            return Err(AcceptError::NotAccepted(error));
        }
    }
}

fn same_file(proposal: &Proposal, accepted: AcceptedFile) -> Result<AcceptedFile, AcceptError> {
    if accepted.applied.object == proposal.object_name() {
        return Ok(accepted);
    }
    let apply_id = proposal.apply_id.clone();
    Err(AcceptError::ApplyIdTaken { apply_id, revision: accepted.revision })
}

fn gave_up(proposal: &Proposal, in_doubt: bool, source: PlatformError) -> AcceptError {
    match in_doubt {
        true => AcceptError::UnknownOutcome { apply_id: proposal.apply_id.clone(), source },
        false => AcceptError::NotAccepted(source),
    }
}

/// Whether asking again can't help: the platform understood the question and won't have it.
fn is_final(error: &PlatformError) -> bool {
    match error {
        PlatformError::Refused { status } => *status < 500,
        PlatformError::Unserializable(_) => true,
        PlatformError::Conflict { .. }
        | PlatformError::Unreachable
        | PlatformError::UnknownOutcome
        | PlatformError::Stalled { .. }
        | PlatformError::Malformed(_) => false,
    }
}

fn unwritable(error: serde_json::Error) -> AcceptError {
    AcceptError::NotAccepted(PlatformError::Unserializable(error))
}

/// Time since 1970 by this machine's clock, in ms; for operators only, nothing is decided by it.
pub fn now_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
