//! A platform with faults to order, and gates' keepers beside it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::time::{sleep, timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::ids::AttemptId;
use yuccarack_platform::{
    PlatformClient,
    rows::{ClaimRow, ClaimState, RecordedOutcome, claim_key},
};
use yuccarack_standins::platform::{Platform, PlatformFaults};
use yuccarackd::{
    coordination::claims::{Claim, ClaimRequest, ClaimTracker, ClaimVerdict},
    state::counters::Counters,
};

/// Service of all requests.
pub const SERVICE: &str = "refills";
/// Fingerprint of all requests that are the same.
pub const FINGERPRINT: u64 = 7;
/// Longest wait for anything; generous, since nothing is measured by it.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// One gate's keeper of claims.
pub struct TestGate {
    pub tracker: ClaimTracker,
    pub counters: Counters,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl TestGate {
    /// Starts a gate that waits `answer_timeout` for the platform.
    pub fn start(platform: &Platform, name: &str, answer_timeout: Duration) -> Self {
        let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
        let counters = Counters::new();
        let client = PlatformClient::new(platform.address(), answer_timeout);
        let tracker =
            ClaimTracker::start(client, name.to_owned(), counters.clone(), &tasks, stop.clone());
        Self { tracker, counters, tasks, stop }
    }

    /// Claims `key` for `attempt`, giving up after a generous while.
    pub async fn claim(&self, key: &str, attempt: AttemptId) -> ClaimVerdict {
        self.tracker.claim(request(key, attempt)).await
    }

    /// Claims `key`, which nobody holds.
    pub async fn mine(&self, key: &str, attempt: AttemptId) -> Claim {
        match self.claim(key, attempt).await {
            ClaimVerdict::Granted(claim) => claim,
            other => panic!("{key} was to be free, and is {other:?}"),
        }
    }

    /// Claims `key` again and again until it is had.
    pub async fn mine_at_last(&self, key: &str, attempt: AttemptId) -> Claim {
        let trying = async {
            loop {
                if let ClaimVerdict::Granted(claim) = self.claim(key, attempt).await {
                    return claim;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_MAX, trying).await.expect("the key is free at last")
    }

    /// The counter of `name`.
    pub fn count(&self, name: &str) -> u64 {
        self.counters.snapshot().get(name).copied().unwrap_or(0)
    }

    /// Stops the keeper and joins all it spawned.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        timeout(WAIT_MAX, self.tasks.wait()).await.expect("the writer ends");
    }
}

/// Starts a platform on a port that the kernel gives.
pub async fn platform() -> Platform {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port is free")
}

/// A request of `key` that gives up after a generous while.
pub fn request(key: &str, attempt: AttemptId) -> ClaimRequest {
    ClaimRequest {
        service: SERVICE.to_owned(),
        key: key.to_owned(),
        // Attempts are drawn from all 128 bits, more than a JSON number holds.
        attempt: AttemptId::MAX - attempt,
        fingerprint: FINGERPRINT,
        dispatch_deadline: Instant::now() + WAIT_MAX,
    }
}

/// A small outcome.
pub fn outcome() -> RecordedOutcome {
    RecordedOutcome {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: Some(b"2 drums".to_vec()),
    }
}

/// The claim's row as it stands in the table.
pub fn row(platform: &Platform, key: &str) -> Option<ClaimRow> {
    let row = platform.with_table(|table| table.row(&claim_key(SERVICE, key)))?;
    Some(serde_json::from_value(row.value).expect("the row is a claim"))
}

/// The claim's state as it stands in the table.
pub fn state(platform: &Platform, key: &str) -> Option<ClaimState> {
    row(platform, key).map(|row| row.state)
}

/// Waits until `holds`.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let polling = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    if timeout(WAIT_MAX, polling).await.is_err() {
        panic!("never came true: {what}");
    }
}

/// Waits until a commit of `before` or more bytes has reached the platform.
pub async fn commit_received(platform: &Platform, bytes_before: u64) {
    eventually("a commit reaches the platform", || platform.stats().received_bytes > bytes_before)
        .await;
}

/// Takes all faults away.
pub fn heal(platform: &Platform) {
    platform.set_faults(PlatformFaults::default());
}
