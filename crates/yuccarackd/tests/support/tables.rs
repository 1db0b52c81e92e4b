//! Builds routing tables of any size for tests.

use yuccarack_config::routing::{
    CallerLimits, Route, RoutedService, RoutingTable, WeightedService,
};

/// Returns a prefix unlike those of other numbers, since the prefixes of real tables have no order
/// that compresses well.
pub fn scattered_prefix(number: u64) -> String {
    format!("/{:x}/", (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

fn route(number: u64) -> Route {
    Route {
        name: format!("r-{number}"),
        host: "reads.example".to_owned(),
        path_prefix: scattered_prefix(number),
        is_repeatable: true,
        is_upload: false,
        is_download: false,
        allows_anonymous: false,
        split: vec![WeightedService { service: "board".to_owned(), weight: 1 }],
        wait_max_ms: 900,
        on_time_ms: 300,
        targets_max: 2,
        rank: 1,
        home_regions: Vec::new(),
    }
}

/// Returns a routing table with `count` routes.
pub fn table(version: u64, count: u64) -> RoutingTable {
    let service = RoutedService {
        name: "board".to_owned(),
        load_path: "/health".to_owned(),
        connections_max: 240,
        cold_rate_per_1000_s: 0,
        cold_start_ms: 0,
    };
    RoutingTable {
        version,
        routes: (0..count).map(route).collect(),
        services: vec![service],
        caller_limits: CallerLimits::default(),
        organisations: None,
    }
}
