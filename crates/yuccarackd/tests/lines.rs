//! Tests that the operators' page documents every log line of routed calls with its fields.

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
fn every_line_is_documented_with_its_fields() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("the operators' page");
    let mut outdated = Vec::new();
    for line in all() {
        let row = page.lines().find(|row| row.starts_with(&format!("| `{}` |", line.event)));
        let cell = row.and_then(|row| row.split('|').nth(3)).unwrap_or_default();
        let documented: BTreeSet<&str> = cell.split('`').skip(1).step_by(2).collect();
        let fields: BTreeSet<&str> = line.fields.iter().copied().collect();
        if row.is_none() || documented != fields {
            outdated.push((line.event, fields));
        }
    }
    assert!(all().count() > 30, "only {} log lines", all().count());
    assert!(outdated.is_empty(), "docs/OPERATIONS.md lacks lines or fields: {outdated:#?}");
}

#[test]
fn event_names_are_unique() {
    let names: BTreeSet<&str> = all().map(|line| line.event).collect();
    assert_eq!(names.len(), all().count());
}

/// Guards against a rate below one line a second that is rounded down to none: an engineer who
/// reduces the log rate to a tenth of five lines would lose all lines of a kind.
#[test]
fn a_low_rate_allows_a_line_now_and_then_and_a_zero_rate_none() {
    for (rate_percent, dropped) in [(10, 1), (0, 2)] {
        let counters = Counters::new();
        let events = EventLog::new(Logger::root(Discard, o!()), counters.clone(), rate_percent);
        for _ in 0..2 {
            events.write(|| HeartbeatRejected { cause: "an unknown format".to_owned() });
        }
        let dropped_count = counters.snapshot().get("log.left_out.heartbeat").copied();
        assert_eq!(dropped_count, Some(dropped), "at a rate of {rate_percent} percent");
    }
}
