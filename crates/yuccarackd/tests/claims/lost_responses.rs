//! Writes whose responses are lost, and writes that take effect late.

use std::time::{Duration, Instant};

use yuccarack_platform::rows::ClaimState;
use yuccarack_standins::platform::{Platform, PlatformFaults};
use yuccarackd::coordination::claims::ClaimVerdict;

use super::support::{
    TestGate, commit_received, eventually, heal, outcome, platform, request, state,
};

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay of a write that takes effect long after its sender has abandoned it.
const LATE_MS: u64 = 700;

/// Guards against a request that isn't run because the response to its claim is lost. The row shows
/// whose claim it is.
#[tokio::test]
async fn a_claim_with_a_lost_response_is_recognised_by_its_attempt() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let other = warm_gate(&platform, "turku").await;
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let _mine = gate.claim_granted("refill", 1).await;
    assert_eq!(gate.count("claims.readback"), 1);
    let second = other.claim("refill", 2).await;
    assert!(matches!(second, ClaimVerdict::InProgress), "{second:?}");
    gate.stop().await;
    other.stop().await;
    platform.stop().await;
}

/// Guards against a key that stays open for good although no gate runs its request: the sender of a
/// claim gives up, reads that there is no row and responds with "not run", and then the write takes
/// effect.
#[tokio::test]
async fn an_abandoned_claim_cannot_take_effect_late() {
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
    eventually("the late write is rejected", || platform.stats().conflicts > before.conflicts)
        .await;
    assert_eq!(state(&platform, "refill"), None);
    let _mine = other.claim_granted("refill", 2).await;
    gate.stop().await;
    other.stop().await;
    platform.stop().await;
}

/// Guards against a lost write that is taken for a second claim. The caller still waits, so its
/// claim is written again for the same attempt while the first write may still take effect.
#[tokio::test]
async fn a_claim_is_written_again_after_its_lost_write_is_fenced() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let before = platform.stats();
    platform.set_faults(late());
    let (mine, ()) = tokio::join!(gate.claim_granted("refill", 1), async {
        commit_received(&platform, before.received_bytes).await;
        heal(&platform);
    });
    assert_eq!(gate.count("claims.fence_raised"), 2, "at the start and after the loss");
    let running = mine.begin_dispatch().expect("there is time");
    eventually("the late write is rejected", || platform.stats().conflicts > before.conflicts)
        .await;
    running.record_outcome(outcome());
    eventually("the outcome is recorded", || state(&platform, "refill") == Some(ClaimState::Done))
        .await;
    gate.stop().await;
    platform.stop().await;
}

/// Guards against later claims that fail because the write of the fence row takes effect late.
#[tokio::test]
async fn a_late_fence_write_does_not_block_later_claims() {
    let platform = platform().await;
    let gate = TestGate::start(&platform, "tampere", RESPONSE_TIMEOUT);
    let before = platform.stats();
    platform.set_faults(late());
    let first = gate.tracker.claim(request("refill-0", 100));
    let (_, ()) = tokio::join!(first, async {
        commit_received(&platform, before.received_bytes).await;
        heal(&platform);
    });
    for number in 1..200 {
        gate.claim_until_granted(&format!("refill-{number}"), number).await.release();
        if gate.count("claims.fence_raised") > 0 && platform.stats().conflicts > before.conflicts {
            break;
        }
    }
    let _mine = gate.claim_until_granted("refill-last", 300).await;
    gate.stop().await;
    platform.stop().await;
}

/// Guards against an outcome that is lost, or that blocks later claims, after the response to its
/// write is lost.
#[tokio::test]
async fn a_recorded_outcome_with_a_lost_response_is_written_again() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let running = gate.claim_granted("refill", 1).await.begin_dispatch().expect("there is time");
    platform.set_faults(PlatformFaults { lose_answers: 2, ..Default::default() });
    running.record_outcome(outcome());
    eventually("the outcome is recorded", || state(&platform, "refill") == Some(ClaimState::Done))
        .await;
    let _next = gate.claim_until_granted("next", 2).await;
    gate.stop().await;
    platform.stop().await;
}

/// Guards against a release that takes effect late and deletes the claim of a resend, so that a
/// third gate runs the request. The key was released by a repeated write and claimed again.
#[tokio::test]
async fn a_late_release_does_not_delete_a_later_claim() {
    let platform = platform().await;
    let gate = warm_gate(&platform, "tampere").await;
    let other = warm_gate(&platform, "turku").await;
    let mine = gate.claim_granted("refill", 1).await;
    let before = platform.stats();
    platform.set_faults(late());
    mine.release();
    commit_received(&platform, before.received_bytes).await;
    heal(&platform);
    let _running =
        other.claim_until_granted("refill", 2).await.begin_dispatch().expect("there is time");
    eventually("the late write is rejected", || {
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

/// Starts a gate and waits until its fence row is written.
async fn warm_gate(platform: &Platform, name: &str) -> TestGate {
    let gate = TestGate::start(platform, name, RESPONSE_TIMEOUT);
    gate.claim_until_granted(&format!("warm-{name}"), 9).await.release();
    eventually("the warm claim is released", || gate.count("claims.released") >= 1).await;
    gate
}
