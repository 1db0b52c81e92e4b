//! Verdicts on claims while the store is available.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use yuccarack_platform::{
    messages::{Commit, Write},
    rows::{ClaimState, claim_key},
};
use yuccarackd::coordination::claims::ClaimVerdict;

use super::support::{
    FINGERPRINT, SERVICE, TestGate, eventually, outcome, platform, request, state,
};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a request that runs at two gates because it reaches two daemons at the same time
/// and both claim its key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_gates_that_race_for_a_key_gets_it() {
    let platform = platform().await;
    let sapporo = TestGate::start(&platform, "sapporo", RESPONSE_TIMEOUT);
    let kushiro = TestGate::start(&platform, "kushiro", RESPONSE_TIMEOUT);
    let keys: Vec<String> = (0..200).map(|number| format!("order-{number}")).collect();
    let claims = keys.iter().zip(0..).map(async |(key, number)| {
        let both = tokio::join!(sapporo.claim(key, number), kushiro.claim(key, number + 1_000));
        <[ClaimVerdict; 2]>::from(both)
    });
    for both in join_all(claims).await {
        let mine =
            both.iter().filter(|verdict| matches!(verdict, ClaimVerdict::Granted(_))).count();
        let open = both.iter().filter(|verdict| matches!(verdict, ClaimVerdict::InProgress));
        assert_eq!((mine, open.count()), (1, 1), "{both:?}");
    }
    sapporo.stop().await;
    kushiro.stop().await;
    platform.stop().await;
}

/// Guards against one transaction for each claim, which would overload the store when many requests
/// with different keys arrive at the same time.
#[tokio::test]
async fn a_burst_of_claims_shares_transactions() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let keys: Vec<String> = (0..256).map(|number| format!("refill-{number}")).collect();
    let verdicts = join_all(keys.iter().zip(0..).map(|(key, number)| gate.claim(key, number)));
    for verdict in verdicts.await {
        assert!(matches!(verdict, ClaimVerdict::Granted(_)), "{verdict:?}");
    }
    let batches = gate.count("claims.batches");
    assert!(batches <= 8, "{batches} transactions for 256 claims");
    gate.stop().await;
    platform.stop().await;
}

/// Guards against a claimed key that makes the other claims of its batch fail.
#[tokio::test]
async fn a_taken_key_does_not_affect_its_batch() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let other = TestGate::start(&platform, "turku", RESPONSE_TIMEOUT);
    let held = other.claim_granted("refill-3", 99).await.begin_dispatch().expect("there is time");
    let keys: Vec<String> = (0..10).map(|number| format!("refill-{number}")).collect();
    let verdicts = join_all(keys.iter().zip(0..).map(|(key, number)| gate.claim(key, number)));
    for (number, verdict) in verdicts.await.into_iter().enumerate() {
        match number {
            3 => assert!(matches!(verdict, ClaimVerdict::InProgress), "{verdict:?}"),
            _ => assert!(matches!(verdict, ClaimVerdict::Granted(_)), "{verdict:?}"),
        }
    }
    drop(held);
    gate.stop().await;
    other.stop().await;
    platform.stop().await;
}

/// Guards against a second run of a request that is sent again through another daemon, after its
/// caller lost the connection. The resend gets "in progress" during the run and the outcome later.
#[tokio::test]
async fn a_resend_gets_in_progress_and_then_the_outcome() {
    let platform = platform().await;
    let first = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let second = TestGate::start(&platform, "turku", RESPONSE_TIMEOUT);
    let running = first.claim_granted("refill", 1).await.begin_dispatch().expect("there is time");
    let during = second.claim("refill", 2).await;
    assert!(matches!(during, ClaimVerdict::InProgress), "{during:?}");
    running.record_outcome(outcome());
    eventually("the outcome is recorded", || state(&platform, "refill") == Some(ClaimState::Done))
        .await;
    match second.claim("refill", 3).await {
        ClaimVerdict::Recorded(recorded) => assert_eq!(recorded, outcome()),
        other => panic!("{other:?}"),
    }
    first.stop().await;
    second.stop().await;
    platform.stop().await;
}

