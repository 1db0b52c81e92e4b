//! Tests which members count as lost, in probe rounds of one minute.

use std::time::{Duration, Instant};

use yuccarack_policy::unreachable_members::UnreachableMembers;

const REMOVE_AFTER: Duration = Duration::from_secs(600);
const PROBE_INTERVAL: Duration = Duration::from_secs(60);

fn probes(reached: &[(&str, bool)]) -> Vec<(String, bool)> {
    reached.iter().map(|(member, is_reached)| ((*member).to_owned(), *is_reached)).collect()
}

/// An instance is lost for good. Its row must be removed after ten minutes and no sooner, since a
/// network partition between failure domains lasts for minutes too.
#[test]
fn a_member_unreachable_for_long_is_lost() {
    let (mut members, start) = (UnreachableMembers::new(REMOVE_AFTER), Instant::now());
    let one_unreachable = probes(&[("a", false), ("b", true)]);
    for minute in 0..10 {
        assert!(
            members.record_probes(start + PROBE_INTERVAL * minute, &one_unreachable).is_empty(),
            "minute {minute}"
        );
    }
    assert_eq!(members.record_probes(start + PROBE_INTERVAL * 10, &one_unreachable), ["a"]);
}

/// An instance is unreachable for nine minutes, reachable once, and unreachable again. Only
/// uninterrupted time counts.
#[test]
fn a_member_reached_in_between_starts_anew() {
    let (mut members, start) = (UnreachableMembers::new(REMOVE_AFTER), Instant::now());
    for minute in 0..30 {
        let is_reached = minute % 10 == 9;
        let probes = probes(&[("a", is_reached), ("b", true)]);
        assert!(
            members.record_probes(start + PROBE_INTERVAL * minute, &probes).is_empty(),
            "minute {minute}"
        );
    }
}

/// The probing daemon itself is cut off for an hour, so that all others seem unreachable. If it
/// removed them, the whole failure domain would be missing from the table.
#[test]
fn a_daemon_that_reaches_nobody_reports_nothing() {
    let (mut members, start) = (UnreachableMembers::new(REMOVE_AFTER), Instant::now());
    let all_unreachable = probes(&[("a", false), ("b", false)]);
    for minute in 0..60 {
        assert!(
            members.record_probes(start + PROBE_INTERVAL * minute, &all_unreachable).is_empty()
        );
    }
    // Its network is back, and so is one of the others; the time of the other one starts now.
    let one_unreachable = probes(&[("a", false), ("b", true)]);
    assert!(members.record_probes(start + PROBE_INTERVAL * 60, &one_unreachable).is_empty());
    assert_eq!(members.record_probes(start + PROBE_INTERVAL * 70, &one_unreachable), ["a"]);
}
