//! Routes whose requests may only reach their home regions.

use http::StatusCode;
use serde_json::json;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, RouteSpec, wait},
    target::Behaviour,
};

use crate::support::{READS, deployed};

/// Services of the instances, which are in three failure domains in turn.
const SIX_INSTANCES: [&str; 6] = ["board"; 6];

/// Indexes of the instances in the first region; the others are in the second one.
const FIRST_REGION: [usize; 2] = [0, 3];

/// Deploys instances in two regions and routes reads to the first one as their home region.
async fn deploy_in_two_regions(name: &str) -> Deployment {
    let mut deployment = deployed(name, &SIX_INSTANCES).await;
    let regions = [("a", "east"), ("b", "west"), ("c", "west")]
        .map(|(domain, region)| json!({"failure_domain": domain, "region": region}));
    for instance in &mut deployment.instances {
        instance.set("regions", json!(regions)).expect("a file");
        instance.kill_daemon();
        instance.start_daemon().await.expect("a daemon");
    }
    let route = RouteSpec { home_regions: vec!["east"], ..RouteSpec::reads(READS, "/r/", "board") };
    deployment.apply(&[route]).await;
    deployment
}

async fn read(deployment: &Deployment, at: usize, id: &str) -> StatusCode {
    let address = deployment.instances[at].call_address();
    ask(address, &Call::read(READS, "/r/1", id)).await.expect("a response").status
}

/// Guards against requests that leave the home regions of their route, in particular with an
/// attempt after a failed one.
#[tokio::test]
async fn requests_stay_in_the_home_regions_of_their_route() {
    let deployment = deploy_in_two_regions("homes").await;
    let outside = || {
        let others = deployment.instances.iter().enumerate();
        let others = others.filter(|(at, _)| !FIRST_REGION.contains(at));
        others.map(|(_, instance)| instance.target.requests()).sum::<u64>()
    };
    for number in 0..30 {
        let status = read(&deployment, number % SIX_INSTANCES.len(), &format!("h{number}")).await;
        assert_eq!(status, StatusCode::OK);
    }
    for at in FIRST_REGION {
        deployment.instances[at].target.behave(Behaviour::Shed);
    }
    for number in 0..12 {
        let status = read(&deployment, number % SIX_INSTANCES.len(), &format!("s{number}")).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(outside(), 0);
}

/// Guards against requests that wait for their deadline though no home region has a target.
#[tokio::test]
async fn requests_without_a_target_in_their_home_regions_are_refused_at_once() {
    let mut deployment = deploy_in_two_regions("nohome").await;
    for at in FIRST_REGION {
        deployment.instances[at].leave().await;
    }
    let is_refused =
        || async { read(&deployment, 1, "n").await == StatusCode::SERVICE_UNAVAILABLE };
    wait("a refusal", is_refused).await;
}