/// Guards against a resend that isn't reported as run because the body is over 4 KiB. The status is
/// recorded without the body.
#[tokio::test]
async fn a_large_body_is_not_recorded() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let running = gate.claim_granted("invoice", 1).await.begin_dispatch().expect("there is time");
    let mut large = outcome();
    large.body = Some(vec![b'x'; 4 * 1024 + 1]);
    running.record_outcome(large);
    eventually("the outcome is recorded", || state(&platform, "invoice") == Some(ClaimState::Done))
        .await;
    match gate.claim("invoice", 2).await {
        ClaimVerdict::Recorded(recorded) => {
            assert_eq!((recorded.status, recorded.body), (201, None))
        }
        other => panic!("{other:?}"),
    }
    gate.stop().await;
    platform.stop().await;
}

/// Guards against a request that gets the outcome of another one, when a caller uses one key for
/// two different requests.
#[tokio::test]
async fn a_reused_key_is_refused_before_and_after_the_run() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let running = gate.claim_granted("refill", 1).await.begin_dispatch().expect("there is time");
    let mut other = request("refill", 2);
    other.fingerprint = FINGERPRINT + 1;
    let open = gate.tracker.claim(other.clone()).await;
    assert!(matches!(open, ClaimVerdict::KeyReused), "{open:?}");
    running.record_outcome(outcome());
    eventually("the outcome is recorded", || state(&platform, "refill") == Some(ClaimState::Done))
        .await;
    let done = gate.tracker.claim(other).await;
    assert!(matches!(done, ClaimVerdict::KeyReused), "{done:?}");
    gate.stop().await;
    platform.stop().await;
}

/// Guards against a request that is lost because its key stays claimed after the target refused the
/// connection and nothing was sent.
#[tokio::test]
async fn a_released_key_can_be_claimed_again() {
    let platform = platform().await;
    let first = TestGate::start(&platform, "sapporo", RESPONSE_TIMEOUT);
    let second = TestGate::start(&platform, "kushiro", RESPONSE_TIMEOUT);
    first.claim_granted("repair", 1).await.release();
    second.claim_until_granted("repair", 2).await.release();
    let shed =
        first.claim_until_granted("repair", 3).await.begin_dispatch().expect("there is time");
    shed.release_not_run();
    let _held = second.claim_until_granted("repair", 4).await;
    first.stop().await;
    second.stop().await;
    platform.stop().await;
}

/// Guards against a key that stays claimed for good although nothing ran: a caller disconnects
/// while its request waits for a slot, and the call's future is dropped with the claim.
#[tokio::test]
async fn a_claim_dropped_before_dispatch_is_released() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "sapporo", RESPONSE_TIMEOUT);
    drop(gate.claim_granted("repair", 1).await);
    eventually("the row is deleted", || state(&platform, "repair").is_none()).await;
    gate.stop().await;
    platform.stop().await;
}

/// Guards against a key that stays claimed for good because the caller disconnects while the claim
/// is being written.
#[tokio::test]
async fn a_claim_without_a_waiting_call_is_released() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "sapporo", RESPONSE_TIMEOUT);
    // Writes the fence row, so that the next commit is that of the claim.
    gate.claim_granted("warm", 1).await.release();
    eventually("the first claim is released", || state(&platform, "warm").is_none()).await;
    platform.set_faults(yuccarack_standins::platform::PlatformFaults {
        delay_ms: 300,
        ..Default::default()
    });
    let bytes_before = platform.stats().received_bytes;
    let tracker = gate.tracker.clone();
    let call = tokio::spawn(async move { tracker.claim(request("repair", 2)).await });
    super::support::commit_received(&platform, bytes_before).await;
    call.abort();
    super::support::heal(&platform);
    eventually("the row was written", || gate.count("claims.undelivered") == 1).await;
    eventually("the row is deleted", || state(&platform, "repair").is_none()).await;
    gate.stop().await;
    platform.stop().await;
}

