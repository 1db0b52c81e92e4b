//! Measures what claims cost: transactions at the store, claims in each, latency added to a call.
//!
//! One keeper against the stand-in platform in this process; `scripts/measure-claims` runs it.

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

/// Length of each run.
const RUN: Duration = Duration::from_secs(4);
/// Claims a second at one gate.
const RATES: [u32; 5] = [10, 50, 200, 1_000, 4_000];
/// Delays of the store's answers, in ms.
const STORE_DELAYS_MS: [u64; 3] = [0, 2, 10];

struct Run {
    claims: u64,
    refused: u64,
    took_us: Histogram<u64>,
    commits: u64,
    rows: u64,
    sent_bytes: u64,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    println!(
        "| store's delay, ms | claims/s | granted | refused | commits/s | rows per commit | bytes to the store per claim | p50, ms | p99, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for delay_ms in STORE_DELAYS_MS {
        for rate in RATES {
            let run = measure(rate, delay_ms).await;
            let ms = |percentile| run.took_us.value_at_quantile(percentile) as f64 / 1_000.0;
            println!(
                "| {delay_ms} | {rate} | {} | {} | {:.0} | {:.1} | {} | {:.2} | {:.2} |",
                run.claims,
                run.refused,
                run.commits as f64 / RUN.as_secs_f64(),
                run.rows as f64 / run.commits.max(1) as f64,
                run.sent_bytes / run.claims.max(1),
                ms(0.5),
                ms(0.99),
            );
        }
    }
}

async fn measure(rate: u32, delay_ms: u64) -> Run {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any).await.expect("a port is free");
    platform.set_faults(PlatformFaults { delay_ms, ..Default::default() });
    let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
    let client = PlatformClient::new(platform.address(), Duration::from_millis(500));
    let tracker =
        ClaimTracker::start(client, "measured".to_owned(), Counters::new(), &tasks, stop.clone());
    // The first claim also writes the fence row.
    let _ = claim(tracker.clone(), u128::MAX).await;
    let before = platform.stats();
    let (took_us, claims, refused) = claim_at(rate, &tracker).await;
    let after = platform.stats();
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    platform.stop().await;
    Run {
        claims,
        refused,
        took_us,
        commits: after.commits - before.commits,
        rows: after.writes - before.writes,
        sent_bytes: after.received_bytes - before.received_bytes,
    }
}

/// Claims at an even rate, whether or not earlier claims have ended.
async fn claim_at(rate: u32, tracker: &ClaimTracker) -> (Histogram<u64>, u64, u64) {
    let mut took_us = Histogram::new(3).expect("three digits are possible");
    let (mut granted, mut refused) = (0, 0);
    let mut running = JoinSet::new();
    let start = Instant::now();
    for number in 0..rate * u32::try_from(RUN.as_secs()).unwrap_or(1) {
        sleep_until((start + number * Duration::from_secs(1) / rate).into()).await;
        running.spawn(claim(tracker.clone(), u128::from(number)));
    }
    while let Some(took) = running.join_next().await {
        match took.expect("no claim panics") {
            Some(took) => {
                granted += 1;
                let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                took_us.record(us).expect("the range grows");
            }
            None => refused += 1,
        }
    }
    (took_us, granted, refused)
}

/// Claims a key, ends its request at once, and says how long the claim took.
async fn claim(tracker: ClaimTracker, attempt: u128) -> Option<Duration> {
    let asked_at = Instant::now();
    let request = ClaimRequest {
        service: "refills".to_owned(),
        key: format!("0b7f5c1e-{attempt:024x}"),
        attempt,
        fingerprint: 7,
        dispatch_deadline: asked_at + Duration::from_secs(2),
    };
    let ClaimVerdict::Granted(claim) = tracker.claim(request).await else { return None };
    let took = asked_at.elapsed();
    let outcome = RecordedOutcome {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body: Some(vec![b'x'; 200]),
    };
    claim.begin_dispatch()?.record_outcome(outcome);
    Some(took)
}
