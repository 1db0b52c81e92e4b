//! Streams updates to daemons that don't query the store, as lines of one response.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use super::{log_lines::UpdateNotEncoded, peers::Peers};
use crate::{
    protocol::{
        body::CallBody,
        peer_update::{PeerUpdate, UpdateRequest},
    },
    state::routed::update_source::{SyncedTables, UpdateSource},
};

/// Time after which an empty line shows that the relay is alive.
///
/// The connection to a relay that is suspended or cut off stays open, and the daemons that follow
/// it would miss a change, which has to be in force within 2 s. An empty line takes about 90 bytes
/// with its headers.
pub const RELAY_KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Most routes in a full table for a daemon that doesn't take changes; a route takes about 200
/// bytes.
const FULL_TABLE_ROUTES_MAX: usize = 100;

/// Pause before a line, so that rows which arrive together are sent together. It is small against
/// the 2 s within which a change has to be in force.
const COALESCE_DELAY: Duration = Duration::from_millis(10);

/// Longest time that a relay which has just started waits for the tables before its first line.
///
/// When all daemons lose power and come back together, followers may query a relay before it has
/// read the tables. They would conclude that it is no relay, and all of them would query the store.
const START_WAIT_MAX: Duration = Duration::from_millis(300);

/// The same for a follower that knows no routes and therefore waits longer.
const START_WAIT_MAX_WITHOUT_ROUTES: Duration = Duration::from_millis(800);

/// The stream of updates to one daemon.
pub struct RelayStream {
    peers: Peers,
    /// What the daemon already has; moved forward with each update sent.
    query: UpdateRequest,
    routing: watch::Receiver<u64>,
    evacuations: watch::Receiver<u64>,
    known: watch::Receiver<SyncedTables>,
    source: watch::Receiver<UpdateSource>,
    is_first: bool,
    has_ended: bool,
}

impl RelayStream {
    /// Creates the response to `query`, from the state that `peers` has.
    pub fn new(peers: Peers, query: UpdateRequest) -> Self {
        let parts = peers.parts();
        parts.counters.add("relay.asked");
        let (routing, known) = (parts.routing.subscribe(), parts.sync_state.subscribe_synced());
        let evacuations = parts.evacuations.subscribe();
        let source = parts.sync_state.subscribe();
        let (is_first, has_ended) = (true, false);
        Self { peers, query, routing, evacuations, known, source, is_first, has_ended }
    }

    /// Converts the stream to a response body, which is driven by its connection and ends with it.
    pub fn into_body(self) -> CallBody {
        let lines = stream::unfold(self, |mut lines| async move {
            let line = lines.next().await?;
            Some((Ok::<_, Infallible>(Frame::data(line)), lines))
        });
        StreamBody::new(lines).map_err(|never| match never {}).boxed_unsync()
    }

    /// Returns the next line; none after the one that reports that this daemon is no relay, or no
    /// longer.
    async fn next(&mut self) -> Option<Bytes> {
        if self.has_ended {
            return None;
        }
        if std::mem::take(&mut self.is_first) {
            self.wait_until_started().await;
        } else if !self.wait_for_change().await {
            return Some(Bytes::from_static(b"\n"));
        }
        let is_leaving = self.peers.parts().leaving.is_cancelled();
        let known =
            if is_leaving { None } else { self.peers.parts().sync_state.synced_for_relay() };
        let mut update = self.peers.update_for(&self.query, known);
        update.routing.take_if(|table| table.routes.len() > FULL_TABLE_ROUTES_MAX);
        self.has_ended = update.known.is_none();
        self.mark_sent(&update);
        match serde_json::to_vec(&update) {
            Ok(mut line) => {
                line.push(b'\n');
                Some(line.into())
            }
            Err(error) => {
                let cause = error.to_string();
                self.peers.parts().events.write(|| UpdateNotEncoded { cause });
                None
            }
        }
    }

    /// Waits until the tables are known to this daemon, no longer than the follower waits.
    async fn wait_until_started(&mut self) {
        let start_wait_max = match self.query.routing_version {
            0 => START_WAIT_MAX_WITHOUT_ROUTES,
            _ => START_WAIT_MAX,
        };
        let (sync_state, leaving) =
            (self.peers.parts().sync_state.clone(), self.peers.parts().leaving.clone());
        let started = async {
            while sync_state.is_starting() {
                tokio::select! {
                    () = leaving.cancelled() => return,
                    _ = self.known.changed() => {}
                    _ = self.source.changed() => {}
                }
            }
        };
        // The first line carries what is known by then.
        let _ = timeout(start_wait_max, started).await;
    }

    /// Waits for something to send; returns false if there is nothing within
    /// [`RELAY_KEEPALIVE_INTERVAL`].
    async fn wait_for_change(&mut self) -> bool {
        let leaving = self.peers.parts().leaving.clone();
        let change = async {
            tokio::select! {
                () = leaving.cancelled() => {}
                _ = self.routing.changed() => {}
                _ = self.evacuations.changed() => {}
                _ = self.known.changed() => {}
                _ = self.source.changed() => {}
            }
        };
        let is_changed = timeout(RELAY_KEEPALIVE_INTERVAL, change).await.is_ok();
        if is_changed {
            // Outside of the timeout: if it fired during this pause, a change that was seen would
            // never be sent.
            sleep(COALESCE_DELAY).await;
        }
        is_changed
    }

    fn mark_sent(&mut self, update: &PeerUpdate) {
        self.query.routing_version = update.routing_version.max(self.query.routing_version);
        if let (Some(known), Some(after)) = (&update.known, &mut self.query.members_after) {
            *after = known.members.max(*after);
        }
    }
}
