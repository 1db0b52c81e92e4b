//! Claims and changes of claims that the writer commits in one transaction.

use std::{collections::HashSet, time::Instant};

use serde_json::Value;
use tokio::sync::oneshot;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformError,
    messages::{Commit, Condition, FailedCondition, Precondition, Write},
    rows::ClaimRow,
};

use super::claim::Claim;

/// Reply of the writer to a call that requested a claim.
#[derive(Debug)]
pub enum ClaimReply {
    /// The row is written.
    Granted(Claim),
    /// The table already has a row of this key.
    Taken,
    /// The store is unavailable. The claim isn't granted; a row that turns up later is released.
    StoreUnavailable,
}

/// A claim whose row isn't written yet.
#[derive(Debug)]
pub struct PendingClaim {
    /// The row's key.
    pub row_key: String,
    /// The row to write.
    pub row: Box<ClaimRow>,
    /// Time after which the request isn't dispatched any more.
    pub dispatch_deadline: Instant,
    /// Sender to the waiting call; unset once the reply is sent.
    reply_sender: Option<oneshot::Sender<ClaimReply>>,
}

/// A change of a claim that this gate holds. Its write is idempotent.
///
/// The response to such a write may be lost, so that it is sent again, or the write may take effect
/// after the key was claimed anew. Each write requires the revision that this gate's own claim gave
/// the row. No later row has that revision, so a repeated or late write changes nothing.
#[derive(Debug)]
pub enum ClaimChange {
    /// Deletes the row.
    Release {
        /// The row's key.
        row_key: String,
        /// Revision of the claim.
        revision: Revision,
        /// Sender to the call that waits until the key is free.
        waiter: Option<oneshot::Sender<()>>,
    },
    /// Records the outcome in the row.
    Record {
        /// The row's key.
        row_key: String,
        /// Revision of the claim.
        revision: Revision,
        /// The row to write.
        row: Box<ClaimRow>,
    },
}

/// Contents of one transaction, with at most one claim or change of each key.
#[derive(Debug, Default)]
pub struct Batch {
    /// Claims to write, each on condition that the key has no row.
    pub claims: Vec<PendingClaim>,
    /// Changes to write, each on condition that the row is still at the claim's revision.
    pub changes: Vec<ClaimChange>,
}

impl PendingClaim {
    /// Creates a claim whose reply goes to `reply_sender`.
    pub fn new(
        row_key: String,
        row: ClaimRow,
        dispatch_deadline: Instant,
        reply_sender: oneshot::Sender<ClaimReply>,
    ) -> Self {
        Self { row_key, row: Box::new(row), dispatch_deadline, reply_sender: Some(reply_sender) }
    }

    /// Returns whether a call still waits for the reply.
    pub fn is_awaited(&self) -> bool {
        self.reply_sender.as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Sends the reply to the call; drops it if the call no longer waits.
    pub fn send_reply(&mut self, reply: ClaimReply) {
        if let Some(sender) = self.reply_sender.take() {
            // The call may have been cancelled; its receiver is dropped then.
            let _ = sender.send(reply);
        }
    }
}

impl ClaimChange {
    /// Returns the key of the row.
    pub fn row_key(&self) -> &str {
        match self {
            Self::Release { row_key, .. } | Self::Record { row_key, .. } => row_key,
        }
    }

    /// Returns the counter that is incremented when the change is written.
    pub fn success_counter(&self) -> &'static str {
        match self {
            Self::Release { .. } => "claims.released",
            Self::Record { .. } => "claims.done",
        }
    }

    /// Returns whether a call waits for the change.
    pub fn is_awaited(&self) -> bool {
        matches!(self, Self::Release { waiter: Some(_), .. })
    }

    /// Notifies the waiting call that the row no longer belongs to this claim.
    pub fn notify_waiter(self) {
        if let Self::Release { waiter: Some(waiter), .. } = self {
            // The call may have stopped waiting.
            let _ = waiter.send(());
        }
    }

    fn add_to(&self, commit: &mut Commit) -> Result<(), PlatformError> {
        let (row_key, revision, write) = match self {
            Self::Release { row_key, revision, .. } => (row_key, revision, Write::delete(row_key)),
            Self::Record { row_key, revision, row } => {
                (row_key, revision, Write::put(row_key, row_value(row)?))
            }
        };
        commit.conditions.push(Condition::new(row_key, Precondition::BeAt(*revision)));
        commit.writes.push(write);
        Ok(())
    }
}

impl Batch {
    /// Returns whether there is neither a claim nor a change.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.changes.is_empty()
    }

    /// Builds the transaction, which takes effect only while the fence row is at revision `fence`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unserializable`] if a row can't be serialized to JSON.
    pub fn commit(&self, fence_key: &str, fence: Revision) -> Result<Commit, PlatformError> {
        let mut commit = Commit::default();
        commit.conditions.push(Condition::new(fence_key, Precondition::BeAt(fence)));
        for claim in &self.claims {
            commit.conditions.push(Condition::new(&claim.row_key, Precondition::BeAbsent));
            commit.writes.push(Write::put(&claim.row_key, row_value(&claim.row)?));
        }
        for change in &self.changes {
            change.add_to(&mut commit)?;
        }
        Ok(commit)
    }

    /// Removes and returns the claims and changes whose keys are in `failed`.
    pub fn split_off(&mut self, failed: &[FailedCondition]) -> Batch {
        let names: HashSet<&str> = failed.iter().map(|failed| failed.key.as_str()).collect();
        let fails = |key: &str| names.contains(key);
        Batch {
            claims: self.claims.extract_if(.., |claim| fails(&claim.row_key)).collect(),
            changes: self.changes.extract_if(.., |change| fails(change.row_key())).collect(),
        }
    }
}

fn row_value(row: &ClaimRow) -> Result<Value, PlatformError> {
    serde_json::to_value(row).map_err(PlatformError::Unserializable)
}
