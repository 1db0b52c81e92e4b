//! The routing table in force, and its changes for daemons with an earlier version.

#[path = "support/tables.rs"]
mod tables;

use std::time::Duration;

use yuccarack_config::{
    routing::Routing,
    routing_changes::{ChangesError, RoutingChanges},
};
use yuccarackd::{
    protocol::packed_changes::PackedChanges, state::routed::routing_state::RoutingState,
};

use self::tables::table;

/// Returns the number of routes in the table in force.
fn route_count(state: &RoutingState) -> usize {
    state.current().map_or(0, |routing| routing.routes().count())
}

#[test]
fn changes_since_a_stored_version_contain_only_the_differences() {
    let state = RoutingState::new();
    for (version, count) in [(4, 1_000), (9, 1_001), (11, 1_003)] {
        assert!(state.offer(table(version, count)));
    }
    let changes = state.changes_since(4).expect("changes");
    assert_eq!((changes.base, changes.version, changes.routes.len()), (4, 11, 3));
    assert!(state.changes_since(11).is_none());
    let unknown = state.changes_since(7).expect("the full table");
    assert!(unknown.is_full() && unknown.routes.len() == 1_003);
}

/// Guards against an older table that replaces a newer one, complete or as changes.
#[test]
fn an_older_table_is_rejected_in_either_form() {
    let state = RoutingState::new();
    assert!(state.offer(table(9, 3)));
    assert!(!state.offer(table(4, 7)));
    let older = RoutingChanges::full(&Routing::new(table(8, 7)));
    assert_eq!(state.apply(older), Ok(false));
    assert_eq!((state.version(), route_count(&state)), (9, 3));
}

/// Guards against changes that are applied to a table other than their base.
#[test]
fn changes_of_another_base_leave_the_table_in_force() {
    let (state, other) = (RoutingState::new(), RoutingState::new());
    assert!(state.offer(table(4, 3)));
    for (version, count) in [(5, 3), (9, 5)] {
        assert!(other.offer(table(version, count)));
    }
    let changes = other.changes_since(5).expect("changes");
    assert_eq!(state.apply(changes), Err(ChangesError::Base { base: 5, version: 4 }));
    assert_eq!((state.version(), route_count(&state)), (4, 3));
    assert_eq!(state.apply(other.changes_since(0).expect("the full table")), Ok(true));
    assert_eq!((state.version(), route_count(&state)), (9, 5));
}

/// Guards against a daemon that can forward only tables that it fetched in full.
#[test]
fn applied_changes_are_forwarded() {
    let (first, second) = (RoutingState::new(), RoutingState::new());
    for version in [4, 9] {
        assert!(first.offer(table(version, version)));
    }
    assert!(second.offer(table(4, 4)));
    assert_eq!(second.apply(first.changes_since(4).expect("changes")), Ok(true));
    assert_eq!(second.changes_since(4).expect("changes"), first.changes_since(4).expect("changes"));
}

#[test]
fn the_time_behind_counts_from_the_first_newer_version() {
    let state = RoutingState::new();
    assert!(state.offer(table(4, 1)));
    assert!(!state.note_version(4));
    assert_eq!(state.behind_for(), Duration::ZERO);
    assert!(state.note_version(9) && state.note_version(7));
    assert_eq!(state.newest_version(), 9);
    std::thread::sleep(Duration::from_millis(5));
    assert!(state.offer(table(7, 1)));
    assert!(state.behind_for() >= Duration::from_millis(5), "9 is still missing");
    assert!(state.offer(table(9, 1)));
    assert_eq!((state.behind_for(), state.newest_version()), (Duration::ZERO, 9));
}

/// Guards against packed changes that load a slow link as much as the full table.
#[test]
fn many_added_routes_are_packed_into_a_fraction_of_the_table() {
    let state = RoutingState::new();
    for (version, count) in [(4, 3_000), (9, 4_400)] {
        assert!(state.offer(table(version, count)));
    }
    let changes = state.changes_since(4).expect("changes");
    let packed = PackedChanges::new(&changes).expect("packed changes");
    let table_bytes = serde_json::to_vec(&table(9, 4_400)).expect("JSON").len();
    println!("{} bytes packed, {table_bytes} bytes of JSON", packed.body.len());
    assert!(packed.body.len() * 16 < table_bytes, "{} of {table_bytes}", packed.body.len());
    assert_eq!(packed.unpack().expect("changes"), changes);
}
