//! Stories of requests that crash targets.

use std::time::{Duration, Instant};

use yuccarack_policy::suspects::{SuspectPhase, Suspects, SuspectsConfig, Verdict};

fn suspects() -> Suspects {
    Suspects::new(SuspectsConfig::default())
}

/// A request crashes its target and its caller sends it again: it runs alone, on one target at a
/// time. That one dies too, and from then on it is refused, until the quarantine ends with
/// another trial.
#[test]
fn a_request_that_crashes_two_targets_is_quarantined() {
    let now = Instant::now();
    let mut suspects = suspects();
    assert_eq!(suspects.verdict(now, 1), Verdict::Clear);
    suspects.record_crash(now, &[1, 2], false);
    assert_eq!(suspects.verdict(now, 1), Verdict::Alone);
    suspects.trial_started(now, 1);
    assert!(matches!(suspects.verdict(now, 1), Verdict::OnTrialElsewhere { .. }));
    let phases = suspects.record_crash(now, &[1], true);
    assert_eq!(phases, [(1, SuspectPhase::Quarantined)]);
    let Verdict::Quarantined { until } = suspects.verdict(now, 1) else { panic!("quarantined") };
    assert_eq!(suspects.verdict(until, 1), Verdict::Alone);
}

/// Nine harmless requests were in flight with the one that crashed the target, some of them
/// twice. Each is cleared by its first run that ends well; none is ever quarantined.
#[test]
fn bystanders_are_cleared() {
    let now = Instant::now();
    let mut suspects = suspects();
    let in_flight: Vec<u64> = (0..10).collect();
    suspects.record_crash(now, &in_flight, false);
    suspects.record_crash(now, &in_flight, false);
    for bystander in 1..10 {
        assert_eq!(suspects.verdict(now, bystander), Verdict::Alone);
        suspects.trial_started(now, bystander);
        suspects.trial_succeeded(bystander);
        assert_eq!(suspects.verdict(now, bystander), Verdict::Clear);
    }
    assert_eq!(suspects.verdict(now, 0), Verdict::Alone);
}

/// A peer says that a request is only suspected while this daemon knows that it is quarantined:
/// old news must not let it run again.
#[test]
fn news_never_lowers_what_is_known() {
    let now = Instant::now();
    let mut suspects = suspects();
    suspects.merge(now, 1, SuspectPhase::Quarantined);
    suspects.merge(now, 1, SuspectPhase::Suspected);
    suspects.trial_started(now, 1);
    assert!(matches!(suspects.verdict(now, 1), Verdict::Quarantined { .. }));
    suspects.clear(1);
    assert_eq!(suspects.verdict(now, 1), Verdict::Clear);
}

/// The daemon that ran the trial vanishes. The request must not be locked out for good: after the
/// longest trial it may be tried again, and after ten quiet minutes it is forgotten.
#[test]
fn a_lost_trial_ends_by_itself() {
    let now = Instant::now();
    let mut suspects = suspects();
    suspects.record_crash(now, &[1], false);
    suspects.trial_started(now, 1);
    let later = now + SuspectsConfig::default().trial_max;
    assert_eq!(suspects.verdict(later, 1), Verdict::Alone);
    assert_eq!(suspects.verdict(later + Duration::from_secs(601), 1), Verdict::Clear);
}

/// A million different requests are in flight at crashes. The memory stays bounded, and what is
/// quarantined goes last.
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
