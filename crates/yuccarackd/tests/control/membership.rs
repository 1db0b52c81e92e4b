//! Member rows follow the announcements of their targets.

use yuccarack_platform::{
    messages::{Commit, Write},
    rows::{MemberRow, TargetState, member_key},
};
use yuccarack_standins::platform::{Platform, PlatformFaults, PlatformMode};

use crate::peers::{Peer, platform, set_mode, settings, stop_all, until};

const SERVICE: &str = "huts";

fn row(platform: &Platform, instance: &str) -> Option<MemberRow> {
    let row = platform.with_table(|table| table.row(&member_key(SERVICE, instance)))?;
    serde_json::from_value(row.value).ok()
}

fn state(platform: &Platform, instance: &str) -> Option<TargetState> {
    row(platform, instance).map(|row| row.state)
}

async fn start_three(platform: &Platform) -> Vec<Peer> {
    let mut peers = Vec::new();
    for number in 1..=3 {
        peers.push(Peer::ready(platform.address(), &format!("hut-{number}"), SERVICE).await);
    }
    until("each member knows all members", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Ready) == 3)
    })
    .await;
    peers
}

/// Guards against a drain that doesn't reach peers while the store is down, or that isn't written
/// to the table afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_reaches_peers_without_the_store() {
    let platform = platform().await;
    let peers = start_three(&platform).await;
    set_mode(&platform, PlatformMode::Down);
    peers[0].announce(SERVICE, TargetState::Draining);
    until("all members have the drain", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Draining) == 1)
    })
    .await;
    set_mode(&platform, PlatformMode::Up);
    until("the table has the drain", || state(&platform, "hut-1") == Some(TargetState::Draining))
        .await;
    stop_all(peers).await;
    platform.stop().await;
}

/// Guards against a missing or a second row after the response to a write of the row is lost, when
/// the daemon can't know whether the write took effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_response_leaves_the_correct_row() {
    let platform = platform().await;
    platform.set_faults(PlatformFaults { lose_answers: 2, ..PlatformFaults::default() });
    let peer = Peer::ready(platform.address(), "hut-1", SERVICE).await;
    until("a response was lost", || platform.stats().failed >= 1).await;
    until("the row is ready", || state(&platform, "hut-1") == Some(TargetState::Ready)).await;
    peer.announce(SERVICE, TargetState::Draining);
    until("the row is draining", || state(&platform, "hut-1") == Some(TargetState::Draining)).await;
    let rows = platform.with_table(|table| table.rows("members/"));
    assert_eq!(rows.rows.len(), 1);
    stop_all(vec![peer]).await;
    platform.stop().await;
}

/// Guards against a live member that stays removed for good: peers removed it while its daemon was
/// frozen, so it needs a higher incarnation after it resumes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_live_target_outranks_its_removal() {
    let platform = platform().await;
    let peers = start_three(&platform).await;
    let alive = row(&platform, "hut-1").unwrap();
    let gone = MemberRow { state: TargetState::Gone, ..alive.clone() };
    let write = Write::put(member_key(SERVICE, "hut-1"), serde_json::to_value(&gone).unwrap());
    let commit = Commit { conditions: Vec::new(), writes: vec![write] };
    platform.with_table(|table| table.commit(commit)).unwrap();
    until("the row has a higher incarnation", || {
        row(&platform, "hut-1").is_some_and(|row| {
            row.incarnation > alive.incarnation && row.state == TargetState::Ready
        })
    })
    .await;
    until("all members have the new incarnation", || {
        peers.iter().all(|peer| {
            let row = peer.control.directory.member_row(SERVICE, "hut-1");
            row.is_some_and(|row| row.incarnation > alive.incarnation)
        })
    })
    .await;
    stop_all(peers).await;
    platform.stop().await;
}

/// Guards against members that only remove a stopped daemon after a timeout, although it stopped
/// gracefully.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_stop_is_announced_at_once() {
    let platform = platform().await;
    let mut peers = start_three(&platform).await;
    peers.remove(0).control.stop().await.unwrap();
    until("the other members have the stop", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Ready) == 2)
    })
    .await;
    assert_eq!(state(&platform, "hut-1"), Some(TargetState::Gone));
    let ended: u64 = peers.iter().map(|peer| peer.count("removal.ended")).sum();
    assert_eq!(ended, 0, "the member was removed by others instead of announcing its stop");
    stop_all(peers).await;
    platform.stop().await;
}

/// Guards against requests to a target that was killed and so doesn't announce that it leaves. It
/// counts as draining after a timeout, and as ready after its next announcement.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_without_announcements_counts_as_draining() {
    let platform = platform().await;
    let mut settings = settings(platform.address(), "hut-1", Vec::new());
    settings.budgets.announce_timeout_ms = 500;
    let peer = Peer::with_settings(settings).await;
    let other = Peer::ready(platform.address(), "hut-2", SERVICE).await;
    peer.announce(SERVICE, TargetState::Ready);
    until("the other member has it as draining", || {
        other.members(SERVICE, TargetState::Draining) == 1
    })
    .await;
    until("the table has the drain", || state(&platform, "hut-1") == Some(TargetState::Draining))
        .await;
    peer.announce(SERVICE, TargetState::Ready);
    until("the other member has it as ready", || other.members(SERVICE, TargetState::Ready) == 2)
        .await;
    stop_all(vec![peer, other]).await;
    platform.stop().await;
}
