//! Tracks notices of routing tables that are newer than the one in force.

use std::net::SocketAddr;

use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use yuccarack_config::routing::RoutingVersion;

use super::Peers;
use crate::state::routed::routing_state::RoutingState;

/// Notice of a newer routing table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerTableNotice {
    /// Gate of a daemon that has the table.
    pub address: SocketAddr,
    /// Version of the table.
    pub version: RoutingVersion,
    /// Whether that daemon's update omitted the table for its size, so that it has to be fetched.
    pub is_omitted: bool,
}

/// The last notice of a newer table.
pub(super) struct NewerTableNotices {
    routing: RoutingState,
    last: Mutex<Option<NewerTableNotice>>,
    notified: Notify,
}

impl NewerTableNotices {
    /// Compares notices with the table in force of `routing`.
    pub(super) fn new(routing: RoutingState) -> Self {
        Self { routing, last: Mutex::default(), notified: Notify::new() }
    }

    fn note(&self, notice: NewerTableNotice) {
        if self.routing.note_version(notice.version) {
            *self.last.lock() = Some(notice);
            self.notified.notify_one();
        }
    }

    /// Returns the last notice, if its table is still newer than the one in force.
    fn last(&self) -> Option<NewerTableNotice> {
        let last = *self.last.lock();
        last.filter(|notice| notice.version > self.routing.version())
    }

    async fn wait(&self) -> NewerTableNotice {
        loop {
            self.notified.notified().await;
            if let Some(notice) = self.last() {
                return notice;
            }
        }
    }
}

impl Peers {
    /// Notes that the daemon at `address` has the routing table of `version`.
    pub fn note_version(&self, address: SocketAddr, version: RoutingVersion) {
        self.inner.newer_tables.note(NewerTableNotice { address, version, is_omitted: false });
    }

    /// Notes the same of a daemon whose update omitted the table for its size.
    pub fn note_omitted_table(&self, address: SocketAddr, version: RoutingVersion) {
        self.inner.newer_tables.note(NewerTableNotice { address, version, is_omitted: true });
    }

    /// Waits for a notice of a routing table that is newer than the one in force.
    pub async fn next_newer_table(&self) -> NewerTableNotice {
        self.inner.newer_tables.wait().await
    }

    /// Chooses a daemon that may have a newer table: a relay, or the one of the last notice.
    pub fn choose_newer_source(&self) -> Option<SocketAddr> {
        let mut candidates = self.without_self(self.relays());
        candidates.extend(self.inner.newer_tables.last().map(|notice| notice.address));
        candidates.choose(&mut rand::rng()).copied()
    }
}
