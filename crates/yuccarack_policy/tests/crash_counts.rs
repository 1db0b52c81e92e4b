//! A request that crashes targets is held back after its third.

use std::time::{Duration, Instant};

use yuccarack_policy::crash_counts::{CrashCounts, RETENTION};

/// Story: one request crashes target after target, and its caller sends it on and on.
#[test]
fn the_third_death_is_the_last() {
    let now = Instant::now();
    let mut counts = CrashCounts::new();
    for deaths in 0..3 {
        assert!(!counts.is_blocked(now, 7), "barred after {deaths} deaths");
        counts.record_crash(now, 7);
    }
    assert!(counts.is_blocked(now, 7));
    assert!(!counts.is_blocked(now, 8));
    assert!(!counts.is_blocked(now + RETENTION, 7));
    counts.record_crash(now + RETENTION, 7);
    assert!(!counts.is_blocked(now + RETENTION, 7), "older deaths still count");
}

/// Story: a page that everybody reads is running at each death by chance. Its next good answer says
/// that it isn't the cause.
#[test]
fn a_bystander_is_cleared_by_its_next_answer() {
    let now = Instant::now();
    let mut counts = CrashCounts::new();
    for _ in 0..5 {
        counts.record_crash(now, 7);
        counts.record_crash(now, 7);
        counts.clear(7);
    }
    assert!(!counts.is_blocked(now, 7));
}

#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut counts = CrashCounts::new();
    for request in 0..100_000 {
        counts.record_crash(now, request);
    }
    for _ in 0..3 {
        counts.record_crash(now, 5);
        counts.record_crash(now, 99_999);
    }
    assert!(counts.is_blocked(now, 5));
    assert!(!counts.is_blocked(now, 99_999), "remembered beyond the bound");
    let later = now + RETENTION + Duration::from_secs(1);
    for _ in 0..3 {
        counts.record_crash(later, 99_999);
    }
    assert!(counts.is_blocked(later, 99_999));
}
