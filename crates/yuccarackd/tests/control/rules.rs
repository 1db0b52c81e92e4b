//! Accepted rules come into force at all daemons and stay in force.

use std::time::{Duration, Instant};

use yuccarack_platform::rows::TargetState;
use yuccarack_standins::platform::PlatformMode;
use yuccarackd::state::directory::DirectoryError;

use crate::peers::{Peer, platform, put_rules, remove_rules, set_mode, stop_all, until};

const SERVICE: &str = "huts";

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Guards against a member without the latest rules, after a first version, a second one and the
/// removal of the service. Only one member needs to read each version from the table.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_rules_reach_all_members() {
    let platform = platform().await;
    let first = put_rules(&platform, SERVICE, 100);
    let mut peers = Vec::new();
    for number in 0..6 {
        peers.push(Peer::ready(platform.address(), &format!("hut-{number}"), SERVICE).await);
    }
    let has = |peer: &Peer, revision| peer.rules_revision(SERVICE) == revision;
    until("all members have the first version", || peers.iter().all(|peer| has(peer, first))).await;
    until("each member knows all members", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Ready) == 6)
    })
    .await;
    let second = put_rules(&platform, SERVICE, 200);
    until("all members have the second version", || peers.iter().all(|peer| has(peer, second)))
        .await;
    let removal = remove_rules(&platform, SERVICE);
    until("all members have the removal", || peers.iter().all(|peer| has(peer, removal))).await;
    let result = peers[0].control.directory.get_or_load(SERVICE, deadline()).await;
    assert_eq!(result.unwrap_err(), DirectoryError::UnknownService);
    let by_peers: u64 = peers.iter().map(|peer| peer.count("rules.from_peer")).sum();
    assert!(by_peers > 0, "no member got its rules from a peer");
    stop_all(peers).await;
    platform.stop().await;
}

/// Guards against a caller's daemon that can't load a service at its first call, or that doesn't
/// get later changes from the members.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_loads_another_service_on_first_use() {
    let platform = platform().await;
    let first = put_rules(&platform, SERVICE, 100);
    let member = Peer::ready(platform.address(), "hut-1", SERVICE).await;
    let caller = Peer::ready(platform.address(), "repair-1", "repairs").await;
    until("the member's row is written", || {
        let rows = platform.with_table(|table| table.rows("members/huts/"));
        rows.rows.len() == 1
    })
    .await;
    assert!(caller.control.directory.view(SERVICE).is_none());
    let view = caller.control.directory.get_or_load(SERVICE, deadline()).await.unwrap();
    assert_eq!((view.rules_revision, view.members.len()), (first, 1));
    let second = put_rules(&platform, SERVICE, 200);
    until("the caller has the second version", || caller.rules_revision(SERVICE) == second).await;
    let unknown = caller.control.directory.get_or_load("nobody", deadline()).await;
    assert_eq!(unknown.unwrap_err(), DirectoryError::UnknownService);
    stop_all(vec![member, caller]).await;
    platform.stop().await;
}

/// Guards against an instance that can't serve because it started while the store was down. The
/// daemon gets the own service and others from peers, and writes its row after the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_started_without_the_store_loads_from_peers() {
    let platform = platform().await;
    let huts = put_rules(&platform, SERVICE, 100);
    let repairs = put_rules(&platform, "repairs", 100);
    let hut = Peer::ready(platform.address(), "hut-1", SERVICE).await;
    let repair = Peer::ready(platform.address(), "repair-1", "repairs").await;
    until("both daemons have their rules", || {
        hut.rules_revision(SERVICE) == huts && repair.rules_revision("repairs") == repairs
    })
    .await;
    hut.control.directory.get_or_load("repairs", deadline()).await.unwrap();
    until("the hut has the member of repairs", || hut.members("repairs", TargetState::Ready) == 1)
        .await;

    set_mode(&platform, PlatformMode::Down);
    let seeds = vec![hut.control.control_address()];
    let new = Peer::start(platform.address(), "hut-2", seeds).await;
    new.announce(SERVICE, TargetState::Ready);
    until("the new daemon has rules", || new.rules_revision(SERVICE) == huts).await;
    until("the old daemon has the new member", || hut.members(SERVICE, TargetState::Ready) == 2)
        .await;
    let view = new.control.directory.get_or_load("repairs", deadline()).await.unwrap();
    assert_eq!((view.rules_revision, view.members.len()), (repairs, 1));

    set_mode(&platform, PlatformMode::Up);
    until("the row of the new daemon is written", || {
        platform.with_table(|table| table.row("members/huts/hut-2")).is_some()
    })
    .await;
    stop_all(vec![hut, repair, new]).await;
    platform.stop().await;
}
