//! Fetches newer routing tables that the regular updates have not delivered.

use std::time::Duration;

use tokio::time::{sleep, timeout};
use yuccarack_config::routing::RoutingVersion;

use super::{
    peers::{NewerTableNotice, Peers},
    store_follower::StoreFollower,
};
use crate::{coordination::jitter::jittered, state::routed::update_source::UpdateSource};

/// Time that the store's feed or a relay has to deliver a newer table before it is fetched. They
/// usually deliver it within 100 ms, and then it costs no bytes between failure domains.
const UPDATE_GRACE: Duration = Duration::from_millis(600);

/// First delay after an attempt that did not deliver the table; it doubles after one attempt at
/// each source.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest retry delay.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Fetches newer routing tables, from the store and from peers in turn.
///
/// Two transfers of a full table at the same time, one from the store and one from a peer, would
/// share one thin link, and neither would end in time.
pub struct CatchUp {
    peers: Peers,
    follower: StoreFollower,
}

/// Source from which a table is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Store,
    Peer,
}

impl CatchUp {
    /// Fetches from the store that `follower` reads, and from `peers`.
    pub fn new(peers: Peers, follower: StoreFollower) -> Self {
        Self { peers, follower }
    }

    /// Runs until it is dropped.
    pub async fn run(self) {
        loop {
            let notice = self.peers.next_newer_table().await;
            if !notice.is_omitted && self.follower.sync_state.source() != UpdateSource::Unassigned {
                self.wait_for_update(notice.version).await;
            }
            self.fetch(notice).await;
        }
    }

    /// Waits until the regular updates have delivered `version`, or [`UPDATE_GRACE`] is over.
    async fn wait_for_update(&self, version: RoutingVersion) {
        let mut versions = self.follower.routing.subscribe();
        let arrival = versions.wait_for(|known| *known >= version);
        // A table that has not arrived in time is fetched by the caller.
        let _ = timeout(UPDATE_GRACE, arrival).await;
    }

    /// Attempts to fetch until the newest known version is in force.
    async fn fetch(&self, notice: NewerTableNotice) {
        let first = if notice.is_omitted { Source::Store } else { Source::Peer };
        let mut source = first;
        let mut address = Some(notice.address);
        let mut retry = RETRY_FIRST;
        while self.is_behind() {
            // Beside a transfer that makes progress only peers are queried, for small changes.
            let is_transferring = self.follower.transfers.is_any_progressing();
            match source {
                Source::Store if is_transferring => {}
                Source::Store => self.follower.fetch_routing_table().await,
                Source::Peer => {
                    if let Some(address) =
                        address.take().or_else(|| self.peers.choose_newer_source())
                    {
                        self.peers.fetch_routing(address).await;
                    }
                }
            }
            source = self.next_source(source);
            if self.is_behind() {
                sleep(jittered(retry)).await;
                if source == first {
                    retry = (retry * 2).min(RETRY_MAX);
                }
            }
        }
    }

    fn is_behind(&self) -> bool {
        let routing = &self.follower.routing;
        routing.newest_version() > routing.version()
    }

    /// Returns the source to use after `source`. An unavailable store is left to its follower,
    /// which retries it anyway.
    fn next_source(&self, source: Source) -> Source {
        match source {
            Source::Peer if self.follower.sync_state.source() != UpdateSource::Unassigned => {
                Source::Store
            }
            Source::Peer | Source::Store => Source::Peer,
        }
    }
}
