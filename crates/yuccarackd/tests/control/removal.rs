//! Removal of dead members, and of no others.

use std::net::SocketAddr;

use yuccarack_platform::{
    messages::{Commit, Write},
    rows::{MemberRow, TargetState, member_key},
};
use yuccarack_standins::platform::Platform;

use crate::peers::{Peer, platform, stop_all, until};

const SERVICE: &str = "huts";
/// Liveness checks after which a wrong removal would have happened.
const CHECKS: u64 = 6;

/// Returns the row of an instance at whose address no daemon listens.
fn dead_row(instance: &str, failure_domain: &str) -> MemberRow {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRow {
        instance: instance.to_owned(),
        incarnation: 1,
        sequence: 1,
        service: SERVICE.to_owned(),
        failure_domain: failure_domain.to_owned(),
        gate_address: address,
        control_address: address,
        admin_address: address,
        state: TargetState::Ready,
        slots: 10,
    }
}

fn put_dead_row(platform: &Platform, instance: &str, failure_domain: &str) {
    let row = dead_row(instance, failure_domain);
    let value = serde_json::to_value(&row).expect("a row can be serialized");
    let write = Write::put(member_key(SERVICE, instance), value);
    let commit = Commit { conditions: Vec::new(), writes: vec![write] };
    platform.with_table(|table| table.commit(commit)).expect("no condition is set");
}

fn state(platform: &Platform, instance: &str) -> Option<TargetState> {
    let row = platform.with_table(|table| table.row(&member_key(SERVICE, instance)))?;
    serde_json::from_value(row.value).map(|row: MemberRow| row.state).ok()
}

async fn start_three(platform: &Platform) -> Vec<Peer> {
    let mut peers = Vec::new();
    for number in 1..=3 {
        peers.push(Peer::ready(platform.address(), &format!("hut-{number}"), SERVICE).await);
    }
    peers
}

fn count(peers: &[Peer], counter: &str) -> u64 {
    peers.iter().map(|peer| peer.count(counter)).sum()
}

/// Guards against the row of an instance that exited with its daemon without an announcement. It
/// would stay for good, and each entry would send it requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_instance_is_removed() {
    let platform = platform().await;
    put_dead_row(&platform, "hut-dead", "sapporo");
    let peers = start_three(&platform).await;
    until("all members have its row", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Ready) == 4)
    })
    .await;
    until("its row is marked as gone", || state(&platform, "hut-dead") == Some(TargetState::Gone))
        .await;
    until("all members have removed it", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Ready) == 3)
    })
    .await;
    for number in 1..=3 {
        assert_eq!(state(&platform, &format!("hut-{number}")), Some(TargetState::Ready));
    }
    stop_all(peers).await;
    platform.stop().await;
}

/// Guards against the removal of live members when the connections to a complete failure domain
/// fail. No member there can be asked as a witness, so the rows must stay.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_failure_domain_is_not_removed() {
    let platform = platform().await;
    put_dead_row(&platform, "far-1", "kushiro");
    put_dead_row(&platform, "far-2", "kushiro");
    let peers = start_three(&platform).await;
    until("their liveness was checked", || count(&peers, "removal.unclear") >= CHECKS).await;
    assert_eq!(count(&peers, "removal.dead"), 0);
    for instance in ["far-1", "far-2"] {
        assert_eq!(state(&platform, instance), Some(TargetState::Ready), "{instance}");
    }
    stop_all(peers).await;
    platform.stop().await;
}

/// Guards against a removed member that comes back for good: a daemon that was cut off during the
/// removal sends its old row, and each daemon that drops it gets it again from another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_removed_member_without_a_row_stays_removed() {
    let platform = platform().await;
    let peers = start_three(&platform).await;
    until("each member knows all members", || {
        peers.iter().all(|peer| peer.members(SERVICE, TargetState::Ready) == 3)
    })
    .await;
    let old = dead_row("hut-old", "sapporo");
    peers[0].control.directory.merge_members(SERVICE, vec![old]);
    until("all members have its row", || {
        peers.iter().all(|peer| peer.control.directory.member_row(SERVICE, "hut-old").is_some())
    })
    .await;
    until("all members have it as gone", || {
        peers.iter().all(|peer| {
            let row = peer.control.directory.member_row(SERVICE, "hut-old");
            row.is_some_and(|row| row.state == TargetState::Gone)
        })
    })
    .await;
    assert_eq!(state(&platform, "hut-old"), None);
    stop_all(peers).await;
    platform.stop().await;
}
