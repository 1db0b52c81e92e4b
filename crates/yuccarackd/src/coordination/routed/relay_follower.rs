//! Receives updates from a relay of the own failure domain, which saves queries to the store.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::{Instant, error::Elapsed, sleep, sleep_until, timeout, timeout_at};
use yuccarack_config::ids::{DomainName, InstanceId};
use yuccarack_policy::relays::{RelayRole, relay_role, store_poll_interval};

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
        peer_update::{AcceptedChanges, PeerUpdate, UpdateRequest},
    },
    state::routed::{
        transfers::Transfers,
        update_source::{FollowedTable, UpdateSource},
    },
    transport::{connection::SendError, upstream::Freshness},
};

/// Longest time without a line: two keepalive lines are missing, with 100 ms of slack for a starved
/// processor.
const SILENCE_MAX: Duration =
    RELAY_KEEPALIVE_INTERVAL.saturating_mul(2).saturating_add(Duration::from_millis(100));

/// Longest wait for a relay's first line. Together with [`SILENCE_MAX`] it takes 1.5 s until the
/// store is queried again, so that a change is in force in time although the relay failed with it.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for the first line at a daemon's start, as its relay may start at the same time.
const FIRST_LINE_TIMEOUT_AT_START: Duration = Duration::from_secs(1);

/// Time after which a daemon that has started and knows no routes queries the store beside its
/// relays.
const RELAYS_ONLY_MAX: Duration = Duration::from_millis(400);

/// Delay between two attempts at relays that can't be reached within that time.
const RETRY_AT_START: Duration = Duration::from_millis(50);

/// Time for which a lost relay is avoided; a restart takes about 3 s.
const AVOID_LOST: Duration = Duration::from_secs(3);

/// Time for which a daemon that reports that it is no relay is avoided. While many daemons start,
/// their views of the members differ for about as long, and an unavailable store may be available
/// again. The time grows with the time in which the store serves no relay.
const AVOID_NO_RELAY: Duration = Duration::from_secs(1);

/// Longest such time; peers are queried for changes meanwhile.
const AVOID_NO_RELAY_MAX: Duration = Duration::from_secs(4);

