//! Tests of organisations in routing tables, and of tables without them.

use yuccarack_config::{
    organisations::{KeyDigest, Organisation},
    routing::{CallerLimits, Route, RoutedService, Routing, RoutingTable, WeightedService},
    routing_changes::RoutingChanges,
};

/// Digest of the routes of [`table`] in builds before organisations.
const DIGEST_BEFORE: u64 = 5_755_214_544_661_382_484;

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "reads.example".to_owned(),
        path_prefix: format!("/{name}/"),
        is_repeatable: true,
        is_upload: false,
        is_download: false,
        allows_anonymous: false,
        split: vec![WeightedService { service: "board".to_owned(), weight: 3 }],
        wait_max_ms: 900,
        on_time_ms: 300,
        targets_max: 2,
        rank: 1,
        home_regions: vec!["north".to_owned()],
    }
}

fn table(version: u64, organisations: Option<Vec<Organisation>>) -> RoutingTable {
    let service = RoutedService {
        name: "board".to_owned(),
        load_path: "/".to_owned(),
        connections_max: 9,
        cold_rate_per_1000_s: 14_000,
        cold_start_ms: 3_000,
    };
    RoutingTable {
        version,
        routes: vec![route("a"), route("b")],
        services: vec![service],
        caller_limits: CallerLimits::default(),
        organisations,
    }
}

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.to_owned(),
        key_digests: keys.iter().map(|key| KeyDigest::new(key.as_bytes())).collect(),
        rank: 1,
        rate_per_1000_s: 12_500,
        burst: 20,
    }
}

/// Guards against daemons of two versions that compute different digests of the same routes, so that
/// each rejects the changes that the other sends.
#[test]
fn the_digest_of_routes_without_the_new_fields_is_unchanged() {
    assert_eq!(Routing::new(table(4, None)).digest(), DIGEST_BEFORE);
}

/// Guards against a change of a route's new fields that is not noticed.
#[test]
fn the_digest_depends_on_the_new_fields() {
    let mut digests = Vec::new();
    for (is_download, allows_anonymous) in
        [(false, false), (true, false), (false, true), (true, true)]
    {
        let mut table = table(4, None);
        table.routes[0].is_download = is_download;
        table.routes[0].allows_anonymous = allows_anonymous;
        digests.push(Routing::new(table).digest());
    }
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), 4);
}

/// Guards against tables that older daemons would store or send with fields that they don't know.
#[test]
fn a_table_without_organisations_is_written_as_before() {
    let text = serde_json::to_string(&table(4, None)).expect("JSON");
    for field in ["organisations", "is_download", "allows_anonymous"] {
        assert!(!text.contains(field), "{field} in {text}");
    }
    let changes = RoutingChanges::full(&Routing::new(table(4, None)));
    let text = serde_json::to_string(&changes).expect("JSON");
    assert!(!text.contains("organisations"), "{text}");
}

#[test]
fn a_table_of_an_older_daemon_needs_no_keys() {
    let text = serde_json::to_string(&table(4, None)).expect("JSON");
    let read: RoutingTable = serde_json::from_str(&text).expect("a table");
    assert_eq!(read, table(4, None));
    assert!(!Routing::new(read).requires_key());
}

/// Guards against daemons that keep the keys of an older table: changes between two versions must
/// carry all organisations, also if no route differs.
#[test]
fn changes_carry_organisations() {
    let tables = [
        None,
        Some(vec![]),
        Some(vec![organisation("north", &["k-1", "k-2"])]),
        Some(vec![organisation("north", &["k-2"]), organisation("south", &["k-1"])]),
    ];
    for before in &tables {
        for after in &tables {
            let before = Routing::new(table(4, before.clone()));
            let after = Routing::new(table(9, after.clone()));
            let changes = RoutingChanges::between(&before, &after);
            let text = serde_json::to_string(&changes).expect("JSON");
            let sent: RoutingChanges = serde_json::from_str(&text).expect("changes");
            let applied = sent.apply(Some(&before)).expect("a table");
            assert_eq!(applied.table().organisations, after.table().organisations);
            assert_eq!(applied.requires_key(), after.requires_key());
        }
    }
}

#[test]
fn merged_changes_carry_the_latest_organisations() {
    let first = Routing::new(table(4, Some(vec![organisation("north", &["k-1"])])));
    let second = Routing::new(table(9, Some(vec![organisation("north", &["k-2"])])));
    let third = Routing::new(table(11, Some(vec![organisation("north", &["k-3"])])));
    let merged = RoutingChanges::between(&first, &second)
        .merged_with(&RoutingChanges::between(&second, &third))
        .expect("consecutive changes");
    let applied = merged.apply(Some(&first)).expect("a table");
    let holds = |key: &str| applied.find_organisation(&KeyDigest::new(key.as_bytes())).is_some();
    assert_eq!(["k-1", "k-2", "k-3"].map(holds), [false, false, true]);
}

/// Guards against a gate that serves requests of an organisation whose keys have been removed.
#[test]
fn an_organisation_without_keys_is_known_and_holds_none() {
    let organisations = vec![organisation("north", &["k-1"]), organisation("south", &[])];
    let routing = Routing::new(table(4, Some(organisations)));
    let id = |name: &str| organisation(name, &[]).id();
    assert_eq!(
        ["north", "south", "west"].map(|name| routing.has_key_of(id(name))),
        [true, false, false]
    );
    assert_eq!(routing.organisations().count(), 2);
}
