//! Tests when a request is retried.

use std::time::{Duration, Instant};

use quickcheck::QuickCheck;
use yuccarack_config::rules::RetryRules;
use yuccarack_policy::retry::{
    AttemptFailure, FAILURE_RESERVE, GiveUpReason, NOT_RUN_RESERVE, RetryCandidate, RetryDecision,
    RetryPolicy, RetryReason,
};

fn failed_attempt(now: Instant, failure: AttemptFailure) -> RetryCandidate {
    let deadline = now + Duration::from_secs(1);
    RetryCandidate { number: 1, deadline, failure, is_repeatable: true, depth: 1 }
}

fn is_again(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::Again { .. })
}

/// Calls the service below, with retries, down to the last one, which always fails; counts its
/// runs.
fn call(levels: &mut [RetryPolicy], now: Instant, depth: u8, runs: &mut u64) {
    let Some((level, below)) = levels.split_first_mut() else {
        *runs += 1;
        return;
    };
    level.record_first_attempt(now);
    for number in 1.. {
        call(below, now, depth + 1, runs);
        let failure = AttemptFailure::TargetError;
        let candidate = RetryCandidate { number, depth, ..failed_attempt(now, failure) };
        if !is_again(level.decide(now, candidate)) {
            return;
        }
    }
}

/// A call passes nine services and the ninth fails everything. With two retries at each it would
/// run 3^9 = 19,683 times; a budget at each would still allow 1.1^9 = 2.4 times as many runs as
/// calls. Only the outermost entry retries, so the ninth service runs at most 1.1 times the calls
/// plus the reserve.
#[test]
fn a_chain_nine_deep_does_not_multiply() {
    let now = Instant::now();
    let mut levels = vec![RetryPolicy::new(&RetryRules::default()); 9];
    let (calls, mut runs) = (10_000, 0);
    for _ in 0..calls {
        call(&mut levels, now, 1, &mut runs);
    }
    let most = calls + calls / 10 + u64::from(FAILURE_RESERVE);
    assert!(runs <= most, "{runs} runs for {calls} calls");
}

/// The connection of an order breaks after dispatch. It may have run, so it must not be sent again;
/// rejected at a gate it has not run, and may go elsewhere.
#[test]
fn an_order_is_repeated_only_if_it_did_not_run() {
    let now = Instant::now();
    let mut policy = RetryPolicy::new(&RetryRules::default());
    let mut decide = |failure| {
        policy.decide(now, RetryCandidate { is_repeatable: false, ..failed_attempt(now, failure) })
    };
    let give_up = RetryDecision::GiveUp { reason: GiveUpReason::NotRepeatable };
    assert_eq!(decide(AttemptFailure::BrokenUnknown), give_up);
    assert_eq!(decide(AttemptFailure::TargetError), give_up);
    let again = RetryDecision::Again { reason: RetryReason::RefusedNotRun };
    assert_eq!(decide(AttemptFailure::RefusedNotRun), again);
    let again = RetryDecision::Again { reason: RetryReason::BrokenNotRun };
    assert_eq!(decide(AttemptFailure::BrokenNotRun), again);
}

/// The third attempt has ended, or the caller gives up in a millisecond: another attempt is of no
/// use.
#[test]
fn gives_up_when_another_attempt_is_of_no_use() {
    let now = Instant::now();
    let mut policy = RetryPolicy::new(&RetryRules::default());
    let third = RetryCandidate { number: 3, ..failed_attempt(now, AttemptFailure::TargetError) };
    let used_up = RetryDecision::GiveUp { reason: GiveUpReason::AttemptsUsedUp };
    assert_eq!(policy.decide(now, third), used_up);
    let deadline = now + Duration::from_millis(1);
    let late = RetryCandidate { deadline, ..failed_attempt(now, AttemptFailure::TargetError) };
    let close = RetryDecision::GiveUp { reason: GiveUpReason::DeadlineClose };
    assert_eq!(policy.decide(now, late), close);
}

/// Everything fails for an hour, with failures and rejections in any order. In any window the
/// retries must be at most the reserve plus the share of that window's first attempts.
#[test]
fn budgets_hold_in_any_window() {
    fn holds(events: Vec<u8>, from: usize, percent: u8) -> bool {
        let now = Instant::now();
        let percent = percent % 20;
        let rules = RetryRules { budget_percent: percent, tries_max: 3 };
        let mut policy = RetryPolicy::new(&rules);
        let from = from % (events.len() + 1);
        let (mut firsts, mut failures, mut refusals) = (0u32, 0u32, 0u32);
        for (number, event) in events.iter().enumerate() {
            if number == from {
                (firsts, failures, refusals) = (0, 0, 0);
            }
            match event % 3 {
                0 => {
                    policy.record_first_attempt(now);
                    firsts += 1;
                }
                1 => {
                    let again =
                        policy.decide(now, failed_attempt(now, AttemptFailure::TargetError));
                    failures += u32::from(is_again(again));
                }
                _ => {
                    let again =
                        policy.decide(now, failed_attempt(now, AttemptFailure::RefusedNotRun));
                    refusals += u32::from(is_again(again));
                }
            }
        }
        let share = |percent: u32| firsts * percent / 100 + 1;
        let percent = u32::from(percent);
        failures <= u32::from(FAILURE_RESERVE) + share(percent)
            && refusals <= u32::from(NOT_RUN_RESERVE) + share(percent * 5)
    }
    QuickCheck::new().tests(1_000).quickcheck(holds as fn(Vec<u8>, usize, u8) -> bool);
}
