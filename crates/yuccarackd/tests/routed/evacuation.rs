//! Tests that an evacuated failure domain receives no requests until operators end the evacuation.

use std::time::Duration;

use http::StatusCode;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, wait},
    store::DoorMode,
};

use crate::support::{READS, deployed};

/// Instances in three failure domains, assigned in turn; the first and the fourth share one.
const SERVICES: [&str; 6] = ["board"; 6];

/// Instances of the failure domain that is evacuated.
const EVACUATED: [usize; 2] = [0, 3];

/// Time within which an evacuation, or its end, has to be in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(5);

/// Key of the row that evacuates the failure domain.
const EVACUATION_KEY: &str = "evacuate/a";

/// Sends reads to all instances; returns how many reached targets of the failure domain.
async fn reads_at_evacuated(deployment: &Deployment, name: &str) -> u64 {
    let evacuated_requests = || {
        EVACUATED.iter().map(|index| deployment.instances[*index].target.requests()).sum::<u64>()
    };
    let before = evacuated_requests();
    for number in 0..30 {
        let address = deployment.instances[number % SERVICES.len()].call_address();
        let call = Call::read(READS, "/r/1", &format!("{name}{number}"));
        let response = ask(address, &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
    evacuated_requests() - before
}

/// Waits until daemons apply an evacuation or its end, within [`IN_FORCE_MAX`].
async fn wait_in_force(deployment: &Deployment, is_evacuated: bool) {
    let waited = wait("the evacuation to start or end", || async {
        let count = reads_at_evacuated(deployment, "w").await;
        (count == 0) == is_evacuated
    });
    tokio::time::timeout(IN_FORCE_MAX, waited)
        .await
        .expect("the evacuation or its end in force in time");
}

async fn assert_evacuation_starts_and_ends(deployment: &Deployment) {
    assert!(reads_at_evacuated(deployment, "a").await > 0);
    deployment.store.put("op", EVACUATION_KEY, b"{}");
    wait_in_force(deployment, true).await;
    for round in 0..5 {
        assert_eq!(reads_at_evacuated(deployment, &format!("b{round}")).await, 0);
    }
    deployment.store.delete("op", EVACUATION_KEY);
    wait_in_force(deployment, false).await;
}

/// Guards against requests that reach an evacuated failure domain.
#[tokio::test]
async fn an_evacuated_domain_receives_no_requests_until_the_evacuation_ends() {
    assert_evacuation_starts_and_ends(&deployed("evacuated", &SERVICES).await).await;
}

/// Guards against daemons that the store refuses and that keep sending requests to an evacuated
/// domain.
#[tokio::test]
async fn daemons_refused_by_the_store_follow_an_evacuation() {
    for mode in [DoorMode::Refusing, DoorMode::Silent] {
        let deployment = deployed(&format!("evacuated{mode:?}"), &SERVICES).await;
        for instance in &deployment.instances[..4] {
            instance.door.set(mode);
        }
        assert_evacuation_starts_and_ends(&deployment).await;
    }
}

/// Guards against daemons that keep sending because their relays, which get no response from a
/// hanging store, received the evacuation from relays of other domains and don't pass it on.
#[tokio::test]
async fn daemons_whose_relays_get_no_response_from_the_store_follow_an_evacuation() {
    let services = ["board"; 12];
    let deployment = deployed("evacuatedrelays", &services).await;
    let domain: Vec<usize> = (0..services.len()).step_by(3).collect();
    for index in &domain {
        deployment.instances[*index].door.set(DoorMode::Silent);
    }
    deployment.store.put("op", EVACUATION_KEY, b"{}");
    let evacuated_requests =
        || domain.iter().map(|index| deployment.instances[*index].target.requests()).sum::<u64>();
    let is_in_force = || async {
        let before = evacuated_requests();
        for index in &domain {
            let call = Call::read(READS, "/r/1", &format!("s{index}"));
            let response = ask(deployment.instances[*index].call_address(), &call).await;
            assert_eq!(response.expect("a response").status, StatusCode::OK);
        }
        evacuated_requests() == before
    };
    // A round without a request to the domain may be chance, so it doesn't show that the evacuation
    // is in force.
    tokio::time::sleep(IN_FORCE_MAX).await;
    for _ in 0..10 {
        assert!(is_in_force().await);
    }
}

/// Guards against an evacuation that is lost when a daemon restarts.
#[tokio::test]
async fn a_daemon_that_restarts_in_an_evacuated_domain_admits_no_requests() {
    let mut deployment = deployed("evacuatedrestart", &SERVICES).await;
    deployment.store.put("op", EVACUATION_KEY, b"{}");
    wait_in_force(&deployment, true).await;
    for index in [0, 1] {
        deployment.instances[index].kill_daemon();
        deployment.instances[index].start_daemon().await.expect("a daemon");
    }
    for index in [0, 1] {
        wait("the daemon to be ready", || deployment.instances[index].is_ready()).await;
    }
    assert_eq!(reads_at_evacuated(&deployment, "a").await, 0);
}

/// Guards against an evacuation that never ends because the store compacted the history of its end.
#[tokio::test]
async fn an_evacuation_ends_though_the_store_compacted_its_history() {
    let deployment = deployed("evacuatedforgot", &SERVICES).await;
    deployment.store.put("op", EVACUATION_KEY, b"{}");
    wait_in_force(&deployment, true).await;
    for instance in &deployment.instances {
        instance.door.set(DoorMode::Cutting);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.store.delete("op", EVACUATION_KEY);
    deployment.store.compact();
    for instance in &deployment.instances {
        instance.door.set(DoorMode::Open);
    }
    wait_in_force(&deployment, false).await;
}

/// Guards against rows of unknown domains, or with malformed contents, that evacuate a domain.
#[tokio::test]
async fn malformed_evacuation_rows_change_nothing() {
    let deployment = deployed("evacuatedstrange", &SERVICES).await;
    deployment.store.put("op", "evacuate/nowhere", b"\xff\xfe");
    deployment.store.put("op", "evacuate/", b"{}");
    deployment.store.put("op", "evacuated", b"{}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(reads_at_evacuated(&deployment, "a").await > 0);
}
