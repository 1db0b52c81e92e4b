//! Urgent updates reach the members of a service.

use std::time::Duration;

use tokio::time::timeout;
use yuccarack_platform::rows::TargetState;
use yuccarackd::protocol::{
    control::UrgentUpdate,
    suspect_update::{SuspectEvent, SuspectUpdate},
};

use crate::peers::{Peer, platform, stop_all, until};

/// Guards against a crashing request that other members run because the update about the crash
/// doesn't reach them before the caller sends the request again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn suspects_reach_all_members() {
    let platform = platform().await;
    let mut peers = Vec::new();
    for number in 1..=4 {
        peers.push(Peer::ready(platform.address(), &format!("hut-{number}"), "huts").await);
    }
    until("each member knows all members", || {
        peers.iter().all(|peer| peer.members("huts", TargetState::Ready) == 4)
    })
    .await;
    let suspect = UrgentUpdate::Suspects(vec![SuspectUpdate {
        service: "huts".to_owned(),
        fingerprint: 42,
        event: SuspectEvent::TargetDied,
        instance: "hut-1".to_owned(),
    }]);
    peers[0].control.outgoing_urgent_sender.send(suspect.clone()).await.unwrap();
    for peer in &mut peers[1..] {
        let mut receiver = peer.control.take_urgent_receiver().unwrap();
        let update = timeout(Duration::from_secs(20), receiver.recv()).await.unwrap();
        assert_eq!(update, Some(suspect.clone()));
    }
    stop_all(peers).await;
    platform.stop().await;
}
