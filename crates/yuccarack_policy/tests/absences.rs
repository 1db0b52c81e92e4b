//! Which members count as gone, played over looks of a minute each.

use std::time::{Duration, Instant};

use yuccarack_policy::unreachable_members::UnreachableMembers;

const GONE_AFTER: Duration = Duration::from_secs(600);
const LOOK: Duration = Duration::from_secs(60);

fn look(reached: &[(&str, bool)]) -> Vec<(String, bool)> {
    reached.iter().map(|(member, is_reached)| ((*member).to_owned(), *is_reached)).collect()
}

/// Story: an instance is lost for good. Its row goes after ten minutes, and no sooner, since a cut
/// link between failure domains lasts for minutes too.
#[test]
fn who_is_away_for_long_is_gone() {
    let (mut absences, start) = (UnreachableMembers::new(GONE_AFTER), Instant::now());
    let one_away = look(&[("a", false), ("b", true)]);
    for minute in 0..10 {
        assert!(
            absences.record_probes(start + LOOK * minute, &one_away).is_empty(),
            "minute {minute}"
        );
    }
    assert_eq!(absences.record_probes(start + LOOK * 10, &one_away), ["a"]);
}

/// Story: an instance is away for nine minutes, is back, and is away again. Only what it was away
/// without a break counts.
#[test]
fn who_came_back_starts_anew() {
    let (mut absences, start) = (UnreachableMembers::new(GONE_AFTER), Instant::now());
    for minute in 0..30 {
        let is_back = minute % 10 == 9;
        let look = look(&[("a", is_back), ("b", true)]);
        assert!(absences.record_probes(start + LOOK * minute, &look).is_empty(), "minute {minute}");
    }
}

/// Story: the link of the daemon that looks is cut for an hour. To it all others are away; ended by it,
/// the whole domain would be missing from the table.
#[test]
fn who_reaches_nobody_says_nothing() {
    let (mut absences, start) = (UnreachableMembers::new(GONE_AFTER), Instant::now());
    let all_away = look(&[("a", false), ("b", false)]);
    for minute in 0..60 {
        assert!(absences.record_probes(start + LOOK * minute, &all_away).is_empty());
    }
    // Its link is back, and so is one of the others; the other one's time begins now.
    let one_away = look(&[("a", false), ("b", true)]);
    assert!(absences.record_probes(start + LOOK * 60, &one_away).is_empty());
    assert_eq!(absences.record_probes(start + LOOK * 70, &one_away), ["a"]);
}
