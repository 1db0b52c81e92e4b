//! Has this daemon told by another one of its failure domain, where that spares questions to the store.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::{Instant, error::Elapsed, sleep, sleep_until, timeout, timeout_at};
use yuccarack_config::ids::{DomainName, InstanceId};
use yuccarack_policy::relays::{Standing, standing, store_look_interval};

use super::{
    log_lines::{RelayConnected, RelayLost},
    peers::Peers,
    relay_stream::RELAY_KEEPALIVE_INTERVAL,
    store_client::StoreClient,
    store_follower::MEMBERS_TABLE,
};
use crate::{
    coordination::jitter::jittered,
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
    RELAY_KEEPALIVE_INTERVAL.saturating_mul(2).saturating_add(Duration::from_millis(100));

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
/// start, and a store that was away answers again. The longer no relay is served, the longer it is.
const SHUN_NO_RELAY: Duration = Duration::from_secs(1);

/// Longest such time; peers are asked for changes meanwhile.
const SHUN_NO_RELAY_MAX: Duration = Duration::from_secs(4);

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

/// A relay that isn't asked for a while.
#[derive(Clone, Copy, Debug)]
struct Shunned {
    until: Instant,
    /// Whether it answered, and the store doesn't serve it.
    is_unserved: bool,
}

/// A time in which the store serves no relay.
#[derive(Clone, Copy, Debug)]
struct Unserved {
    since: Instant,
    /// When this daemon asks the store next whether it serves this one.
    look_at: Instant,
}

/// Why no relay can be asked.
#[derive(Clone, Copy, Debug)]
struct NoneToAsk {
    /// When the first one can be asked again.
    again_at: Instant,
    /// Whether all of them answered, and the store serves none of them.
    are_unserved: bool,
}

/// Keeps this daemon told.
pub struct RelayFollower {
    peers: Peers,
    instance: InstanceId,
    failure_domain: DomainName,
    shunned: HashMap<InstanceId, Shunned>,
    /// Set while all relays are there and the store serves none of them.
    unserved: Option<Unserved>,
    store: StoreClient,
    /// Until when a daemon without routes asks relays only.
    relays_alone_until: Instant,
}

impl RelayFollower {
    /// Keeps `instance` of `failure_domain` told, through `peers`; `store` is asked where no relay is served.
    pub fn new(
        peers: Peers,
        store: StoreClient,
        instance: InstanceId,
        failure_domain: DomainName,
    ) -> Self {
        Self {
            peers,
            instance,
            failure_domain,
            shunned: HashMap::new(),
            unserved: None,
            store,
            relays_alone_until: Instant::now(),
        }
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
                    self.shunned.clear();
                    sleep(RETRY_AT_START).await;
                }
                Err(none) => {
                    let wake_at = self.ask_without_relay(none).await;
                    tokio::select! {
                        () = sleep_until(wake_at) => {}
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

    /// Has the store asked in place of relays, in its turn while those are there; returns when to go on.
    async fn ask_without_relay(&mut self, none: NoneToAsk) -> Instant {
        let news = self.peers.parts().news.clone();
        let is_served = news.asks_store() && news.source() == NewsSource::Store;
        let has_routes = self.peers.parts().routing.version() > 0;
        if is_served || !none.are_unserved || !has_routes {
            news.set_asks_store(true);
            return none.again_at;
        }
        news.set_asks_store(false);
        news.set_source(NewsSource::Nobody);
        let interval = store_look_interval(self.domain_size());
        let now = Instant::now();
        let first = || Unserved { since: now, look_at: now + interval.mul_f64(rand::random()) };
        let unserved = self.unserved.get_or_insert_with(first);
        if unserved.look_at > now {
            return unserved.look_at.min(none.again_at);
        }
        unserved.look_at = now + jittered(interval);
        if self.store.row(MEMBERS_TABLE, &self.instance).await.is_ok() {
            // The others find out by asking all that they know.
            news.set_asks_store(true);
        }
        none.again_at
    }

    fn domain_size(&self) -> usize {
        let members = self.peers.parts().members.all();
        members.iter().filter(|member| member.failure_domain == self.failure_domain).count()
    }

    /// The first of `relays` that isn't shunned.
    fn pick(&mut self, relays: &[InstanceId]) -> Result<(InstanceId, SocketAddr), NoneToAsk> {
        let now = Instant::now();
        let members = &self.peers.parts().members;
        let is_free = |relay: &&InstanceId| {
            self.shunned.get(*relay).is_none_or(|shunned| shunned.until <= now)
        };
        for relay in relays.iter().filter(is_free) {
            if let (_, Some(member)) = members.row(relay) {
                return Ok((relay.clone(), member.gate_address));
            }
        }
        let shunned = relays.iter().filter_map(|relay| self.shunned.get(relay));
        let again_at = shunned.clone().map(|shunned| shunned.until).min().unwrap_or(now + SHUN);
        let are_unserved =
            shunned.clone().count() > 0 && shunned.clone().all(|one| one.is_unserved);
        Err(NoneToAsk { again_at, are_unserved })
    }

    /// Takes news of `relay` until it fails, or until this daemon is to ask the store itself.
    async fn listen(&mut self, relay: InstanceId, address: SocketAddr) {
        let Err(error) = self.take_lines_or_ask(&relay, address).await else { return };
        let parts = self.peers.parts();
        parts.counters.add("relay.lost");
        let cause = error.to_string();
        parts.events.write(|| RelayLost { relay: relay.clone(), cause });
        if parts.news.source() == NewsSource::Relay {
            self.unserved = None;
        }
        let is_unserved = matches!(error, RelayError::NoRelay);
        let unserved_for =
            self.unserved.map_or(Duration::ZERO, |unserved| unserved.since.elapsed());
        let shun = match is_unserved {
            true => unserved_for.clamp(SHUN_NO_RELAY, SHUN_NO_RELAY_MAX),
            false => SHUN,
        };
        self.shunned.insert(relay, Shunned { until: Instant::now() + shun, is_unserved });
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
            let is_omitted = news.routing.is_none() && news.changes.is_none();
            self.peers.take(address, news);
            // Fetched beside the lines, so that those which follow don't wait.
            match is_omitted {
                true => self.peers.note_omitted_table(address, version),
                false => self.peers.note_version(address, version),
            }
            // What it knows is true all the same, but there will be no more of it.
            let known = known.ok_or(RelayError::NoRelay)?;
            parts.news.heard_known(known, parts.routing.version() >= version);
            parts.news.set_asks_store(false);
            if parts.news.set_source(NewsSource::Relay) != NewsSource::Relay {
                parts.events.write(|| RelayConnected { relay: relay.to_owned() });
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
