//! The task that writes suspects' rows and reads what other daemons wrote.

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

/// Wait after the store failed.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two looks at all suspects of the service, for news that got lost and for a store
/// that was away at start. At 2,500 daemons it makes 42 reads a second.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Changes kept while the store is away; each stands for a request in flight at a death.
const PENDING_CHANGES_MAX: usize = 1_024;

/// Writes rows one after the other, each as a conditional change of what it has read.
pub struct Recorder {
    shared: Shared,
    changes: UnboundedReceiver<PendingChange>,
    service: watch::Receiver<Option<ServiceName>>,
    pending: VecDeque<PendingChange>,
    store_retry_at: Instant,
    poll_due_at: Option<Instant>,
}

impl Recorder {
    /// Makes a recorder of `changes` that looks at the suspects of `service`.
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

    /// Works until `stop`, then tries once more what is left.
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
                // To the back, so that a row which the store refuses holds up no other.
                self.pending.push_back(change);
                self.store_retry_at = Instant::now() + STORE_RETRY_DELAY;
            }
            return;
        }
        self.poll().await;
    }

    /// Whether a death was meant for a request that is cleared by now.
    ///
    /// Failure: the store is slow, a bystander is tried and cleared elsewhere before the death is
    /// written here, and the row that is written then has it run alone once more.
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

    /// Makes one change, again and again while others write the row between reading and writing.
    ///
    /// A write whose answer is lost is made again after reading: a change that was made already
    /// changes nothing, and a write that lands late finds another revision.
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

    /// Takes all suspects of the service over from the table.
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
