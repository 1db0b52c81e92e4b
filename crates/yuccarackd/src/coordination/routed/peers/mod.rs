//! Exchanges updates with other daemons, for a daemon that the store doesn't serve or that lags
//! behind.

mod candidates;
mod intake;
mod newer_table;
mod store_warnings;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, Request, Response, StatusCode, header};
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use thiserror::Error;
use tokio::time::{Instant, error::Elapsed, sleep, timeout};
use tokio_util::sync::CancellationToken;
use yuccarack_config::ids::Revision;
use yuccarack_platform::transfer::{TransferError, read_full};

pub use self::newer_table::NewerTableNotice;
use self::newer_table::NewerTableNotices;
use super::{
    events::EventLog, log_lines::UpdateNotEncoded, members_packer::MembersPacker,
    relay_stream::RelayStream, routing_packer::RoutingPacker, store_follower::routing_not_fetched,
};
use crate::{
    coordination::jitter::jittered,
    protocol::{
        body::{self, BodyError, CallBody},
        packed_changes::PackedChanges,
        peer_update::{
            AcceptedChanges, PeerUpdate, SyncedRevisions, UpdateRequest, UpdateRequestError,
        },
    },
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations,
            members::Members,
            routing_state::RoutingState,
            transfers::Transfers,
            update_source::{FollowedTable, SyncState, UpdateSource},
        },
    },
    transport::{
        connection::SendError,
        upstream::{Freshness, Upstream},
    },
};

/// Time between two queries to peers while the store is unavailable: a change known to one daemon
/// reaches the others within a second or two.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a daemon that receives updates from the store queries a relay for a newer
/// routing table, in case its own polls have stalled.
///
/// The store may accept a poll and never respond, or its link may be cut while the connection
/// stands. Until the poll times out after half a minute, neither this daemon nor those that it
/// relays to learn of changes. A change has to be in force within 2 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Longest wait for the head of a peer's response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Most senders that are remembered as peers to query while no member is known.
const KNOWN_SENDERS_MAX: usize = 16;

