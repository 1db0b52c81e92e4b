//! How a daemon gets a routing table that the usual news did not bring.

#[path = "support/tables.rs"]
mod tables;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use tokio::time::{sleep, timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_platform::{PlatformClient, transfer::PROGRESS_MIN_BYTES};
use yuccarack_platform_standin::{
    deployment::wait,
    store::{Door, DoorMode, Store},
};
use yuccarack_standins::server::{Cut, Server, answer, listen};
use yuccarackd::{
    coordination::routed::{
        catch_up::CatchUp,
        events::EventLog,
        peers::{Peers, PeersParts},
        store_client::StoreClient,
        store_follower::{LastStoreResponse, StoreFollower},
    },
    protocol::{
        packed_changes::PackedChanges,
        peer_news::{NEWS, NEWS_CHANGES, PeerNews},
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
    transport::upstream::Upstream,
};

use self::tables::table;

/// Connections that a peer takes.
const CONNECTIONS_MAX: usize = 16;

/// Longest wait for a table; generous for a busy machine.
const FETCHED_MAX: Duration = Duration::from_secs(20);

/// Routes of a table.
const ROUTES: u64 = 50;

/// A peer's news of a table of version 9, with it or without.
fn news(has_changes: bool) -> Bytes {
    let state = RoutingState::new();
    assert!(state.offer(table(9, ROUTES)));
    news_of(&state, if has_changes { Some(0) } else { None })
}

/// News of a peer that has the table of `state`, with its changes since `base`.
fn news_of(state: &RoutingState, base: Option<u64>) -> Bytes {
    let changes = base.map(|base| state.changes_since(base).expect("changes"));
    let news = PeerNews {
        routing_version: 9,
        routing: None,
        changes: changes.map(|changes| PackedChanges::new(&changes).expect("packed changes")),
        members: Vec::new(),
        is_whole: false,
        evacuations: Vec::new(),
        known: None,
    };
    serde_json::to_vec(&news).expect("JSON").into()
}

/// A peer that records which changes it is asked for.
struct Peer {
    server: Server,
    asked_for: Arc<Mutex<Vec<String>>>,
    questions: Arc<Mutex<Vec<String>>>,
}

impl Peer {
    /// Starts one that fails `failures` questions and answers those for all changes.
    async fn start(failures: usize) -> Self {
        let asked_for: Arc<Mutex<Vec<String>>> = Arc::default();
        let questions: Arc<Mutex<Vec<String>>> = Arc::default();
        let (for_server, noted) = (Arc::clone(&asked_for), Arc::clone(&questions));
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
        let server = Server::start(listener, CONNECTIONS_MAX, move |request| {
            let header = |name| {
                let value = request.headers().get(name);
                value.and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
            };
            let asked = header(NEWS_CHANGES);
            noted.lock().push(header(NEWS));
            let mut asked_for = for_server.lock();
            asked_for.push(asked.clone());
            let is_failing = asked_for.len() <= failures;
            async move {
                match asked.as_str() {
                    _ if is_failing => Err(Cut),
                    "all" => answer(StatusCode::OK, news(true)),
                    _ => answer(StatusCode::OK, news(false)),
                }
            }
        });
        Self { server: server.expect("a server"), asked_for, questions }
    }

    fn questions(&self) -> Vec<String> {
        self.questions.lock().clone()
    }

    fn asked_for(&self) -> Vec<String> {
        self.asked_for.lock().clone()
    }
}

/// A daemon's parts that fetch routing tables, and its way to the store.
struct Fetching {
    routing: RoutingState,
    peers: Peers,
    transfers: Transfers,
    news: News,
    door: Door,
    catch_up: CatchUp,
}

async fn fetching(source: NewsSource) -> Fetching {
    let (routing, members, news) = (RoutingState::new(), Members::new(), News::new());
    let (counters, transfers) = (Counters::new(), Transfers::new());
    let events = EventLog::new(Logger::root(Discard, o!()), counters.clone(), 100);
    news.set_source(source);
    let evacuations = Evacuations::new();
    let peers = Peers::new(PeersParts {
        own_address: ([127, 0, 0, 1], 9).into(),
        routing: routing.clone(),
        members: members.clone(),
        evacuations: evacuations.clone(),
        news: news.clone(),
        transfers: transfers.clone(),
        leaving: CancellationToken::new(),
        upstream: Upstream::new(TaskTracker::new()),
        counters: counters.clone(),
        events: events.clone(),
    });
    let door = Store::new().open_door().await.expect("a door");
    let platform = PlatformClient::new(door.address(), Duration::from_secs(1));
    let follower = StoreFollower {
        store: StoreClient::new(platform, counters.clone()),
        routing: routing.clone(),
        members,
        evacuations,
        counters,
        events,
        news: news.clone(),
        last_response: LastStoreResponse::new(),
        transfers: transfers.clone(),
        first_read_at: tokio::time::Instant::now(),
    };
    let catch_up = CatchUp::new(peers.clone(), follower);
    Fetching { routing, peers, transfers, news, door, catch_up }
}

/// Guards against a daemon that waits for the next change after a fetch that failed.
#[tokio::test]
async fn a_fetch_that_fails_is_tried_again_without_further_word() {
    let daemon = fetching(NewsSource::Relay).await;
    daemon.door.set(DoorMode::Refusing);
    let peer = Peer::start(2).await;
    daemon.peers.note_version(peer.server.address(), 9);
    let mut versions = daemon.routing.subscribe();
    tokio::select! {
        () = daemon.catch_up.run() => {}
        fetched = timeout(FETCHED_MAX, versions.wait_for(|version| *version == 9)) => {
            fetched.expect("the table in time").expect("a version");
        }
    }
    assert_eq!(peer.asked_for().len(), 3);
    peer.server.crash().await;
}

/// Guards against two transfers of one table that share a thin link, so that neither ends in time.
#[tokio::test]
async fn no_whole_table_is_asked_for_beside_a_transfer_that_makes_progress() {
    let daemon = fetching(NewsSource::Relay).await;
    let peer = Peer::start(0).await;
    let transfer = daemon.transfers.begin();
    transfer.note(PROGRESS_MIN_BYTES);
    daemon.peers.note_omitted_table(peer.server.address(), 9);
    let transferring = async {
        for _ in 0..100 {
            transfer.note(PROGRESS_MIN_BYTES);
            sleep(Duration::from_millis(20)).await;
        }
        drop(transfer);
        let asked_for = peer.asked_for();
        assert!(!asked_for.is_empty() && asked_for.iter().all(|asked| asked == "small"));
        assert_eq!(daemon.door.questions(), 0);
    };
    let mut versions = daemon.routing.subscribe();
    let fetching = async {
        transferring.await;
        timeout(FETCHED_MAX, versions.wait_for(|version| *version == 9)).await.is_ok()
    };
    tokio::select! {
        () = daemon.catch_up.run() => {}
        is_fetched = fetching => assert!(is_fetched, "once the transfer has ended"),
    }
    peer.server.crash().await;
}

/// Guards against a fetch where a relay brings the table anyway.
#[tokio::test]
async fn what_the_news_bring_in_time_is_not_fetched() {
    let daemon = fetching(NewsSource::Store).await;
    let peer = Peer::start(0).await;
    daemon.peers.note_version(peer.server.address(), 9);
    let news = async {
        sleep(Duration::from_millis(200)).await;
        assert!(daemon.routing.offer(table(9, ROUTES)));
        sleep(Duration::from_secs(1)).await;
    };
    tokio::select! {
        () = daemon.catch_up.run() => {}
        () = news => {}
    }
    assert_eq!((peer.asked_for().len(), daemon.door.questions()), (0, 0));
    peer.server.crash().await;
}

/// Guards against changes for another table of the same version, which two daemons of different
/// versions may read differently: without the store they would be asked for again and again.
#[tokio::test]
async fn all_routes_are_asked_for_after_changes_that_do_not_fit() {
    let daemon = fetching(NewsSource::Nobody).await;
    assert!(daemon.routing.offer(table(4, 7)));
    let other = RoutingState::new();
    assert!(other.offer(table(4, 2)) && other.offer(table(9, 5)));
    let listener = listen(([127, 0, 0, 1], 0).into()).await.expect("a port");
    let peer = Server::start(listener, CONNECTIONS_MAX, move |request| {
        let question = request.headers()[NEWS].to_str().unwrap_or("").to_owned();
        let base = if question.starts_with("4;") { 4 } else { 0 };
        let news = news_of(&other, Some(base));
        async move { answer(StatusCode::OK, news) }
    })
    .expect("a server");
    daemon.peers.note_version(peer.address(), 9);
    let mut versions = daemon.routing.subscribe();
    tokio::select! {
        () = daemon.catch_up.run() => {}
        fetched = timeout(FETCHED_MAX, versions.wait_for(|version| *version == 9)) => {
            fetched.expect("the table in time").expect("a version");
        }
    }
    assert_eq!(daemon.routing.current().expect("a table").routes().count(), 5);
    peer.crash().await;
}

/// Guards against a list of all members twice a second while the store is unavailable.
#[tokio::test]
async fn a_daemon_without_the_store_asks_only_for_members_that_changed() {
    let daemon = fetching(NewsSource::Nobody).await;
    daemon.news.set_known(Followed::Members, Some(7));
    let peer = Peer::start(0).await;
    daemon.peers.note_sender(peer.server.address());
    tokio::select! {
        () = daemon.peers.run(CancellationToken::new()) => {}
        () = wait("a question", || async { !peer.questions().is_empty() }) => {}
    }
    let questions = peer.questions();
    assert!(!questions.is_empty() && questions.iter().all(|question| question == "0;7;0"));
    peer.server.crash().await;
}
