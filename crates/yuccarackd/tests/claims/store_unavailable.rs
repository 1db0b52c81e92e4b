//! Claims while the store is down, hangs or is slow.

use std::time::Duration;

use futures_util::future::{FutureExt, join_all};
use tokio::{task::yield_now, time::sleep};
use yuccarack_standins::platform::{PlatformFaults, PlatformMode};
use yuccarackd::coordination::claims::ClaimVerdict;

use super::support::{TestGate, eventually, heal, outcome, platform, state};

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Guards against claims that wait for a store that is down, and against one request to the store
/// for each of them. Each is rejected at once with a retry delay; after the outage claims succeed.
#[tokio::test]
async fn claims_are_rejected_without_requests_to_a_store_that_is_down() {
    claims_are_rejected_while(PlatformMode::Down).await;
}

/// Guards against claims that each wait for a timeout while the store accepts requests and doesn't
/// respond. Only the first one waits.
#[tokio::test]
async fn claims_are_rejected_without_requests_to_a_store_that_hangs() {
    claims_are_rejected_while(PlatformMode::BlackHole).await;
}

async fn claims_are_rejected_while(mode: PlatformMode) {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    gate.claim_granted("warm", 1).await.release();
    platform.set_faults(PlatformFaults { mode, ..Default::default() });
    let first = gate.claim("refill", 0).await;
    assert!(matches!(first, ClaimVerdict::StoreUnavailable { .. }), "{first:?}");
    for attempt in 1..2_000 {
        // Rejected without any wait, even while a probe of the store is in progress.
        match gate.claim("refill", attempt).now_or_never() {
            Some(ClaimVerdict::StoreUnavailable { retry_after }) => assert!(!retry_after.is_zero()),
            other => panic!("{other:?}"),
        }
        yield_now().await;
    }
    let failed = platform.stats().failed;
    assert!(failed <= 10, "{failed} requests to the store for 2,000 rejected claims");
    heal(&platform);
    let _mine = gate.claim_until_granted("refill", 5_000).await;
    eventually("the pending release is written", || state(&platform, "warm").is_none()).await;
    gate.stop().await;
    platform.stop().await;
}

/// Guards against an outcome that is lost when the store becomes unavailable during the run. It is
/// recorded after the outage, so that a resend gets it.
#[tokio::test]
async fn an_outcome_is_recorded_after_an_outage() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let running = gate.claim_granted("refill", 1).await.begin_dispatch().expect("there is time");
    let unused = gate.claim_granted("unused", 2).await;
    platform.set_faults(PlatformFaults { mode: PlatformMode::Down, ..Default::default() });
    running.record_outcome(outcome());
    unused.release();
    eventually("the outage is noticed", || gate.count("claims.store_lost") == 1).await;
    heal(&platform);
    eventually("the outcome is recorded", || {
        gate.count("claims.done") == 1 && state(&platform, "unused").is_none()
    })
    .await;
    let resend = gate.claim("refill", 3).await;
    assert!(matches!(resend, ClaimVerdict::Recorded(_)), "{resend:?}");
    gate.stop().await;
    platform.stop().await;
}

/// Guards against a slow store that is taken for unavailable. Claims succeed in batches.
#[tokio::test]
async fn a_slow_store_delays_claims_and_rejects_none() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    platform.set_faults(PlatformFaults { delay_ms: 60, ..Default::default() });
    let keys: Vec<String> = (0..150).map(|number| format!("refill-{number}")).collect();
    let verdicts = join_all(keys.iter().zip(0..).map(|(key, number)| gate.claim(key, number)));
    for verdict in verdicts.await {
        assert!(matches!(verdict, ClaimVerdict::Granted(_)), "{verdict:?}");
    }
    assert_eq!(gate.count("claims.store_away"), 0);
    gate.stop().await;
    platform.stop().await;
}

/// Guards against claims that each wait for a timeout when the store hangs before an outcome is
/// written. A transaction without claims was taken for resolved, which closed the breaker although
/// the store hadn't responded.
#[tokio::test]
async fn an_outcome_without_a_response_opens_the_breaker() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let running = gate.claim_granted("refill", 1).await.begin_dispatch().expect("there is time");
    platform.set_faults(PlatformFaults { mode: PlatformMode::BlackHole, ..Default::default() });
    let batches_before = gate.count("claims.batches");
    running.record_outcome(outcome());
    eventually("the outage is noticed", || gate.count("claims.store_lost") == 1).await;
    sleep(RESPONSE_TIMEOUT * 4).await;
    assert_eq!(gate.count("claims.store_back"), 0);
    assert_eq!(gate.count("claims.batches"), batches_before + 1);
    match gate.claim("other", 2).now_or_never() {
        Some(ClaimVerdict::StoreUnavailable { .. }) => {}
        other => panic!("{other:?}"),
    }
    heal(&platform);
    eventually("the outcome is recorded", || gate.count("claims.done") == 1).await;
    gate.stop().await;
    platform.stop().await;
}
