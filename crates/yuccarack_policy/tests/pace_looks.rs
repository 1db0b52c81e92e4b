//! Tests when a gate asks its target for its slowdown.

use std::time::{Duration, Instant};

use yuccarack_policy::{
    health_checks::{HealthCheckResult, HealthCheckSchedule, REPORT_AGE_MIN},
    slowdown::SlowdownEstimate,
};

/// Mean service time of a target with short requests.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Duration of a slow phase and interval between them, in ms.
const SLOW_PHASE_MS: u64 = 300;

/// Returns the time until a gate knows that a target with a response each `response_ms` has become
/// slow.
fn known_after(response_ms: u64, with_checks: bool) -> Duration {
    let start = Instant::now();
    let (mut slowdown, mut schedule) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    slowdown.record(start, 1.0);
    let slow_from = start + Duration::from_millis(SLOW_PHASE_MS);
    let mut now = start;
    loop {
        now += Duration::from_millis(1);
        let is_slow = now >= slow_from;
        let reported = if is_slow { 4.0 } else { 1.0 };
        let since_start = now.duration_since(start).as_millis() as u64;
        let is_response = since_start % response_ms == response_ms - 1;
        let is_check =
            with_checks && schedule.due_at(1, SERVICE_TIME, &slowdown).is_some_and(|at| at <= now);
        if is_check {
            schedule.record(now, HealthCheckResult::SlowdownReported);
        }
        if is_response || is_check {
            slowdown.record(now, reported);
            if is_slow {
                return now.duration_since(slow_from);
            }
        }
    }
}

/// A target with few requests becomes slow for a third of a second. Its gate would learn of it with
/// the next response, and until then admit requests that another target would have answered in
/// time.
#[test]
fn a_slowdown_of_a_target_with_few_requests_is_known_early() {
    assert!(known_after(170, false) > Duration::from_millis(30));
    for response_ms in [90, 130, 170, 250] {
        let known = known_after(response_ms, true);
        assert!(known <= REPORT_AGE_MIN, "{response_ms}: {known:?}");
    }
}

/// Health checks must not be sent where they report nothing new: responses of a busy target do, an
/// idle target has no requests to send elsewhere, and one without slowdown reports never has any.
#[test]
fn only_a_working_target_without_recent_reports_is_asked() {
    let now = Instant::now();
    let (mut slowdown, schedule) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    assert_eq!(schedule.due_at(3, SERVICE_TIME, &slowdown), None);
    slowdown.record(now, 1.0);
    assert_eq!(schedule.due_at(0, SERVICE_TIME, &slowdown), None);
    assert_eq!(schedule.due_at(3, SERVICE_TIME, &slowdown), Some(now + REPORT_AGE_MIN));
    for step in 1..100 {
        slowdown.record(now + Duration::from_millis(20) * step, 1.0);
        let at = now + Duration::from_millis(20) * (step + 1);
        assert!(schedule.due_at(3, SERVICE_TIME, &slowdown).is_some_and(|due_at| due_at > at));
    }
}

/// Long requests see several slowdowns whatever the one at their start, and a target that is asked
/// for each of them would be asked more often than it gets requests.
#[test]
fn a_target_with_long_requests_is_asked_less_often() {
    let now = Instant::now();
    let (mut slowdown, schedule) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    slowdown.record(now, 1.0);
    let long = Duration::from_millis(240);
    assert_eq!(schedule.due_at(2, long, &slowdown), Some(now + long / 2));
}

/// A target hangs or has no such endpoint. It is asked less and less often, and as before once it
/// responds.
#[test]
fn a_target_that_does_not_respond_is_asked_rarely() {
    let start = Instant::now();
    let (mut slowdown, mut schedule) = (SlowdownEstimate::new(), HealthCheckSchedule::new());
    slowdown.record(start, 1.0);
    let (mut now, mut asked) = (start, 0);
    while now < start + Duration::from_secs(30) {
        match schedule.due_at(1, SERVICE_TIME, &slowdown) {
            Some(at) if at <= now => {
                asked += 1;
                schedule.record(now, HealthCheckResult::Unreported);
            }
            _ => now += Duration::from_millis(1),
        }
    }
    assert!(asked <= 16, "{asked} checks in half a minute");
    schedule.record(now, HealthCheckResult::SlowdownReported);
    slowdown.record(now, 1.0);
    assert_eq!(schedule.due_at(1, SERVICE_TIME, &slowdown), Some(now + REPORT_AGE_MIN));
}
