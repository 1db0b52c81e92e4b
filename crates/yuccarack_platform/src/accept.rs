//! Applies a rules file in one atomic commit; the file is accepted once that has taken effect.
//!
//! The commit has a separate condition for each service that the file names, so operators who
//! change different services at the same time don't conflict; docs/CONFIGURATION.md has the
//! figures.

mod backoff;
mod errors;
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
use backoff::Backoff;

wire_data! {
    /// A rules file whose commit to the table has taken effect.
    pub struct AcceptedFile {
        /// Revision of the commit that wrote the file.
        pub revision: Revision,
        /// The row that records the file.
        pub applied: AppliedRow,
    }
}

/// Writes `proposal` into the table, or determines that it can't be accepted.
///
/// The response to a commit can get lost although the commit took effect, and the operator would
/// see a failure while the rules are in force. So only the row of the apply id is trusted: it is
/// read back, and while it is absent the same commit is sent again. The condition on that row lets
/// at most one of the copies take effect, including copies that arrive late. The revisions of a
/// service only increase, so a conflict also applies to copies that are still in flight.
///
/// # Errors
///
/// Any [`AcceptError`]; [`AcceptError::UnknownOutcome`] only if `deadline` has passed.
pub async fn accept(
    client: &PlatformClient,
    proposal: &Proposal,
    deadline: Instant,
) -> Result<AcceptedFile, AcceptError> {
    store_file(client, proposal, deadline).await?;
    let applied = proposal.applied_row();
    let commit = proposal.commit(&applied).map_err(unserializable)?;
    let mut backoff = Backoff::new(deadline);
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
            return check_same_file(proposal, accepted);
        }
        if is_permanent(&error) && !in_doubt {
            return Err(AcceptError::NotAccepted(error));
        }
        if !backoff.wait().await {
            return Err(deadline_error(proposal, in_doubt, error));
        }
    }
}

/// Reads the file that was accepted under `apply_id`, if there is one.
///
/// # Errors
///
/// Any [`PlatformError`] but a conflict. `None` isn't an error, and doesn't confirm that nothing
/// was accepted while a commit may still be in flight.
pub async fn read_back(
    client: &PlatformClient,
    apply_id: &str,
) -> Result<Option<AcceptedFile>, PlatformError> {
    let Some(row) = client.row(&applied_key(apply_id)).await? else { return Ok(None) };
    let applied = serde_json::from_value(row.value).map_err(PlatformError::Malformed)?;
    Ok(Some(AcceptedFile { revision: row.revision, applied }))
}

/// Writes the file to the object store before the commit, which must not name a missing object.
/// Writing it twice is harmless, since the name is derived from the content.
async fn store_file(
    client: &PlatformClient,
    proposal: &Proposal,
    deadline: Instant,
) -> Result<(), AcceptError> {
    let mut backoff = Backoff::new(deadline);
    loop {
        let result = client.put_object(&proposal.object_name(), proposal.text.clone()).await;
        let Err(error) = result else { return Ok(()) };
        if is_permanent(&error) || !backoff.wait().await {
            return Err(AcceptError::NotAccepted(error));
        }
    }
}

fn check_same_file(
    proposal: &Proposal,
    accepted: AcceptedFile,
) -> Result<AcceptedFile, AcceptError> {
    if accepted.applied.object == proposal.object_name() {
        return Ok(accepted);
    }
    let apply_id = proposal.apply_id.clone();
    Err(AcceptError::ApplyIdTaken { apply_id, revision: accepted.revision })
}

fn deadline_error(proposal: &Proposal, in_doubt: bool, source: PlatformError) -> AcceptError {
    match in_doubt {
        true => AcceptError::UnknownOutcome { apply_id: proposal.apply_id.clone(), source },
        false => AcceptError::NotAccepted(source),
    }
}

/// Returns whether a retry can't succeed because the request itself is refused or invalid.
fn is_permanent(error: &PlatformError) -> bool {
    match error {
        PlatformError::Refused { status } => *status < 500,
        PlatformError::Unserializable(_) => true,
        PlatformError::Conflict { .. }
        | PlatformError::Unreachable
        | PlatformError::UnknownOutcome
        | PlatformError::Stalled { .. }
        | PlatformError::TooLong
        | PlatformError::MalformedHead(_)
        | PlatformError::Malformed(_) => false,
    }
}

fn unserializable(error: serde_json::Error) -> AcceptError {
    AcceptError::NotAccepted(PlatformError::Unserializable(error))
}

/// Returns the wall-clock time of this machine, in ms since 1970; informational only, no decision
/// depends on it.
pub fn now_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
