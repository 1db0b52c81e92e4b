//! Callers that come back after a refusal, told from those that come for the first time.

use std::time::{Duration, Instant};

use yuccarack_policy::prior_wait::PriorWaitEstimator;

/// Time for which callers wait in all.
const PATIENCE: Duration = Duration::from_millis(1_200);

fn calm(patience: &mut PriorWaitEstimator, now: Instant, callers: usize) {
    for _ in 0..callers {
        assert_eq!(patience.estimate(now, PATIENCE), Duration::ZERO);
    }
}

/// Story: a crowd is refused and comes back. Each returned caller has waited for 400 ms, which the
/// time that it will still wait tells, however many they are and however long the crowd lasts.
#[test]
fn who_comes_back_has_waited() {
    let (mut patience, mut now) = (PriorWaitEstimator::new(), Instant::now());
    calm(&mut patience, now, 50);
    for _ in 0..2_000 {
        now += Duration::from_millis(5);
        patience.record_refusal(now);
        let waited = patience.estimate(now, PATIENCE - Duration::from_millis(400));
        assert_eq!(waited, Duration::from_millis(400));
        assert_eq!(patience.estimate(now, PATIENCE), Duration::ZERO);
    }
}

/// Some callers come back after a target's failure while nobody is refused. They are too few to make
/// all others look patient or themselves usual.
#[test]
fn a_few_that_come_back_in_calm_times_change_little() {
    let (mut patience, now) = (PriorWaitEstimator::new(), Instant::now());
    for number in 0..1_000 {
        let is_back = number % 50 == 49;
        let left = if is_back { PATIENCE / 2 } else { PATIENCE };
        let waited = patience.estimate(now, left);
        assert_eq!(waited > Duration::ZERO, is_back, "after {number}");
    }
}

/// Operators or callers change how long they wait. Nobody must be taken for one that came back for
/// good because of that.
#[test]
fn less_patient_callers_are_soon_usual() {
    let (mut patience, now) = (PriorWaitEstimator::new(), Instant::now());
    calm(&mut patience, now, 50);
    let waited: Vec<Duration> = (0..60).map(|_| patience.estimate(now, PATIENCE / 2)).collect();
    assert!(waited[0] > Duration::ZERO);
    assert_eq!(waited[59], Duration::ZERO);
}

#[test]
fn without_a_calm_time_nobody_has_waited() {
    let (mut patience, now) = (PriorWaitEstimator::new(), Instant::now());
    patience.record_refusal(now);
    assert_eq!(patience.estimate(now, PATIENCE / 3), Duration::ZERO);
    assert_eq!(patience.estimate(now, PATIENCE), Duration::ZERO);
}