/// Why a peer sent no update.
#[derive(Debug, Error)]
enum PeerError {
    /// The query could not be sent.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response didn't start in time.
    #[error("no response from the peer in time")]
    Timeout(#[from] Elapsed),
    /// The response was cut off or stalled.
    #[error(transparent)]
    Transfer(#[from] TransferError<BodyError>),
    /// The response can't be parsed.
    #[error("the peer's response can't be parsed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// What a daemon requests from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateScope {
    /// A newer routing table, if the peer has one.
    Routing,
    /// The changed members as well.
    All,
}

/// Queries peers for updates and responds to their queries; clones share its state.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

/// What [`Peers`] works with.
pub struct PeersParts {
    /// Gate address of this daemon, which is never queried.
    pub own_address: SocketAddr,
    /// The routing table in force.
    pub routing: RoutingState,
    /// Members known to this daemon.
    pub members: Members,
    /// Evacuated failure domains.
    pub evacuations: Evacuations,
    /// Source of this daemon's updates.
    pub sync_state: SyncState,
    /// Transfers of the routing table in progress.
    pub transfers: Transfers,
    /// Cancelled once this daemon is told to stop.
    pub leaving: CancellationToken,
    /// Connections to other gates.
    pub upstream: Upstream,
    /// Counters of queries and failures.
    pub counters: Counters,
    /// Log for received updates and failed queries.
    pub events: EventLog,
}

struct Inner {
    parts: PeersParts,
    packer: RoutingPacker,
    members_packer: MembersPacker,
    /// Daemons that sent requests to this one, queried while no member is known.
    senders: Mutex<Vec<SocketAddr>>,
    newer_tables: NewerTableNotices,
    /// Whether a peer's last changes could not be unpacked or applied, other than for their base
    /// version; the next query then requests all routes.
    needs_full_routing: AtomicBool,
    /// Held during a query, so that there is one at a time.
    query_lock: tokio::sync::Mutex<()>,
}

impl Peers {
    /// Starts without known senders or notices of newer tables.
    pub fn new(parts: PeersParts) -> Self {
        let packer = RoutingPacker::new(parts.routing.clone(), parts.events.clone());
        let newer_tables = NewerTableNotices::new(parts.routing.clone());
        let inner = Inner {
            parts,
            packer,
            members_packer: MembersPacker::default(),
            newer_tables,
            needs_full_routing: AtomicBool::new(false),
            senders: Mutex::default(),
            query_lock: tokio::sync::Mutex::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Notes a daemon that sent a request to this one.
    pub fn note_sender(&self, address: SocketAddr) {
        let mut senders = self.inner.senders.lock();
        if senders.len() < KNOWN_SENDERS_MAX && !senders.contains(&address) {
            senders.push(address);
        }
    }

    /// Queries random peers while this daemon has no other source of updates, and random relays
    /// while the store is its source.
    pub async fn run(self, stop: CancellationToken) {
        let mut source_changes = self.inner.parts.sync_state.subscribe();
        loop {
            let source = *source_changes.borrow_and_update();
            self.query_random_peer(source).await;
            let pause = if source == UpdateSource::None { QUERY_INTERVAL } else { CHECK_INTERVAL };
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(jittered(pause)) => {}
                changed = source_changes.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn query_random_peer(&self, source: UpdateSource) {
        let (scope, candidates) = match source {
            UpdateSource::None => (UpdateScope::All, self.all_addresses()),
            UpdateSource::Store => (UpdateScope::Routing, self.relays()),
            // The relay checks on behalf of all daemons that it sends updates to.
            UpdateSource::Relay => return,
        };
        let chosen = self.without_self(candidates).choose(&mut rand::rng()).copied();
        if let Some(address) = chosen {
            self.query(address, scope).await;
        }
    }

    /// Queries the daemon at `address` for a newer routing table and applies it.
    pub async fn fetch_routing(&self, address: SocketAddr) {
        self.query(address, UpdateScope::Routing).await;
    }

    /// Returns which changes of the routing table to request: beside a transfer that makes
    /// progress, only those small enough to leave its bandwidth alone.
    fn changes_to_request(&self) -> AcceptedChanges {
        match self.inner.parts.transfers.is_any_progressing() {
            true => AcceptedChanges::Small,
            false => AcceptedChanges::All,
        }
    }

    /// Responds to the query of a peer.
    pub fn respond(&self, query: Result<UpdateRequest, UpdateRequestError>) -> Response<CallBody> {
        let parts = &self.inner.parts;
        let Ok(query) = query else {
            parts.counters.add("peers.unreadable");
            return status_only(StatusCode::BAD_REQUEST);
        };
        if query.is_streaming {
            return Response::new(RelayStream::new(self.clone(), query).into_body());
        }
        match serde_json::to_vec(&self.update_for(&query, parts.sync_state.synced_for_relay())) {
            Ok(json) => Response::new(body::full(json.into())),
            Err(error) => {
                parts.events.write(|| UpdateNotEncoded { cause: error.to_string() });
                status_only(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Builds the update that `query` asks for; `known` is how far this daemon has synced the
    /// store.
    pub(in crate::coordination::routed) fn update_for(
        &self,
        query: &UpdateRequest,
        known: Option<SyncedRevisions>,
    ) -> PeerUpdate {
        let parts = &self.inner.parts;
        // Read before the table: otherwise a version whose table is not sent would count as sent.
        let routing_version = parts.routing.version();
        let is_newer = |version| version > query.routing_version;
        let (base, packer) = (query.routing_version, &self.inner.packer);
        let (routing, changes) = match query.changes {
            AcceptedChanges::None => (parts.routing.current(), None),
            AcceptedChanges::Small => (None, packer.small_changes_since(base)),
            AcceptedChanges::All => (None, packer.changes_since(base)),
        };
        let routing = routing.filter(|routing| is_newer(routing.version()));
        // Member rows that were deleted before this daemon's last full read of the table are not
        // recorded, so a query from an older revision gets all members (`is_whole`).
        let after = query.members_after;
        let knows_changes = |after: Revision| parts.sync_state.knows_removals_after(after);
        let is_whole = known.is_some() && after.is_some_and(|after| !knows_changes(after));
        let packed_members = match is_whole && query.accepts_packed_members {
            true => self.pack_members(),
            false => None,
        };
        let after = if is_whole { Some(0) } else { after };
        let after = after.filter(|_| packed_members.is_none());
        let members = after.map(|after| parts.members.changed_after(after));
        PeerUpdate {
            routing_version,
            routing: routing.map(|routing| routing.table().clone()),
            changes: changes.map(|changes| PackedChanges::clone(&changes)),
            members: members.unwrap_or_default(),
            packed_members,
            is_whole,
            evacuations: parts.evacuations.all(),
            known,
        }
    }

    /// Returns all members in packed form, if there are many.
    fn pack_members(&self) -> Option<String> {
        let parts = &self.inner.parts;
        match self.inner.members_packer.pack_all(&parts.members) {
            Ok(packed) => packed.map(|packed| packed.to_string()),
            Err(error) => {
                parts.events.write(|| UpdateNotEncoded { cause: error.to_string() });
                None
            }
        }
    }

    /// Returns what this object works with.
    pub(in crate::coordination::routed) fn parts(&self) -> &PeersParts {
        &self.inner.parts
    }

    async fn query(&self, address: SocketAddr, scope: UpdateScope) {
        let _query_guard = self.inner.query_lock.lock().await;
        let parts = &self.inner.parts;
        parts.counters.add("peers.asked");
        let started_at = Instant::now();
        match self.request_update(address, scope).await {
            Ok(update) => self.apply_update(address, update),
            Err(error) => {
                parts.counters.add("peers.silent");
                let (source, cause) = (address.to_string(), error.to_string());
                parts
                    .events
                    .write(|| routing_not_fetched(source, &parts.routing, started_at, cause));
            }
        }
    }

    async fn request_update(
        &self,
        address: SocketAddr,
        scope: UpdateScope,
    ) -> Result<PeerUpdate, PeerError> {
        let changes = self.changes_to_request();
        // Without the store this query is sent twice a second; a list of all members each time
        // would fill thin links.
        let members_synced_to =
            self.inner.parts.sync_state.synced_up_to(FollowedTable::Members).unwrap_or(0);
        let routing_version = match self.inner.needs_full_routing.load(Ordering::Relaxed) {
            true => 0,
            false => self.inner.parts.routing.version(),
        };
        let query = UpdateRequest {
            routing_version,
            members_after: (scope == UpdateScope::All).then_some(members_synced_to),
            is_streaming: false,
            changes,
            accepts_packed_members: true,
        };
        let sent = self.send(address, &query, Freshness::Pooled);
        let response = timeout(RESPONSE_HEAD_TIMEOUT, sent).await??;
        let transfer = self.inner.parts.transfers.begin();
        let body = read_full(response.into_body(), |bytes| transfer.record_bytes(bytes)).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends `query` to the daemon whose gate is at `address`.
    pub(in crate::coordination::routed) async fn send(
        &self,
        address: SocketAddr,
        query: &UpdateRequest,
        freshness: Freshness,
    ) -> Result<Response<CallBody>, SendError> {
        let mut request = Request::new(body::empty());
        let map = request.headers_mut();
        query.write_to(map);
        map.insert(header::HOST, HeaderValue::from_static("peer"));
        self.inner.parts.upstream.send(address, request, freshness).await
    }
}

fn status_only(status: StatusCode) -> Response<CallBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
