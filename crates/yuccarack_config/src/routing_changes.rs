//! Changes from one routing table to a later one, so that a change costs its own size to pass on.

use std::collections::HashSet;

use thiserror::Error;

use crate::routing::{
    CallerLimits, Route, RouteKey, RoutedService, Routing, RoutingTable, RoutingVersion,
};

/// Sum over the routes of a table, in any order, by which two tables are compared.
pub type RoutesDigest = u64;

shared_data! {
    /// What turns the table of one version into that of a later one.
    pub struct RoutingChanges {
        /// Version of the table that the changes apply to; 0 for a table without routes.
        pub base: RoutingVersion,
        /// Version of the table that results.
        pub version: RoutingVersion,
        /// Routes that went.
        pub removed: Vec<RouteKey>,
        /// Routes that were added, or that changed.
        pub routes: Vec<Route>,
        /// All services.
        pub services: Vec<RoutedService>,
        /// What callers may send.
        pub caller_limits: CallerLimits,
        /// Digest of the routes that result.
        pub digest: RoutesDigest,
    }
}

/// Changes that can't be applied to a table.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChangesError {
    /// They start from another version.
    #[error("the changes start from version {base}, not {version}")]
    Base {
        /// Version that they start from.
        base: RoutingVersion,
        /// Version of the table.
        version: RoutingVersion,
    },
    /// The result isn't the table that the sender has.
    #[error("the digest of the routes is {actual:016x}, not {expected:016x}")]
    Digest {
        /// Digest that the sender has.
        expected: RoutesDigest,
        /// Digest of the result.
        actual: RoutesDigest,
    },
}

impl RoutingChanges {
    /// What turns `base` into `routing`.
    pub fn between(base: &Routing, routing: &Routing) -> Self {
        let is_gone =
            |route: &&Route| routing.exact_route(&route.host, &route.path_prefix).is_none();
        let is_new =
            |route: &&Route| base.exact_route(&route.host, &route.path_prefix) != Some(*route);
        Self {
            base: base.version(),
            removed: base.routes().filter(is_gone).map(Route::key).collect(),
            routes: routing.routes().filter(is_new).cloned().collect(),
            ..Self::result_of(routing)
        }
    }

    /// What turns a table without routes into `routing`.
    pub fn full(routing: &Routing) -> Self {
        Self { routes: routing.routes().cloned().collect(), ..Self::result_of(routing) }
    }

    fn result_of(routing: &Routing) -> Self {
        let RoutingTable { version, services, caller_limits, .. } = routing.table();
        Self {
            base: 0,
            version: *version,
            removed: Vec::new(),
            routes: Vec::new(),
            services: services.clone(),
            caller_limits: caller_limits.clone(),
            digest: routing.digest(),
        }
    }

    /// Routes that are removed, added or changed.
    fn named(&self) -> HashSet<RouteNames<'_>> {
        self.removed.iter().map(key_names).chain(self.routes.iter().map(names)).collect()
    }

    /// Whether they make a whole table, whatever was before.
    pub fn is_full(&self) -> bool {
        self.base == 0
    }

    /// Routes that they name.
    pub fn len(&self) -> usize {
        self.removed.len() + self.routes.len()
    }

    /// Whether they name no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// These changes and, after them, `later`, as one.
    ///
    /// # Errors
    ///
    /// [`ChangesError::Base`] if `later` doesn't start from the version that these lead to.
    pub fn merged_with(&self, later: &Self) -> Result<Self, ChangesError> {
        if later.base != self.version {
            return Err(ChangesError::Base { base: later.base, version: self.version });
        }
        let replaced = later.named();
        let kept = self.routes.iter().filter(|route| !replaced.contains(&names(route)));
        let routes: Vec<Route> = kept.chain(&later.routes).cloned().collect();
        let present: HashSet<RouteNames<'_>> = routes.iter().map(names).collect();
        let removed = self.removed.iter().chain(&later.removed);
        let is_absent = |key: &&RouteKey| !present.contains(&key_names(key));
        let mut removed: Vec<RouteKey> = removed.filter(is_absent).cloned().collect();
        removed.sort_unstable();
        removed.dedup();
        Ok(Self { base: self.base, removed, routes, ..later.clone() })
    }

    /// The table that they make of `base`; none is needed where they are whole.
    ///
    /// # Errors
    ///
    /// [`ChangesError`]; `base` stays valid.
    pub fn apply(&self, base: Option<&Routing>) -> Result<Routing, ChangesError> {
        let base = base.filter(|_| !self.is_full());
        let version = base.map_or(0, Routing::version);
        if self.base != version {
            return Err(ChangesError::Base { base: self.base, version });
        }
        let replaced = self.named();
        let kept = base.into_iter().flat_map(Routing::routes);
        let kept = kept.filter(|route| !replaced.contains(&names(route)));
        let table = RoutingTable {
            version: self.version,
            routes: kept.chain(&self.routes).cloned().collect(),
            services: self.services.clone(),
            caller_limits: self.caller_limits.clone(),
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

/// Host and prefix of a route.
type RouteNames<'a> = (&'a str, &'a str);

fn names(route: &Route) -> RouteNames<'_> {
    (&route.host, &route.path_prefix)
}

fn key_names(key: &RouteKey) -> RouteNames<'_> {
    (&key.host, &key.path_prefix)
}
