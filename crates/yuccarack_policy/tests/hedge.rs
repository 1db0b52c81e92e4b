//! Stories of hedges.

use std::time::{Duration, Instant};

use yuccarack_config::rules::HedgeRules;
use yuccarack_policy::hedge::{HedgePolicy, RESERVE};

fn policy(now: Instant) -> HedgePolicy {
    let mut policy = HedgePolicy::new(&HedgeRules::default());
    for number in 0..100 {
        policy.record_first_attempt(now);
        policy.record_response(now, Duration::from_millis(if number % 20 == 0 { 30 } else { 10 }));
    }
    policy
}

/// Most answers take 10 ms, one in twenty 30. A hedge goes out just after the usual time, not at
/// once (which would double the load) and not after a second (which would help nobody).
#[test]
fn the_delay_follows_the_observed_tail() {
    let now = Instant::now();
    let delay = policy(now).delay(now).unwrap();
    assert!(delay >= Duration::from_millis(10) && delay <= Duration::from_millis(13), "{delay:?}");
    assert_eq!(HedgePolicy::new(&HedgeRules::default()).delay(now), None);
}

/// Every target is slow at once, so every request would like a hedge. Only one in twenty, and
/// the reserve, may have it; the emptier the budget, the longer the rest wait.
#[test]
fn a_general_slowdown_is_not_doubled() {
    let now = Instant::now();
    let mut policy = policy(now);
    let before = policy.delay(now).unwrap();
    let mut spent = 0;
    for _ in 0..1_000 {
        policy.record_first_attempt(now);
        spent += u32::from(policy.spend(now));
    }
    assert!(spent <= 50 + u32::from(RESERVE), "{spent} hedges for 1000 requests");
    assert!(policy.delay(now).unwrap() > 3 * before);
}

/// Gates refuse: there is no room for what was asked, let alone for asking twice. Hedges stop,
/// and come back once refusals have.
#[test]
fn hedges_stop_at_saturation() {
    let now = Instant::now();
    let mut policy = policy(now);
    (0..10).for_each(|_| policy.record_refusal(now));
    assert_eq!(policy.delay(now), None);
    assert!(!policy.spend(now));
    let later = now + Duration::from_secs(10);
    (0..100).for_each(|_| policy.record_first_attempt(later));
    assert!(policy.delay(later).is_some());
    assert!(policy.spend(later));
}

/// An operator set the budget to 0.
#[test]
fn a_budget_of_none_turns_hedging_off() {
    let now = Instant::now();
    let mut policy = HedgePolicy::new(&HedgeRules { budget_percent: 0, ..Default::default() });
    (0..100).for_each(|_| policy.record_response(now, Duration::from_millis(10)));
    assert_eq!(policy.delay(now), None);
    assert!(!policy.spend(now));
}

/// The usual tail has spent the budget when a request is sent, and is earned back while it hangs.
/// The hedge was planned nevertheless, and can be paid for when it is due.
#[test]
fn an_empty_budget_delays_hedges_but_plans_them() {
    let now = Instant::now();
    let mut policy = policy(now);
    while policy.spend(now) {}
    assert!(policy.delay(now).is_some());
    (0..20).for_each(|_| policy.record_first_attempt(now));
    assert!(policy.spend(now));
}
