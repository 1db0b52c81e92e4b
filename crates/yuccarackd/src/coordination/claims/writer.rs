//! The one task of a gate that writes claims, a group of them in each transaction.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::sleep_until,
};
use tokio_util::sync::CancellationToken;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{PlatformClient, PlatformError, messages::FailedCondition};

use super::{
    batch::{Batch, ClaimChange, ClaimReply, PendingClaim},
    breaker::Breaker,
    claim::{Claim, HeldRow},
    table::ClaimTable,
};
use crate::state::counters::Counters;

/// Most rows in one transaction.
const BATCH_ROWS_MAX: usize = 64;
/// Least time between the starts of two transactions. The first claim after a pause goes at
/// once; a busy gate writes at most 200 times a second, whatever its rate of claims.
const COMMIT_SPACING: Duration = Duration::from_millis(5);
/// Longest time that upkeep which nobody waits for waits for a claim to share a transaction with.
const CHANGE_LINGER: Duration = Duration::from_millis(10);
/// Longest time that a stopping writer goes on trying.
const STOP_MAX: Duration = Duration::from_secs(5);

/// Writes claims, their releases and their outcomes.
pub struct Writer {
    table: ClaimTable,
    counters: Counters,
    breaker: Arc<Mutex<Breaker>>,
    claims: mpsc::Receiver<PendingClaim>,
    changes: UnboundedReceiver<ClaimChange>,
    change_sender: UnboundedSender<ClaimChange>,
    pending_claims: VecDeque<PendingClaim>,
    pending_changes: VecDeque<ClaimChange>,
    changes_due_at: Instant,
    unresolved: Option<Batch>,
    next_commit_at: Instant,
    jitter: SmallRng,
}

impl Writer {
    /// Makes the writer of the gate of `instance`, which takes claims from `claims`.
    pub fn new(
        platform: PlatformClient,
        instance: &str,
        counters: Counters,
        breaker: Arc<Mutex<Breaker>>,
        claims: mpsc::Receiver<PendingClaim>,
    ) -> Self {
        let (change_sender, changes) = mpsc::unbounded_channel();
        Self {
            table: ClaimTable::new(platform, instance, counters.clone()),
            counters,
            breaker,
            claims,
            changes,
            change_sender,
            pending_claims: VecDeque::new(),
            pending_changes: VecDeque::new(),
            changes_due_at: Instant::now(),
            unresolved: None,
            next_commit_at: Instant::now(),
            jitter: SmallRng::from_os_rng(),
        }
    }

