//! Where this daemon's news come from, and up to where it knows the store's tables.

use std::sync::Arc;

use tokio::sync::watch;
use yuccarack_config::ids::Revision;

use crate::protocol::peer_news::KnownUpTo;

/// Who tells this daemon of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NewsSource {
    /// Nobody who hears the store; peers are asked.
    #[default]
    Nobody,
    /// The store.
    Store,
    /// Another daemon of the failure domain, which asks the store.
    Relay,
}

/// Where this daemon's news come from; clones share it.
#[derive(Clone, Debug)]
pub struct News {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    source: watch::Sender<NewsSource>,
    /// Whether this daemon asks the store itself.
    asks_store: watch::Sender<bool>,
    known: watch::Sender<KnownTables>,
}

/// Up to where each table is known; none until it has been read whole, or must be again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownTables {
    routing: Option<Revision>,
    members: Option<Revision>,
    /// Revision as of which the members were listed whole last: no row that went before it is known of.
    members_listed_at: Revision,
}

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// The operators' document.
    Routing,
    /// The members.
    Members,
}

impl News {
    /// Starts with the store as the one to ask.
    pub fn new() -> Self {
        let inner = Inner {
            source: watch::Sender::default(),
            asks_store: watch::Sender::new(true),
            known: watch::Sender::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Who tells this daemon of changes.
    pub fn source(&self) -> NewsSource {
        *self.inner.source.borrow()
    }

    /// Tells when that changes.
    pub fn subscribe(&self) -> watch::Receiver<NewsSource> {
        self.inner.source.subscribe()
    }

    /// Notes who tells; returns who did before.
    pub fn set_source(&self, source: NewsSource) -> NewsSource {
        let mut before = source;
        self.inner.source.send_if_modified(|current| {
            before = std::mem::replace(current, source);
            before != source
        });
        before
    }

    /// Whether this daemon asks the store itself.
    pub fn asks_store(&self) -> bool {
        *self.inner.asks_store.borrow()
    }

    /// Has this daemon ask the store itself, or no longer.
    pub fn set_asks_store(&self, asks: bool) {
        self.inner.asks_store.send_if_modified(|current| std::mem::replace(current, asks) != asks);
    }

    /// Waits until this daemon asks the store itself, or until it no longer does.
    pub async fn wait_asks_store(&self, asks: bool) {
        // The sender lives as long as this.
        let _ = self.inner.asks_store.subscribe().wait_for(|current| *current == asks).await;
    }

    /// Up to where the changes of a table are known; none if it has to be read whole.
    pub fn known_up_to(&self, table: Followed) -> Option<Revision> {
        let known = *self.inner.known.borrow();
        match table {
            Followed::Routing => known.routing,
            Followed::Members => known.members,
        }
    }

    /// Notes up to where the changes of a table are known; none if it has to be read whole.
    pub fn set_known(&self, table: Followed, up_to: Option<Revision>) {
        self.inner.known.send_if_modified(|known| {
            let field = match table {
                Followed::Routing => &mut known.routing,
                Followed::Members => &mut known.members,
            };
            std::mem::replace(field, up_to) != up_to
        });
    }

    /// Notes up to where a relay knows the tables; one that lags takes nothing back.
    ///
    /// Failure: a relay tells of a routing table that it leaves out for its size, and the store doesn't
    /// give it. Asked for changes after that, the store would never tell of it; so `has_routing` says
    /// whether the relay's table is known here.
    pub fn heard_known(&self, told: KnownUpTo, has_routing: bool) {
        let later = |table, revision| Some(self.known_up_to(table).unwrap_or(0).max(revision));
        self.set_known(Followed::Members, later(Followed::Members, told.members));
        if has_routing {
            self.set_known(Followed::Routing, later(Followed::Routing, told.routing));
        }
    }

    /// Notes that all members were listed as of `revision`.
    pub fn set_members_listed(&self, revision: Revision) {
        self.inner.known.send_modify(|known| known.members_listed_at = revision);
    }

    /// Whether this daemon knows of each member's row that went after `revision`.
    pub fn knows_who_went_after(&self, revision: Revision) -> bool {
        revision >= self.inner.known.borrow().members_listed_at
    }

    /// Tells of each change of what is known.
    pub fn subscribe_known(&self) -> watch::Receiver<KnownTables> {
        self.inner.known.subscribe()
    }

    /// Whether the tables are not known yet, so that it isn't decided either who tells of them.
    pub fn is_starting(&self) -> bool {
        let known = *self.inner.known.borrow();
        let is_unknown = known.routing.is_none() || known.members.is_none();
        is_unknown && self.source() != NewsSource::Relay
    }

    /// What this daemon may tell others as heard of the store; none unless the store answers it.
    ///
    /// Failure: two daemons tell each other what each has of the other, and neither hears the store.
    pub fn to_relay(&self) -> Option<KnownUpTo> {
        let known = *self.inner.known.borrow();
        if self.source() != NewsSource::Store || !self.asks_store() {
            return None;
        }
        Some(KnownUpTo { routing: known.routing?, members: known.members? })
    }
}

impl Default for News {
    fn default() -> Self {
        Self::new()
    }
}
