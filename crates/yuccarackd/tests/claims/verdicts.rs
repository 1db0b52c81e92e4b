//! Who may run a request, with a store that is well.

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

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A caretaker's page sends the same repair order to two daemons at once; two crews set out if
/// both gates run it. Cause: two claims of one key meet at the table.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_gates_that_race_on_a_key_one_gets_it() {
    let platform = platform().await;
    let sapporo = TestGate::start(&platform, "sapporo", ANSWER_TIMEOUT);
    let kushiro = TestGate::start(&platform, "kushiro", ANSWER_TIMEOUT);
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

/// Refills come in a rush and each has its own key. With a transaction for each the store would
/// be at its limit; the writer groups them.
#[tokio::test]
async fn a_rush_of_claims_shares_transactions() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
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

/// One key of a group is taken already. Its caller must hear that, and the others must not suffer.
#[tokio::test]
async fn a_taken_key_drops_out_of_its_group_alone() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let other = TestGate::start(&platform, "turku", ANSWER_TIMEOUT);
    let held = other.mine("refill-3", 99).await.begin_dispatch().expect("there is time");
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

/// A technician's van loses the network after sending a refill and the app sends it again, through
/// another daemon: while it runs it isn't run again, afterwards its outcome is told.
#[tokio::test]
async fn a_resend_hears_of_the_run_and_then_of_its_outcome() {
    let platform = platform().await;
    let first = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let second = TestGate::start(&platform, "turku", ANSWER_TIMEOUT);
    let running = first.mine("refill", 1).await.begin_dispatch().expect("there is time");
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

/// A body over 4 KiB isn't kept, the status is: the resend must still hear that it has run.
#[tokio::test]
async fn a_large_body_is_left_out_of_the_record() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let running = gate.mine("invoice", 1).await.begin_dispatch().expect("there is time");
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

/// An app uses one key for two different refills. The second must neither run nor get the first
/// one's outcome, as that would tell a kitchen of drums that nobody ordered.
#[tokio::test]
async fn a_key_of_another_request_is_refused_open_and_done() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let running = gate.mine("refill", 1).await.begin_dispatch().expect("there is time");
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

/// The target refuses the connection, nothing of the repair order was handed over, and the
/// caller sends it again: it must run now, as otherwise it is lost in silence.
#[tokio::test]
async fn a_released_key_can_be_claimed_again() {
    let platform = platform().await;
    let first = TestGate::start(&platform, "sapporo", ANSWER_TIMEOUT);
    let second = TestGate::start(&platform, "kushiro", ANSWER_TIMEOUT);
    first.mine("repair", 1).await.release();
    second.mine_at_last("repair", 2).await.release();
    let shed = first.mine_at_last("repair", 3).await.begin_dispatch().expect("there is time");
    shed.release_not_run();
    let _held = second.mine_at_last("repair", 4).await;
    first.stop().await;
    second.stop().await;
    platform.stop().await;
}

/// A caller hangs up while its order waits for a slot. The call's future is dropped with the
/// claim in it, and the order must not stay claimed for good although it never ran.
#[tokio::test]
async fn a_claim_dropped_before_the_hand_over_is_released() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "sapporo", ANSWER_TIMEOUT);
    drop(gate.mine("repair", 1).await);
    eventually("the row is gone", || state(&platform, "repair").is_none()).await;
    gate.stop().await;
    platform.stop().await;
}

/// A caller hangs up while its claim is on the way to the table; the claim comes back to nobody.
#[tokio::test]
async fn a_claim_that_nobody_waits_for_is_released() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "sapporo", ANSWER_TIMEOUT);
    // Warms the fence row up, so that the next commit is the claim's.
    gate.mine("warm", 1).await.release();
    eventually("the fence is up", || state(&platform, "warm").is_none()).await;
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
    eventually("the row was there", || gate.count("claims.undelivered") == 1).await;
    eventually("the row is gone", || state(&platform, "repair").is_none()).await;
    gate.stop().await;
    platform.stop().await;
}

