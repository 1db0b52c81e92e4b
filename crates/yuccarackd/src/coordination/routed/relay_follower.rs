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
    store_client::{StoreClient, StorePurpose},
    store_follower::MEMBERS_TABLE,
};
use crate::{
    coordination::jitter::jittered,
    protocol::{
        body::{BodyError, CallBody},
        peer_update::{AcceptedChanges, PeerUpdate, UpdateRequest},
    },
    state::routed::{
        known_relays::KnownRelays,
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

/// Time in which a daemon that starts tries to load the members from relays. Callers are to be served
/// about a second after a loss of all power.
const LOAD_BY_RELAYS_MAX: Duration = Duration::from_secs(1);

/// Delay between two attempts at relays that can't be reached, until [`RELAYS_ONLY_MAX`] has
/// passed.
const RETRY_AT_START: Duration = Duration::from_millis(50);

/// Time for which a lost relay is avoided; a restart takes about 3 s.
const AVOID_LOST: Duration = Duration::from_secs(3);

/// First time for which a daemon that reports that it is no relay is avoided. While many daemons
/// start, their lists of members differ for about 1 s, and an unavailable store may be available
/// again after it. The time grows with the store's outage, up to [`AVOID_NO_RELAY_MAX`].
const AVOID_NO_RELAY: Duration = Duration::from_secs(1);

/// Longest time for which a daemon that reports that it is no relay is avoided; peers are queried
/// for changes meanwhile.
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
    /// Whether the daemon reported that it is no relay: it doesn't query the store, gets no
    /// response from it, or is leaving.
    is_not_relay: bool,
}

/// A period in which all relays are reachable but report that they are none, usually because the
/// store is unavailable.
#[derive(Clone, Copy, Debug)]
struct StoreOutage {
    since: Instant,
    /// When this daemon next queries the store to find out whether it responds.
    poll_at: Instant,
}

/// Why no relay can be queried.
#[derive(Clone, Copy, Debug)]
struct NoRelayAvailable {
    /// When the first relay can be queried again.
    retry_at: Instant,
    /// Whether all of them reported that they are no relays.
    are_all_not_relays: bool,
}

/// Dependencies of a [`RelayFollower`].
pub struct RelayFollowerParts {
    /// Exchange with other daemons.
    pub peers: Peers,
    /// Client of the store, for an outage of the relays.
    pub store: StoreClient,
    /// Relays found at the start.
    pub known_relays: KnownRelays,
    /// Earliest time of the first query.
    pub first_read_at: Instant,
    /// This instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: DomainName,
}

/// Keeps this daemon's tables up to date through a relay, and decides when it queries the store.
pub struct RelayFollower {
    peers: Peers,
    instance: InstanceId,
    failure_domain: DomainName,
    avoided: HashMap<InstanceId, AvoidedRelay>,
    /// Set while all relays are reachable but report that they are none.
    outage: Option<StoreOutage>,
    store: StoreClient,
    /// Relays found at the start.
    known_relays: KnownRelays,
    /// Earliest time of the first query, by which the relays have read the members.
    first_read_at: Instant,
    /// Until when a daemon without routes queries relays only.
    relays_only_until: Instant,
}

impl RelayFollower {
    /// Creates a follower without a relay.
    pub fn new(parts: RelayFollowerParts) -> Self {
        let RelayFollowerParts {
            peers,
            store,
            known_relays,
            first_read_at,
            instance,
            failure_domain,
        } = parts;
        Self {
            peers,
            instance,
            failure_domain,
            avoided: HashMap::new(),
            outage: None,
            store,
            known_relays,
            first_read_at,
            relays_only_until: Instant::now(),
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        let members = self.peers.parts().members.clone();
        self.load_members().await;
        members.wait_loaded().await;
        self.relays_only_until = Instant::now() + RELAYS_ONLY_MAX;
        let mut changes = members.subscribe();
        loop {
            changes.borrow_and_update();
            let RelayRole::Follower(relays) = self.own_role() else {
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

    /// Loads the members from one of the relays found at the start, unless the store provides them
    /// first, and follows it from then on.
    ///
    /// When a failure domain returns after a loss of power, its relays start at the same time and load
    /// the members from others first, so they are queried more than once.
    async fn load_members(&mut self) {
        let members = self.peers.parts().members.clone();
        let relays = tokio::select! {
            () = members.wait_loaded() => return,
            relays = self.known_relays.wait_found() => relays,
        };
        let RelayRole::Follower(candidates) = relays.role_of(&self.instance) else { return };
        sleep_until(self.first_read_at).await;
        let until = Instant::now() + LOAD_BY_RELAYS_MAX;
        self.relays_only_until = until;
        while Instant::now() < until {
            for relay in &candidates {
                if let Some(address) = relays.gate_address(relay) {
                    self.follow_relay(relay.clone(), address).await;
                }
                if members.is_loaded() {
                    return;
                }
            }
            sleep(RETRY_AT_START).await;
        }
        self.known_relays.mark_failed();
    }

    /// Returns whether this daemon has just started and queries relays only.
    fn is_waiting_for_relays(&self) -> bool {
        self.peers.parts().routing.version() == 0 && Instant::now() < self.relays_only_until
    }

    /// Returns whether this daemon is a relay of its failure domain, or which relays it follows.
    fn own_role(&self) -> RelayRole {
        let members = self.peers.parts().members.all();
        let local = members.iter().filter(|member| member.failure_domain == self.failure_domain);
        relay_role(&self.instance, local.map(|member| member.instance.as_str()))
    }

    /// Queries the store in place of relays, and returns when to query relays again.
    ///
    /// If all relays are reachable but report that they are none, the store is probably
    /// unavailable. A daemon with routes then only probes it once in a jittered interval, which
    /// grows with the failure domain, to bound the load of all daemons together.
    async fn query_store_without_relay(&mut self, none: NoRelayAvailable) -> Instant {
        let sync_state = self.peers.parts().sync_state.clone();
        let is_store_in_use =
            sync_state.queries_store() && sync_state.source() == UpdateSource::Store;
        let has_routes = self.peers.parts().routing.version() > 0;
        if is_store_in_use || !none.are_all_not_relays || !has_routes {
            sync_state.set_queries_store(true);
            return none.retry_at;
        }
        sync_state.set_queries_store(false);
        sync_state.set_source(UpdateSource::None);
        let interval = store_poll_interval(self.domain_size());
        let now = Instant::now();
        let new_outage =
            || StoreOutage { since: now, poll_at: now + interval.mul_f64(rand::random()) };
        let outage = self.outage.get_or_insert_with(new_outage);
        if outage.poll_at > now {
            return outage.poll_at.min(none.retry_at);
        }
        outage.poll_at = now + jittered(interval);
        if self.store.row(StorePurpose::OutageProbe, MEMBERS_TABLE, &self.instance).await.is_ok() {
            // Other daemons get the changes that this one reads, as they query random daemons.
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
        let are_all_not_relays =
            avoided.clone().count() > 0 && avoided.clone().all(|relay| relay.is_not_relay);
        Err(NoRelayAvailable { retry_at, are_all_not_relays })
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
            self.outage = None;
        }
        let is_not_relay = matches!(error, RelayError::NotRelay);
        let outage_duration = self.outage.map_or(Duration::ZERO, |outage| outage.since.elapsed());
        let avoid_for = match is_not_relay {
            true => outage_duration.clamp(AVOID_NO_RELAY, AVOID_NO_RELAY_MAX),
            false => AVOID_LOST,
        };
        self.avoided
            .insert(relay, AvoidedRelay { until: Instant::now() + avoid_for, is_not_relay });
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
            accepts_packed_members: true,
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
            let is_table_missing = update.routing.is_none() && update.changes.is_none();
            self.peers.apply_update(address, update);
            // Fetched separately, so that the following lines don't wait.
            match is_table_missing {
                true => self.peers.note_missing_table(address, version),
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
            if self.own_role() == RelayRole::StoreRelay {
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
