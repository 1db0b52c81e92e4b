//! Applying changes to a routing table results in the same table as sending it in full.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use yuccarack_config::{
    routing::{CallerLimits, Route, RoutedService, Routing, RoutingTable, WeightedService},
    routing_changes::{ChangesError, RoutingChanges},
};

const RUNS: u64 = 300;

/// Routes of a few hosts and prefixes, so that tables overlap.
#[derive(Clone, Debug)]
struct Routes(BTreeMap<(u8, u8), (u8, bool)>);

impl Arbitrary for Routes {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let key = |gen_: &mut Gen| (u8::arbitrary(gen_) % 3, u8::arbitrary(gen_) % 8);
        let count = usize::from(u8::arbitrary(gen_) % 20);
        Self(
            (0..count)
                .map(|_| (key(gen_), (u8::arbitrary(gen_) % 3, bool::arbitrary(gen_))))
                .collect(),
        )
    }
}

impl Routes {
    fn routing(&self, version: u64) -> Routing {
        let route = |(key, value): (&(u8, u8), &(u8, bool))| Route {
            name: format!("r{}-{}", key.0, key.1),
            host: format!("h{}", key.0),
            path_prefix: format!("/{}/", key.1),
            is_repeatable: value.1,
            is_upload: false,
            is_download: false,
            allows_anonymous: false,
            split: vec![WeightedService { service: format!("s{}", value.0), weight: 1 }],
            wait_max_ms: 900,
            on_time_ms: 300,
            targets_max: 2,
            rank: value.0,
            home_regions: vec![format!("g{}", value.0)],
        };
        let service = RoutedService {
            name: format!("s{version}"),
            load_path: "/".to_owned(),
            connections_max: 9,
            cold_rate_per_1000_s: 14_000,
            cold_start_ms: 3_000,
        };
        Routing::new(RoutingTable {
            version,
            routes: self.0.iter().map(route).collect(),
            services: vec![service],
            caller_limits: CallerLimits::default(),
            organisations: None,
        })
    }
}

/// Returns the table with its routes sorted by key.
fn sorted(routing: &Routing) -> RoutingTable {
    let mut table = routing.table().clone();
    table.routes.sort_by_key(Route::key);
    table
}

#[test]
fn applied_changes_equal_the_full_table() {
    fn property(first: Routes, second: Routes) -> bool {
        let (first, second) = (first.routing(4), second.routing(9));
        let changed = RoutingChanges::between(&first, &second).apply(Some(&first));
        let full = RoutingChanges::full(&second).apply(Some(&first));
        let changed = changed.expect("a table");
        sorted(&changed) == sorted(&second)
            && changed.digest() == second.digest()
            && sorted(&full.expect("a table")) == sorted(&second)
    }
    QuickCheck::new().tests(RUNS).quickcheck(property as fn(Routes, Routes) -> bool);
}

#[test]
fn merged_changes_equal_consecutive_changes() {
    fn property(tables: (Routes, Routes, Routes)) -> bool {
        let (first, second, third) =
            (tables.0.routing(4), tables.1.routing(9), tables.2.routing(11));
        let first_changes = RoutingChanges::between(&first, &second);
        let second_changes = RoutingChanges::between(&second, &third);
        let merged = first_changes.merged_with(&second_changes).expect("consecutive changes");
        let from_full = RoutingChanges::full(&second)
            .merged_with(&second_changes)
            .expect("consecutive changes");
        sorted(&merged.apply(Some(&first)).expect("a table")) == sorted(&third)
            && sorted(&from_full.apply(None).expect("a table")) == sorted(&third)
    }
    let property = property as fn((Routes, Routes, Routes)) -> bool;
    QuickCheck::new().tests(RUNS).quickcheck(property);
}

/// Guards against changes that are applied to another table than the one they were computed for.
#[test]
fn changes_of_another_base_are_rejected() {
    let routes = Routes(BTreeMap::from([((0, 0), (0, true)), ((0, 1), (0, true))]));
    let changed_routes = Routes(BTreeMap::from([((0, 0), (0, true)), ((0, 2), (1, true))]));
    let changes = RoutingChanges::between(&routes.routing(4), &changed_routes.routing(9));
    let wrong_version = changes.apply(Some(&routes.routing(3)));
    assert_eq!(wrong_version.err(), Some(ChangesError::Base { base: 4, version: 3 }));
    let other_routes = Routes(BTreeMap::from([((0, 0), (2, true)), ((0, 1), (0, true))]));
    let wrong_digest = changes.apply(Some(&other_routes.routing(4)));
    assert!(matches!(wrong_digest, Err(ChangesError::Digest { .. })), "{wrong_digest:?}");
    assert_eq!(changes.merged_with(&changes), Err(ChangesError::Base { base: 4, version: 9 }));
}

/// Guards against a table whose changes are ambiguous because two of its routes have the same key.
#[test]
fn of_routes_with_the_same_key_the_last_one_wins() {
    let mut table = Routes(BTreeMap::from([((0, 0), (0, true))])).routing(4).table().clone();
    let last_route = Route { rank: 7, ..table.routes[0].clone() };
    table.routes.push(last_route.clone());
    assert_eq!(Routing::new(table).table().routes, vec![last_route]);
}
