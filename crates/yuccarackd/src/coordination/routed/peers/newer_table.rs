//! Notices of routing tables that are newer than the one in force.

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
    /// Gate of a daemon that has it.
    pub address: SocketAddr,
    /// Its version.
    pub version: RoutingVersion,
    /// Whether that daemon's news left it out for its size, so that it has to be fetched.
    pub is_omitted: bool,
}

/// The last notice of a newer table.
pub(super) struct NewerTableNotices {
    routing: RoutingState,
    last: Mutex<Option<NewerTableNotice>>,
    noted: Notify,
}

impl NewerTableNotices {
    /// Compares with the table in force of `routing`.
    pub(super) fn new(routing: RoutingState) -> Self {
        Self { routing, last: Mutex::default(), noted: Notify::new() }
    }

    fn note(&self, newer: NewerTableNotice) {
        if self.routing.note_version(newer.version) {
            *self.last.lock() = Some(newer);
            self.noted.notify_one();
        }
    }

    /// The last notice, if its table is still newer than the one in force.
    fn last(&self) -> Option<NewerTableNotice> {
        let last = *self.last.lock();
        last.filter(|newer| newer.version > self.routing.version())
    }

    async fn wait(&self) -> NewerTableNotice {
        loop {
            self.noted.notified().await;
            if let Some(newer) = self.last() {
                return newer;
            }
        }
    }
}

impl Peers {
    /// Notes that the daemon at `address` has the routing table of `version`.
    pub fn note_version(&self, address: SocketAddr, version: RoutingVersion) {
        self.inner.newer.note(NewerTableNotice { address, version, is_omitted: false });
    }

    /// The same of a daemon whose news left the table out for its size.
    pub fn note_omitted_table(&self, address: SocketAddr, version: RoutingVersion) {
        self.inner.newer.note(NewerTableNotice { address, version, is_omitted: true });
    }

    /// Waits for notice of a newer routing table than the one in force.
    pub async fn next_newer_table(&self) -> NewerTableNotice {
        self.inner.newer.wait().await
    }

    /// A daemon that may have a newer table: a relay, or the one whose notice came last.
    pub fn choose_newer_source(&self) -> Option<SocketAddr> {
        let mut candidates = self.others(self.relays());
        candidates.extend(self.inner.newer.last().map(|newer| newer.address));
        candidates.choose(&mut rand::rng()).copied()
    }
}
