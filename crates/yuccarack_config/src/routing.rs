//! Routing table of the fleet: routes by host and path prefix, and the services that they lead to.
//!
//! Daemons in routed mode use it. The others have [rules](crate::rules) for each service.

use std::collections::{HashMap, HashSet, hash_map::Entry};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    ids::{RegionName, ServiceName},
    organisations::{KeyDigest, Organisation, OrganisationId},
    routing_changes::RoutesDigest,
};

/// Version of an accepted routing table; increases with each change.
pub type RoutingVersion = u64;

shared_data! {
    /// All routes and services, as one version that operators have accepted.
    pub struct RoutingTable {
        /// Version of the table.
        pub version: RoutingVersion,
        /// Routes, in any order.
        pub routes: Vec<Route>,
        /// Services that the routes lead to.
        pub services: Vec<RoutedService>,
        /// Size limits for the requests of callers.
        pub caller_limits: CallerLimits,
        /// Organisations whose callers authenticate with keys; `None` if requests need no key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub organisations: Option<Vec<Organisation>>,
    }

    /// A route: the requests for a host whose path starts with a prefix.
    pub struct Route {
        /// Name of the route in logs and counters.
        pub name: String,
        /// Host that the route matches, in lower case and without a port.
        pub host: String,
        /// Path prefix that the route matches; begins and ends with a slash.
        pub path_prefix: String,
        /// Whether a request may run more than once.
        pub is_repeatable: bool,
        /// Marks a route for large request bodies, which therefore can't be repeatable. Only validation
        /// uses it: whether a body is buffered depends on its actual size.
        #[serde(default)]
        pub is_upload: bool,
        /// Marks a route whose responses are large.
        #[serde(default, skip_serializing_if = "is_false")]
        pub is_download: bool,
        /// Whether its requests need no key in a table with organisations.
        #[serde(default, skip_serializing_if = "is_false")]
        pub allows_anonymous: bool,
        /// Services that the route's requests are split among.
        pub split: Vec<WeightedService>,
        /// Longest time from the arrival of a request until its response is no longer wanted, in ms; a
        /// caller can only set an earlier deadline.
        pub wait_max_ms: u32,
        /// Time within which a response counts as on time, in ms.
        pub on_time_ms: u32,
        /// Maximum number of targets that one request may be sent to.
        pub targets_max: u8,
        /// Priority of the requests; 0 is the most urgent.
        pub rank: u8,
        /// Regions that the requests may be sent to; empty for all regions.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub home_regions: Vec<RegionName>,
    }

    /// A service and its share of a route's requests.
    pub struct WeightedService {
        /// Name of the service.
        pub service: ServiceName,
        /// Share of the service, relative to the weights of the others.
        pub weight: u32,
    }

    /// A service that routes lead to.
    pub struct RoutedService {
        /// Name of the service.
        pub name: ServiceName,
        /// Path on which its targets report their load.
        pub load_path: String,
        /// Maximum number of connections to one target.
        pub connections_max: u16,
        /// Requests that a cold target can serve in 1,000 seconds; 0 for no limit.
        #[serde(default)]
        pub cold_rate_per_1000_s: u32,
        /// Time for which a target is cold after its start, in ms; 0 if unknown.
        #[serde(default)]
        pub cold_start_ms: u32,
    }

    /// Size limits for the requests of callers.
    #[serde(default)]
    pub struct CallerLimits {
        /// Maximum size of a request head, in bytes.
        pub head_max_bytes: u32,
        /// Maximum size of a request body, in bytes.
        pub body_max_bytes: u64,
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head_max_bytes: 16 * 1024, body_max_bytes: 64 * 1024 * 1024 }
    }
}

/// Key of a route, unique within its table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host that the route matches.
    pub host: String,
    /// Path prefix that the route matches.
    pub path_prefix: String,
}

impl Route {
    /// Returns the host and path prefix as a key.
    pub fn key(&self) -> RouteKey {
        RouteKey { host: self.host.clone(), path_prefix: self.path_prefix.clone() }
    }

