//! Has this daemon told by another one of its failure domain, where that spares questions to the store.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::{Instant, error::Elapsed, sleep, sleep_until, timeout, timeout_at};
use yuccarack_config::ids::{DomainName, InstanceId};
use yuccarack_policy::relays::{Standing, standing};

use super::{
    lines::{RelayHeard, RelayLost},
    peers::Peers,
    relay_lines::LINE_INTERVAL,
};
use crate::{
    protocol::{
        body::{BodyError, CallBody},
        peer_news::{ChangesTaken, NewsQuestion, PeerNews},
    },
    state::routed::{
        news_source::{Followed, NewsSource},
        transfers::Transfers,
    },
    transport::{connection::SendError, upstream::Freshness},
};

/// Longest time without a line: two empty ones are missing, and a starved processor had 100 ms.
const SILENCE_MAX: Duration =
    LINE_INTERVAL.saturating_mul(2).saturating_add(Duration::from_millis(100));

/// Longest wait for a relay's first line. With [`SILENCE_MAX`] it is 1.5 s until the store is asked
/// again, so that a change is in force in time though the relay died with it.
const FIRST_LINE_MAX: Duration = Duration::from_millis(400);

/// The same for a daemon that has just started: its relay may start at the same time.
const FIRST_LINE_MAX_AT_START: Duration = Duration::from_secs(1);

/// Time after which a daemon that has started and knows no routes asks the store as well as its relays.
const RELAYS_ALONE_MAX: Duration = Duration::from_millis(400);

/// Time between two tries of relays that can't be reached in that time.
const RETRY_AT_START: Duration = Duration::from_millis(50);

/// Time for which a relay that was lost isn't asked again; a restart takes some 3 s.
const SHUN: Duration = Duration::from_secs(3);

/// The same for one that says that it is no relay: views of the members differ for as long while many
/// start, and a store that was away answers again.
const SHUN_NO_RELAY: Duration = Duration::from_secs(1);

