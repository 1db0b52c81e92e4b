//! Tests of the moment at which a target's announcement that it drains is confirmed.

use std::time::Duration;

use http::{Method, StatusCode};
use tokio::{task::JoinSet, time::sleep};
use yuccarack_platform_standin::{
    caller::{Call, send_call},
    deployment::{Deployment, wait_until},
    target::Target,
};
use yuccarack_standins::client::{ClientRequest, HttpClient};

use crate::support::{ORDERS, READS, deployed};

/// Sends a read; returns whether it ran on the target of the first instance.
async fn is_served_by_first(deployment: &Deployment) -> bool {
    let target = &deployment.instances[0].target;
    let before = target.requests();
    send_call(deployment.instances[0].call_address(), &Call::read(READS, "/r/1", "ready")).await;
    target.requests() > before
}

/// Sends a health check to the target over a new connection and waits for the response.
async fn check_health(target: &Target) {
    let check = ClientRequest::new(Method::GET, "/health");
    let response = HttpClient::default().send(target.address(), check).await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
}

/// Guards against orders that a gate checks before its target announces that it drains, and sends
/// after it has confirmed that, since it opened their connections in between.
///
/// All stand-ins run on one thread, which serves connections in the order in which they were opened.
/// A health check after the confirmation thus ends after the arrival of all that was sent before.
#[tokio::test]
async fn no_request_is_sent_once_the_announcement_of_a_draining_target_is_confirmed() {
    let mut deployment = deployed("confirmed", &["board", "board"]).await;
    let mut late = 0;
    for round in 0..16 {
        deployment.instances[0].start_heartbeats();
        wait_until("the target is ready", || async { is_served_by_first(&deployment).await }).await;
        deployment.instances[0].stop_heartbeats();
        let address = deployment.instances[0].call_address();
        let mut orders = JoinSet::new();
        for number in 0..8 {
            let call = Call::order(ORDERS, "/o/1", &format!("o{round}-{number}"));
            orders.spawn(async move { send_call(address, &call).await });
        }
        // The time from the arrival of an order until it is sent varies.
        sleep(Duration::from_micros(500 * (round % 8))).await;
        let response = deployment.instances[0].send_heartbeat("draining").await;
        assert_eq!(response, Some(StatusCode::OK));
        let target = &deployment.instances[0].target;
        check_health(target).await;
        let sent_before = target.requests();
        orders.join_all().await;
        late += target.requests() - sent_before;
    }
    assert_eq!(late, 0, "orders that arrived after the confirmation");
}
