//! Requests that crash each target that starts to run them.

use std::{collections::HashMap, time::Duration};

use http::StatusCode;
use tokio::{task::JoinSet, time::sleep};
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, wait},
    target::Run,
};

use crate::support::{READS, deployed};

/// Path prefix of all requests that crash targets.
const CRASHING_PATH: &str = "/r/boom";

/// Number of different requests that crash targets.
const CRASHING_REQUESTS: usize = 3;

/// Time after the first crashes from which each request may reach three more targets at most.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Guards against a request that crashes one target after the other: its caller sends it repeatedly
/// to all daemons. After the third crash no gate may dispatch it, while other requests are served.
#[tokio::test]
async fn a_request_that_crashes_targets_is_quarantined() {
    let mut deployment = deployed("crash", &["board", "board", "board", "board"]).await;
    let mut runs = 0;
    for round in 0..10 {
        for instance in &deployment.instances {
            instance.target.die_of("/r/boom");
        }
        let address = deployment.instances[round % 4].call_address();
        let _ = ask(address, &Call::read(READS, "/r/boom", &format!("x{round}"))).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        for instance in &mut deployment.instances {
            if instance.target.is_dead() {
                runs += instance.restart_target().await.expect("a target").len();
            }
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    assert!((3..=4).contains(&runs), "it ran {runs} times");
    for number in 0..8 {
        let address = deployment.instances[number % 4].call_address();
        let response = ask(address, &Call::read(READS, "/r/1", &format!("y{number}"))).await;
        assert_eq!(response.expect("a response").status, StatusCode::OK);
    }
}

/// Restarts all crashed targets and returns the runs that they had started.
async fn restart_crashed_targets(deployment: &mut Deployment) -> Vec<Run> {
    let mut runs = Vec::new();
    for instance in &mut deployment.instances {
        if instance.target.is_dead() {
            runs.extend(instance.restart_target().await.expect("a target"));
            instance.target.die_of(CRASHING_PATH);
        }
    }
    runs
}

/// Sends each crashing request to all daemons at the same time.
async fn burst(deployment: &Deployment, round: usize) {
    let mut callers = JoinSet::new();
    for (number, instance) in deployment.instances.iter().enumerate() {
        for request in 0..CRASHING_REQUESTS {
            let id = format!("x{round}-{number}-{request}");
            let (address, path) = (instance.call_address(), format!("{CRASHING_PATH}{request}"));
            callers.spawn(async move { ask(address, &Call::read(READS, &path, &id)).await });
        }
    }
    while callers.join_next().await.is_some() {}
}

/// Guards against crashes without end: three different requests that crash targets are sent to all
/// six daemons at the same time, repeatedly as targets restart. Once each has crashed its third
/// target and the reports have arrived, they must be quarantined and other requests served. Targets
/// would go on crashing if a gate remembered only the last crash, or only those of its own target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_requests_that_crash_targets_is_quarantined() {
    let mut deployment = deployed("crashes", &["board"; 6]).await;
    deployment.instances.iter().for_each(|instance| instance.target.die_of(CRASHING_PATH));
    let mut crashes = 0;
    for round in 0..4 {
        burst(&deployment, round).await;
        sleep(Duration::from_millis(300)).await;
        crashes += restart_crashed_targets(&mut deployment).await.len();
        sleep(Duration::from_millis(700)).await;
    }
    assert!(crashes >= CRASHING_REQUESTS, "only {crashes} crashes");
    sleep(SETTLE_TIME).await;
    let mut late_runs: HashMap<String, usize> = HashMap::new();
    for round in 4..8 {
        burst(&deployment, round).await;
        sleep(Duration::from_millis(300)).await;
        for run in restart_crashed_targets(&mut deployment).await {
            *late_runs.entry(run.line).or_default() += 1;
        }
        sleep(Duration::from_millis(500)).await;
    }
    assert!(
        late_runs.values().all(|runs| *runs <= 3),
        "reached targets after their quarantine: {late_runs:?}"
    );
    for instance in &deployment.instances {
        let address = instance.call_address();
        let is_served = || async {
            let response = ask(address, &Call::read(READS, "/r/1", "y")).await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        };
        wait("responses to other requests", is_served).await;
    }
}
