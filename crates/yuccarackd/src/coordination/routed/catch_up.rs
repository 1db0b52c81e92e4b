//! Fetches a routing table that is known to exist and that the usual news have not brought.

use std::time::Duration;

use tokio::time::{sleep, timeout};
use yuccarack_config::routing::RoutingVersion;

use super::{
    peers::{NewerTableNotice, Peers},
    store_follower::StoreFollower,
};
use crate::{coordination::jitter::jittered, state::routed::news_source::NewsSource};

/// Time that the store's feed or a relay has to bring a newer table before it is fetched: they
/// usually bring it within 100 ms, and it costs no bytes between failure domains then.
const NEWS_FIRST: Duration = Duration::from_millis(600);

/// First wait after a try that did not bring the table; it doubles after a try of each source.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest such wait.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Fetches newer routing tables, from the store and from peers by turns.
///
/// Failure: a daemon reads a whole table from the store and from a peer at the same time, over one thin
/// link, and neither ends in time.
pub struct CatchUp {
    peers: Peers,
    follower: StoreFollower,
}

/// Where a table is fetched.
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
            let newer = self.peers.next_newer_table().await;
            if !newer.is_omitted && self.follower.news.source() != NewsSource::Nobody {
                self.wait_for_news(newer.version).await;
            }
            self.fetch(newer).await;
        }
    }

    /// Waits until the usual news have brought `version`, or their time is over.
    async fn wait_for_news(&self, version: RoutingVersion) {
        let mut versions = self.follower.routing.subscribe();
        let brought = versions.wait_for(|known| *known >= version);
        // Without the table in time it is fetched.
        let _ = timeout(NEWS_FIRST, brought).await;
    }

    /// Tries until the newest version that is known of is in force.
    async fn fetch(&self, newer: NewerTableNotice) {
        let first = if newer.is_omitted { Source::Store } else { Source::Peer };
        let mut source = first;
        let mut address = Some(newer.address);
        let mut retry = RETRY_FIRST;
        while self.is_behind() {
            // Beside a transfer that makes progress only peers are asked, for small changes.
            let is_on_its_way = self.follower.transfers.make_progress();
            match source {
                Source::Store if is_on_its_way => {}
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

    /// A store that doesn't answer is asked by its follower anyway.
    fn next_source(&self, source: Source) -> Source {
        match source {
            Source::Peer if self.follower.news.source() != NewsSource::Nobody => Source::Store,
            Source::Peer | Source::Store => Source::Peer,
        }
    }
}
