//! Tests when hedges are sent.

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

/// Most responses take 10 ms, one in twenty 30. A hedge must be sent just after the usual time,
/// neither at once (which would double the load) nor after a second (which would be of no use).
#[test]
fn the_delay_follows_the_observed_tail() {
    let now = Instant::now();
    let delay = policy(now).delay(now).unwrap();
    assert!(delay >= Duration::from_millis(10) && delay <= Duration::from_millis(13), "{delay:?}");
    assert_eq!(HedgePolicy::new(&HedgeRules::default()).delay(now), None);
}

/// Every target is slow at once, so every request would send a hedge. Only one in twenty, and the
/// reserve, may do so; the emptier the budget, the longer the others wait.
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

/// Gates reject requests: there is no capacity for them, let alone for hedges. Hedges must stop,
/// and start again after the rejections have ended.
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

/// An operator has set the budget to 0.
#[test]
fn a_budget_of_zero_turns_hedging_off() {
    let now = Instant::now();
    let mut policy = HedgePolicy::new(&HedgeRules { budget_percent: 0, ..Default::default() });
    (0..100).for_each(|_| policy.record_response(now, Duration::from_millis(10)));
    assert_eq!(policy.delay(now), None);
    assert!(!policy.spend(now));
}

/// The budget is spent when a request is sent, and earned again while it hangs. The hedge must be
/// scheduled nevertheless, so that it can be sent when it is due.
#[test]
fn an_empty_budget_delays_hedges_but_schedules_them() {
    let now = Instant::now();
    let mut policy = policy(now);
    while policy.spend(now) {}
    assert!(policy.delay(now).is_some());
    (0..20).for_each(|_| policy.record_first_attempt(now));
    assert!(policy.spend(now));
}