/// A gate dies in the middle of an invoice run. Nobody knows what the target did, so no other
/// gate may run it, now or later.
#[tokio::test]
async fn a_claim_dropped_after_the_hand_over_stays_open() {
    let platform = platform().await;
    let first = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let second = TestGate::start(&platform, "turku", ANSWER_TIMEOUT);
    drop(first.mine("invoice", 1).await.begin_dispatch().expect("there is time"));
    first.stop().await;
    for attempt in 2..20 {
        let verdict = second.claim("invoice", attempt).await;
        assert!(matches!(verdict, ClaimVerdict::InProgress), "{verdict:?}");
    }
    second.stop().await;
    platform.stop().await;
}

/// A gate is frozen with a claim in its hand. Its caller gives up, the operator releases the key,
/// a resend runs elsewhere, and the gate wakes up: it must not run the order a second time.
#[tokio::test]
async fn a_holder_that_wakes_up_after_its_deadline_hands_nothing_over() {
    let platform = platform().await;
    let frozen = TestGate::start(&platform, "sapporo", ANSWER_TIMEOUT);
    let other = TestGate::start(&platform, "kushiro", ANSWER_TIMEOUT);
    let mut short = request("repair", 1);
    short.dispatch_deadline = Instant::now() + Duration::from_millis(500);
    let dispatch_deadline = short.dispatch_deadline;
    let ClaimVerdict::Granted(held) = frozen.tracker.claim(short).await else {
        panic!("the key was to be free");
    };
    tokio::time::sleep_until(dispatch_deadline.into()).await;
    operator_releases(&platform, "repair");
    let resend = other.mine("repair", 2).await.begin_dispatch().expect("there is time");
    assert!(held.begin_dispatch().is_none(), "the woken gate would run it too");
    frozen.stop().await;
    assert_eq!(state(&platform, "repair"), Some(ClaimState::Open), "the resend's claim stands");
    resend.record_outcome(outcome());
    other.stop().await;
    assert_eq!(state(&platform, "repair"), Some(ClaimState::Done));
    platform.stop().await;
}

/// An operator releases a key of a gate that was thought dead; a resend claims it; the old gate
/// then records its outcome. The record of the one must not pass for the other's.
#[tokio::test]
async fn a_late_record_leaves_a_later_claim_alone() {
    let platform = platform().await;
    let old = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let new = TestGate::start(&platform, "turku", ANSWER_TIMEOUT);
    let forgotten = old.mine("refill", 1).await.begin_dispatch().expect("there is time");
    operator_releases(&platform, "refill");
    let _running = new.mine("refill", 2).await.begin_dispatch().expect("there is time");
    forgotten.record_outcome(outcome());
    eventually("the record is moot", || old.count("claims.upkeep_moot") == 1).await;
    assert_eq!(state(&platform, "refill"), Some(ClaimState::Open));
    old.stop().await;
    new.stop().await;
    platform.stop().await;
}

/// A daemon is stopped right after an order has run. Its outcome must be in the table when the
/// daemon has ended, else the order stays unknown for good.
#[tokio::test]
async fn a_stopping_keeper_writes_what_it_has() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let running = gate.mine("refill", 1).await.begin_dispatch().expect("there is time");
    let unused = gate.mine("other", 2).await;
    running.record_outcome(outcome());
    unused.release();
    gate.stop().await;
    assert_eq!(state(&platform, "refill"), Some(ClaimState::Done));
    assert_eq!(state(&platform, "other"), None);
    platform.stop().await;
}

/// As `yuccarackctl claim release` does it.
fn operator_releases(platform: &yuccarack_standins::platform::Platform, key: &str) {
    let writes = vec![Write::delete(claim_key(SERVICE, key))];
    let commit = Commit { conditions: Vec::new(), writes };
    platform.with_table(|table| table.commit(commit)).expect("it asks for nothing");
}
