//! Writes whose answers are lost, and writes that take effect late.

use std::time::{Duration, Instant};

use yuccarack_platform::rows::ClaimState;
use yuccarack_standins::platform::{Platform, PlatformFaults};
use yuccarackd::coordination::claims::ClaimVerdict;

use super::support::{
    TestGate, commit_received, eventually, heal, outcome, platform, request, state,
};

const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// A write that takes effect long after its sender has given it up.
const LATE_MS: u64 = 700;

/// A refill is claimed, and the table's answer gets lost. The refill must run: the row says whose
/// claim it is.
#[tokio::test]
async fn a_claim_whose_answer_is_lost_is_found_by_its_attempt() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let other = warm_gate(&platform, "turku").await;
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let _mine = gate.mine("refill", 1).await;
    assert_eq!(gate.count("claims.readback"), 1);
    let second = other.claim("refill", 2).await;
    assert!(matches!(second, ClaimVerdict::InProgress), "{second:?}");
    gate.stop().await;
    other.stop().await;
    platform.stop().await;
}

/// The claim's write is on its way, its sender gives up and reads that there is no row, and says
/// "not run". Then the write takes effect. The caller sends the refill again, and it would be "in
/// progress" for good, although nobody runs it.
#[tokio::test]
async fn a_claim_given_up_cannot_take_effect_late() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let other = warm_gate(&platform, "turku").await;
    let before = platform.stats();
    platform.set_faults(late());
    let mut short = request("refill", 1);
    short.dispatch_deadline = Instant::now() + Duration::from_millis(100);
    let call = gate.tracker.claim(short);
    let (verdict, ()) = tokio::join!(call, async {
        commit_received(&platform, before.received_bytes).await;
        heal(&platform);
    });
    assert!(matches!(verdict, ClaimVerdict::StoreUnavailable { .. }), "{verdict:?}");
    eventually("the late write is turned away", || platform.stats().conflicts > before.conflicts)
        .await;
    assert_eq!(state(&platform, "refill"), None);
    let _mine = other.mine("refill", 2).await;
    gate.stop().await;
    other.stop().await;
    platform.stop().await;
}

/// The same, but the caller still waits: its claim goes again under the same attempt, and the
/// first write, which is still on its way, must not be taken for a second claim.
#[tokio::test]
async fn a_claim_goes_again_once_its_lost_write_is_fenced() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let before = platform.stats();
    platform.set_faults(late());
    let (mine, ()) = tokio::join!(gate.mine("refill", 1), async {
        commit_received(&platform, before.received_bytes).await;
        heal(&platform);
    });
    assert_eq!(gate.count("claims.fence_raised"), 2, "at the start and after the loss");
    let running = mine.begin_dispatch().expect("there is time");
    eventually("the late write is turned away", || platform.stats().conflicts > before.conflicts)
        .await;
    running.record_outcome(outcome());
    eventually("the outcome is recorded", || state(&platform, "refill") == Some(ClaimState::Done))
        .await;
    gate.stop().await;
    platform.stop().await;
}

/// The write that raises the fence is itself late: its effect must not stop later claims.
#[tokio::test]
async fn a_late_fence_holds_up_nothing() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", ANSWER_TIMEOUT);
    let before = platform.stats();
    platform.set_faults(late());
    let first = gate.tracker.claim(request("refill-0", 100));
    let (_, ()) = tokio::join!(first, async {
        commit_received(&platform, before.received_bytes).await;
        heal(&platform);
    });
    for number in 1..200 {
        gate.mine_at_last(&format!("refill-{number}"), number).await.release();
        if gate.count("claims.fence_raised") > 0 && platform.stats().conflicts > before.conflicts {
            break;
        }
    }
    let _mine = gate.mine_at_last("refill-last", 300).await;
    gate.stop().await;
    platform.stop().await;
}

/// The record's answer is lost. The outcome must be in the table once, and the next claims of
/// this gate must go on.
#[tokio::test]
async fn a_record_whose_answer_is_lost_is_made_again() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let running = gate.mine("refill", 1).await.begin_dispatch().expect("there is time");
    platform.set_faults(PlatformFaults { lose_answers: 2, ..Default::default() });
    running.record_outcome(outcome());
    eventually("the outcome is recorded", || state(&platform, "refill") == Some(ClaimState::Done))
        .await;
    let _next = gate.mine_at_last("next", 2).await;
    gate.stop().await;
    platform.stop().await;
}

/// A release's write takes effect late, after the key was released by the second write and
/// claimed by a resend. It must not take the resend's claim away, as a third gate would run it.
#[tokio::test]
async fn a_late_release_leaves_a_later_claim_alone() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let other = warm_gate(&platform, "turku").await;
    let mine = gate.mine("refill", 1).await;
    let before = platform.stats();
    platform.set_faults(late());
    mine.release();
    commit_received(&platform, before.received_bytes).await;
    heal(&platform);
    let _running = other.mine_at_last("refill", 2).await.begin_dispatch().expect("there is time");
    eventually("the late write is turned away", || {
        platform.stats().conflicts > before.conflicts + other.count("claims.in_progress")
    })
    .await;
    assert_eq!(state(&platform, "refill"), Some(ClaimState::Open));
    gate.stop().await;
    other.stop().await;
    platform.stop().await;
}

fn late() -> PlatformFaults {
    PlatformFaults { delay_ms: LATE_MS, late_effect: true, ..Default::default() }
}

/// A gate whose fence row is written.
async fn warm_gate(platform: &Platform, name: &str) -> TestGate {
    let gate = TestGate::start(platform, name, ANSWER_TIMEOUT);
    gate.mine_at_last(&format!("warm-{name}"), 9).await.release();
    eventually("the warm claim is released", || gate.count("claims.released") >= 1).await;
    gate
}
