//! The gate's side: asks for a claim and says what the table holds.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout_at,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::ids::InstanceId;
use yuccarack_platform::{
    PlatformClient, PlatformError,
    rows::{ClaimRow, ClaimState, claim_key},
};

use super::{
    batch::{ClaimReply, PendingClaim},
    breaker::Breaker,
    verdict::{ClaimRequest, ClaimVerdict},
    writer::Writer,
};
use crate::state::counters::Counters;

/// Claims that wait for the writer; a gate has some ten slots, so more only come in a flood.
const CLAIM_QUEUE_MAX: usize = 1024;
/// Said to callers when the store's next look isn't known.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Claims keys for one gate; clones share one writer.
#[derive(Clone)]
pub struct ClaimTracker {
    platform: PlatformClient,
    instance: InstanceId,
    counters: Counters,
    breaker: Arc<Mutex<Breaker>>,
    claims: mpsc::Sender<PendingClaim>,
}

impl ClaimTracker {
    /// Makes a keeper and starts its writer on `tasks`.
    ///
    /// `stop` is to be cancelled after the gate's last call has ended; the writer then writes
    /// what it has, for at most some seconds, and ends.
    pub fn start(
        platform: PlatformClient,
        instance: InstanceId,
        counters: Counters,
        tasks: &TaskTracker,
        stop: CancellationToken,
    ) -> Self {
        let breaker = Arc::new(Mutex::new(Breaker::new()));
        let (claims, waiting) = mpsc::channel(CLAIM_QUEUE_MAX);
        let writer =
            Writer::new(platform.clone(), &instance, counters.clone(), breaker.clone(), waiting);
        tasks.spawn(writer.run(stop));
        Self { platform, instance, counters, breaker, claims }
    }

    /// Claims the key of `request` for its attempt.
    ///
    /// May be cancelled at any time; a claim that was granted meanwhile is released.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimVerdict {
        let dispatch_deadline = tokio::time::Instant::from_std(request.dispatch_deadline);
        let verdict = match timeout_at(dispatch_deadline, self.decide(&request)).await {
            Ok(verdict) => verdict,
            // Whatever the writer still finds for this attempt it releases: nobody hears it.
            Err(_) => self.store_unavailable(),
        };
        self.counters.add_reason("claims", counter(&verdict));
        verdict
    }

    async fn decide(&self, request: &ClaimRequest) -> ClaimVerdict {
        let row_key = claim_key(&request.service, &request.key);
        loop {
            if self.breaker.lock().next_probe_at().is_some() {
                return self.store_unavailable();
            }
            match self.submit_claim(request, &row_key).await {
                ClaimReply::Granted(claim) => return ClaimVerdict::Granted(claim),
                ClaimReply::StoreUnavailable => return self.store_unavailable(),
                ClaimReply::Taken => {}
            }
            match self.platform.row(&row_key).await {
                Ok(Some(row)) => return self.evaluate_row(request, row.value),
                // Released between our write and our read, so the key is free again.
                Ok(None) => self.counters.add("claims.freed_meanwhile"),
                Err(_) => return self.store_unavailable(),
            }
        }
    }

    async fn submit_claim(&self, request: &ClaimRequest, row_key: &str) -> ClaimReply {
        let (reply_sender, reply_receiver) = oneshot::channel();
        let row = self.open_row(request);
        let pending =
            PendingClaim::new(row_key.to_owned(), row, request.dispatch_deadline, reply_sender);
        if self.claims.try_send(pending).is_err() {
            self.counters.add("claims.queue_full");
            return ClaimReply::StoreUnavailable;
        }
        reply_receiver.await.unwrap_or(ClaimReply::StoreUnavailable)
    }

    fn open_row(&self, request: &ClaimRequest) -> ClaimRow {
        ClaimRow {
            service: request.service.clone(),
            key: request.key.clone(),
            attempt: request.attempt,
            instance: self.instance.clone(),
            fingerprint: request.fingerprint,
            state: ClaimState::Open,
            claimed_at_unix_ms: unix_ms(),
            outcome: None,
        }
    }

    /// A row that can't be read is taken for an open claim: whatever it is, it isn't ours.
    fn evaluate_row(&self, request: &ClaimRequest, value: serde_json::Value) -> ClaimVerdict {
        let row: Result<ClaimRow, _> =
            serde_json::from_value(value).map_err(PlatformError::Malformed);
        let Ok(row) = row else {
            self.counters.add("claims.row_unreadable");
            return ClaimVerdict::InProgress;
        };
        if row.fingerprint != request.fingerprint {
            return ClaimVerdict::KeyReused;
        }
        match (row.state, row.outcome) {
            (ClaimState::Done, Some(outcome)) => ClaimVerdict::Recorded(outcome),
            (ClaimState::Done, None) | (ClaimState::Open, _) => ClaimVerdict::InProgress,
        }
    }

    fn store_unavailable(&self) -> ClaimVerdict {
        let next_probe_at = self.breaker.lock().next_probe_at();
        let until_probe = next_probe_at
            .map(|at| at.saturating_duration_since(Instant::now()))
            .unwrap_or_default();
        ClaimVerdict::StoreUnavailable { retry_after: until_probe.max(RETRY_AFTER_MIN) }
    }
}

fn counter(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Granted(_) => "mine",
        ClaimVerdict::InProgress => "in_progress",
        ClaimVerdict::Recorded(_) => "recorded",
        ClaimVerdict::KeyReused => "key_reused",
        ClaimVerdict::StoreUnavailable { .. } => "store_away",
    }
}

/// For operators only: no decision hangs on the wall clock.
pub(super) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
