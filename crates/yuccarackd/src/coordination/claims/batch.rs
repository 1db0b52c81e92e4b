//! What the writer puts into one transaction.

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

/// What the writer tells a call that wants a claim.
#[derive(Debug)]
pub enum ClaimReply {
    /// The row is written.
    Granted(Claim),
    /// There is a row already.
    Taken,
    /// The store is away; it is proved that no row stays.
    StoreUnavailable,
}

/// A claim that waits for its row.
#[derive(Debug)]
pub struct PendingClaim {
    /// The row's key.
    pub row_key: String,
    /// The row to be.
    pub row: Box<ClaimRow>,
    /// Instant from which on the request isn't handed over any more.
    pub dispatch_deadline: Instant,
    /// The call that waits; unset once it has its answer.
    reply_sender: Option<oneshot::Sender<ClaimReply>>,
}

/// A change of a claim that this gate holds; it may be sent twice or land late.
///
/// Failure: the answer to such a write is lost and it is sent again, or it lands after the key
/// was claimed anew. Each asks for the revision that this gate's own claim gave the row, which no
/// later row ever has, so a second or late one changes nothing.
#[derive(Debug)]
pub enum ClaimChange {
    /// Takes the row away.
    Release {
        /// The row's key.
        row_key: String,
        /// Revision of the claim.
        revision: Revision,
        /// Who waits for the key to be free.
        waiter: Option<oneshot::Sender<()>>,
    },
    /// Puts the outcome into the row.
    Record {
        /// The row's key.
        row_key: String,
        /// Revision of the claim.
        revision: Revision,
        /// The row to be.
        row: Box<ClaimRow>,
    },
}

/// One transaction's worth of claims and upkeep, at most one of each key.
#[derive(Debug, Default)]
pub struct Batch {
    /// Claims.
    pub claims: Vec<PendingClaim>,
    /// Upkeep.
    pub changes: Vec<ClaimChange>,
}

impl PendingClaim {
    /// Makes a claim whose answer goes to `reply`.
    pub fn new(
        row_key: String,
        row: ClaimRow,
        dispatch_deadline: Instant,
        reply_sender: oneshot::Sender<ClaimReply>,
    ) -> Self {
        Self { row_key, row: Box::new(row), dispatch_deadline, reply_sender: Some(reply_sender) }
    }

    /// Whether a call waits for it.
    pub fn is_awaited(&self) -> bool {
        self.reply_sender.as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Tells the call; an answer that nobody waits for is dropped.
    pub fn send_reply(&mut self, reply: ClaimReply) {
        if let Some(sender) = self.reply_sender.take() {
            // The call may have gone meanwhile, which is the same.
            let _ = sender.send(reply);
        }
    }
}

impl ClaimChange {
    /// Key of the row.
    pub fn row_key(&self) -> &str {
        match self {
            Self::Release { row_key, .. } | Self::Record { row_key, .. } => row_key,
        }
    }

    /// Counter of its success.
    pub fn success_counter(&self) -> &'static str {
        match self {
            Self::Release { .. } => "claims.released",
            Self::Record { .. } => "claims.done",
        }
    }

    /// Whether somebody waits for it.
    pub fn is_awaited(&self) -> bool {
        matches!(self, Self::Release { waiter: Some(_), .. })
    }

    /// Tells who waits that the row isn't this claim's any more.
    pub fn notify_waiter(self) {
        if let Self::Release { waiter: Some(waiter), .. } = self {
            // Who waited may have gone.
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
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.changes.is_empty()
    }

    /// Its transaction, which takes effect only while the fence is at `fence`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unserializable`] for a row that has no form in JSON.
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

    /// Takes out what `failed` names.
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