    /// Writes until `stop` is cancelled and what is left is written or given up.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut stop_deadline = None;
        loop {
            if stop.is_cancelled() {
                let stop_deadline = *stop_deadline.get_or_insert_with(|| Instant::now() + STOP_MAX);
                self.drain_queues();
                if self.is_idle() || Instant::now() >= stop_deadline {
                    break;
                }
            }
            let next_probe_at = self.breaker.lock().next_probe_at();
            match next_probe_at {
                Some(at) => self.recover(at).await,
                None => self.write_next(&stop).await,
            }
        }
        let left_open = self.pending_changes.len() as u64;
        self.counters.add_many("claims.left_open", left_open);
    }

    fn is_idle(&self) -> bool {
        self.unresolved.is_none()
            && self.pending_changes.is_empty()
            && self.pending_claims.is_empty()
    }

    async fn write_next(&mut self, stop: &CancellationToken) {
        if !self.wait_for_work(stop).await {
            return;
        }
        sleep_until(self.next_commit_at.into()).await;
        self.drain_queues();
        self.next_commit_at = Instant::now() + COMMIT_SPACING;
        let batch = self.next_batch();
        if !batch.is_empty() {
            self.write(batch).await;
        }
    }

    /// Whether there is work; without, a stop was asked for.
    async fn wait_for_work(&mut self, stop: &CancellationToken) -> bool {
        if !self.pending_claims.is_empty() {
            return true;
        }
        let is_lingering = !self.pending_changes.is_empty();
        tokio::select! {
            biased;
            Some(claim) = self.claims.recv() => {
                self.pending_claims.push_back(claim);
                true
            }
            Some(change) = self.changes.recv() => {
                if !is_lingering {
                    self.changes_due_at = Instant::now() + CHANGE_LINGER;
                }
                let is_awaited = change.is_awaited();
                self.pending_changes.push_back(change);
                is_awaited
            }
            () = sleep_until(self.changes_due_at.into()), if is_lingering => true,
            () = stop.cancelled(), if !stop.is_cancelled() => false,
        }
    }

    fn drain_queues(&mut self) {
        while let Ok(claim) = self.claims.try_recv() {
            self.pending_claims.push_back(claim);
        }
        while let Ok(change) = self.changes.try_recv() {
            self.pending_changes.push_back(change);
        }
    }

    /// Takes what fits into one transaction, each key once; later ones of a key keep their order.
    fn next_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        let mut keys = HashSet::new();
        let mut later = VecDeque::new();
        while let Some(change) = self.pending_changes.pop_front() {
            if batch.changes.len() < BATCH_ROWS_MAX && keys.insert(change.row_key().to_owned()) {
                batch.changes.push(change);
            } else {
                later.push_back(change);
            }
        }
        self.pending_changes = later;
        let mut later = VecDeque::new();
        while let Some(claim) = self.pending_claims.pop_front() {
            if !claim.is_awaited() {
                continue;
            }
            let rows = batch.changes.len() + batch.claims.len();
            if rows < BATCH_ROWS_MAX && keys.insert(claim.row_key.clone()) {
                batch.claims.push(claim);
            } else {
                later.push_back(claim);
            }
        }
        self.pending_claims = later;
        batch
    }

    async fn write(&mut self, mut batch: Batch) {
        while !batch.is_empty() {
            match self.table.commit(&batch).await {
                Ok(revision) => {
                    self.note_success();
                    return self.complete_written(batch, revision);
                }
                Err(PlatformError::Conflict { failed }) => {
                    self.note_success();
                    if !self.remove_failed(&mut batch, &failed) {
                        return self.requeue_unwritten(batch);
                    }
                }
                Err(error) if error.is_not_written() => {
                    self.requeue_unwritten(batch);
                    return self.note_failure();
                }
                Err(_) if batch.claims.is_empty() => {
                    // Upkeep may be sent twice, so it waits until a look finds the store well.
                    // Taking it for resolved would close the breaker with nothing heard of the
                    // store, and the next claim would wait for a timeout.
                    self.requeue_unwritten(batch);
                    return self.note_failure();
                }
                Err(_) => {
                    self.counters.add("claims.readback");
                    self.unresolved = Some(batch);
                    self.note_failure();
                    return self.resolve().await;
                }
            }
        }
    }

    fn complete_written(&self, batch: Batch, revision: Revision) {
        for change in batch.changes {
            self.counters.add(change.success_counter());
            change.notify_waiter();
        }
        for claim in batch.claims {
            self.grant(claim, revision);
        }
    }

    /// Grants `pending`; when nobody waits any more, the dropped claim releases itself.
    fn grant(&self, mut pending: PendingClaim, revision: Revision) {
        if !pending.is_awaited() {
            self.counters.add("claims.undelivered");
        }
        let held_row = HeldRow {
            row_key: pending.row_key.clone(),
            row: pending.row.clone(),
            revision,
            change_sender: self.change_sender.clone(),
        };
        pending.send_reply(ClaimReply::Granted(Claim::new(held_row, pending.dispatch_deadline)));
    }

    /// Takes what failed out of `batch`; false when the answer named nothing of it.
    fn remove_failed(&mut self, batch: &mut Batch, failed: &[FailedCondition]) -> bool {
        let is_fenced = self.table.note_fence(failed);
        let out = batch.split_off(failed);
        let is_progress = is_fenced || !out.is_empty();
        for mut claim in out.claims {
            claim.send_reply(ClaimReply::Taken);
        }
        // The row is another than the one that this gate wrote: an operator released it, or an
        // earlier write of this same upkeep took effect.
        self.counters.add_many("claims.upkeep_moot", out.changes.len() as u64);
        out.changes.into_iter().for_each(ClaimChange::notify_waiter);
        is_progress
    }

    /// After a proof that nothing of `batch` was written: refuses claims, keeps upkeep.
    fn requeue_unwritten(&mut self, batch: Batch) {
        for claim in batch.claims {
            reject(claim);
        }
        for change in batch.changes.into_iter().rev() {
            self.pending_changes.push_front(change);
        }
    }

    /// Finds out whether the unresolved transaction took effect.
    ///
    /// While that can't be found out its calls are refused: what nobody is granted nobody hands
    /// over, whatever the table says, and a row that turns up is released.
    async fn resolve(&mut self) {
        let Some(mut batch) = self.unresolved.take() else { return };
        match self.table.resolve_outcome(&batch).await {
            Ok(rows) => {
                self.note_success();
                self.complete_resolved(batch, &rows);
            }
            Err(_) => {
                batch
                    .claims
                    .iter_mut()
                    .for_each(|claim| claim.send_reply(ClaimReply::StoreUnavailable));
                self.unresolved = Some(batch);
                self.note_failure();
            }
        }
    }

    fn complete_resolved(&mut self, batch: Batch, rows: &HashMap<String, Revision>) {
        for claim in batch.claims.into_iter().rev() {
            match rows.get(&claim.row_key) {
                Some(revision) => self.grant(claim, *revision),
                // Proved absent, so the same attempt may go again.
                None => self.pending_claims.push_front(claim),
            }
        }
        for change in batch.changes.into_iter().rev() {
            self.pending_changes.push_front(change);
        }
    }

    /// While the store is away: refuses claims at once, looks at the store at `probe_at`.
    async fn recover(&mut self, probe_at: Instant) {
        loop {
            tokio::select! {
                () = sleep_until(probe_at.into()) => break,
                Some(claim) = self.claims.recv() => reject(claim),
            }
        }
        if self.unresolved.is_some() {
            return self.resolve().await;
        }
        match self.table.probe().await {
            Ok(_) => self.note_success(),
            Err(_) => self.note_failure(),
        }
    }

    fn note_success(&self) {
        if self.breaker.lock().record_success() {
            self.counters.add("claims.store_back");
        }
    }

    fn note_failure(&mut self) {
        let jitter = self.jitter.random();
        if self.breaker.lock().record_failure(Instant::now(), jitter) {
            self.counters.add("claims.store_lost");
        }
        while let Ok(claim) = self.claims.try_recv() {
            reject(claim);
        }
        self.pending_claims.drain(..).for_each(reject);
    }
}

fn reject(mut claim: PendingClaim) {
    claim.send_reply(ClaimReply::StoreUnavailable);
}
