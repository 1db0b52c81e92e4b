//! Source of this daemon's updates, and how far it is synced with the tables of the store.

use std::sync::Arc;

use tokio::sync::watch;
use yuccarack_config::ids::Revision;

use super::store_warnings::StoreWarnings;
use crate::protocol::peer_update::SyncedRevisions;

/// Source from which this daemon receives updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpdateSource {
    /// Neither the store nor a relay provides updates; peers are polled instead.
    #[default]
    None,
    /// The store itself.
    Store,
    /// Another daemon of the failure domain, which queries the store.
    Relay,
}

/// Source of updates and sync progress; clones share them.
#[derive(Clone, Debug)]
pub struct SyncState {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    source: watch::Sender<UpdateSource>,
    /// Whether this daemon is to query the store itself, whether or not the store responds. The
    /// source is [`UpdateSource::Store`] only once it does.
    queries_store: watch::Sender<bool>,
    synced: watch::Sender<SyncedTables>,
    store_warnings: StoreWarnings,
}

/// Revision up to which each table is synced; `None` if the full table has to be read first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncedTables {
    routing: Option<Revision>,
    members: Option<Revision>,
    /// Revision of the latest full read of the members. Rows that were deleted before it are not
    /// known.
    members_fully_read_at: Revision,
}

/// A table of the store that daemons follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTable {
    /// The routing rows: the routing table that operators set, and the evacuations.
    Routing,
    /// The members.
    Members,
}

impl SyncState {
    /// Starts with the store to be queried and no synced tables.
    pub fn new() -> Self {
        let inner = Inner {
            source: watch::Sender::default(),
            queries_store: watch::Sender::new(true),
            synced: watch::Sender::default(),
            store_warnings: StoreWarnings::new(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns the warnings that the store may have lost polls.
    pub fn store_warnings(&self) -> &StoreWarnings {
        &self.inner.store_warnings
    }

    /// Returns the current source of updates.
    pub fn source(&self) -> UpdateSource {
        *self.inner.source.borrow()
    }

    /// Subscribes to changes of the source.
    pub fn subscribe(&self) -> watch::Receiver<UpdateSource> {
        self.inner.source.subscribe()
    }

    /// Waits until `source` is the source of updates.
    pub async fn wait_source(&self, source: UpdateSource) {
        // The sender lives as long as `self`, so this can't fail.
        let _ = self.inner.source.subscribe().wait_for(|current| *current == source).await;
    }

    /// Sets the source of updates; returns the previous one.
    pub fn set_source(&self, source: UpdateSource) -> UpdateSource {
        let mut before = source;
        self.inner.source.send_if_modified(|current| {
            before = std::mem::replace(current, source);
            before != source
        });
        before
    }

    /// Returns whether this daemon is to query the store itself, whether or not the store responds.
    pub fn queries_store(&self) -> bool {
        *self.inner.queries_store.borrow()
    }

    /// Sets whether this daemon is to query the store itself.
    pub fn set_queries_store(&self, queries: bool) {
        self.inner
            .queries_store
            .send_if_modified(|current| std::mem::replace(current, queries) != queries);
    }

    /// Waits until [`Self::queries_store`] equals `queries`.
    pub async fn wait_queries_store(&self, queries: bool) {
        // The sender lives as long as `self`, so this can't fail.
        let _ = self.inner.queries_store.subscribe().wait_for(|current| *current == queries).await;
    }

    /// Returns the revision up to which a table is synced; `None` if it has to be read in full.
    pub fn synced_up_to(&self, table: FollowedTable) -> Option<Revision> {
        let synced = *self.inner.synced.borrow();
        match table {
            FollowedTable::Routing => synced.routing,
            FollowedTable::Members => synced.members,
        }
    }

    /// Sets the revision up to which a table is synced; `None` if it has to be read in full.
    pub fn set_synced_up_to(&self, table: FollowedTable, up_to: Option<Revision>) {
        self.inner.synced.send_if_modified(|synced| {
            let field = match table {
                FollowedTable::Routing => &mut synced.routing,
                FollowedTable::Members => &mut synced.members,
            };
            std::mem::replace(field, up_to) != up_to
        });
    }

    /// Advances the synced revisions to those of a relay; a lagging relay doesn't set them back.
    ///
    /// `has_relay_table` tells whether the relay's routing table, or a newer one, has arrived here.
    /// Otherwise the revision of the routing table stays, so that a later query of the store still
    /// returns that table. Guards against a relay that announces a large routing table without
    /// sending it while the store fails to deliver it: a query for changes after the relay's
    /// revision would never return that table.
    pub fn note_relay_synced(&self, relay: SyncedRevisions, has_relay_table: bool) {
        let later = |table, revision| Some(self.synced_up_to(table).unwrap_or(0).max(revision));
        self.set_synced_up_to(FollowedTable::Members, later(FollowedTable::Members, relay.members));
        if has_relay_table {
            self.set_synced_up_to(
                FollowedTable::Routing,
                later(FollowedTable::Routing, relay.routing),
            );
        }
    }

    /// Notes a full read of the members at `revision`.
    pub fn set_members_fully_read(&self, revision: Revision) {
        self.inner.synced.send_modify(|synced| synced.members_fully_read_at = revision);
    }

    /// Returns whether this daemon knows all member rows that were removed after `revision`.
    pub fn knows_removals_after(&self, revision: Revision) -> bool {
        revision >= self.inner.synced.borrow().members_fully_read_at
    }

    /// Subscribes to changes of the synced revisions.
    pub fn subscribe_synced(&self) -> watch::Receiver<SyncedTables> {
        self.inner.synced.subscribe()
    }

    /// Returns whether the tables are not synced yet, so that it is undecided who provides updates.
    pub fn is_starting(&self) -> bool {
        let synced = *self.inner.synced.borrow();
        let is_unknown = synced.routing.is_none() || synced.members.is_none();
        is_unknown && self.source() != UpdateSource::Relay
    }

    /// Returns the synced revisions that this daemon may relay; `None` unless the store or a relay
    /// provides it with updates.
    ///
    /// A daemon follows only relays that rank before it, so two daemons can't confirm each other's
    /// revisions while neither reaches the store.
    pub fn synced_for_relay(&self) -> Option<SyncedRevisions> {
        let synced = *self.inner.synced.borrow();
        let is_provided = match self.source() {
            UpdateSource::Store => self.queries_store(),
            UpdateSource::Relay => true,
            UpdateSource::None => false,
        };
        if !is_provided {
            return None;
        }
        Some(SyncedRevisions { routing: synced.routing?, members: synced.members? })
    }
}

impl Default for SyncState {
    fn default() -> Self {
        Self::new()
    }
}
