//! Routes whose requests may reach some regions only.

use http::StatusCode;
use serde_json::json;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, RouteSpec, wait},
    target::Behaviour,
};

use crate::support::{READS, deployed};

/// Instances in three failure domains, by turns.
const SERVICES: [&str; 6] = ["board"; 6];

/// Instances of the first region; the others are in the second one.
const FIRST_REGION: [usize; 2] = [0, 3];

/// A deployment in two regions, whose reads have the first one as their home.
async fn in_two_regions(name: &str) -> Deployment {
    let mut deployment = deployed(name, &SERVICES).await;
    let regions = [("a", "east"), ("b", "west"), ("c", "west")]
        .map(|(domain, region)| json!({"failure_domain": domain, "region": region}));
    for instance in &mut deployment.instances {
        instance.set("regions", json!(regions)).expect("a file");
        instance.kill_daemon();
        instance.start_daemon().await.expect("a daemon");
    }
    let home = RouteSpec { home_regions: vec!["east"], ..RouteSpec::reads(READS, "/r/", "board") };
    deployment.apply(&[home]).await;
    deployment
}

async fn read(deployment: &Deployment, at: usize, id: &str) -> StatusCode {
    let address = deployment.instances[at].call_address();
    ask(address, &Call::read(READS, "/r/1", id)).await.expect("an answer").status
}

/// Guards against requests that leave the regions in which operators keep them, tries after a failure among
/// them.
#[tokio::test]
async fn requests_of_a_route_with_homes_stay_there() {
    let deployment = in_two_regions("homes").await;
    let outside = || {
        let others = deployment.instances.iter().enumerate();
        let others = others.filter(|(at, _)| !FIRST_REGION.contains(at));
        others.map(|(_, instance)| instance.target.requests()).sum::<u64>()
    };
    for number in 0..30 {
        let status = read(&deployment, number % SERVICES.len(), &format!("h{number}")).await;
        assert_eq!(status, StatusCode::OK);
    }
    for at in FIRST_REGION {
        deployment.instances[at].target.behave(Behaviour::Shed);
    }
    for number in 0..12 {
        let status = read(&deployment, number % SERVICES.len(), &format!("s{number}")).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(outside(), 0);
}

/// Guards against requests that wait for their deadline though none of their homes has a target.
#[tokio::test]
async fn requests_without_a_target_in_their_homes_are_refused_at_once() {
    let mut deployment = in_two_regions("nohome").await;
    for at in FIRST_REGION {
        deployment.instances[at].leave().await;
    }
    let is_refused =
        || async { read(&deployment, 1, "n").await == StatusCode::SERVICE_UNAVAILABLE };
    wait("a refusal", is_refused).await;
}
