//! Measures the cost of claims: commits at the store, rows per commit, latency added to a call.
//!
//! Runs one claim tracker against the stand-in platform in the same process; started by
//! `scripts/measure-claims`.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tokio::{task::JoinSet, time::sleep_until};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_platform::{PlatformClient, rows::RecordedOutcome};
use yuccarack_standins::platform::{Platform, PlatformFaults};
use yuccarackd::{
    coordination::claims::{ClaimRequest, ClaimTracker, ClaimVerdict},
    state::counters::Counters,
};

/// Duration of each run.
const RUN_DURATION: Duration = Duration::from_secs(4);
/// Claims per second at one gate.
const RATES: [u32; 5] = [10, 50, 200, 1_000, 4_000];
/// Delays of the store's responses, in ms.
const STORE_DELAYS_MS: [u64; 3] = [0, 2, 10];

/// Result of one run at one rate and store delay.
struct RunResult {
    granted: u64,
    refused: u64,
    duration_us: Histogram<u64>,
    commits: u64,
    rows: u64,
    sent_bytes: u64,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    println!(
        "| store delay, ms | claims/s | granted | refused | commits/s | rows per commit | bytes to the store per claim | p50, ms | p99, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for delay_ms in STORE_DELAYS_MS {
        for rate in RATES {
            let result = measure(rate, delay_ms).await;
            let ms = |percentile| result.duration_us.value_at_quantile(percentile) as f64 / 1_000.0;
            println!(
                "| {delay_ms} | {rate} | {} | {} | {:.0} | {:.1} | {} | {:.2} | {:.2} |",
                result.granted,
                result.refused,
                result.commits as f64 / RUN_DURATION.as_secs_f64(),
                result.rows as f64 / result.commits.max(1) as f64,
                result.sent_bytes / result.granted.max(1),
                ms(0.5),
                ms(0.99),
            );
        }
    }
}

async fn measure(rate: u32, delay_ms: u64) -> RunResult {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any).await.expect("the platform binds a free port");
    platform.set_faults(PlatformFaults { delay_ms, ..Default::default() });
    let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
    let client = PlatformClient::new(platform.address(), Duration::from_millis(500));
    let tracker =
        ClaimTracker::start(client, "measured".to_owned(), Counters::new(), &tasks, stop.clone());
    // The first claim also writes the fence row.
    let _ = claim(tracker.clone(), u128::MAX).await;
    let before = platform.stats();
    let (duration_us, granted, refused) = claim_at_rate(rate, &tracker).await;
    let after = platform.stats();
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    platform.stop().await;
    RunResult {
        granted,
        refused,
        duration_us,
        commits: after.commits - before.commits,
        rows: after.writes - before.writes,
        sent_bytes: after.received_bytes - before.received_bytes,
    }
}

/// Starts claims at a constant rate, whether or not earlier claims have ended; returns their
/// durations and the numbers of granted and refused claims.
async fn claim_at_rate(rate: u32, tracker: &ClaimTracker) -> (Histogram<u64>, u64, u64) {
    let mut duration_us = Histogram::new(3).expect("three significant digits are valid");
    let (mut granted, mut refused) = (0, 0);
    let mut running = JoinSet::new();
    let start = Instant::now();
    for number in 0..rate * u32::try_from(RUN_DURATION.as_secs()).unwrap_or(1) {
        sleep_until((start + number * Duration::from_secs(1) / rate).into()).await;
        running.spawn(claim(tracker.clone(), u128::from(number)));
    }
    while let Some(duration) = running.join_next().await {
        match duration.expect("the claim task doesn't panic") {
            Some(duration) => {
                granted += 1;
                let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
                duration_us.record(us).expect("the histogram resizes itself");
            }
            None => refused += 1,
        }
    }
    (duration_us, granted, refused)
}

/// Claims a key and records an outcome at once; returns the duration of the claim, or `None` if it
/// wasn't granted.
async fn claim(tracker: ClaimTracker, attempt: u128) -> Option<Duration> {
    let requested_at = Instant::now();
    let request = ClaimRequest {
        service: "refills".to_owned(),
        key: format!("0b7f5c1e-{attempt:024x}"),
        attempt,
        fingerprint: 7,
        dispatch_deadline: requested_at + Duration::from_secs(2),
    };
    let ClaimVerdict::Granted(claim) = tracker.claim(request).await else { return None };
    let duration = requested_at.elapsed();
    let outcome = RecordedOutcome {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body: Some(vec![b'x'; 200]),
    };
    claim.begin_dispatch()?.record_outcome(outcome);
    Some(duration)
}
