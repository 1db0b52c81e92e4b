//! When a gate asks for its target's pace.

use std::time::{Duration, Instant};

use yuccarack_policy::{
    health_checks::{HealthCheckResult, HealthCheckSchedule, REPORT_AGE_MIN},
    slowdown::SlowdownEstimate,
};

/// Mean work of a target with short work.
const WORK: Duration = Duration::from_millis(60);

/// How long a pace lasts, and how often it changes to a slow one.
const SPELL_MS: u64 = 300;

/// Time by which a gate knows the slow pace of a target that answers each `answer_ms`, in a spell that
/// starts at `from`.
fn known_after(answer_ms: u64, with_looks: bool) -> Duration {
    let start = Instant::now();
    let (mut pace, mut looks) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    pace.record(start, 1.0);
    let slow_from = start + Duration::from_millis(SPELL_MS);
    let mut now = start;
    loop {
        now += Duration::from_millis(1);
        let is_slow = now >= slow_from;
        let slowness = if is_slow { 4.0 } else { 1.0 };
        let since_start = now.duration_since(start).as_millis() as u64;
        let is_answer = since_start % answer_ms == answer_ms - 1;
        let is_look = with_looks && looks.due_at(1, WORK, &pace).is_some_and(|at| at <= now);
        if is_look {
            looks.record(now, HealthCheckResult::SlowdownReported);
        }
        if is_answer || is_look {
            pace.record(now, slowness);
            if is_slow {
                return now.duration_since(slow_from);
            }
        }
    }
}

/// Story: a target with few requests turns slow for a third of a second. Its gate hears of that with
/// the next answer, and until then lets in what another target would have answered in time.
#[test]
fn a_slow_spell_of_a_target_with_few_requests_is_known_early() {
    assert!(known_after(170, false) > Duration::from_millis(30));
    for answer_ms in [90, 130, 170, 250] {
        let known = known_after(answer_ms, true);
        assert!(known <= REPORT_AGE_MIN, "{answer_ms}: {known:?}");
    }
}

/// Measuring must not cost where it tells nothing new: a busy target's answers do, an idle one has
/// nobody to send elsewhere, and one that tells no pace never will.
#[test]
fn only_a_target_that_works_and_is_not_heard_of_is_asked() {
    let now = Instant::now();
    let (mut pace, looks) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    assert_eq!(looks.due_at(3, WORK, &pace), None);
    pace.record(now, 1.0);
    assert_eq!(looks.due_at(0, WORK, &pace), None);
    assert_eq!(looks.due_at(3, WORK, &pace), Some(now + REPORT_AGE_MIN));
    for step in 1..100 {
        pace.record(now + Duration::from_millis(20) * step, 1.0);
        let at = now + Duration::from_millis(20) * (step + 1);
        assert!(looks.due_at(3, WORK, &pace).is_some_and(|due_at| due_at > at));
    }
}

/// Long work sees several paces whatever it starts with, and a target that is asked for each of them
/// is asked more often than it gets requests.
#[test]
fn a_target_of_long_work_is_asked_less_often() {
    let now = Instant::now();
    let (mut pace, looks) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    pace.record(now, 1.0);
    let long = Duration::from_millis(240);
    assert_eq!(looks.due_at(2, long, &pace), Some(now + long / 2));
}

/// Story: a target hangs or has no such endpoint. It is asked less and less, and as before once it
/// answers.
#[test]
fn a_target_that_does_not_answer_is_asked_seldom() {
    let start = Instant::now();
    let (mut pace, mut looks) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    pace.record(start, 1.0);
    let (mut now, mut asked) = (start, 0);
    while now < start + Duration::from_secs(30) {
        match looks.due_at(1, WORK, &pace) {
            Some(at) if at <= now => {
                asked += 1;
                looks.record(now, HealthCheckResult::NoReport);
            }
            _ => now += Duration::from_millis(1),
        }
    }
    assert!(asked <= 16, "{asked} looks in half a minute");
    looks.record(now, HealthCheckResult::SlowdownReported);
    pace.record(now, 1.0);
    assert_eq!(looks.due_at(1, WORK, &pace), Some(now + REPORT_AGE_MIN));
}
