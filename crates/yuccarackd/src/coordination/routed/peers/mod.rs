//! News from other daemons, for one that the store doesn't serve or that lags.

mod candidates;
mod intake;
mod newer_table;

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
    events::EventLog, log_lines::UpdateNotEncoded, relay_stream::RelayStream,
    routing_packer::RoutingPacker, store_follower::not_read,
};
use crate::{
    coordination::jitter::jittered,
    protocol::{
        body::{self, BodyError, CallBody},
        packed_changes::PackedChanges,
        peer_news::{ChangesTaken, KnownUpTo, NewsQuestion, NewsQuestionError, PeerNews},
    },
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations,
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
    /// Failure domains that are evacuated.
    pub evacuations: Evacuations,
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
    newer: NewerTableNotices,
    /// Whether the last changes of a peer did not fit the own table; all routes are asked for then.
    asks_for_all_routes: AtomicBool,
    /// Held by the one question that is asked at a time.
    asking: tokio::sync::Mutex<()>,
}

impl Peers {
    /// Works with `parts`.
    pub fn new(parts: PeersParts) -> Self {
        let packer = RoutingPacker::new(parts.routing.clone(), parts.events.clone());
        let newer = NewerTableNotices::new(parts.routing.clone());
        let inner = Inner {
            parts,
            packer,
            newer,
            asks_for_all_routes: AtomicBool::new(false),
            senders: Mutex::default(),
            asking: tokio::sync::Mutex::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Takes word of a daemon that sent a request here.
    pub fn note_sender(&self, address: SocketAddr) {
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

    /// Answers the question of a peer.
    pub fn respond(&self, question: Result<NewsQuestion, NewsQuestionError>) -> Response<CallBody> {
        let parts = &self.inner.parts;
        let Ok(question) = question else {
            parts.counters.add("peers.unreadable");
            return status_only(StatusCode::BAD_REQUEST);
        };
        if question.is_lasting {
            return Response::new(RelayStream::new(self.clone(), question).into_body());
        }
        match serde_json::to_vec(&self.news_for(&question, parts.news.to_relay())) {
            Ok(text) => Response::new(body::full(text.into())),
            Err(error) => {
                parts.events.write(|| UpdateNotEncoded { cause: error.to_string() });
                status_only(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// What `question` asks for, with `known` as what is known of the store.
    pub(in crate::coordination::routed) fn news_for(
        &self,
        question: &NewsQuestion,
        known: Option<KnownUpTo>,
    ) -> PeerNews {
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
            evacuations: parts.evacuations.all(),
            known,
        }
    }

    /// What this works with.
    pub(in crate::coordination::routed) fn parts(&self) -> &PeersParts {
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
        let routing_version = match self.inner.asks_for_all_routes.load(Ordering::Relaxed) {
            true => 0,
            false => self.inner.parts.routing.version(),
        };
        let question = NewsQuestion {
            routing_version,
            members_after: (wanted == Wanted::All).then_some(members_known),
            is_lasting: false,
            changes,
        };
        let asked = self.send(address, &question, Freshness::Kept);
        let answer = timeout(ANSWER_TIMEOUT, asked).await??;
        let transfer = self.inner.parts.transfers.begin();
        let text = read_full(answer.into_body(), |bytes| transfer.note(bytes)).await?;
        Ok(serde_json::from_slice(&text)?)
    }

    /// Sends `question` to the daemon whose gate is at `address`.
    pub(in crate::coordination::routed) async fn send(
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
}

fn status_only(status: StatusCode) -> Response<CallBody> {
    let mut answer = Response::new(body::empty());
    *answer.status_mut() = status;
    answer
}
