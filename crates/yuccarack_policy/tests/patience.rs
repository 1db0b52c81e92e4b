//! Tests that callers who retry after a rejection are told apart from first-time callers.

use std::time::{Duration, Instant};

use yuccarack_policy::prior_wait::PriorWaitEstimator;

/// Time for which callers wait in total.
const TIMEOUT: Duration = Duration::from_millis(1_200);

fn send_first_attempts(estimator: &mut PriorWaitEstimator, now: Instant, callers: usize) {
    for _ in 0..callers {
        assert_eq!(estimator.estimate(now, TIMEOUT), Duration::ZERO);
    }
}

/// Many callers are rejected and retry. Each of them has waited for 400 ms, as its remaining time
/// shows, however many they are and however long the overload lasts.
#[test]
fn a_retrying_caller_has_waited() {
    let (mut estimator, mut now) = (PriorWaitEstimator::new(), Instant::now());
    send_first_attempts(&mut estimator, now, 50);
    for _ in 0..2_000 {
        now += Duration::from_millis(5);
        estimator.record_refusal(now);
        let prior_wait = estimator.estimate(now, TIMEOUT - Duration::from_millis(400));
        assert_eq!(prior_wait, Duration::from_millis(400));
        assert_eq!(estimator.estimate(now, TIMEOUT), Duration::ZERO);
    }
}

/// Some callers retry after a target's failure while nobody is rejected. They are too few to change
/// what counts as the usual time.
#[test]
fn a_few_retries_without_rejections_change_little() {
    let (mut estimator, now) = (PriorWaitEstimator::new(), Instant::now());
    for number in 0..1_000 {
        let is_retry = number % 50 == 49;
        let time_left = if is_retry { TIMEOUT / 2 } else { TIMEOUT };
        let prior_wait = estimator.estimate(now, time_left);
        assert_eq!(prior_wait > Duration::ZERO, is_retry, "after {number}");
    }
}

/// Operators or callers shorten the time they wait. These callers must not be taken for retries
/// forever.
#[test]
fn callers_with_shorter_timeouts_are_soon_usual() {
    let (mut estimator, now) = (PriorWaitEstimator::new(), Instant::now());
    send_first_attempts(&mut estimator, now, 50);
    let prior_waits: Vec<Duration> =
        (0..60).map(|_| estimator.estimate(now, TIMEOUT / 2)).collect();
    assert!(prior_waits[0] > Duration::ZERO);
    assert_eq!(prior_waits[59], Duration::ZERO);
}

#[test]
fn without_a_quiet_period_nobody_has_waited() {
    let (mut estimator, now) = (PriorWaitEstimator::new(), Instant::now());
    estimator.record_refusal(now);
    assert_eq!(estimator.estimate(now, TIMEOUT / 3), Duration::ZERO);
    assert_eq!(estimator.estimate(now, TIMEOUT), Duration::ZERO);
}
