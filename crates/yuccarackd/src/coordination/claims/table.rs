//! Transactions of one gate's claims, and the outcome of those whose responses were lost.

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

/// Table access of one gate, guarded by the gate's fence row.
///
/// A transaction whose response is lost may take effect after the writer has read that its rows are
/// absent and has replied that the request doesn't run. The key would then stay open for good
/// although no gate holds it. So each transaction requires the last known revision of the gate's
/// fence row, and the fence row is written anew before absence counts as confirmed: from then on
/// the lost transaction can't take effect. One row for each gate is enough and no rows are left
/// over, whereas a tombstone for each lost claim would have to stay for good.
pub struct ClaimTable {
    platform: PlatformClient,
    fence_key: String,
    fence: Option<Revision>,
    counters: Counters,
}

impl ClaimTable {
    /// Creates the table access of the gate of `instance`.
    pub fn new(platform: PlatformClient, instance: &str, counters: Counters) -> Self {
        Self { platform, fence_key: claim_fence_key(instance), fence: None, counters }
    }

    /// Writes `batch` and returns the revision of its rows.
    ///
    /// # Errors
    ///
    /// Returns the error of the platform; [`PlatformError::is_not_written`] says whether it is
    /// certain that nothing was written.
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

    /// Adopts the current revision of the fence row if its condition is among `failed`. Returns
    /// whether it is.
    pub fn note_fence(&mut self, failed: &[FailedCondition]) -> bool {
        let fence = failed.iter().find(|condition| condition.key == self.fence_key);
        if let Some(fence) = fence {
            self.fence = Some(fence.revision).filter(|revision| *revision != 0);
        }
        fence.is_some()
    }

    /// Returns the revisions of the batch's own claims in the table, once the transaction has taken
    /// effect or can't any more.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]; the outcome is still unknown then.
    pub async fn resolve_outcome(
        &mut self,
        batch: &Batch,
    ) -> Result<HashMap<String, Revision>, PlatformError> {
        let rows = self.read_own(batch).await?;
        if !rows.is_empty() {
            // Transactions are atomic: one row confirms that all were written.
            return Ok(rows);
        }
        self.raise_fence().await?;
        self.read_own(batch).await
    }

    /// Checks whether the store responds, by reading the fence row.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`].
    pub async fn probe(&self) -> Result<(), PlatformError> {
        self.platform.row(&self.fence_key).await.map(drop)
    }

    /// Writes the fence row. Transactions that require an earlier revision of it can't take effect
    /// afterwards.
    async fn raise_fence(&mut self) -> Result<Revision, PlatformError> {
        let row = ClaimFenceRow { raised_at_unix_ms: unix_ms() };
        let value = serde_json::to_value(row).map_err(PlatformError::Unserializable)?;
        // The write has no conditions. If it takes effect late, only the next transaction fails
        // once, and its response contains the revision to use from then on.
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
            // Compares the complete row: the same attempt may have reached two gates, of which only
            // one wrote it.
            if value == *claim.row {
                own.insert(claim.row_key.clone(), row.revision);
            }
        }
        Ok(own)
    }
}

/// Converts an error of the fence write: whether or not that write took effect, nothing of the
/// batch was sent yet.
fn as_not_written(error: PlatformError) -> PlatformError {
    match error {
        error if error.is_not_written() => error,
        _ => PlatformError::Unreachable,
    }
}
