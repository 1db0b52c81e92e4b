//! Difference between two versions of a routing table, so that sending a change costs its own size
//! and not that of the table.

use std::collections::HashSet;

use thiserror::Error;

use crate::{
    organisations::Organisation,
    routing::{
        CallerLimits, Route, RouteKey, RoutedService, Routing, RoutingTable, RoutingVersion,
    },
};

/// Order-independent digest of the routes of a table, by which two tables are compared.
pub type RoutesDigest = u64;

shared_data! {
    /// The changes that turn the table of one version into that of a later one.
    pub struct RoutingChanges {
        /// Version of the table that the changes apply to; 0 for an empty table.
        pub base: RoutingVersion,
        /// Version of the resulting table.
        pub version: RoutingVersion,
        /// Keys of the routes that were removed.
        pub removed: Vec<RouteKey>,
        /// Routes that were added or changed.
        pub routes: Vec<Route>,
        /// All services of the resulting table.
        pub services: Vec<RoutedService>,
        /// Size limits for the requests of callers.
        pub caller_limits: CallerLimits,
        /// All organisations of the resulting table.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub organisations: Option<Vec<Organisation>>,
        /// Digest of the resulting routes.
        pub digest: RoutesDigest,
    }
}

/// Error of applying or merging changes.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChangesError {
    /// The changes apply to another version.
    #[error("the changes apply to table version {base}, not {version}")]
    Base {
        /// Version that the changes apply to.
        base: RoutingVersion,
        /// Version of the table that they were applied to.
        version: RoutingVersion,
    },
    /// The resulting table differs from that of the sender.
    #[error("digest mismatch of the routes: expected {expected:016x}, found {actual:016x}")]
    Digest {
        /// Digest of the sender's routes.
        expected: RoutesDigest,
        /// Digest of the resulting routes.
        actual: RoutesDigest,
    },
}

impl RoutingChanges {
    /// Returns the changes that turn `base` into `routing`.
    pub fn between(base: &Routing, routing: &Routing) -> Self {
        let is_removed =
            |route: &&Route| routing.exact_route(&route.host, &route.path_prefix).is_none();
        let is_new =
            |route: &&Route| base.exact_route(&route.host, &route.path_prefix) != Some(*route);
        Self {
            base: base.version(),
            removed: base.routes().filter(is_removed).map(Route::key).collect(),
            routes: routing.routes().filter(is_new).cloned().collect(),
            ..Self::without_routes(routing)
        }
    }

    /// Returns the changes that turn an empty table into `routing`.
    pub fn full(routing: &Routing) -> Self {
        Self { routes: routing.routes().cloned().collect(), ..Self::without_routes(routing) }
    }

    fn without_routes(routing: &Routing) -> Self {
        let RoutingTable { version, services, caller_limits, organisations, .. } = routing.table();
        Self {
            base: 0,
            version: *version,
            removed: Vec::new(),
            routes: Vec::new(),
            services: services.clone(),
            caller_limits: caller_limits.clone(),
            organisations: organisations.clone(),
            digest: routing.digest(),
        }
    }

    /// Returns the keys of the routes that are removed, added or changed.
    fn changed_keys(&self) -> HashSet<RouteKeyRef<'_>> {
        self.removed.iter().map(borrowed_key).chain(self.routes.iter().map(key_of)).collect()
    }

    /// Returns whether the changes make up a full table and need no base.
    pub fn is_full(&self) -> bool {
        self.base == 0
    }

    /// Returns the number of routes that are removed, added or changed.
    pub fn len(&self) -> usize {
        self.removed.len() + self.routes.len()
    }

    /// Returns whether no route is removed, added or changed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns these changes and `later`, which follows them, merged into one.
    ///
    /// # Errors
    ///
    /// [`ChangesError::Base`] if `later` doesn't apply to the version that results from these.
    pub fn merged_with(&self, later: &Self) -> Result<Self, ChangesError> {
        if later.base != self.version {
            return Err(ChangesError::Base { base: later.base, version: self.version });
        }
        let replaced_keys = later.changed_keys();
        let kept_routes =
            self.routes.iter().filter(|route| !replaced_keys.contains(&key_of(route)));
        let routes: Vec<Route> = kept_routes.chain(&later.routes).cloned().collect();
        let present_keys: HashSet<RouteKeyRef<'_>> = routes.iter().map(key_of).collect();
        let removed = self.removed.iter().chain(&later.removed);
        let is_absent = |key: &&RouteKey| !present_keys.contains(&borrowed_key(key));
        let mut removed: Vec<RouteKey> = removed.filter(is_absent).cloned().collect();
        removed.sort_unstable();
        removed.dedup();
        Ok(Self { base: self.base, removed, routes, ..later.clone() })
    }

    /// Applies the changes to `base`, which full changes don't need, and returns the result.
    ///
    /// # Errors
    ///
    /// [`ChangesError`] if `base` has another version or the resulting digest differs.
    pub fn apply(&self, base: Option<&Routing>) -> Result<Routing, ChangesError> {
        let base = base.filter(|_| !self.is_full());
        let version = base.map_or(0, Routing::version);
        if self.base != version {
            return Err(ChangesError::Base { base: self.base, version });
        }
        let replaced_keys = self.changed_keys();
        let kept_routes = base.into_iter().flat_map(Routing::routes);
        let kept_routes = kept_routes.filter(|route| !replaced_keys.contains(&key_of(route)));
        let table = RoutingTable {
            version: self.version,
            routes: kept_routes.chain(&self.routes).cloned().collect(),
            services: self.services.clone(),
            caller_limits: self.caller_limits.clone(),
            organisations: self.organisations.clone(),
        };
        let routing = Routing::new(table);
        match routing.digest() {
            actual if actual != self.digest => {
                Err(ChangesError::Digest { expected: self.digest, actual })
            }
            _ => Ok(routing),
        }
    }
}

/// Host and path prefix of a route, borrowed.
type RouteKeyRef<'a> = (&'a str, &'a str);

fn key_of(route: &Route) -> RouteKeyRef<'_> {
    (&route.host, &route.path_prefix)
}

fn borrowed_key(key: &RouteKey) -> RouteKeyRef<'_> {
    (&key.host, &key.path_prefix)
}
