//! Tests the handling of requests that may crash targets.

use std::time::{Duration, Instant};

use yuccarack_policy::suspects::{SuspectPhase, Suspects, SuspectsConfig, Verdict};

fn suspects() -> Suspects {
    Suspects::new(SuspectsConfig::default())
}

/// A request crashes its target and its caller sends it again, so it runs isolated, on one target
/// at a time. That one crashes too, and the request must be rejected until the quarantine ends with
/// another trial.
#[test]
fn a_request_that_crashes_two_targets_is_quarantined() {
    let now = Instant::now();
    let mut suspects = suspects();
    assert_eq!(suspects.verdict(now, 1), Verdict::Clear);
    suspects.record_crash(now, &[1, 2], false);
    assert_eq!(suspects.verdict(now, 1), Verdict::Isolated);
    suspects.trial_started(now, 1);
    assert!(matches!(suspects.verdict(now, 1), Verdict::OnTrialElsewhere { .. }));
    let phases = suspects.record_crash(now, &[1], true);
    assert_eq!(phases, [(1, SuspectPhase::Quarantined)]);
    let Verdict::Quarantined { until } = suspects.verdict(now, 1) else { panic!("quarantined") };
    assert_eq!(suspects.verdict(until, 1), Verdict::Isolated);
}

/// Nine harmless requests were in flight with the one that crashed the target, some of them twice.
/// Each must be cleared by its first successful run, and none may be quarantined.
#[test]
fn requests_in_flight_by_chance_are_cleared() {
    let now = Instant::now();
    let mut suspects = suspects();
    let in_flight: Vec<u64> = (0..10).collect();
    suspects.record_crash(now, &in_flight, false);
    suspects.record_crash(now, &in_flight, false);
    for harmless in 1..10 {
        assert_eq!(suspects.verdict(now, harmless), Verdict::Isolated);
        suspects.trial_started(now, harmless);
        suspects.trial_succeeded(harmless);
        assert_eq!(suspects.verdict(now, harmless), Verdict::Clear);
    }
    assert_eq!(suspects.verdict(now, 0), Verdict::Isolated);
}

/// A peer reports that a request is only suspected while this daemon knows that it is quarantined.
/// The outdated report must not let it run again.
#[test]
fn a_report_never_lowers_a_known_phase() {
    let now = Instant::now();
    let mut suspects = suspects();
    suspects.merge(now, 1, SuspectPhase::Quarantined);
    suspects.merge(now, 1, SuspectPhase::Suspected);
    suspects.trial_started(now, 1);
    assert!(matches!(suspects.verdict(now, 1), Verdict::Quarantined { .. }));
    suspects.clear(1);
    assert_eq!(suspects.verdict(now, 1), Verdict::Clear);
}

/// The daemon that ran the trial is lost. The request must not be blocked for good: after the
/// longest trial it may be tried again, and after ten minutes without a crash it is forgotten.
#[test]
fn a_lost_trial_ends_by_itself() {
    let now = Instant::now();
    let mut suspects = suspects();
    suspects.record_crash(now, &[1], false);
    suspects.trial_started(now, 1);
    let later = now + SuspectsConfig::default().trial_max;
    assert_eq!(suspects.verdict(later, 1), Verdict::Isolated);
    assert_eq!(suspects.verdict(later + Duration::from_secs(601), 1), Verdict::Clear);
}

/// Thousands of different requests are in flight at crashes. The record must stay bounded, and
/// quarantined requests must be removed last.
#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let config = SuspectsConfig { remembered_max: 100, ..Default::default() };
    let mut suspects = Suspects::new(config);
    suspects.merge(now, u64::MAX, SuspectPhase::Quarantined);
    for fingerprint in 0..10_000 {
        suspects.record_crash(now + Duration::from_millis(fingerprint), &[fingerprint], false);
    }
    assert_eq!(suspects.len(), 100);
    assert!(matches!(suspects.verdict(now, u64::MAX), Verdict::Quarantined { .. }));
}
