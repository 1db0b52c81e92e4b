//! Routing table in force, and newer versions that are known to exist.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;
use yuccarack_config::{
    routing::{Routing, RoutingTable, RoutingVersion},
    routing_changes::{ChangesError, RoutingChanges},
};

use super::recent_changes::RecentChanges;

/// The routing table in force; clones share it.
#[derive(Clone, Debug)]
pub struct RoutingState {
    current: Arc<RwLock<Option<ActiveTable>>>,
    changed: Arc<watch::Sender<RoutingVersion>>,
    newer: Arc<Mutex<Option<NewerVersion>>>,
}

/// The newest version that is known to exist while an older one is in force.
#[derive(Clone, Copy, Debug)]
struct NewerVersion {
    version: RoutingVersion,
    /// Time at which the first newer version became known.
    since: Instant,
}

/// A table and the time at which it took effect.
#[derive(Clone, Debug)]
struct ActiveTable {
    routing: Arc<Routing>,
    since: Instant,
    recent: RecentChanges,
}

impl RoutingState {
    /// Starts without a table.
    pub fn new() -> Self {
        Self {
            current: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
            newer: Arc::default(),
        }
    }

    /// Returns the table in force, once there is one.
    pub fn current(&self) -> Option<Arc<Routing>> {
        self.current.read().as_ref().map(|in_force| Arc::clone(&in_force.routing))
    }

    /// Returns the time for which the current table has been in force.
    pub fn in_force_for(&self) -> Option<Duration> {
        self.current.read().as_ref().map(|in_force| in_force.since.elapsed())
    }

    /// Returns the version of the table in force, 0 without one.
    pub fn version(&self) -> RoutingVersion {
        *self.changed.borrow()
    }

    /// Notes that `version` exists; returns whether it is newer than the one in force.
    pub fn note_version(&self, version: RoutingVersion) -> bool {
        let mut newer = self.newer.lock();
        if version <= self.version() {
            return false;
        }
        match newer.as_mut() {
            Some(newer) => newer.version = newer.version.max(version),
            None => *newer = Some(NewerVersion { version, since: Instant::now() }),
        }
        true
    }

    /// Returns the newest version that is known to exist.
    pub fn newest_version(&self) -> RoutingVersion {
        self.newer.lock().map_or_else(|| self.version(), |newer| newer.version)
    }

    /// Returns the time since a newer version than the one in force became known; zero without one.
    pub fn behind_for(&self) -> Duration {
        self.newer.lock().map_or(Duration::ZERO, |newer| newer.since.elapsed())
    }

    /// Subscribes to changes of the version in force.
    pub fn subscribe(&self) -> watch::Receiver<RoutingVersion> {
        self.changed.subscribe()
    }

    /// Puts `table` in force if it is newer; returns whether it is.
    ///
    /// Guards against a delayed response of the store or a lagging peer that brings an older table,
    /// by which requests would go where operators no longer want them.
    pub fn offer(&self, table: RoutingTable) -> bool {
        let current = self.current();
        if current.as_ref().is_some_and(|current| current.version() >= table.version) {
            return false;
        }
        // Runs outside the lock, so that calls don't wait while a large table is indexed and
        // compared.
        let routing = Routing::new(table);
        let changes = current.map(|current| RoutingChanges::between(&current, &routing));
        self.install(routing, changes)
    }

    /// Applies `changes` to the current table and puts the result in force if it is newer; returns
    /// whether it is.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangesError`] if the changes don't fit the current table, which stays in force.
    pub fn apply(&self, changes: RoutingChanges) -> Result<bool, ChangesError> {
        let current = self.current();
        if current.as_ref().is_some_and(|current| current.version() >= changes.version) {
            return Ok(false);
        }
        let routing = changes.apply(current.as_deref())?;
        let changes = match (changes.is_full(), current) {
            (false, _) => Some(changes),
            (true, Some(current)) => Some(RoutingChanges::between(&current, &routing)),
            (true, None) => None,
        };
        Ok(self.install(routing, changes))
    }

    /// Returns the changes from version `base` to the current table, or the full table if `base` is
    /// too old. Returns `None` without a table, or if `base` is not older.
    pub fn changes_since(&self, base: RoutingVersion) -> Option<RoutingChanges> {
        let current = self.current.read();
        let ActiveTable { routing, recent, .. } = current.as_ref()?;
        if base >= routing.version() {
            return None;
        }
        let full = || RoutingChanges::full(routing);
        Some(recent.since(base).unwrap_or_else(full))
    }

    /// Puts `routing` in force unless a newer table was installed meanwhile. `changes` lead to it
    /// from the table with which it was compared.
    fn install(&self, routing: Routing, changes: Option<RoutingChanges>) -> bool {
        let version = routing.version();
        let mut current = self.current.write();
        if current.as_ref().is_some_and(|active| active.routing.version() >= version) {
            return false;
        }
        let mut recent = current.take().map(|active| active.recent).unwrap_or_default();
        recent.push(changes);
        *current = Some(ActiveTable { routing: Arc::new(routing), since: Instant::now(), recent });
        drop(current);
        let mut newer = self.newer.lock();
        self.changed.send_replace(version);
        newer.take_if(|newer| newer.version <= version);
        true
    }
}

impl Default for RoutingState {
    fn default() -> Self {
        Self::new()
    }
}
