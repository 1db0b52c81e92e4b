//! Tests that changes are in force in time after a store that did not respond has recovered.

use std::time::Duration;

use tokio::time::sleep;
use yuccarack_platform_standin::{
    deployment::{Deployment, RouteSpec},
    instance::Links,
    store::StoreServerMode,
};

use crate::{
    relays::gauge,
    support::{READS, board_routes, program},
};

/// Two relays, which poll the store, and a follower in each failure domain.
const DAEMONS_PER_DOMAIN: usize = 3;

/// Duration of the outage.
const OUTAGE: Duration = Duration::from_secs(8);

/// Time after its recovery from which the store counts as stable.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Time within which a route or an evacuation has to be in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(2);

/// Time within which a member has to be known.
const MEMBER_KNOWN_MAX: Duration = Duration::from_secs(4);

/// Time after a change at which the daemons have polled the store again and wait for the next one.
const SETTLED_AFTER: Duration = Duration::from_secs(6);

async fn start(name: &str, domains: usize) -> Deployment {
    let services = vec!["board"; domains * DAEMONS_PER_DOMAIN];
    let links = vec![Links::default(); services.len()];
    let starting = Deployment::start_with(program(), name, &services, &links, domains).await;
    let mut deployment = starting.expect("a deployment");
    deployment.apply(&board_routes()).await;
    deployment
}

fn set_modes(deployment: &Deployment, mode: StoreServerMode) {
    for instance in &deployment.instances {
        instance.store_server.set_mode(mode);
    }
}

/// Changes the routes and the members, with a member that has no gate.
fn write_changes(deployment: &mut Deployment, name: &str) -> u64 {
    let port = name.len();
    let row = format!(
        r#"{{"instance":"{name}","failure_domain":"d","gate_address":"127.0.0.1:{port}","service":"cellar"}}"#
    );
    deployment.store.put("members", name, row.as_bytes());
    deployment.write_routes(&[RouteSpec::reads(READS, format!("/{name}/"), "board")])
}

/// Changes the routes, the members and the evacuations, and checks that all daemons know it in time.
async fn assert_changes_in_force_in_time(deployment: &mut Deployment) {
    let members = gauge(deployment, 0, "yuccarack_members").await.expect("a gauge") + 1;
    let version = write_changes(deployment, "after");
    deployment.store.put("op", "evacuate/a", b"{}");
    let expected = [
        (IN_FORCE_MAX, "yuccarack_routing_version", usize::try_from(version).expect("a version")),
        (IN_FORCE_MAX, "yuccarack_domains_evacuated", 1),
        (MEMBER_KNOWN_MAX, "yuccarack_members", members),
    ];
    let written_at = tokio::time::Instant::now();
    for (known_max, name, value) in expected {
        tokio::time::sleep_until(written_at + known_max).await;
        for number in 0..deployment.instances.len() {
            assert_eq!(gauge(deployment, number, name).await, Some(value), "{name} of n{number}");
        }
    }
}

/// Guards against polls that the store got while it did not respond, and that daemons wait for after
/// its recovery. All of them polled again at the same time, after a change.
#[tokio::test]
async fn changes_are_in_force_in_time_after_the_store_lost_the_polls_that_followed_a_change() {
    for domains in [1, 3] {
        let mut deployment = start(&format!("lost-polls-{domains}"), domains).await;
        write_changes(&mut deployment, "before");
        sleep(Duration::from_millis(50)).await;
        set_modes(&deployment, StoreServerMode::Unresponsive);
        sleep(OUTAGE).await;
        set_modes(&deployment, StoreServerMode::Serving);
        sleep(STABLE_AFTER).await;
        assert_changes_in_force_in_time(&mut deployment).await;
    }
}

/// Guards against polls whose responses are lost: the store held them open when it stopped
/// responding, and lost the change that ended them.
#[tokio::test]
async fn changes_are_in_force_in_time_after_the_store_lost_the_responses_to_open_polls() {
    for domains in [1, 3] {
        let mut deployment = start(&format!("lost-responses-{domains}"), domains).await;
        sleep(SETTLED_AFTER).await;
        set_modes(&deployment, StoreServerMode::Unresponsive);
        sleep(OUTAGE / 2).await;
        write_changes(&mut deployment, "meanwhile");
        sleep(OUTAGE / 2).await;
        set_modes(&deployment, StoreServerMode::Serving);
        sleep(STABLE_AFTER).await;
        assert_changes_in_force_in_time(&mut deployment).await;
    }
}

/// Guards against a start whose polls the store lost.
#[tokio::test]
async fn changes_are_in_force_in_time_at_daemons_that_started_without_a_response() {
    let mut deployment = start("lost-starts", 1).await;
    set_modes(&deployment, StoreServerMode::Unresponsive);
    for instance in &mut deployment.instances {
        instance.kill_daemon();
        instance.start_daemon().await.expect("a daemon");
    }
    sleep(OUTAGE).await;
    set_modes(&deployment, StoreServerMode::Serving);
    sleep(STABLE_AFTER).await;
    assert_changes_in_force_in_time(&mut deployment).await;
}
