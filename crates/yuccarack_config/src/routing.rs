//! Routes by host and path prefix, with what operators say of each.

use std::collections::HashMap;

use crate::ids::ServiceName;

/// Number of an accepted routing table; rises with each change.
pub type RoutingVersion = u64;

shared_data! {
    /// All routes and services that operators have accepted, as a whole.
    pub struct RoutingTable {
        /// Its number.
        pub version: RoutingVersion,
        /// Routes, in no order.
        pub routes: Vec<Route>,
        /// Services that routes lead to.
        pub services: Vec<RoutedService>,
        /// What callers may send.
        pub caller_limits: CallerLimits,
    }

    /// One route: requests of a host whose path starts alike.
    pub struct Route {
        /// The route's name in logs and counters.
        pub name: String,
        /// Host that the route takes, in lower case and without a port.
        pub host: String,
        /// Start of the paths that the route takes; begins and ends with a slash.
        pub path_prefix: String,
        /// Whether a request may run more than once.
        pub is_repeatable: bool,
        /// Whether requests carry large bodies, as operators say; decisions go by the size of each.
        #[serde(default)]
        pub is_upload: bool,
        /// Services that take the route's requests, each with its share.
        pub split: Vec<WeightedService>,
        /// Longest time for which a request may be kept waiting, in ms.
        pub wait_max_ms: u32,
        /// Time within which an answer is of full use, in ms.
        pub on_time_ms: u32,
        /// Most targets that may get one request.
        pub targets_max: u8,
        /// How urgent the requests are; 0 is the most urgent.
        pub rank: u8,
    }

    /// A service and the share of a route that it gets.
    pub struct WeightedService {
        /// The service.
        pub service: ServiceName,
        /// Its share, against the weights of the others.
        pub weight: u32,
    }

    /// A service that routes lead to.
    pub struct RoutedService {
        /// Its name.
        pub name: ServiceName,
        /// Path on which its targets tell their load.
        pub load_path: String,
        /// Connections that one target takes.
        pub connections_max: u16,
    }

    /// What callers may send.
    #[serde(default)]
    pub struct CallerLimits {
        /// Largest request head, in bytes.
        pub head_max_bytes: u32,
        /// Largest request body, in bytes.
        pub body_max_bytes: u64,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head_max_bytes: 16 * 1024, body_max_bytes: 64 * 1024 * 1024 }
    }
}

/// A routing table with an index over its routes.
#[derive(Clone, Debug)]
pub struct Routing {
    table: RoutingTable,
    routes_by_prefix: HashMap<String, HashMap<String, usize>>,
}

impl Routing {
    /// Indexes `table`.
    pub fn new(table: RoutingTable) -> Self {
        let mut routes_by_prefix: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in table.routes.iter().enumerate() {
            let of_host = routes_by_prefix.entry(route.host.clone()).or_default();
            of_host.insert(route.path_prefix.clone(), index);
        }
        Self { table, routes_by_prefix }
    }

    /// The table as it was accepted.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Number of the table.
    pub fn version(&self) -> RoutingVersion {
        self.table.version
    }

    /// The route of the longest prefix that begins `path`, with its place in the table.
    ///
    /// Prefixes end with a slash, so only as many starts are looked up as the path has slashes,
    /// whatever the number of routes.
    pub fn route(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let of_host = self.routes_by_prefix.get(&host.to_ascii_lowercase())?;
        let mut start = path;
        while let Some(slash) = start.rfind('/') {
            if let Some(&index) = of_host.get(&start[..=slash]) {
                return Some((index, &self.table.routes[index]));
            }
            start = &start[..slash];
        }
        None
    }

    /// What is said of `service`.
    pub fn service(&self, service: &str) -> Option<&RoutedService> {
        self.table.services.iter().find(|known| known.name == service)
    }
}
