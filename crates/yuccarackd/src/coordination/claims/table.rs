//! Transactions of one gate's claims, and what became of those whose answers were lost.

use std::collections::HashMap;

use futures_util::future::try_join_all;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformClient, PlatformError,
    messages::{Commit, FailedCondition, Write},
    rows::{ClaimFenceRow, ClaimRow, claim_fence_key},
};

use super::{batch::Batch, tracker::unix_ms};
use crate::state::counters::Counters;

/// The table as one gate writes it, behind the gate's fence.
///
/// Failure: a transaction's answer is lost, the writer reads that its rows are absent, says "not
/// run", and the transaction takes effect after that. It shows as a key that is open for good
/// although no gate holds it. So each transaction asks that the gate's fence row is at the
/// revision last seen, and before absence counts as proof the fence row is written anew: from
/// then on the lost transaction can't take effect any more. One row a gate is enough, and none
/// is left over, where a tombstone for each lost claim would have to be kept for good.
pub struct ClaimTable {
    platform: PlatformClient,
    fence_key: String,
    fence: Option<Revision>,
    counters: Counters,
}

impl ClaimTable {
    /// Makes the table as the gate of `instance` writes it.
    pub fn new(platform: PlatformClient, instance: &str, counters: Counters) -> Self {
        Self { platform, fence_key: claim_fence_key(instance), fence: None, counters }
    }

    /// Writes `batch`; says the revision that its rows have.
    ///
    /// # Errors
    ///
    /// [`PlatformError::is_not_written`] tells whether nothing of it was written for certain.
    pub async fn commit(&mut self, batch: &Batch) -> Result<Revision, PlatformError> {
        let fence = match self.fence {
            Some(fence) => fence,
            None => self.raise_fence().await.map_err(as_not_written)?,
        };
        let commit = batch.commit(&self.fence_key, fence)?;
        self.counters.add("claims.batches");
        self.counters.add_many("claims.batch_rows", commit.writes.len() as u64);
        Ok(self.platform.commit(&commit).await?.revision)
    }

    /// Takes over where the fence stands, if it is among `failed`; says whether it is.
    pub fn note_fence(&mut self, failed: &[FailedCondition]) -> bool {
        let fence = failed.iter().find(|condition| condition.key == self.fence_key);
        if let Some(fence) = fence {
            self.fence = Some(fence.revision).filter(|revision| *revision != 0);
        }
        fence.is_some()
    }

    /// Revisions of the batch's own claims in the table, at a time when its transaction has taken
    /// effect or never will.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; then nothing is known yet.
    pub async fn resolve_outcome(
        &mut self,
        batch: &Batch,
    ) -> Result<HashMap<String, Revision>, PlatformError> {
        let rows = self.read_own(batch).await?;
        if !rows.is_empty() {
            // All or nothing: one row of it proves the transaction.
            return Ok(rows);
        }
        self.raise_fence().await?;
        self.read_own(batch).await
    }

    /// Asks for a sign of life.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub async fn probe(&self) -> Result<(), PlatformError> {
        self.platform.row(&self.fence_key).await.map(drop)
    }

    /// Writes the fence row; no transaction that asked for an earlier one takes effect after.
    async fn raise_fence(&mut self) -> Result<Revision, PlatformError> {
        let row = ClaimFenceRow { raised_at_unix_ms: unix_ms() };
        let value = serde_json::to_value(row).map_err(PlatformError::Unserializable)?;
        // It asks for nothing: one that lands late only makes the next transaction fail once,
        // whose answer then names the revision to go on with.
        let commit =
            Commit { conditions: Vec::new(), writes: vec![Write::put(&self.fence_key, value)] };
        let revision = self.platform.commit(&commit).await?.revision;
        self.counters.add("claims.fence_raised");
        self.fence = Some(revision);
        Ok(revision)
    }

    async fn read_own(&self, batch: &Batch) -> Result<HashMap<String, Revision>, PlatformError> {
        let reads = batch.claims.iter().map(|claim| self.platform.row(&claim.row_key));
        let rows = try_join_all(reads).await?;
        let mut own = HashMap::new();
        for (claim, row) in batch.claims.iter().zip(rows) {
            let Some(row) = row else { continue };
            let Ok(value) = serde_json::from_value::<ClaimRow>(row.value) else { continue };
            // All of it: the same attempt may have reached two gates, and only one of them wrote.
            if value == *claim.row {
                own.insert(claim.row_key.clone(), row.revision);
            }
        }
        Ok(own)
    }
}

/// Whatever became of the fence, nothing of the batch was sent yet.
fn as_not_written(error: PlatformError) -> PlatformError {
    match error {
        error if error.is_not_written() => error,
        _ => PlatformError::Unreachable,
    }
}
