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
    row::{Change, Changed, standing, unix_ms},
    shared::{PendingChange, Shared},
};

/// Wait after the store failed.
const STORE_PAUSE: Duration = Duration::from_secs(1);
/// Time between two looks at all suspects of the service, for news that got lost and for a store
/// that was away at start. At 2,500 daemons it makes 42 reads a second.
const LOOK_INTERVAL: Duration = Duration::from_secs(60);
/// Changes kept while the store is away; each stands for a request in flight at a death.
const CHANGES_WAITING_MAX: usize = 1_024;

/// Writes rows one after the other, each as a conditional change of what it has read.
pub struct Recorder {
    shared: Shared,
    changes: UnboundedReceiver<PendingChange>,
    service: watch::Receiver<Option<ServiceName>>,
    waiting: VecDeque<PendingChange>,
    store_due_at: Instant,
    look_due_at: Option<Instant>,
}

impl Recorder {
    /// Makes a recorder of `changes` that looks at the suspects of `service`.
    pub fn new(
        shared: Shared,
        changes: UnboundedReceiver<PendingChange>,
        service: watch::Receiver<Option<ServiceName>>,
    ) -> Self {
        let store_due_at = Instant::now();
        Self { shared, changes, service, waiting: VecDeque::new(), store_due_at, look_due_at: None }
    }

    /// Works until `stop`, then tries once more what is left.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let due = self.next_due();
            tokio::select! {
                Some(change) = self.changes.recv() => self.enqueue(change),
                Ok(()) = self.service.changed() => self.look_due_at = Some(Instant::now()),
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                    self.do_due().await;
                }
                () = stop.cancelled() => break,
            }
        }
        while let Ok(change) = self.changes.try_recv() {
            self.enqueue(change);
        }
        while let Some(change) = self.waiting.pop_front() {
            if self.apply(&change).await.is_err() {
                break;
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let write = if self.waiting.is_empty() { None } else { Some(self.store_due_at) };
        let look = self.look_due_at.map(|at| at.max(self.store_due_at));
        [write, look].into_iter().flatten().min()
    }

    async fn do_due(&mut self) {
        if let Some(change) = self.waiting.pop_front() {
            if self.is_outdated(&change) {
                self.shared.counters.add("suspects.change_outdated");
                return;
            }
            if self.apply(&change).await.is_err() {
                // To the back, so that a row which the store refuses holds up no other.
                self.waiting.push_back(change);
                self.store_due_at = Instant::now() + STORE_PAUSE;
            }
            return;
        }
        self.look().await;
    }

    /// Whether a death was meant for a request that is cleared by now.
    ///
    /// Failure: the store is slow, a bystander is tried and cleared elsewhere before the death is
    /// written here, and the row that is written then has it run alone once more.
    fn is_outdated(&self, pending: &PendingChange) -> bool {
        let is_death = matches!(pending.change, Change::Died { .. });
        let now = Instant::now();
        let verdict = self.shared.memory.lock().verdict(now, pending.fingerprint);
        is_death && verdict == Verdict::Clear
    }

    fn enqueue(&mut self, change: PendingChange) {
        if self.waiting.len() >= CHANGES_WAITING_MAX {
            self.shared.counters.add("suspects.change_dropped");
            return;
        }
        self.waiting.push_back(change);
    }

    /// Makes one change, again and again while others write the row between reading and writing.
    ///
    /// A write whose answer is lost is made again after reading: a change that was made already
    /// changes nothing, and a write that lands late finds another revision.
    async fn apply(&self, pending: &PendingChange) -> Result<(), PlatformError> {
        let PendingChange { service, fingerprint, change } = pending;
        let key = suspect_key(service, *fingerprint);
        loop {
            let found = self.shared.read(&key).await?;
            let changed = change.apply(found.value.as_ref(), service, *fingerprint, unix_ms());
            let write = match changed {
                Changed::Same => return Ok(()),
                Changed::Gone => Write::delete(&key),
                Changed::Put(row) => Write::put(&key, to_value(&row)?),
            };
            match self.shared.write_over(&found, write).await {
                Err(PlatformError::Conflict { .. }) => {}
                result => return result,
            }
        }
    }

    /// Takes all suspects of the service over from the table.
    async fn look(&mut self) {
        let service = self.service.borrow().clone();
        let Some(service) = service else {
            self.look_due_at = None;
            return;
        };
        let Ok(rows) = self.shared.platform.rows(&suspect_prefix(&service)).await else {
            self.store_due_at = Instant::now() + STORE_PAUSE;
            return;
        };
        self.shared.counters.add("suspects.looked");
        self.look_due_at = Some(Instant::now() + LOOK_INTERVAL);
        for row in rows.rows {
            let Ok(row) = serde_json::from_value::<SuspectRow>(row.value) else { continue };
            if let Some(phase) = standing(Some(&row), unix_ms()).phase() {
                let mut memory = self.shared.memory.lock();
                memory.learn(Instant::now(), row.fingerprint, phase, &row.died);
            }
        }
    }
}

fn to_value(row: &SuspectRow) -> Result<serde_json::Value, PlatformError> {
    serde_json::to_value(row).map_err(PlatformError::Unserializable)
}
