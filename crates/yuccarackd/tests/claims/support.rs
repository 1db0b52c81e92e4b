//! A platform with injected faults, and the claim trackers of gates that use it.

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
/// Longest wait for a condition; generous, since no duration is checked.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// Claim tracker of one gate.
pub struct TestGate {
    pub tracker: ClaimTracker,
    pub counters: Counters,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl TestGate {
    /// Starts a gate whose platform client has the timeout `response_timeout`.
    pub fn start(platform: &Platform, name: &str, response_timeout: Duration) -> Self {
        let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
        let counters = Counters::new();
        let client = PlatformClient::new(platform.address(), response_timeout);
        let tracker =
            ClaimTracker::start(client, name.to_owned(), counters.clone(), &tasks, stop.clone());
        Self { tracker, counters, tasks, stop }
    }

    /// Claims `key` for `attempt` and waits up to [`WAIT_MAX`].
    pub async fn claim(&self, key: &str, attempt: AttemptId) -> ClaimVerdict {
        self.tracker.claim(request(key, attempt)).await
    }

    /// Claims `key`, which must be free.
    pub async fn claim_granted(&self, key: &str, attempt: AttemptId) -> Claim {
        match self.claim(key, attempt).await {
            ClaimVerdict::Granted(claim) => claim,
            other => panic!("{key} should be free, but its verdict is {other:?}"),
        }
    }

    /// Claims `key` repeatedly until it is granted.
    pub async fn claim_until_granted(&self, key: &str, attempt: AttemptId) -> Claim {
        let trying = async {
            loop {
                if let ClaimVerdict::Granted(claim) = self.claim(key, attempt).await {
                    return claim;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_MAX, trying).await.expect("the key becomes free")
    }

    /// Returns the value of the counter `name`.
    pub fn count(&self, name: &str) -> u64 {
        self.counters.snapshot().get(name).copied().unwrap_or(0)
    }

    /// Stops the tracker and joins the tasks it spawned.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        timeout(WAIT_MAX, self.tasks.wait()).await.expect("the writer ends");
    }
}

/// Starts a platform on a port that the kernel chooses.
pub async fn platform() -> Platform {
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port is free")
}

/// Returns a claim request for `key` with a dispatch deadline in [`WAIT_MAX`].
pub fn request(key: &str, attempt: AttemptId) -> ClaimRequest {
    ClaimRequest {
        service: SERVICE.to_owned(),
        key: key.to_owned(),
        // Attempt ids use all 128 bits, more than a JSON number can represent.
        attempt: AttemptId::MAX - attempt,
        fingerprint: FINGERPRINT,
        dispatch_deadline: Instant::now() + WAIT_MAX,
    }
}

/// Returns an outcome with a small body.
pub fn outcome() -> RecordedOutcome {
    RecordedOutcome {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: Some(b"2 drums".to_vec()),
    }
}

/// Returns the claim's row in the table.
pub fn row(platform: &Platform, key: &str) -> Option<ClaimRow> {
    let row = platform.with_table(|table| table.row(&claim_key(SERVICE, key)))?;
    Some(serde_json::from_value(row.value).expect("the row is a claim"))
}

/// Returns the claim's state in the table.
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
        panic!("timeout, not reached: {what}");
    }
}

/// Waits until the platform has received more than `bytes_before` bytes.
pub async fn commit_received(platform: &Platform, bytes_before: u64) {
    eventually("a commit reaches the platform", || platform.stats().received_bytes > bytes_before)
        .await;
}

/// Removes all injected faults.
pub fn heal(platform: &Platform) {
    platform.set_faults(PlatformFaults::default());
}
