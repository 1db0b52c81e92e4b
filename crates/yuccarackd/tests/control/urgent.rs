//! News that can't wait reach the members of a service.

use std::time::Duration;

use tokio::time::timeout;
use yuccarack_platform::rows::TargetState;
use yuccarackd::protocol::{
    control::UrgentUpdate,
    suspect_update::{SuspectEvent, SuspectUpdate},
};

use crate::peers::{Peer, platform, stop_all, until};

/// A request crashes a target. Before its caller sends it again, the other members have to know.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn suspects_reach_all_members() {
    let platform = platform().await;
    let mut peers = Vec::new();
    for number in 1..=4 {
        peers.push(Peer::ready(platform.address(), &format!("hut-{number}"), "huts").await);
    }
    until("all know all", || {
        peers.iter().all(|peer| peer.members("huts", TargetState::Ready) == 4)
    })
    .await;
    let suspect = UrgentUpdate::Suspects(vec![SuspectUpdate {
        service: "huts".to_owned(),
        fingerprint: 42,
        event: SuspectEvent::TargetDied,
        instance: "hut-1".to_owned(),
    }]);
    peers[0].control.urgent.send(suspect.clone()).await.unwrap();
    for peer in &mut peers[1..] {
        let mut arrived = peer.control.take_arrived().unwrap();
        let news = timeout(Duration::from_secs(20), arrived.recv()).await.unwrap();
        assert_eq!(news, Some(suspect.clone()));
    }
    stop_all(peers).await;
    platform.stop().await;
}
