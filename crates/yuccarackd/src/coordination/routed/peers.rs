//! News from other daemons, for one that the store doesn't serve or that lags.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Request, Response, StatusCode, header};
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{Instant, error::Elapsed, sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use yuccarack_config::{ids::Revision, routing::RoutingVersion, routing_changes::ChangesError};
use yuccarack_platform::transfer::{TransferError, read_whole};
use yuccarack_policy::relays::relays_of;

use super::{
    events::EventLog,
    follow::{not_read, whole_ms},
    lines::{MemberChanged, NewsNotWritten, RoutingChangesRefused, RoutingInForce},
    relay_lines::RelayLines,
    routing_packer::RoutingPacker,
};
use crate::{
    coordination::jitter::jittered,
    protocol::{
        body::{self, BodyError, CallBody},
        packed_changes::{PackError, PackedChanges},
        peer_news::{
            ChangesTaken, DatedMember, KnownUpTo, NewsQuestion, NewsQuestionError, PeerNews,
        },
    },
    state::{
        counters::Counters,
        routed::{
            members::Members,
            news_source::{Followed, News, NewsSource},
            routing_state::RoutingState,
            transfers::Transfers,
        },
    },
    transport::{
        connection::SendError,
        upstream::{Freshness, Upstream},
    },
};

/// Time between two questions to peers while the store doesn't answer: a change that one daemon
/// has heard of reaches the others within a second or two.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks of a daemon that asks the store with another one that does.
///
/// Failure: the store takes a question and never answers, or its link is cut, while the connection
/// stands; until the question is given up after half a minute, changes aren't heard of by this daemon
/// and by those that it tells, who would have heard of them. A change has to be in force within 2 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Longest wait for the head of a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Most senders that are remembered to be asked while no member is known.
const SENDERS_MAX: usize = 16;

/// Why a peer gave no news.
#[derive(Debug, Error)]
enum PeerError {
    /// It could not be asked.
    #[error(transparent)]
    NotSent(#[from] SendError),
    /// Its answer didn't begin in time.
    #[error("no answer in time")]
    Silent(#[from] Elapsed),
    /// Its answer broke off or stalled.
    #[error(transparent)]
    NotRead(#[from] TransferError<BodyError>),
    /// Its answer can't be read.
    #[error("the answer can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// What a daemon wants to hear of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    /// A newer routing table, if the peer has one.
    Routing,
    /// All members too.
    All,
}

/// Asks peers for news and answers theirs.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

/// What [`Peers`] works with.
pub struct PeersParts {
    /// Gate address of this daemon.
    pub own_address: SocketAddr,
    /// The routing table in force.
    pub routing: RoutingState,
    /// All members.
    pub members: Members,
    /// Who tells this daemon of changes.
    pub news: News,
    /// Transfers of the routing table.
    pub transfers: Transfers,
    /// Cancelled once this daemon is asked to stop.
    pub leaving: CancellationToken,
    /// Connections to other gates.
    pub upstream: Upstream,
    /// Counters.
    pub counters: Counters,
    /// Log lines.
    pub events: EventLog,
}

struct Inner {
    parts: PeersParts,
    packer: RoutingPacker,
    /// Daemons that sent requests here, for one that knows nobody else.
    senders: Mutex<Vec<SocketAddr>>,
    /// Last word of a newer routing table.
    newer: Mutex<Option<NewerTable>>,
    newer_heard: Notify,
    /// Held by the one question that is asked at a time.
    asking: tokio::sync::Mutex<()>,
}

/// Word of a newer routing table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewerTable {
    /// Gate of a daemon that has it.
    pub address: SocketAddr,
    /// Its version.
    pub version: RoutingVersion,
    /// Whether that daemon's news left it out for its size, so that it has to be fetched.
    pub is_left_out: bool,
}

impl Peers {
    /// Works with `parts`.
    pub fn new(parts: PeersParts) -> Self {
        let packer = RoutingPacker::new(parts.routing.clone(), parts.events.clone());
        let inner = Inner {
            parts,
            packer,
            senders: Mutex::default(),
            newer: Mutex::default(),
            newer_heard: Notify::new(),
            asking: tokio::sync::Mutex::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Takes word that the daemon at `address` has the routing table of `version`.
    pub fn heard_version(&self, address: SocketAddr, version: RoutingVersion) {
        self.note_newer(NewerTable { address, version, is_left_out: false });
    }

    /// The same of one whose news left the table out for its size.
    pub fn heard_left_out(&self, address: SocketAddr, version: RoutingVersion) {
        self.note_newer(NewerTable { address, version, is_left_out: true });
    }

    fn note_newer(&self, newer: NewerTable) {
        if self.inner.parts.routing.note_version(newer.version) {
            *self.inner.newer.lock() = Some(newer);
            self.inner.newer_heard.notify_one();
        }
    }

    /// Waits until there is word of a newer routing table than the one in force.
    pub async fn newer_table(&self) -> NewerTable {
        loop {
            self.inner.newer_heard.notified().await;
            let newer = *self.inner.newer.lock();
            if let Some(newer) = newer.filter(|newer| self.is_newer(newer)) {
                return newer;
            }
        }
    }

    /// A daemon that may have a newer table: who said so last, or a relay.
    pub fn any_newer(&self) -> Option<SocketAddr> {
        let newer = *self.inner.newer.lock();
        let mut candidates = self.others(self.relays());
        candidates.extend(newer.filter(|newer| self.is_newer(newer)).map(|newer| newer.address));
        candidates.choose(&mut rand::rng()).copied()
    }

    fn is_newer(&self, newer: &NewerTable) -> bool {
        newer.version > self.inner.parts.routing.version()
    }

    /// Asks the daemon at `address` for a newer routing table.
    pub async fn fetch_routing(&self, address: SocketAddr) {
        self.ask(address, Wanted::Routing).await;
    }

    /// Changes of the routing table that are asked for: beside a transfer that makes progress, only
    /// those that don't take its bandwidth.
    fn changes_to_ask_for(&self) -> ChangesTaken {
        match self.inner.parts.transfers.make_progress() {
            true => ChangesTaken::Small,
            false => ChangesTaken::All,
        }
    }

    /// Takes word of a daemon that sent a request here.
    pub fn heard_sender(&self, address: SocketAddr) {
        let mut senders = self.inner.senders.lock();
        if senders.len() < SENDERS_MAX && !senders.contains(&address) {
            senders.push(address);
        }
    }

    /// Asks peers while the store doesn't answer, and checks with other relays while it does.
    pub async fn run(self, stop: CancellationToken) {
        let mut source_changes = self.inner.parts.news.subscribe();
        loop {
            let source = *source_changes.borrow_and_update();
            self.ask_somebody(source).await;
            let pause = if source == NewsSource::Nobody { ASK_INTERVAL } else { CHECK_INTERVAL };
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(jittered(pause)) => {}
                changed = source_changes.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn ask_somebody(&self, source: NewsSource) {
        let (wanted, candidates) = match source {
            NewsSource::Nobody => (Wanted::All, self.anybody()),
            NewsSource::Store => (Wanted::Routing, self.relays()),
            // The relay does this for all whom it tells.
            NewsSource::Relay => return,
        };
        let chosen = self.others(candidates).choose(&mut rand::rng()).copied();
        if let Some(address) = chosen {
            self.ask(address, wanted).await;
        }
    }

    /// `candidates` without this daemon.
    fn others(&self, mut candidates: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let own_address = self.inner.parts.own_address;
        candidates.retain(|address| *address != own_address);
        candidates
    }

    /// All daemons that are known.
    fn anybody(&self) -> Vec<SocketAddr> {
        let members = self.inner.parts.members.all();
        if members.is_empty() {
            return self.inner.senders.lock().clone();
        }
        members.iter().map(|member| member.gate_address).collect()
    }

    /// The daemons that ask the store, of all failure domains.
    fn relays(&self) -> Vec<SocketAddr> {
        let members = self.inner.parts.members.all();
        let mut domains: HashMap<&str, HashMap<&str, SocketAddr>> = HashMap::new();
        for member in &members {
            let of_domain = domains.entry(member.failure_domain.as_str()).or_default();
            of_domain.insert(member.instance.as_str(), member.gate_address);
        }
        let of_domain = |of_domain: HashMap<&str, SocketAddr>| -> Vec<SocketAddr> {
            let relays = relays_of(of_domain.keys().copied());
            relays.iter().filter_map(|relay| of_domain.get(relay).copied()).collect()
        };
        domains.into_values().flat_map(of_domain).collect()
    }

    /// Answers the question of a peer.
    pub fn answer(&self, question: Result<NewsQuestion, NewsQuestionError>) -> Response<CallBody> {
        let parts = &self.inner.parts;
        let Ok(question) = question else {
            parts.counters.add("peers.unreadable");
            return status_only(StatusCode::BAD_REQUEST);
        };
        if question.is_lasting {
            return Response::new(RelayLines::new(self.clone(), question).into_body());
        }
        match serde_json::to_vec(&self.news_for(&question, parts.news.to_relay())) {
            Ok(text) => Response::new(body::full(text.into())),
            Err(error) => {
                parts.events.write(|| NewsNotWritten { cause: error.to_string() });
                status_only(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// What `question` asks for, with `known` as what is known of the store.
    pub(super) fn news_for(&self, question: &NewsQuestion, known: Option<KnownUpTo>) -> PeerNews {
        let parts = &self.inner.parts;
        // Before the table is looked at: a version whose table is not sent would count as sent.
        let routing_version = parts.routing.version();
        let is_newer = |version| version > question.routing_version;
        let (base, packer) = (question.routing_version, &self.inner.packer);
        let (routing, changes) = match question.changes {
            ChangesTaken::None => (parts.routing.current(), None),
            ChangesTaken::Small => (None, packer.small_changes_since(base)),
            ChangesTaken::All => (None, packer.changes_since(base)),
        };
        let routing = routing.filter(|routing| is_newer(routing.version()));
        // Who went before this daemon listed the members is not among the changes that it knows.
        let after = question.members_after;
        let knows_changes = |after: Revision| parts.news.knows_who_went_after(after);
        let is_whole = known.is_some() && after.is_some_and(|after| !knows_changes(after));
        let after = if is_whole { Some(0) } else { after };
        let members = after.map(|after| parts.members.changed_after(after));
        PeerNews {
            routing_version,
            routing: routing.map(|routing| routing.table().clone()),
            changes: changes.map(|changes| PackedChanges::clone(&changes)),
            members: members.unwrap_or_default(),
            is_whole,
            known,
        }
    }

    /// What this works with.
    pub(super) fn parts(&self) -> &PeersParts {
        &self.inner.parts
    }

    async fn ask(&self, address: SocketAddr, wanted: Wanted) {
        let _asking = self.inner.asking.lock().await;
        let parts = &self.inner.parts;
        parts.counters.add("peers.asked");
        let started_at = Instant::now();
        match self.news_of(address, wanted).await {
            Ok(news) => self.take(address, news),
            Err(error) => {
                parts.counters.add("peers.silent");
                let (source, cause) = (address.to_string(), error.to_string());
                parts.events.write(|| not_read(source, &parts.routing, started_at, cause));
            }
        }
    }

    async fn news_of(&self, address: SocketAddr, wanted: Wanted) -> Result<PeerNews, PeerError> {
        let changes = self.changes_to_ask_for();
        // Without the store the same question is asked twice a second; all members would fill thin links.
        let members_known = self.inner.parts.news.known_up_to(Followed::Members).unwrap_or(0);
        let question = NewsQuestion {
            routing_version: self.inner.parts.routing.version(),
            members_after: (wanted == Wanted::All).then_some(members_known),
            is_lasting: false,
            changes,
        };
        let asked = self.send(address, &question, Freshness::Kept);
        let answer = timeout(ANSWER_TIMEOUT, asked).await??;
        let transfer = self.inner.parts.transfers.begin();
        let text = read_whole(answer.into_body(), |bytes| transfer.note(bytes)).await?;
        Ok(serde_json::from_slice(&text)?)
    }

    /// Sends `question` to the daemon whose gate is at `address`.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        question: &NewsQuestion,
        freshness: Freshness,
    ) -> Result<Response<CallBody>, SendError> {
        let mut request = Request::new(body::empty());
        let map = request.headers_mut();
        question.write_to(map);
        map.insert(header::HOST, HeaderValue::from_static("peer"));
        self.inner.parts.upstream.send(address, request, freshness).await
    }

    /// Takes in what the daemon at `address` told.
    pub(super) fn take(&self, address: SocketAddr, news: PeerNews) {
        let parts = &self.inner.parts;
        let listed = news.whole_as_of();
        if let Some(changes) = &news.changes {
            self.take_changes(address, changes);
        }
        if let Some(table) = news.routing {
            let version = table.version;
            let behind_ms = whole_ms(parts.routing.behind_for());
            if parts.routing.offer(table) {
                let from = address.to_string();
                parts.events.write(|| RoutingInForce { version, revision: None, from, behind_ms });
            }
        }
        for dated in news.members {
            let DatedMember { instance, revision, member } = dated;
            let service = member.as_ref().and_then(|member| member.service.clone());
            if parts.members.merge(&instance, revision, member) {
                let (member, from) = (instance, "peer");
                parts.events.write(|| MemberChanged { member, service, revision, from });
            }
        }
        if let Some((revision, listed)) = listed {
            parts.members.drop_unlisted(revision, &listed);
            parts.news.set_members_listed(revision);
        }
    }

    fn take_changes(&self, address: SocketAddr, packed: &PackedChanges) {
        let parts = &self.inner.parts;
        let version = packed.version;
        if version <= parts.routing.version() {
            return;
        }
        let behind_ms = whole_ms(parts.routing.behind_for());
        let applied = packed.unpack().map_err(ChangesRefused::from);
        match applied.and_then(|changes| Ok(parts.routing.apply(changes)?)) {
            Ok(false) => {}
            Ok(true) => {
                let from = address.to_string();
                parts.events.write(|| RoutingInForce { version, revision: None, from, behind_ms });
            }
            Err(error) => {
                parts.counters.add("routing.changes_refused");
                let (peer, cause) = (address.to_string(), error.to_string());
                parts.events.write(|| RoutingChangesRefused { peer, version, cause });
            }
        }
    }
}

/// Why changes of the routing table were not taken.
#[derive(Debug, Error)]
enum ChangesRefused {
    /// They can't be unpacked.
    #[error(transparent)]
    Unreadable(#[from] PackError),
    /// They don't fit the table in force.
    #[error(transparent)]
    Unfit(#[from] ChangesError),
}

fn status_only(status: StatusCode) -> Response<CallBody> {
    let mut answer = Response::new(body::empty());
    *answer.status_mut() = status;
    answer
}