/// Longest line that is taken: a routing table of 2,500 routes takes some 1 MB.
const LINE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Why a relay no longer tells.
#[derive(Debug, Error)]
pub enum RelayError {
    /// It could not be asked.
    #[error(transparent)]
    NotSent(#[from] SendError),
    /// Its answer broke off.
    #[error(transparent)]
    Cut(#[from] BodyError),
    /// It said nothing for too long.
    #[error("no line in time")]
    Silent(#[from] Elapsed),
    /// A line can't be read.
    #[error("a line can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A line is too long.
    #[error("a line is longer than {LINE_MAX_BYTES} bytes")]
    TooLong,
    /// It ended its answer.
    #[error("the answer ended")]
    Ended,
    /// It says that it doesn't ask the store, or goes.
    #[error("it is no relay, or no longer")]
    NoRelay,
}

/// Keeps this daemon told.
pub struct RelayFollower {
    peers: Peers,
    instance: InstanceId,
    failure_domain: DomainName,
    shunned_until: HashMap<InstanceId, Instant>,
    /// Until when a daemon without routes asks relays only.
    relays_alone_until: Instant,
}

impl RelayFollower {
    /// Keeps `instance` of `failure_domain` told, through `peers`.
    pub fn new(peers: Peers, instance: InstanceId, failure_domain: DomainName) -> Self {
        let relays_alone_until = Instant::now();
        Self { peers, instance, failure_domain, shunned_until: HashMap::new(), relays_alone_until }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        let members = self.peers.parts().members.clone();
        members.wait_read().await;
        self.relays_alone_until = Instant::now() + RELAYS_ALONE_MAX;
        let mut changes = members.subscribe();
        loop {
            changes.borrow_and_update();
            let Standing::IsTold(relays) = self.standing() else {
                self.peers.parts().news.set_asks_store(true);
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            match self.pick(&relays) {
                Ok((relay, address)) => self.listen(relay, address).await,
                // After a loss of power its relays may come back a moment later.
                Err(_) if self.waits_for_relays() => {
                    self.shunned_until.clear();
                    sleep(RETRY_AT_START).await;
                }
                Err(again_at) => {
                    self.peers.parts().news.set_asks_store(true);
                    tokio::select! {
                        () = sleep_until(again_at) => {}
                        changed = changes.changed() => if changed.is_err() { return },
                    }
                }
            }
        }
    }

    /// Whether this daemon has just started and asks relays only.
    fn waits_for_relays(&self) -> bool {
        self.peers.parts().routing.version() == 0 && Instant::now() < self.relays_alone_until
    }

    fn standing(&self) -> Standing {
        let members = self.peers.parts().members.all();
        let near = members.iter().filter(|member| member.failure_domain == self.failure_domain);
        standing(&self.instance, near.map(|member| member.instance.as_str()))
    }

    /// The first of `relays` that isn't shunned, or when the first of them can be asked again.
    fn pick(&mut self, relays: &[InstanceId]) -> Result<(InstanceId, SocketAddr), Instant> {
        let now = Instant::now();
        self.shunned_until.retain(|_, until| *until > now);
        let members = &self.peers.parts().members;
        for relay in relays.iter().filter(|relay| !self.shunned_until.contains_key(*relay)) {
            if let (_, Some(member)) = members.row(relay) {
                return Ok((relay.clone(), member.gate_address));
            }
        }
        Err(self.shunned_until.values().min().copied().unwrap_or(now + SHUN))
    }

    /// Takes news of `relay` until it fails, or until this daemon is to ask the store itself.
    async fn listen(&mut self, relay: InstanceId, address: SocketAddr) {
        let Err(error) = self.take_lines_or_ask(&relay, address).await else { return };
        let parts = self.peers.parts();
        parts.counters.add("relay.lost");
        let cause = error.to_string();
        parts.events.write(|| RelayLost { relay: relay.clone(), cause });
        let shun = if matches!(error, RelayError::NoRelay) { SHUN_NO_RELAY } else { SHUN };
        self.shunned_until.insert(relay, Instant::now() + shun);
    }

    /// Takes lines; a daemon that has neither routes nor a line after a while asks the store besides.
    async fn take_lines_or_ask(&self, relay: &str, address: SocketAddr) -> Result<(), RelayError> {
        let parts = self.peers.parts();
        let mut lines = std::pin::pin!(self.take_lines(relay, address));
        if let Ok(result) = timeout_at(self.relays_alone_until, &mut lines).await {
            return result;
        }
        if parts.routing.version() == 0 && parts.news.source() != NewsSource::Relay {
            parts.news.set_asks_store(true);
        }
        lines.await
    }

    async fn take_lines(&self, relay: &str, address: SocketAddr) -> Result<(), RelayError> {
        let parts = self.peers.parts();
        let question = NewsQuestion {
            routing_version: parts.routing.version(),
            members_after: Some(parts.news.known_up_to(Followed::Members).unwrap_or(0)),
            is_lasting: true,
            changes: ChangesTaken::Small,
        };
        let first_line_max = match parts.routing.version() {
            0 => FIRST_LINE_MAX_AT_START,
            _ => FIRST_LINE_MAX,
        };
        let asked = self.peers.send(address, &question, Freshness::New);
        let mut lines = Lines::new(timeout(first_line_max, asked).await??.into_body());
        let mut silence_max = first_line_max;
        loop {
            let line = lines.next(silence_max, &parts.transfers).await?;
            silence_max = SILENCE_MAX;
            if line.is_empty() {
                continue;
            }
            let news: PeerNews = serde_json::from_slice(&line)?;
            let (known, version) = (news.known.clone(), news.routing_version);
            let is_left_out = news.routing.is_none() && news.changes.is_none();
            self.peers.take(address, news);
            // Fetched beside the lines, so that those which follow don't wait.
            match is_left_out {
                true => self.peers.note_left_out(address, version),
                false => self.peers.heard_version(address, version),
            }
            // What it knows is true all the same, but there will be no more of it.
            let known = known.ok_or(RelayError::NoRelay)?;
            parts.news.heard_known(known, parts.routing.version() >= version);
            parts.news.set_asks_store(false);
            if parts.news.set_source(NewsSource::Relay) != NewsSource::Relay {
                parts.events.write(|| RelayHeard { relay: relay.to_owned() });
            }
            if self.standing() == Standing::Asks {
                return Ok(());
            }
        }
    }
}

/// Lines of an answer that goes on.
struct Lines {
    body: CallBody,
    read: BytesMut,
}

impl Lines {
    fn new(body: CallBody) -> Self {
        Self { body, read: BytesMut::new() }
    }

    /// The next line without its end; a long one may take as long as no pause exceeds `silence_max`.
    async fn next(
        &mut self,
        silence_max: Duration,
        transfers: &Transfers,
    ) -> Result<Bytes, RelayError> {
        let transfer = transfers.begin();
        loop {
            if let Some(end) = self.read.iter().position(|byte| *byte == b'\n') {
                let line = self.read.split_to(end).freeze();
                self.read.advance(1);
                return Ok(line);
            }
            if self.read.len() > LINE_MAX_BYTES {
                return Err(RelayError::TooLong);
            }
            let frame = timeout(silence_max, self.body.frame()).await?;
            let frame = frame.ok_or(RelayError::Ended)??;
            if let Ok(data) = frame.into_data() {
                transfer.note(data.len());
                self.read.extend_from_slice(&data);
            }
        }
    }
}