/// Guards against a second run of a request whose gate stopped during the run. The outcome is
/// unknown, so no other gate may ever run it.
#[tokio::test]
async fn a_claim_dropped_after_dispatch_stays_open() {
    let platform = platform().await;
    let first = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let second = TestGate::start(&platform, "turku", RESPONSE_TIMEOUT);
    drop(first.claim_granted("invoice", 1).await.begin_dispatch().expect("there is time"));
    first.stop().await;
    for attempt in 2..20 {
        let verdict = second.claim("invoice", attempt).await;
        assert!(matches!(verdict, ClaimVerdict::InProgress), "{verdict:?}");
    }
    second.stop().await;
    platform.stop().await;
}

/// Guards against a second run by a gate that is frozen while it holds a claim: its caller gives
/// up, an operator releases the key, a resend runs elsewhere, and then the gate resumes.
#[tokio::test]
async fn a_resumed_gate_dispatches_nothing_after_its_deadline() {
    let platform = platform().await;
    let frozen = TestGate::start(&platform, "sapporo", RESPONSE_TIMEOUT);
    let other = TestGate::start(&platform, "kushiro", RESPONSE_TIMEOUT);
    let mut short = request("repair", 1);
    short.dispatch_deadline = Instant::now() + Duration::from_millis(500);
    let dispatch_deadline = short.dispatch_deadline;
    let ClaimVerdict::Granted(held) = frozen.tracker.claim(short).await else {
        panic!("the key should be free");
    };
    tokio::time::sleep_until(dispatch_deadline.into()).await;
    operator_releases(&platform, "repair");
    let resend = other.claim_granted("repair", 2).await.begin_dispatch().expect("there is time");
    assert!(held.begin_dispatch().is_none(), "the resumed gate would run it too");
    frozen.stop().await;
    assert_eq!(
        state(&platform, "repair"),
        Some(ClaimState::Open),
        "the resend's claim is unchanged"
    );
    resend.record_outcome(outcome());
    other.stop().await;
    assert_eq!(state(&platform, "repair"), Some(ClaimState::Done));
    platform.stop().await;
}

/// Guards against the outcome of one attempt that is recorded for another: an operator releases the
/// key of a gate that seems dead, a resend claims it, and then the first gate records its outcome.
#[tokio::test]
async fn a_late_outcome_does_not_overwrite_a_later_claim() {
    let platform = platform().await;
    let old = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let new = TestGate::start(&platform, "turku", RESPONSE_TIMEOUT);
    let forgotten = old.claim_granted("refill", 1).await.begin_dispatch().expect("there is time");
    operator_releases(&platform, "refill");
    let _running = new.claim_granted("refill", 2).await.begin_dispatch().expect("there is time");
    forgotten.record_outcome(outcome());
    eventually("the late outcome is dropped", || old.count("claims.upkeep_moot") == 1).await;
    assert_eq!(state(&platform, "refill"), Some(ClaimState::Open));
    old.stop().await;
    new.stop().await;
    platform.stop().await;
}

/// Guards against an outcome that stays unknown for good because the daemon stops right after the
/// run, before the outcome is written.
#[tokio::test]
async fn a_stopping_tracker_writes_pending_outcomes() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let running = gate.claim_granted("refill", 1).await.begin_dispatch().expect("there is time");
    let unused = gate.claim_granted("other", 2).await;
    running.record_outcome(outcome());
    unused.release();
    gate.stop().await;
    assert_eq!(state(&platform, "refill"), Some(ClaimState::Done));
    assert_eq!(state(&platform, "other"), None);
    platform.stop().await;
}

/// Releases a key as `yuccarackctl claim release` does.
fn operator_releases(platform: &yuccarack_standins::platform::Platform, key: &str) {
    let writes = vec![Write::delete(claim_key(SERVICE, key))];
    let commit = Commit { conditions: Vec::new(), writes };
    platform.with_table(|table| table.commit(commit)).expect("the commit has no conditions");
}
