//! Claims while the store is down, hangs or is slow.

use std::time::Duration;

use futures_util::future::{FutureExt, join_all};
use tokio::{task::yield_now, time::sleep};
use yuccarack_standins::platform::{PlatformFaults, PlatformMode};
use yuccarackd::coordination::claims::ClaimVerdict;

use super::support::{TestGate, eventually, heal, outcome, platform, state};

const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The store is down for long and refills keep coming. Each must be refused at once with a time
/// to come back, without asking the store for each; once it is back all is well again.
#[tokio::test]
async fn claims_are_refused_without_asking_a_store_that_is_down() {
    refused_while(PlatformMode::Down).await;
}

/// The store takes questions and answers none. Only the first refill waits for a timeout.
#[tokio::test]
async fn claims_are_refused_without_asking_a_store_that_hangs() {
    refused_while(PlatformMode::BlackHole).await;
}

async fn refused_while(mode: PlatformMode) {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    gate.mine("warm", 1).await.release();
    platform.set_faults(PlatformFaults { mode, ..Default::default() });
    let first = gate.claim("refill", 0).await;
    assert!(matches!(first, ClaimVerdict::StoreUnavailable { .. }), "{first:?}");
    for attempt in 1..2_000 {
        // Refused without a wait for anything, a look at the store that is under way included.
        match gate.claim("refill", attempt).now_or_never() {
            Some(ClaimVerdict::StoreUnavailable { retry_after }) => assert!(!retry_after.is_zero()),
            other => panic!("{other:?}"),
        }
        yield_now().await;
    }
    let failed = platform.stats().failed;
    assert!(failed <= 10, "the store was asked {failed} times for 2,000 refused claims");
    heal(&platform);
    let _mine = gate.mine_at_last("refill", 5_000).await;
    eventually("what was left over is done", || state(&platform, "warm").is_none()).await;
    gate.stop().await;
    platform.stop().await;
}

/// The store goes away while a refill runs. Its outcome is recorded once the store is back, so
/// that a resend hears of it.
#[tokio::test]
async fn an_outcome_waits_for_the_store() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let running = gate.mine("refill", 1).await.begin_dispatch().expect("there is time");
    let unused = gate.mine("unused", 2).await;
    platform.set_faults(PlatformFaults { mode: PlatformMode::Down, ..Default::default() });
    running.record_outcome(outcome());
    unused.release();
    eventually("the loss is seen", || gate.count("claims.store_lost") == 1).await;
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

/// The store is slow, not away. Claims go on, a group in each transaction.
#[tokio::test]
async fn a_slow_store_slows_claims_and_refuses_none() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
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

/// An order has run, and the store hangs before its outcome is written. Orders that come after
/// must be refused at once, but each waited for a timeout, and the store was asked anew all the
/// while: a transaction without claims was taken for settled, and so the store for well, though
/// nothing had been heard of it.
#[tokio::test]
async fn an_outcome_that_gets_no_answer_shows_that_the_store_is_away() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let running = gate.mine("refill", 1).await.begin_dispatch().expect("there is time");
    platform.set_faults(PlatformFaults { mode: PlatformMode::BlackHole, ..Default::default() });
    let batches_before = gate.count("claims.batches");
    running.record_outcome(outcome());
    eventually("the loss is seen", || gate.count("claims.store_lost") == 1).await;
    sleep(ANSWER_TIMEOUT * 4).await;
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
