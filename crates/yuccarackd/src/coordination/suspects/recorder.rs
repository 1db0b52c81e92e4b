//! Task that writes the rows of suspects and polls those that other daemons wrote.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tokio::{
    sync::{mpsc::UnboundedReceiver, watch},
    time::sleep_until,
};
use tokio_util::sync::CancellationToken;
use yuccarack_config::ids::ServiceName;
use yuccarack_platform::{
    PlatformError,
    messages::Write,
    rows::{SuspectRow, suspect_key, suspect_prefix},
};
use yuccarack_policy::suspects::Verdict;

use super::{
    row::{Change, ChangeResult, row_status, unix_ms},
    shared::{PendingChange, Shared},
};

/// Delay before the next access after the store failed.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two reads of all suspects of the service, for updates that got lost and for a store
/// that was unavailable at start. With 2,500 daemons this makes 42 reads a second.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Most changes that are queued while the store is unavailable; each belongs to a request that was
/// in flight at a crash. Further changes are dropped and counted.
const PENDING_CHANGES_MAX: usize = 1_024;

/// Writes rows one after the other, each on condition that the row is as it was read.
pub struct Recorder {
    shared: Shared,
    changes: UnboundedReceiver<PendingChange>,
    service: watch::Receiver<Option<ServiceName>>,
    pending: VecDeque<PendingChange>,
    store_retry_at: Instant,
    poll_due_at: Option<Instant>,
}

impl Recorder {
    /// Creates a recorder of `changes` that polls the suspects of `service`.
    pub fn new(
        shared: Shared,
        changes: UnboundedReceiver<PendingChange>,
        service: watch::Receiver<Option<ServiceName>>,
    ) -> Self {
        let store_retry_at = Instant::now();
        Self {
            shared,
            changes,
            service,
            pending: VecDeque::new(),
            store_retry_at,
            poll_due_at: None,
        }
    }

    /// Runs until `stop`, then tries to write the pending changes once more.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let due = self.next_due();
            tokio::select! {
                Some(change) = self.changes.recv() => self.enqueue(change),
                Ok(()) = self.service.changed() => self.poll_due_at = Some(Instant::now()),
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                    self.run_due().await;
                }
                () = stop.cancelled() => break,
            }
        }
        while let Ok(change) = self.changes.try_recv() {
            self.enqueue(change);
        }
        while let Some(change) = self.pending.pop_front() {
            if self.apply(&change).await.is_err() {
                break;
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let write = if self.pending.is_empty() { None } else { Some(self.store_retry_at) };
        let poll = self.poll_due_at.map(|at| at.max(self.store_retry_at));
        [write, poll].into_iter().flatten().min()
    }

    async fn run_due(&mut self) {
        if let Some(change) = self.pending.pop_front() {
            if self.is_outdated(&change) {
                self.shared.counters.add("suspects.change_outdated");
                return;
            }
            if self.apply(&change).await.is_err() {
                // Moved to the end of the queue, so that a row that the store rejects doesn't block
                // others.
                self.pending.push_back(change);
                self.store_retry_at = Instant::now() + STORE_RETRY_DELAY;
            }
            return;
        }
        self.poll().await;
    }

    /// Returns whether a crash is pending for a request that has been cleared since.
    ///
    /// With a slow store, another gate may run the request on trial and clear it before this crash
    /// is written. Writing the crash then would make the request a suspect again, although it
    /// didn't cause the crash.
    fn is_outdated(&self, pending: &PendingChange) -> bool {
        let is_crash = matches!(pending.change, Change::Crashed { .. });
        let now = Instant::now();
        let verdict = self.shared.cache.lock().verdict(now, pending.fingerprint);
        is_crash && verdict == Verdict::Clear
    }

    fn enqueue(&mut self, change: PendingChange) {
        if self.pending.len() >= PENDING_CHANGES_MAX {
            self.shared.counters.add("suspects.change_dropped");
            return;
        }
        self.pending.push_back(change);
    }

    /// Applies one change, and retries while others write the row between the read and the write.
    ///
    /// After a lost response the row is read and the change applied again. This is safe: a change
    /// that has taken effect changes nothing, and a write that takes effect late fails on its
    /// revision.
    async fn apply(&self, pending: &PendingChange) -> Result<(), PlatformError> {
        let PendingChange { service, fingerprint, change } = pending;
        let key = suspect_key(service, *fingerprint);
        loop {
            let stored = self.shared.read(&key).await?;
            let result = change.apply(stored.value.as_ref(), service, *fingerprint, unix_ms());
            let write = match result {
                ChangeResult::Unchanged => return Ok(()),
                ChangeResult::Delete => Write::delete(&key),
                ChangeResult::Put(row) => Write::put(&key, to_value(&row)?),
            };
            match self.shared.commit_over(&stored, write).await {
                Err(PlatformError::Conflict { .. }) => {}
                outcome => return outcome,
            }
        }
    }

    /// Merges all suspects of the service from the table into the cache.
    async fn poll(&mut self) {
        let service = self.service.borrow().clone();
        let Some(service) = service else {
            self.poll_due_at = None;
            return;
        };
        let Ok(rows) = self.shared.platform.rows(&suspect_prefix(&service)).await else {
            self.store_retry_at = Instant::now() + STORE_RETRY_DELAY;
            return;
        };
        self.shared.counters.add("suspects.looked");
        self.poll_due_at = Some(Instant::now() + POLL_INTERVAL);
        for row in rows.rows {
            let Ok(row) = serde_json::from_value::<SuspectRow>(row.value) else { continue };
            if let Some(phase) = row_status(Some(&row), unix_ms()).phase() {
                let mut cache = self.shared.cache.lock();
                cache.merge(Instant::now(), row.fingerprint, phase, &row.died);
            }
        }
    }
}

fn to_value(row: &SuspectRow) -> Result<serde_json::Value, PlatformError> {
    serde_json::to_value(row).map_err(PlatformError::Unserializable)
}
