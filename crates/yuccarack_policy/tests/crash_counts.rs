//! Tests that a request that crashes targets is quarantined after its third crash.

use std::time::{Duration, Instant};

use yuccarack_policy::crash_counts::{CrashCounts, RETENTION};

/// One request crashes target after target, and its caller keeps sending it.
#[test]
fn a_request_is_quarantined_after_the_third_crash() {
    let now = Instant::now();
    let mut counts = CrashCounts::new();
    for crashes in 0..3 {
        assert!(!counts.is_quarantined(now, 7), "quarantined after {crashes} crashes");
        counts.record_crash(now, 7);
    }
    assert!(counts.is_quarantined(now, 7));
    assert!(!counts.is_quarantined(now, 8));
    assert!(!counts.is_quarantined(now + RETENTION, 7));
    counts.record_crash(now + RETENTION, 7);
    assert!(!counts.is_quarantined(now + RETENTION, 7), "expired crashes still count");
}

/// A request that many callers send is running at each crash by chance. Its next successful
/// response shows that it isn't the cause.
#[test]
fn a_harmless_request_is_cleared_by_its_next_response() {
    let now = Instant::now();
    let mut counts = CrashCounts::new();
    for _ in 0..5 {
        counts.record_crash(now, 7);
        counts.record_crash(now, 7);
        counts.clear(7);
    }
    assert!(!counts.is_quarantined(now, 7));
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
    assert!(counts.is_quarantined(now, 5));
    assert!(!counts.is_quarantined(now, 99_999), "counted beyond the bound");
    let later = now + RETENTION + Duration::from_secs(1);
    for _ in 0..3 {
        counts.record_crash(later, 99_999);
    }
    assert!(counts.is_quarantined(later, 99_999));
}
