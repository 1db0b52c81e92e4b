//! Requests that wait at a gate until their deadline.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use tokio::{task::JoinHandle, time::sleep};
use yuccarack_platform_standin::{
    caller::{Call, CallResponse, send_call},
    deployment::{Deployment, RouteSpec},
    instance::Links,
    target::Behaviour,
};
use yuccarack_standins::proxy::ProxyFaults;

use crate::support::{ORDERS, READS, board_routes, program};

/// One-way latency to the gate and back.
const LATENCY_MS: u64 = 3;

/// Slots of a target that a gate uses.
const SLOTS_USED: usize = 7;

/// Starts an instance of the service behind a slow link, and one whose entry callers use.
async fn deploy(name: &str, routes: &[RouteSpec]) -> Deployment {
    let links = [Links { is_gate_proxied: true, ..Links::default() }, Links::default()];
    let services = ["board", "other"];
    let mut deployment =
        Deployment::start_with(program(), name, &services, &links, 2).await.expect("a deployment");
    deployment.apply(routes).await;
    let faults = ProxyFaults { delay_ms: LATENCY_MS, ..ProxyFaults::default() };
    deployment.instances[0].proxies.gate.as_ref().expect("a proxy").set_faults(faults);
    deployment
}

/// Lets the gate learn that requests are short, then occupies all slots with long ones.
async fn occupy_slots(deployment: &Deployment) -> Vec<JoinHandle<Option<CallResponse>>> {
    let (target, address) =
        (&deployment.instances[0].target, deployment.instances[1].call_address());
    // Reads are short compared with orders, and short requests wait until their deadline.
    target.set_behaviour(Behaviour::Respond(Duration::from_millis(60)));
    for number in 0..20 {
        send_call(address, &Call::order(ORDERS, "/o/1", &format!("o{number}"))).await;
    }
    target.set_behaviour(Behaviour::Respond(Duration::ZERO));
    for number in 0..30 {
        send_call(address, &Call::read(READS, "/r/1", &format!("w{number}"))).await;
    }
    target.set_behaviour(Behaviour::Respond(Duration::from_secs(3)));
    let long = (0..SLOTS_USED)
        .map(|number| {
            let call = Call::order(ORDERS, "/o/1", &format!("l{number}"));
            tokio::spawn(async move { send_call(address, &call).await })
        })
        .collect();
    sleep(Duration::from_millis(100)).await;
    long
}

/// Occupies all slots and returns the statuses of requests that wait until their deadline.
async fn statuses_of_waiting(deployment: &Deployment) -> Vec<StatusCode> {
    let (target, address) =
        (&deployment.instances[0].target, deployment.instances[1].call_address());
    let long = occupy_slots(deployment).await;
    let waiting = (0..20).map(|number| async move {
        let call = Call::read(READS, "/r/1", &format!("q{number}"));
        sleep(Duration::from_millis(7 * number)).await;
        let response = send_call(address, &Call { deadline_ms: 250, ..call }).await;
        response.expect("a response").status
    });
    let statuses = join_all(waiting).await;
    long.iter().for_each(JoinHandle::abort);
    let runs = target.runs();
    assert!(runs.iter().all(|run| !run.id.starts_with('q')), "a waiting request ran");
    statuses
}

/// Guards against requests that end with an unknown outcome although they waited at a gate until
/// their deadline: the gate's refusal arrived after the entry had given up.
#[tokio::test]
async fn requests_that_wait_until_their_deadline_have_not_run() {
    let downloads = RouteSpec { kind: "download", ..RouteSpec::reads(READS, "/d/", "board") };
    let deployment = deploy("waited", &[board_routes(), vec![downloads]].concat()).await;
    let statuses = statuses_of_waiting(&deployment).await;
    assert!(statuses.iter().all(|it| *it == StatusCode::SERVICE_UNAVAILABLE), "{statuses:?}");
}

/// Guards against a refusal that has arrived at the entry before the deadline and is not read,
/// because the timer of a process that lacks processor time is handled first.
#[tokio::test]
async fn a_refusal_that_arrives_while_the_entry_does_not_run_is_read() {
    let downloads = RouteSpec { kind: "download", ..RouteSpec::reads(READS, "/d/", "board") };
    let mut deployment = deploy("unread", &[board_routes(), vec![downloads]].concat()).await;
    let address = deployment.instances[1].call_address();
    for round in 0..2 {
        let long = occupy_slots(&deployment).await;
        let calls = (0..4).map(|number| async move {
            let call = Call::read(READS, "/r/1", &format!("q{round}-{number}"));
            let response = send_call(address, &Call { deadline_ms: 250, ..call }).await;
            response.expect("a response").status
        });
        let pause = async {
            sleep(Duration::from_millis(20)).await;
            deployment.instances[1].daemon.as_ref().expect("a daemon").pause();
            sleep(Duration::from_millis(400)).await;
            deployment.instances[1].daemon.as_ref().expect("a daemon").resume();
        };
        let (statuses, ()) = tokio::join!(join_all(calls), pause);
        let expected = StatusCode::SERVICE_UNAVAILABLE;
        assert!(statuses.iter().all(|it| *it == expected), "round {round}: {statuses:?}");
        long.iter().for_each(JoinHandle::abort);
        deployment.instances[0].restart_target().await.expect("a target");
    }
}

/// Guards against a changed deadline of gates in deployments without organisations and downloads:
/// requests wait there until the entry gives up, as before.
#[tokio::test]
async fn without_downloads_requests_wait_until_the_deadline_of_the_entry() {
    let deployment = deploy("waitedbefore", &board_routes()).await;
    let statuses = statuses_of_waiting(&deployment).await;
    let unknown = statuses.iter().filter(|it| **it == StatusCode::GATEWAY_TIMEOUT).count();
    assert!(unknown * 10 >= statuses.len() * 8, "{statuses:?}");
}
