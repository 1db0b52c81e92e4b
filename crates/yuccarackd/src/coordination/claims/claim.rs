//! A claim in the hand of the gate that holds it.

use std::time::{Duration, Instant};

use tokio::{
    sync::{mpsc::UnboundedSender, oneshot},
    time::timeout,
};
use yuccarack_config::ids::Revision;
use yuccarack_platform::rows::{ClaimRow, ClaimState, RecordedOutcome};

use super::batch::ClaimChange;

/// Largest body that is kept for resends, in bytes.
const RECORDED_BODY_MAX_BYTES: usize = 4 * 1024;

/// Longest time that a refusal waits for its key to be free; a healthy store takes some ms.
const RELEASE_WAIT_MAX: Duration = Duration::from_millis(100);

/// Right to hand one request over; as long as it is held, not a byte has been handed over.
///
/// Failure: a caller hangs up between the claim and the hand-over, the call's future is dropped,
/// and the key stays claimed for good although nothing ran. Dropping this therefore releases the
/// claim, and only [`Claim::begin_dispatch`] leads to the kind that stays open when dropped.
#[derive(Debug)]
pub struct Claim {
    held_row: Option<HeldRow>,
    dispatch_deadline: Instant,
}

/// A claim whose request may have reached the target; dropping it leaves the outcome unknown.
#[derive(Debug)]
#[must_use = "a claim that isn't told how its request ended stays unknown for good"]
pub struct RunningClaim {
    held_row: HeldRow,
}

/// The claim's row in the table, and the way to change it.
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

    /// Goes over to running; to be called before the first byte is handed over.
    ///
    /// Failure: a gate is frozen with the claim in its hand, the caller and the operator give the
    /// request up, the operator releases the key, a resend runs, and the gate wakes up and runs
    /// it too. So after the attempt's deadline nothing is handed over: `None`, and the claim is
    /// released.
    pub fn begin_dispatch(mut self) -> Option<RunningClaim> {
        if Instant::now() >= self.dispatch_deadline {
            return None;
        }
        self.held_row.take().map(|held_row| RunningClaim { held_row })
    }

    /// Gives the claim back; the row is removed in the background.
    pub fn release(self) {}

    /// Gives the claim back and waits, for a short time at most, until the key is free.
    ///
    /// Failure: a gate refuses a request after claiming it, its entry tries the next gate at once,
    /// and that one finds the claim and says that the request is in progress, although it never
    /// ran and nobody runs it.
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
    /// Records how the request ended, in the background; resends get this outcome.
    ///
    /// A body over 4 KiB is left out.
    pub fn record_outcome(mut self, mut outcome: RecordedOutcome) {
        outcome.body = outcome.body.filter(|body| body.len() <= RECORDED_BODY_MAX_BYTES);
        self.held_row.row.state = ClaimState::Done;
        self.held_row.row.outcome = Some(outcome);
        let HeldRow { row_key, row, revision, change_sender, .. } = self.held_row;
        // The writer outlives all claims; after its end the row stays open, which is safe.
        let _ = change_sender.send(ClaimChange::Record { row_key, revision, row });
    }

    /// Gives the claim back, in the background.
    ///
    /// Only for a proof that nothing ran: no byte went out after all, or the target itself shed
    /// the request in the way that its contract calls not run.
    pub fn release_not_run(self) {
        self.held_row.release();
    }

    /// The same, and waits as [`Claim::release_and_wait`] does.
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
        // Without word in time the caller hears its refusal all the same.
        let _ = timeout(RELEASE_WAIT_MAX, free).await;
    }

    fn send_release(self, waiter: Option<oneshot::Sender<()>>) {
        let HeldRow { row_key, revision, change_sender, .. } = self;
        // See `done` on a writer that has ended.
        let _ = change_sender.send(ClaimChange::Release { row_key, revision, waiter });
    }
}
