//! Where this daemon's news come from, and up to where it knows the store's tables.

use std::sync::Arc;

use tokio::sync::watch;
use yuccarack_config::ids::Revision;

use crate::protocol::peer_update::SyncedRevisions;

/// Who tells this daemon of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpdateSource {
    /// Unassigned who hears the store; peers are asked.
    #[default]
    Unassigned,
    /// The store.
    Store,
    /// Another daemon of the failure domain, which asks the store.
    Relay,
}

/// Where this daemon's news come from; clones share it.
#[derive(Clone, Debug)]
pub struct SyncState {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    source: watch::Sender<UpdateSource>,
    /// Whether this daemon asks the store itself.
    queries_store: watch::Sender<bool>,
    synced: watch::Sender<SyncedTables>,
}

/// Up to where each table is synced; none until it has been read whole, or must be again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncedTables {
    routing: Option<Revision>,
    members: Option<Revision>,
    /// Revision as of which the members were listed whole last: no row that went before it is synced of.
    members_listed_at: Revision,
}

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTable {
    /// The operators' document.
    Routing,
    /// The members.
    Members,
}

impl SyncState {
    /// Starts with the store as the one to ask.
    pub fn new() -> Self {
        let inner = Inner {
            source: watch::Sender::default(),
            queries_store: watch::Sender::new(true),
            synced: watch::Sender::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Who tells this daemon of changes.
    pub fn source(&self) -> UpdateSource {
        *self.inner.source.borrow()
    }

    /// Tells when that changes.
    pub fn subscribe(&self) -> watch::Receiver<UpdateSource> {
        self.inner.source.subscribe()
    }

    /// Notes who tells; returns who did before.
    pub fn set_source(&self, source: UpdateSource) -> UpdateSource {
        let mut before = source;
        self.inner.source.send_if_modified(|current| {
            before = std::mem::replace(current, source);
            before != source
        });
        before
    }

    /// Whether this daemon asks the store itself.
    pub fn queries_store(&self) -> bool {
        *self.inner.queries_store.borrow()
    }

    /// Has this daemon ask the store itself, or no longer.
    pub fn set_queries_store(&self, asks: bool) {
        self.inner
            .queries_store
            .send_if_modified(|current| std::mem::replace(current, asks) != asks);
    }

    /// Waits until this daemon asks the store itself, or until it no longer does.
    pub async fn wait_queries_store(&self, asks: bool) {
        // The sender lives as long as this.
        let _ = self.inner.queries_store.subscribe().wait_for(|current| *current == asks).await;
    }

    /// Up to where the changes of a table are synced; none if it has to be read whole.
    pub fn synced_up_to(&self, table: FollowedTable) -> Option<Revision> {
        let synced = *self.inner.synced.borrow();
        match table {
            FollowedTable::Routing => synced.routing,
            FollowedTable::Members => synced.members,
        }
    }

    /// Notes up to where the changes of a table are synced; none if it has to be read whole.
    pub fn set_synced_up_to(&self, table: FollowedTable, up_to: Option<Revision>) {
        self.inner.synced.send_if_modified(|synced| {
            let field = match table {
                FollowedTable::Routing => &mut synced.routing,
                FollowedTable::Members => &mut synced.members,
            };
            std::mem::replace(field, up_to) != up_to
        });
    }

    /// Notes up to where a relay knows the tables; one that lags takes nothing back.
    ///
    /// Failure: a relay tells of a routing table that it leaves out for its size, and the store doesn't
    /// give it. Asked for changes after that, the store would never tell of it; so `has_routing` says
    /// whether the relay's table is synced here.
    pub fn note_relay_synced(&self, relay: SyncedRevisions, has_routing: bool) {
        let later = |table, revision| Some(self.synced_up_to(table).unwrap_or(0).max(revision));
        self.set_synced_up_to(FollowedTable::Members, later(FollowedTable::Members, relay.members));
        if has_routing {
            self.set_synced_up_to(
                FollowedTable::Routing,
                later(FollowedTable::Routing, relay.routing),
            );
        }
    }

    /// Notes that all members were listed as of `revision`.
    pub fn set_members_listed(&self, revision: Revision) {
        self.inner.synced.send_modify(|synced| synced.members_listed_at = revision);
    }

    /// Whether this daemon knows of each member's row that went after `revision`.
    pub fn knows_removals_after(&self, revision: Revision) -> bool {
        revision >= self.inner.synced.borrow().members_listed_at
    }

    /// Tells of each change of what is synced.
    pub fn subscribe_synced(&self) -> watch::Receiver<SyncedTables> {
        self.inner.synced.subscribe()
    }

    /// Whether the tables are not synced yet, so that it isn't decided either who tells of them.
    pub fn is_starting(&self) -> bool {
        let synced = *self.inner.synced.borrow();
        let is_unknown = synced.routing.is_none() || synced.members.is_none();
        is_unknown && self.source() != UpdateSource::Relay
    }

    /// What this daemon may tell others as heard of the store; none unless the store answers it.
    ///
    /// Failure: two daemons tell each other what each has of the other, and neither hears the store.
    pub fn synced_for_relay(&self) -> Option<SyncedRevisions> {
        let synced = *self.inner.synced.borrow();
        if self.source() != UpdateSource::Store || !self.queries_store() {
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
