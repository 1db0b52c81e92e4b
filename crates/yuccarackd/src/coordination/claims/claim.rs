//! Claims that a gate holds, before and after their requests are dispatched.

use std::time::{Duration, Instant};

use tokio::{
    sync::{mpsc::UnboundedSender, oneshot},
    time::timeout,
};
use yuccarack_config::ids::Revision;
use yuccarack_platform::rows::{ClaimRow, ClaimState, RecordedOutcome};

use super::batch::ClaimChange;

/// Largest response body that is recorded for resends, in bytes.
const RECORDED_BODY_MAX_BYTES: usize = 4 * 1024;

/// Longest time that a refusal waits until its key is free. An available store needs a few ms.
const RELEASE_WAIT_MAX: Duration = Duration::from_millis(100);

/// Right to dispatch one request, of which no byte has been sent yet. Dropping it releases the
/// claim.
///
/// When a caller disconnects between the claim and the dispatch, the call's future is dropped.
/// Without the release on drop the key would stay claimed for good although nothing ran. Only
/// [`Claim::begin_dispatch`] leads to a claim that stays open when it is dropped.
#[derive(Debug)]
pub struct Claim {
    held_row: Option<HeldRow>,
    dispatch_deadline: Instant,
}

/// A claim whose request may have reached the target. Dropping it leaves the outcome unknown.
#[derive(Debug)]
#[must_use = "the outcome of a claim that is dropped stays unknown for good"]
pub struct RunningClaim {
    held_row: HeldRow,
}

/// The claim's row in the table, and the sender of its changes.
#[derive(Debug)]
pub(super) struct HeldRow {
    pub row_key: String,
    pub row: Box<ClaimRow>,
    pub revision: Revision,
    pub change_sender: UnboundedSender<ClaimChange>,
}

impl Claim {
    pub(super) fn new(held_row: HeldRow, dispatch_deadline: Instant) -> Self {
        Self { held_row: Some(held_row), dispatch_deadline }
    }

    /// Turns the claim into a running one. Must be called before the first byte is sent.
    ///
    /// Returns `None` and releases the claim if the dispatch deadline has passed. Otherwise a gate
    /// that is frozen while it holds the claim could run the request a second time: the caller
    /// gives up, an operator releases the key, a resend runs, and then the gate resumes.
    pub fn begin_dispatch(mut self) -> Option<RunningClaim> {
        if Instant::now() >= self.dispatch_deadline {
            return None;
        }
        self.held_row.take().map(|held_row| RunningClaim { held_row })
    }

    /// Releases the claim; the row is deleted in the background.
    pub fn release(self) {}

    /// Releases the claim and waits up to `RELEASE_WAIT_MAX` until the key is free.
    ///
    /// Without the wait an entry whose request this gate refuses would try the next gate at once.
    /// That gate would find the claim and respond that the request is in progress, although it
    /// never ran and no gate runs it.
    pub async fn release_and_wait(mut self) {
        if let Some(held_row) = self.held_row.take() {
            held_row.release_and_wait().await;
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(held_row) = self.held_row.take() {
            held_row.release();
        }
    }
}

impl RunningClaim {
    /// Records the outcome of the request in the background; resends get this outcome.
    ///
    /// A body of more than 4 KiB isn't recorded.
    pub fn record_outcome(mut self, mut outcome: RecordedOutcome) {
        outcome.body = outcome.body.filter(|body| body.len() <= RECORDED_BODY_MAX_BYTES);
        self.held_row.row.state = ClaimState::Done;
        self.held_row.row.outcome = Some(outcome);
        let HeldRow { row_key, row, revision, change_sender, .. } = self.held_row;
        // The writer is stopped only after the last claim is dropped. If it has ended nevertheless,
        // the row stays without an outcome, which is safe: the request isn't run again.
        let _ = change_sender.send(ClaimChange::Record { row_key, revision, row });
    }

    /// Releases the claim in the background.
    ///
    /// Only for a request that is confirmed not to have run: no byte was sent, or the target shed
    /// the request with the response that its contract defines as not run.
    pub fn release_not_run(self) {
        self.held_row.release();
    }

    /// Releases the claim of a request that is confirmed not to have run, and waits as
    /// [`Claim::release_and_wait`] does.
    pub async fn release_not_run_and_wait(self) {
        self.held_row.release_and_wait().await;
    }
}

impl HeldRow {
    fn release(self) {
        self.send_release(None);
    }

    async fn release_and_wait(self) {
        let (waiter, free) = oneshot::channel();
        self.send_release(Some(waiter));
        // After a timeout the caller gets its refusal all the same.
        let _ = timeout(RELEASE_WAIT_MAX, free).await;
    }

    fn send_release(self, waiter: Option<oneshot::Sender<()>>) {
        let HeldRow { row_key, revision, change_sender, .. } = self;
        // See `record_outcome` on a writer that has ended.
        let _ = change_sender.send(ClaimChange::Release { row_key, revision, waiter });
    }
}
