//! Recent changes of the routing table, for daemons that have an earlier version.

use std::collections::VecDeque;

use yuccarack_config::{routing::RoutingVersion, routing_changes::RoutingChanges};

/// Largest number of changes that are stored.
const CHANGES_MAX: usize = 64;

/// Largest number of routes in all stored changes; a route takes some 300 bytes.
const ROUTES_MAX: usize = 20_000;

/// Consecutive changes, the oldest first, that lead to the table in force.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<RoutingChanges>,
    routes: usize,
}

impl RecentChanges {
    /// Appends `changes`. Without any, or if they don't follow the last ones, the stored changes no
    /// longer lead to the table in force and are dropped.
    pub fn push(&mut self, changes: Option<RoutingChanges>) {
        let last = self.changes.back().map(|last| last.version);
        let follows = |changes: &RoutingChanges| last.is_none_or(|last| last == changes.base);
        if !changes.as_ref().is_some_and(follows) {
            *self = Self::default();
        }
        let Some(changes) = changes else { return };
        self.routes += changes.len();
        self.changes.push_back(changes);
        while self.changes.len() > CHANGES_MAX || self.routes > ROUTES_MAX {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.routes -= oldest.len();
        }
    }

    /// Merges all changes since version `base`; returns `None` if they are no longer stored.
    pub fn since(&self, base: RoutingVersion) -> Option<RoutingChanges> {
        let first = self.changes.iter().position(|changes| changes.base == base)?;
        let mut later = self.changes.iter().skip(first);
        let oldest = later.next()?.clone();
        later.try_fold(oldest, |merged, changes| merged.merged_with(changes).ok())
    }
}
