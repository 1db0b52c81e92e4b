//! Failure domains that operators evacuate: their targets get nothing until that is taken back.

use std::time::Duration;

use http::StatusCode;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, wait},
    store::DoorMode,
};

use crate::support::{READS, deployed};

/// Instances in three failure domains, by turns; the first and the fourth are in the same one.
const SERVICES: [&str; 6] = ["board"; 6];

/// Instances of the failure domain that is evacuated.
const EVACUATED: [usize; 2] = [0, 3];

/// Time within which operators want an evacuation in force, and the same for what they take back.
const IN_FORCE_MAX: Duration = Duration::from_secs(5);

/// Key of the row that evacuates it.
const ROW: &str = "evacuate/a";

/// Reads at all instances; returns how many reached the targets of the failure domain.
async fn reads_there(deployment: &Deployment, name: &str) -> u64 {
    let there =
        || EVACUATED.iter().map(|at| deployment.instances[*at].target.requests()).sum::<u64>();
    let before = there();
    for number in 0..30 {
        let address = deployment.instances[number % SERVICES.len()].call_address();
        let call = Call::read(READS, "/r/1", &format!("{name}{number}"));
        let told = ask(address, &call).await.expect("an answer");
        assert_eq!(told.status, StatusCode::OK);
    }
    there() - before
}

/// Waits until daemons act on an evacuation, or on its end, in time.
async fn wait_in_force(deployment: &Deployment, is_evacuated: bool) {
    let waited = wait("the evacuation in force or taken back", || async {
        let reached = reads_there(deployment, "w").await;
        (reached == 0) == is_evacuated
    });
    tokio::time::timeout(IN_FORCE_MAX, waited).await.expect("in force in time");
}

async fn evacuated_and_back(deployment: &Deployment) {
    assert!(reads_there(deployment, "a").await > 0);
    deployment.store.put("op", ROW, b"{}");
    wait_in_force(deployment, true).await;
    for round in 0..5 {
        assert_eq!(reads_there(deployment, &format!("b{round}")).await, 0);
    }
    deployment.store.delete("op", ROW);
    wait_in_force(deployment, false).await;
}

/// Guards against requests that reach a failure domain that operators have evacuated.
#[tokio::test]
async fn an_evacuated_domain_gets_nothing_until_that_is_taken_back() {
    evacuated_and_back(&deployed("evacuated", &SERVICES).await).await;
}

/// Guards against daemons that the store turns away and that go on sending to an evacuated domain.
#[tokio::test]
async fn daemons_that_the_store_turns_away_follow_an_evacuation() {
    for mode in [DoorMode::Refusing, DoorMode::Silent] {
        let deployment = deployed(&format!("evacuated{mode:?}"), &SERVICES).await;
        for instance in &deployment.instances[..4] {
            instance.door.set(mode);
        }
        evacuated_and_back(&deployment).await;
    }
}

/// Guards against daemons that go on sending because their relays, which a silent store leaves without an
/// answer, have received an evacuation from relays of other domains and don't pass it on.
#[tokio::test]
async fn daemons_whose_relays_have_no_answer_of_the_store_follow_an_evacuation() {
    let services = ["board"; 12];
    let deployment = deployed("evacuatedrelays", &services).await;
    let domain: Vec<usize> = (0..services.len()).step_by(3).collect();
    for at in &domain {
        deployment.instances[*at].door.set(DoorMode::Silent);
    }
    deployment.store.put("op", ROW, b"{}");
    let there = || domain.iter().map(|at| deployment.instances[*at].target.requests()).sum::<u64>();
    let is_in_force = || async {
        let before = there();
        for at in &domain {
            let call = Call::read(READS, "/r/1", &format!("s{at}"));
            let told = ask(deployment.instances[*at].call_address(), &call).await;
            assert_eq!(told.expect("an answer").status, StatusCode::OK);
        }
        there() == before
    };
    // A round without a request there may be luck, so that none tells when it is in force.
    tokio::time::sleep(IN_FORCE_MAX).await;
    for _ in 0..10 {
        assert!(is_in_force().await);
    }
}

/// Guards against an evacuation that is lost with a daemon's process.
#[tokio::test]
async fn a_daemon_that_restarts_in_an_evacuated_domain_lets_nothing_in() {
    let mut deployment = deployed("evacuatedrestart", &SERVICES).await;
    deployment.store.put("op", ROW, b"{}");
    wait_in_force(&deployment, true).await;
    for at in [0, 1] {
        deployment.instances[at].kill_daemon();
        deployment.instances[at].start_daemon().await.expect("a daemon");
    }
    for at in [0, 1] {
        wait("the daemon to be ready", || deployment.instances[at].is_ready()).await;
    }
    assert_eq!(reads_there(&deployment, "a").await, 0);
}

/// Guards against an evacuation that goes on for good because the store forgot that it was taken back.
#[tokio::test]
async fn an_evacuation_whose_end_the_store_forgot_is_over() {
    let deployment = deployed("evacuatedforgot", &SERVICES).await;
    deployment.store.put("op", ROW, b"{}");
    wait_in_force(&deployment, true).await;
    for instance in &deployment.instances {
        instance.door.set(DoorMode::Cutting);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.store.delete("op", ROW);
    deployment.store.compact();
    for instance in &deployment.instances {
        instance.door.set(DoorMode::Open);
    }
    wait_in_force(&deployment, false).await;
}

/// Guards against rows of unknown domains, or with contents in no form, that stop anything.
#[tokio::test]
async fn evacuations_that_make_no_sense_change_nothing() {
    let deployment = deployed("evacuatedstrange", &SERVICES).await;
    deployment.store.put("op", "evacuate/nowhere", b"\xff\xfe");
    deployment.store.put("op", "evacuate/", b"{}");
    deployment.store.put("op", "evacuated", b"{}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(reads_there(&deployment, "a").await > 0);
}
