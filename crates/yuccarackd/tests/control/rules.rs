//! Rules come into force everywhere and stay.

use std::time::{Duration, Instant};

use yuccarack_platform::rows::TargetState;
use yuccarack_standins::platform::PlatformMode;
use yuccarackd::state::directory::DirectoryError;

use crate::peers::{Peer, platform, put_rules, remove_rules, set_mode, stop_all, until};

const SERVICE: &str = "huts";

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// An operator's rules are accepted, then others, then the service is taken away. Each member has
/// to have each in force, though only one of them need read it from the table.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_rules_reach_all_members() {
    let platform = platform().await;
    let first = put_rules(&platform, SERVICE, 100);
    let mut peers = Vec::new();
    for number in 0..6 {
        peers.push(Peer::ready(platform.address(), &format!("hut-{number}"), SERVICE).await);
    }
    let has = |peer: &Peer, revision| peer.rules_revision(SERVICE) == revision;
    until("all have the first", || peers.iter().all(|peer| has(peer, first))).await;
    until("all know all", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Ready) == 6)
    })
    .await;
    let second = put_rules(&platform, SERVICE, 200);
    until("all have the second", || peers.iter().all(|peer| has(peer, second))).await;
    let removal = remove_rules(&platform, SERVICE);
    until("all have the removal", || peers.iter().all(|peer| has(peer, removal))).await;
    let wanted = peers[0].control.directory.get_or_load(SERVICE, soon()).await;
    assert_eq!(wanted.unwrap_err(), DirectoryError::UnknownService);
    let by_peers: u64 = peers.iter().map(|peer| peer.count("rules.from_peer")).sum();
    assert!(by_peers > 0, "no rules came from peers");
    stop_all(peers).await;
    platform.stop().await;
}

/// A caller's daemon knows nothing of a service until a call wants it, and then hears of changes
/// from its members.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_of_another_service_learns_on_first_use() {
    let platform = platform().await;
    let first = put_rules(&platform, SERVICE, 100);
    let member = Peer::ready(platform.address(), "hut-1", SERVICE).await;
    let caller = Peer::ready(platform.address(), "repair-1", "repairs").await;
    until("the member is written", || {
        let rows = platform.with_table(|table| table.rows("members/huts/"));
        rows.rows.len() == 1
    })
    .await;
    assert!(caller.control.directory.view(SERVICE).is_none());
    let view = caller.control.directory.get_or_load(SERVICE, soon()).await.unwrap();
    assert_eq!((view.rules_revision, view.members.len()), (first, 1));
    let second = put_rules(&platform, SERVICE, 200);
    until("the caller has the second", || caller.rules_revision(SERVICE) == second).await;
    let unknown = caller.control.directory.get_or_load("nobody", soon()).await;
    assert_eq!(unknown.unwrap_err(), DirectoryError::UnknownService);
    stop_all(vec![member, caller]).await;
    platform.stop().await;
}

/// The store is down when an instance is replaced. The new daemon has to serve its own service and
/// call another one by what its peers know, and when the store is back its row gets written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_started_without_the_store_learns_from_peers() {
    let platform = platform().await;
    let huts = put_rules(&platform, SERVICE, 100);
    let repairs = put_rules(&platform, "repairs", 100);
    let hut = Peer::ready(platform.address(), "hut-1", SERVICE).await;
    let repair = Peer::ready(platform.address(), "repair-1", "repairs").await;
    until("both have their rules", || {
        hut.rules_revision(SERVICE) == huts && repair.rules_revision("repairs") == repairs
    })
    .await;
    hut.control.directory.get_or_load("repairs", soon()).await.unwrap();
    until("the hut knows the repairer", || hut.members("repairs", TargetState::Ready) == 1).await;

    set_mode(&platform, PlatformMode::Down);
    let seeds = vec![hut.control.control_address()];
    let new = Peer::start(platform.address(), "hut-2", seeds).await;
    new.announce(SERVICE, TargetState::Ready);
    until("the new one has rules", || new.rules_revision(SERVICE) == huts).await;
    until("the old one knows the new one", || hut.members(SERVICE, TargetState::Ready) == 2).await;
    let view = new.control.directory.get_or_load("repairs", soon()).await.unwrap();
    assert_eq!((view.rules_revision, view.members.len()), (repairs, 1));

    set_mode(&platform, PlatformMode::Up);
    until("the new one's row is written", || {
        platform.with_table(|table| table.row("members/huts/hut-2")).is_some()
    })
    .await;
    stop_all(vec![hut, repair, new]).await;
    platform.stop().await;
}