/// Longest line that is accepted; a routing table of 2,500 routes takes about 1 MB.
const LINE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Why a relay no longer sends updates.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The query could not be sent.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response was cut off.
    #[error(transparent)]
    Interrupted(#[from] BodyError),
    /// No line arrived in time.
    #[error("no line from the relay in time")]
    Timeout(#[from] Elapsed),
    /// A line can't be parsed.
    #[error("a line of the relay can't be parsed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A line exceeds `LINE_MAX_BYTES`.
    #[error("a line of the relay exceeds {LINE_MAX_BYTES} bytes")]
    LineTooLong,
    /// The relay ended its response.
    #[error("the relay ended its response")]
    Closed,
    /// The daemon reports that it doesn't query the store, or that it is leaving.
    #[error("the peer reports that it is not a relay")]
    NotRelay,
}

/// A relay that is not queried for a while.
#[derive(Clone, Copy, Debug)]
struct AvoidedRelay {
    until: Instant,
    /// Whether the relay responded that the store doesn't serve it.
    is_unserved: bool,
}

/// A period in which the store serves no relay.
#[derive(Clone, Copy, Debug)]
struct UnservedPeriod {
    since: Instant,
    /// When this daemon next polls the store to find out whether the store serves it.
    poll_at: Instant,
}

/// Why no relay can be queried.
#[derive(Clone, Copy, Debug)]
struct NoRelayAvailable {
    /// When the first relay can be queried again.
    retry_at: Instant,
    /// Whether all relays responded that the store doesn't serve them.
    are_unserved: bool,
}

/// Keeps this daemon's tables up to date through a relay, and decides when it queries the store.
pub struct RelayFollower {
    peers: Peers,
    instance: InstanceId,
    failure_domain: DomainName,
    avoided: HashMap<InstanceId, AvoidedRelay>,
    /// Set while all relays are reachable and the store serves none of them.
    unserved: Option<UnservedPeriod>,
    store: StoreClient,
    /// Until when a daemon without routes queries relays only.
    relays_only_until: Instant,
}

impl RelayFollower {
    /// Creates the follower of `instance` in `failure_domain`, which queries relays through
    /// `peers`, and `store` where the store serves no relay.
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
            avoided: HashMap::new(),
            unserved: None,
            store,
            relays_only_until: Instant::now(),
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        let members = self.peers.parts().members.clone();
        members.wait_loaded().await;
        self.relays_only_until = Instant::now() + RELAYS_ONLY_MAX;
        let mut changes = members.subscribe();
        loop {
            changes.borrow_and_update();
            let RelayRole::Follower(relays) = self.standing() else {
                self.peers.parts().sync_state.set_queries_store(true);
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            match self.choose_relay(&relays) {
                Ok((relay, address)) => self.follow_relay(relay, address).await,
                // After a loss of power its relays may come back a moment later.
                Err(_) if self.is_waiting_for_relays() => {
                    self.avoided.clear();
                    sleep(RETRY_AT_START).await;
                }
                Err(none) => {
                    let wake_at = self.query_store_without_relay(none).await;
                    tokio::select! {
                        () = sleep_until(wake_at) => {}
                        changed = changes.changed() => if changed.is_err() { return },
                    }
                }
            }
        }
    }

    /// Returns whether this daemon has just started and queries relays only.
    fn is_waiting_for_relays(&self) -> bool {
        self.peers.parts().routing.version() == 0 && Instant::now() < self.relays_only_until
    }

    fn standing(&self) -> RelayRole {
        let members = self.peers.parts().members.all();
        let local = members.iter().filter(|member| member.failure_domain == self.failure_domain);
        relay_role(&self.instance, local.map(|member| member.instance.as_str()))
    }

    /// Lets the store be queried in place of relays; while those are reachable, only at this
    /// daemon's turn. Returns when to go on.
    async fn query_store_without_relay(&mut self, none: NoRelayAvailable) -> Instant {
        let sync_state = self.peers.parts().sync_state.clone();
        let is_served = sync_state.queries_store() && sync_state.source() == UpdateSource::Store;
        let has_routes = self.peers.parts().routing.version() > 0;
        if is_served || !none.are_unserved || !has_routes {
            sync_state.set_queries_store(true);
            return none.retry_at;
        }
        sync_state.set_queries_store(false);
        sync_state.set_source(UpdateSource::Unassigned);
        let interval = store_poll_interval(self.domain_size());
        let now = Instant::now();
        let new_period =
            || UnservedPeriod { since: now, poll_at: now + interval.mul_f64(rand::random()) };
        let unserved = self.unserved.get_or_insert_with(new_period);
        if unserved.poll_at > now {
            return unserved.poll_at.min(none.retry_at);
        }
        unserved.poll_at = now + jittered(interval);
        if self.store.row(MEMBERS_TABLE, &self.instance).await.is_ok() {
            // Other daemons find out by querying all daemons that they know.
            sync_state.set_queries_store(true);
        }
        none.retry_at
    }

    fn domain_size(&self) -> usize {
        let members = self.peers.parts().members.all();
        members.iter().filter(|member| member.failure_domain == self.failure_domain).count()
    }

    /// Returns the first of `relays` that isn't avoided.
    fn choose_relay(
        &mut self,
        relays: &[InstanceId],
    ) -> Result<(InstanceId, SocketAddr), NoRelayAvailable> {
        let now = Instant::now();
        let members = &self.peers.parts().members;
        let is_eligible = |relay: &&InstanceId| {
            self.avoided.get(*relay).is_none_or(|avoided| avoided.until <= now)
        };
        for relay in relays.iter().filter(is_eligible) {
            if let (_, Some(member)) = members.row(relay) {
                return Ok((relay.clone(), member.gate_address));
            }
        }
        let avoided = relays.iter().filter_map(|relay| self.avoided.get(relay));
        let retry_at =
            avoided.clone().map(|avoided| avoided.until).min().unwrap_or(now + AVOID_LOST);
        let are_unserved =
            avoided.clone().count() > 0 && avoided.clone().all(|relay| relay.is_unserved);
        Err(NoRelayAvailable { retry_at, are_unserved })
    }

    /// Applies updates of `relay` until it fails, or until this daemon is to query the store
    /// itself.
    async fn follow_relay(&mut self, relay: InstanceId, address: SocketAddr) {
        let Err(error) = self.receive_lines_or_query_store(&relay, address).await else { return };
        let parts = self.peers.parts();
        parts.counters.add("relay.lost");
        let cause = error.to_string();
        parts.events.write(|| RelayLost { relay: relay.clone(), cause });
        if parts.sync_state.source() == UpdateSource::Relay {
            self.unserved = None;
        }
        let is_unserved = matches!(error, RelayError::NotRelay);
        let unserved_for =
            self.unserved.map_or(Duration::ZERO, |unserved| unserved.since.elapsed());
        let avoid_for = match is_unserved {
            true => unserved_for.clamp(AVOID_NO_RELAY, AVOID_NO_RELAY_MAX),
            false => AVOID_LOST,
        };
        self.avoided.insert(relay, AvoidedRelay { until: Instant::now() + avoid_for, is_unserved });
    }

    /// Receives lines; a daemon that has neither routes nor a line after a while queries the store
    /// as well.
    async fn receive_lines_or_query_store(
        &self,
        relay: &str,
        address: SocketAddr,
    ) -> Result<(), RelayError> {
        let parts = self.peers.parts();
        let mut lines = std::pin::pin!(self.receive_lines(relay, address));
        if let Ok(result) = timeout_at(self.relays_only_until, &mut lines).await {
            return result;
        }
        if parts.routing.version() == 0 && parts.sync_state.source() != UpdateSource::Relay {
            parts.sync_state.set_queries_store(true);
        }
        lines.await
    }

    async fn receive_lines(&self, relay: &str, address: SocketAddr) -> Result<(), RelayError> {
        let parts = self.peers.parts();
        let query = UpdateRequest {
            routing_version: parts.routing.version(),
            members_after: Some(parts.sync_state.synced_up_to(FollowedTable::Members).unwrap_or(0)),
            is_streaming: true,
            changes: AcceptedChanges::Small,
        };
        let first_line_timeout = match parts.routing.version() {
            0 => FIRST_LINE_TIMEOUT_AT_START,
            _ => FIRST_LINE_TIMEOUT,
        };
        let sent = self.peers.send(address, &query, Freshness::New);
        let mut lines = LineReader::new(timeout(first_line_timeout, sent).await??.into_body());
        let mut silence_max = first_line_timeout;
        loop {
            let line = lines.next(silence_max, &parts.transfers).await?;
            silence_max = SILENCE_MAX;
            if line.is_empty() {
                continue;
            }
            let update: PeerUpdate = serde_json::from_slice(&line)?;
            let (known, version) = (update.known.clone(), update.routing_version);
            let is_omitted = update.routing.is_none() && update.changes.is_none();
            self.peers.apply_update(address, update);
            // Fetched separately, so that the following lines don't wait.
            match is_omitted {
                true => self.peers.note_omitted_table(address, version),
                false => self.peers.note_version(address, version),
            }
            // The update of a daemon that is no relay is valid all the same, but no more will
            // follow.
            let known = known.ok_or(RelayError::NotRelay)?;
            parts.sync_state.note_relay_synced(known, parts.routing.version() >= version);
            parts.sync_state.set_queries_store(false);
            if parts.sync_state.set_source(UpdateSource::Relay) != UpdateSource::Relay {
                parts.events.write(|| RelayConnected { relay: relay.to_owned() });
            }
            if self.standing() == RelayRole::Relay {
                return Ok(());
            }
        }
    }
}

/// Reads the lines of a streaming response.
struct LineReader {
    body: CallBody,
    buffer: BytesMut,
}

impl LineReader {
    fn new(body: CallBody) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// Returns the next line without its end. A long line may take any time as long as no pause
    /// exceeds `silence_max`.
    async fn next(
        &mut self,
        silence_max: Duration,
        transfers: &Transfers,
    ) -> Result<Bytes, RelayError> {
        let transfer = transfers.begin();
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                return Ok(line);
            }
            if self.buffer.len() > LINE_MAX_BYTES {
                return Err(RelayError::LineTooLong);
            }
            let frame = timeout(silence_max, self.body.frame()).await?;
            let frame = frame.ok_or(RelayError::Closed)??;
            if let Ok(data) = frame.into_data() {
                transfer.record_bytes(data.len());
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
