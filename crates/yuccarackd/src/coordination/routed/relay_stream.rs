//! News for daemons that don't ask the store: lines of one answer that goes on.

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
        peer_news::{NewsQuestion, PeerNews},
    },
    state::routed::news_source::{KnownTables, NewsSource},
};

/// Time after which an empty line says that the relay is there.
///
/// Failure: a relay is suspended or cut off, its connection stands, and those that it tells miss a
/// change that has to be in force within 2 s. An empty line is some 90 bytes with its headers.
pub const RELAY_KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Most routes in a whole table for a daemon that doesn't take changes; a route takes some 200 bytes.
const WHOLE_ROUTES_MAX: usize = 100;

/// Pause before a line, so that rows which come together are told together; small against the 2 s in
/// which a change has to be in force.
const GATHERING: Duration = Duration::from_millis(10);

/// Longest wait of a relay that has just started until it knows the tables, before its first line.
///
/// Failure: all daemons lose power and return together. Those that are told ask a relay before it has
/// read the tables, take it for none, and all of them ask the store.
const START_MAX: Duration = Duration::from_millis(300);

/// The same for a daemon that knows no routes, and so waits for longer.
const START_MAX_WITHOUT_ROUTES: Duration = Duration::from_millis(800);

/// Lines for one daemon.
pub struct RelayStream {
    peers: Peers,
    /// What it doesn't know yet.
    question: NewsQuestion,
    routing: watch::Receiver<u64>,
    evacuations: watch::Receiver<u64>,
    known: watch::Receiver<KnownTables>,
    source: watch::Receiver<NewsSource>,
    is_first: bool,
    has_ended: bool,
}

impl RelayStream {
    /// Answers `question` from what `peers` knows.
    pub fn new(peers: Peers, question: NewsQuestion) -> Self {
        let parts = peers.parts();
        parts.counters.add("relay.asked");
        let (routing, known) = (parts.routing.subscribe(), parts.news.subscribe_known());
        let evacuations = parts.evacuations.subscribe();
        let source = parts.news.subscribe();
        let (is_first, has_ended) = (true, false);
        Self { peers, question, routing, evacuations, known, source, is_first, has_ended }
    }

    /// The lines as a body. It is driven by its connection and ends with it.
    pub fn into_body(self) -> CallBody {
        let lines = stream::unfold(self, |mut lines| async move {
            let line = lines.next().await?;
            Some((Ok::<_, Infallible>(Frame::data(line)), lines))
        });
        StreamBody::new(lines).map_err(|never| match never {}).boxed_unsync()
    }

    /// The next line; none after one that says that this daemon is no relay, or no longer.
    async fn next(&mut self) -> Option<Bytes> {
        if self.has_ended {
            return None;
        }
        if std::mem::take(&mut self.is_first) {
            self.wait_started().await;
        } else if !self.changes().await {
            return Some(Bytes::from_static(b"\n"));
        }
        let is_leaving = self.peers.parts().leaving.is_cancelled();
        let known = if is_leaving { None } else { self.peers.parts().news.to_relay() };
        let mut news = self.peers.news_for(&self.question, known);
        news.routing.take_if(|table| table.routes.len() > WHOLE_ROUTES_MAX);
        self.has_ended = news.known.is_none();
        self.note(&news);
        match serde_json::to_vec(&news) {
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

    /// Waits until the tables are known here, for a time that the asker waits too.
    async fn wait_started(&mut self) {
        let start_max = match self.question.routing_version {
            0 => START_MAX_WITHOUT_ROUTES,
            _ => START_MAX,
        };
        let (news, leaving) = (self.peers.parts().news.clone(), self.peers.parts().leaving.clone());
        let started = async {
            while news.is_starting() {
                tokio::select! {
                    () = leaving.cancelled() => return,
                    _ = self.known.changed() => {}
                    _ = self.source.changed() => {}
                }
            }
        };
        // The first line says what is known by then.
        let _ = timeout(start_max, started).await;
    }

    /// Waits for something to tell; false if there is nothing within [`RELAY_KEEPALIVE_INTERVAL`].
    async fn changes(&mut self) -> bool {
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
            // Not within the time for a change: cut off here, a change that was seen would never be
            // told.
            sleep(GATHERING).await;
        }
        is_changed
    }

    fn note(&mut self, news: &PeerNews) {
        self.question.routing_version = news.routing_version.max(self.question.routing_version);
        if let (Some(known), Some(after)) = (&news.known, &mut self.question.members_after) {
            *after = known.members.max(*after);
        }
    }
}
