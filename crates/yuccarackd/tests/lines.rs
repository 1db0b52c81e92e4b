//! The operators' page names every log line of routed calls with its fields.

use std::{collections::BTreeSet, fs, path::Path};

use slog::{Discard, Logger, o};
use yuccarackd::{
    coordination::routed::{
        events::EventLog,
        log_lines::{HeartbeatRejected, all},
    },
    state::counters::Counters,
};

#[test]
fn every_line_is_on_the_operators_page_with_its_fields() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("the operators' page");
    let mut outdated = Vec::new();
    for line in all() {
        let row = page.lines().find(|row| row.starts_with(&format!("| `{}` |", line.event)));
        let cell = row.and_then(|row| row.split('|').nth(3)).unwrap_or_default();
        let told: BTreeSet<&str> = cell.split('`').skip(1).step_by(2).collect();
        let fields: BTreeSet<&str> = line.fields.iter().copied().collect();
        if row.is_none() || told != fields {
            outdated.push((line.event, fields));
        }
    }
    assert!(all().count() > 30, "only {} lines", all().count());
    assert!(outdated.is_empty(), "docs/OPERATIONS.md lacks lines or fields: {outdated:#?}");
}

#[test]
fn events_have_names_of_their_own() {
    let names: BTreeSet<&str> = all().map(|line| line.event).collect();
    assert_eq!(names.len(), all().count());
}

/// A tenth of five lines a second is less than one. Rounded down it would be none for good, and an
/// engineer who wanted fewer lines would have lost all of a kind.
#[test]
fn a_small_share_leaves_a_line_now_and_then_and_none_leaves_none() {
    for (percent, left_out) in [(10, 1), (0, 2)] {
        let counters = Counters::new();
        let events = EventLog::new(Logger::root(Discard, o!()), counters.clone(), percent);
        for _ in 0..2 {
            events.write(|| HeartbeatRejected { cause: "a form that isn't known".to_owned() });
        }
        let counted = counters.snapshot().get("log.left_out.heartbeat").copied();
        assert_eq!(counted, Some(left_out), "at {percent} percent");
    }
}
