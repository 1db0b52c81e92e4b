//! Requests that a target sheds, and when their callers are asked to return.

use http::StatusCode;
use yuccarack_platform_standin::{
    caller::{Call, CallResponse, send_call},
    deployment::{Deployment, RouteSpec},
    target::Behaviour,
};

use crate::support::{READS, board_routes, program};

/// Starts one instance whose target sheds everything; its routes are those of `routes`.
async fn shedding(name: &str, routes: &[RouteSpec]) -> Deployment {
    let mut deployment = Deployment::start(program(), name, &["board"]).await.expect("deployment");
    deployment.apply(routes).await;
    deployment.instances[0].target.set_behaviour(Behaviour::Shed);
    deployment
}

async fn read(deployment: &Deployment, id: &str) -> CallResponse {
    let call = Call::read(READS, "/r/1", id);
    send_call(deployment.instances[0].call_address(), &call).await.expect("a response")
}

/// Guards against requests that are lost while their target has free slots and sheds some of them
/// at random: a caller with a soft deadline of 400 ms returned once in 300 ms.
#[tokio::test]
async fn callers_return_early_while_the_target_has_free_slots() {
    let downloads = RouteSpec { kind: "download", ..RouteSpec::reads(READS, "/d/", "board") };
    let deployment = shedding("shedearly", &[board_routes(), vec![downloads]].concat()).await;
    let response = read(&deployment, "s1").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.header("retry-after"), "0.050");
    // A target that sheds everything is taken to be full.
    for number in 0..60 {
        read(&deployment, &format!("s2-{number}")).await;
    }
    assert_eq!(read(&deployment, "s3").await.header("retry-after"), "0.300");
}

/// Guards against a changed wait in deployments without organisations and downloads.
#[tokio::test]
async fn without_downloads_callers_return_as_before() {
    let deployment = shedding("shedbefore", &board_routes()).await;
    assert_eq!(read(&deployment, "s1").await.header("retry-after"), "0.300");
}
