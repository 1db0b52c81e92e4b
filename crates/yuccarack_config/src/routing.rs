//! Routes by host and path prefix, with what operators say of each.

use std::collections::{HashMap, hash_map::Entry};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    ids::{RegionName, ServiceName},
    routing_changes::RoutesDigest,
};

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
        /// Regions that the requests may reach; all without one.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub home_regions: Vec<RegionName>,
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
        /// Requests that one target bears in 1,000 seconds while it is cold; 0 for no bound.
        #[serde(default)]
        pub cold_rate_per_1000_s: u32,
        /// Time for which a target is cold after its start, in ms; 0 where that isn't known.
        #[serde(default)]
        pub cold_start_ms: u32,
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

/// What tells a route from all others of its table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host of the route.
    pub host: String,
    /// Start of the paths that the route takes.
    pub path_prefix: String,
}

impl Route {
    /// The route's key.
    pub fn key(&self) -> RouteKey {
        RouteKey { host: self.host.clone(), path_prefix: self.path_prefix.clone() }
    }

    /// Digest of all fields, the same in each build.
    fn digest(&self) -> RoutesDigest {
        let Self {
            name,
            host,
            path_prefix,
            is_repeatable,
            is_upload,
            split,
            wait_max_ms,
            on_time_ms,
            targets_max,
            rank,
            home_regions,
        } = self;
        let mut hasher = Xxh3Default::new();
        let mut add_text = |text: &str| {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        };
        [name, host, path_prefix].into_iter().for_each(|text| add_text(text));
        for WeightedService { service, weight } in split {
            add_text(service);
            add_text(&weight.to_string());
        }
        home_regions.iter().for_each(|region| add_text(region));
        hasher.update(&[u8::from(*is_repeatable), u8::from(*is_upload), *targets_max, *rank]);
        hasher.update(&wait_max_ms.to_le_bytes());
        hasher.update(&on_time_ms.to_le_bytes());
        hasher.digest()
    }
}

/// A routing table with an index over its routes.
#[derive(Clone, Debug)]
pub struct Routing {
    table: RoutingTable,
    routes_by_prefix: HashMap<String, HashMap<String, usize>>,
    digest: RoutesDigest,
}

impl Routing {
    /// Indexes `table`; of routes with one key the last one holds.
    pub fn new(mut table: RoutingTable) -> Self {
        let mut routes_by_prefix: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let mut routes: Vec<Route> = Vec::with_capacity(table.routes.len());
        for route in std::mem::take(&mut table.routes) {
            let of_host = routes_by_prefix.entry(route.host.clone()).or_default();
            match of_host.entry(route.path_prefix.clone()) {
                Entry::Occupied(known) => routes[*known.get()] = route,
                Entry::Vacant(place) => {
                    place.insert(routes.len());
                    routes.push(route);
                }
            }
        }
        let digest = routes
            .iter()
            .fold(0, |digest: RoutesDigest, route| digest.wrapping_add(route.digest()));
        table.routes = routes;
        Self { table, routes_by_prefix, digest }
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.table.routes.iter()
    }

    /// The route of exactly this host and prefix.
    pub fn exact_route(&self, host: &str, path_prefix: &str) -> Option<&Route> {
        let index = self.routes_by_prefix.get(host)?.get(path_prefix)?;
        Some(&self.table.routes[*index])
    }

    /// Digest of all routes.
    pub fn digest(&self) -> RoutesDigest {
        self.digest
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
    pub fn find_route(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
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