    /// Returns a digest of all fields that is the same in every build.
    fn digest(&self) -> RoutesDigest {
        let Self {
            name,
            host,
            path_prefix,
            is_repeatable,
            is_upload,
            is_download,
            allows_anonymous,
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
        if *is_download || *allows_anonymous {
            // Not hashed otherwise, so that builds without these fields compute the same digest.
            hasher.update(&[u8::from(*is_download), u8::from(*allows_anonymous)]);
        }
        hasher.update(&wait_max_ms.to_le_bytes());
        hasher.update(&on_time_ms.to_le_bytes());
        hasher.digest()
    }
}

/// A routing table with an index by host and path prefix.
#[derive(Clone, Debug)]
pub struct Routing {
    table: RoutingTable,
    routes_by_prefix: HashMap<String, HashMap<String, usize>>,
    /// Indexes of the organisations in the table.
    organisation_by_key: HashMap<KeyDigest, usize>,
    organisations_with_keys: HashSet<OrganisationId>,
    has_downloads: bool,
    digest: RoutesDigest,
}

impl Routing {
    /// Indexes `table`; of several routes with the same key, the last one wins.
    pub fn new(mut table: RoutingTable) -> Self {
        let mut routes_by_prefix: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let mut routes: Vec<Route> = Vec::with_capacity(table.routes.len());
        for route in std::mem::take(&mut table.routes) {
            let of_host = routes_by_prefix.entry(route.host.clone()).or_default();
            match of_host.entry(route.path_prefix.clone()) {
                Entry::Occupied(index) => routes[*index.get()] = route,
                Entry::Vacant(slot) => {
                    slot.insert(routes.len());
                    routes.push(route);
                }
            }
        }
        let digest = routes
            .iter()
            .fold(0, |digest: RoutesDigest, route| digest.wrapping_add(route.digest()));
        let has_downloads = routes.iter().any(|route| route.is_download);
        table.routes = routes;
        let organisations = table.organisations.iter().flatten().enumerate();
        let organisation_by_key = organisations
            .flat_map(|(index, organisation)| {
                organisation.key_digests.iter().map(move |key| (*key, index))
            })
            .collect();
        let with_keys =
            table.organisations.iter().flatten().filter(|it| !it.key_digests.is_empty());
        let organisations_with_keys = with_keys.map(Organisation::id).collect();
        Self {
            table,
            routes_by_prefix,
            organisation_by_key,
            organisations_with_keys,
            has_downloads,
            digest,
        }
    }

    /// Returns all routes, in any order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.table.routes.iter()
    }

    /// Returns the route with exactly this host and path prefix.
    pub fn exact_route(&self, host: &str, path_prefix: &str) -> Option<&Route> {
        let index = self.routes_by_prefix.get(host)?.get(path_prefix)?;
        Some(&self.table.routes[*index])
    }

    /// Returns whether a route has large responses.
    pub fn has_downloads(&self) -> bool {
        self.has_downloads
    }

    /// Returns the digest of all routes.
    pub fn digest(&self) -> RoutesDigest {
        self.digest
    }

    /// Returns the indexed table.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Returns the version of the table.
    pub fn version(&self) -> RoutingVersion {
        self.table.version
    }

    /// Returns the route with the longest prefix that matches `path`, and its index in the table.
    ///
    /// Prefixes end with a slash, so the number of lookups is at most the number of slashes in the
    /// path, whatever the number of routes.
    pub fn find_route(&self, host: &str, path: &str) -> Option<(usize, &Route)> {
        let of_host = self.routes_by_prefix.get(&host.to_ascii_lowercase())?;
        let mut prefix = path;
        while let Some(slash) = prefix.rfind('/') {
            if let Some(&index) = of_host.get(&prefix[..=slash]) {
                return Some((index, &self.table.routes[index]));
            }
            prefix = &prefix[..slash];
        }
        None
    }

    /// Returns whether requests need the key of an organisation, except on anonymous routes.
    pub fn requires_key(&self) -> bool {
        self.table.organisations.is_some()
    }

    /// Returns whether the table has organisations or downloads.
    ///
    /// Decisions for deployments under hard load apply only then, so that others keep theirs.
    pub fn has_organisations_or_downloads(&self) -> bool {
        self.has_downloads || self.requires_key()
    }

    /// Returns all organisations, in any order.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.table.organisations.iter().flatten()
    }

    /// Returns whether the organisation of `id` holds a key.
    pub fn has_key_of(&self, id: OrganisationId) -> bool {
        self.organisations_with_keys.contains(&id)
    }

    /// Returns the organisation that holds the key of `digest`.
    pub fn find_organisation(&self, digest: &KeyDigest) -> Option<&Organisation> {
        let index = *self.organisation_by_key.get(digest)?;
        self.table.organisations.as_ref()?.get(index)
    }

    /// Returns the settings of `service`, if the table has it.
    pub fn service(&self, service: &str) -> Option<&RoutedService> {
        self.table.services.iter().find(|candidate| candidate.name == service)
    }
}
