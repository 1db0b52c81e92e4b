//! Stories of retries.

use std::time::{Duration, Instant};

use quickcheck::QuickCheck;
use yuccarack_config::rules::RetryRules;
use yuccarack_policy::retry::{
    AttemptFailure, FAILURE_RESERVE, GiveUpReason, REFUSAL_RESERVE, RetryCandidate, RetryDecision,
    RetryPolicy, RetryReason,
};

fn ended(now: Instant, failure: AttemptFailure) -> RetryCandidate {
    let deadline = now + Duration::from_secs(1);
    RetryCandidate { number: 1, deadline, failure, repeatable: true, depth: 1 }
}

fn is_again(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::Again { .. })
}

/// Calls the service below, with retries, down to the last, which always fails; counts its runs.
fn call(levels: &mut [RetryPolicy], now: Instant, depth: u8, runs: &mut u64) {
    let Some((level, below)) = levels.split_first_mut() else {
        *runs += 1;
        return;
    };
    level.record_first_attempt(now);
    for number in 1.. {
        call(below, now, depth + 1, runs);
        let failure = AttemptFailure::TargetError;
        let ended = RetryCandidate { number, depth, ..ended(now, failure) };
        if !is_again(level.decide(now, ended)) {
            return;
        }
    }
}

/// A call passes nine services and the ninth fails everything. With two retries at each it would
/// run 3^9 = 19,683 times for one call; a budget at each still allows 1.1^9 = 2.4 times. Only the
/// outermost repeats, so the ninth runs at most 1.1 times what was asked for, and the reserve.
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

/// An order's connection breaks after hand-over. It may have run, so it must not be sent again;
/// refused at a gate it did not run, and may go elsewhere.
#[test]
fn an_order_is_repeated_only_if_it_did_not_run() {
    let now = Instant::now();
    let mut policy = RetryPolicy::new(&RetryRules::default());
    let mut decide =
        |failure| policy.decide(now, RetryCandidate { repeatable: false, ..ended(now, failure) });
    let give_up = RetryDecision::GiveUp { reason: GiveUpReason::NotRepeatable };
    assert_eq!(decide(AttemptFailure::BrokenUnknown), give_up);
    assert_eq!(decide(AttemptFailure::TargetError), give_up);
    let again = RetryDecision::Again { reason: RetryReason::RefusedNotRun };
    assert_eq!(decide(AttemptFailure::RefusedNotRun), again);
    let again = RetryDecision::Again { reason: RetryReason::BrokenNotRun };
    assert_eq!(decide(AttemptFailure::BrokenNotRun), again);
}

/// The third try has ended, or the caller leaves in a millisecond: another try helps nobody.
#[test]
fn gives_up_when_another_try_is_of_no_use() {
    let now = Instant::now();
    let mut policy = RetryPolicy::new(&RetryRules::default());
    let third = RetryCandidate { number: 3, ..ended(now, AttemptFailure::TargetError) };
    let used_up = RetryDecision::GiveUp { reason: GiveUpReason::AttemptsUsedUp };
    assert_eq!(policy.decide(now, third), used_up);
    let deadline = now + Duration::from_millis(1);
    let late = RetryCandidate { deadline, ..ended(now, AttemptFailure::TargetError) };
    let close = RetryDecision::GiveUp { reason: GiveUpReason::DeadlineClose };
    assert_eq!(policy.decide(now, late), close);
}

/// Everything fails for an hour, in whatever order failures and refusals come: in any window the
/// retries are at most the reserve and the share of that window's first tries.
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
                    let again = policy.decide(now, ended(now, AttemptFailure::TargetError));
                    failures += u32::from(is_again(again));
                }
                _ => {
                    let again = policy.decide(now, ended(now, AttemptFailure::RefusedNotRun));
                    refusals += u32::from(is_again(again));
                }
            }
        }
        let share = |percent: u32| firsts * percent / 100 + 1;
        let percent = u32::from(percent);
        failures <= u32::from(FAILURE_RESERVE) + share(percent)
            && refusals <= u32::from(REFUSAL_RESERVE) + share(percent * 5)
    }
    QuickCheck::new().tests(1_000).quickcheck(holds as fn(Vec<u8>, usize, u8) -> bool);
}
