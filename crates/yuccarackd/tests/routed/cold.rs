//! Targets that become cold under load, and the bound on the requests that reach them.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::time::sleep;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, wait},
    target::Behaviour,
};

use crate::support::{READS, board_routes, program};

/// Requests per second that a cold target can serve, which is also the bound.
const COLD_PER_S: usize = 10;

/// Time for which a target stays cold.
const COLD_PERIOD: Duration = Duration::from_secs(2);

/// Most requests that may reach a target in its cold period, which overlaps three whole seconds.
const COLD_MAX: usize = 3 * COLD_PER_S;

/// Number of callers, each of which sends one request after the other.
const CALLERS: usize = 24;

/// Deploys two instances with a bound on cold targets.
async fn deploy_with_cold_bound(name: &str) -> Deployment {
    let services = ["board", "board"];
    let mut deployment = Deployment::start(program(), name, &services).await.expect("a deployment");
    deployment.bound_cold_targets(COLD_PER_S as f64);
    deployment.apply(&board_routes()).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::Answer(Duration::from_millis(10)));
    }
    deployment
}

/// Sends calls through both instances until `until`.
async fn send_load(deployment: &Deployment, until: Instant) {
    let callers = (0..CALLERS).map(|caller| async move {
        let address = deployment.instances[caller % 2].call_address();
        for number in 0.. {
            if Instant::now() >= until {
                return;
            }
            let call = Call::read(READS, "/r/1", &format!("c{caller}-{number}"));
            // Refusals arrive at once and are expected.
            ask(address, &call).await;
            sleep(Duration::from_millis(10)).await;
        }
    });
    join_all(callers).await;
}

/// Counts the requests that reached the first target from `from` to `until`.
fn first_target_arrivals(deployment: &Deployment, from: Instant, until: Instant) -> usize {
    let arrivals = deployment.instances[0].target.arrivals();
    arrivals.into_iter().filter(|at| (from..until).contains(at)).count()
}

/// Guards against a target that becomes cold and crashes because it still gets the load of a warm
/// one.
#[tokio::test]
async fn a_target_that_becomes_cold_under_load_stays_within_its_bound() {
    let deployment = deploy_with_cold_bound("cold").await;
    let start = Instant::now();
    let cold_from = start + Duration::from_millis(1_500);
    let cold_until = cold_from + COLD_PERIOD;
    let cool_down = async {
        tokio::time::sleep_until(cold_from.into()).await;
        deployment.instances[0].target.cool_down(COLD_PERIOD);
    };
    tokio::join!(send_load(&deployment, cold_until + Duration::from_millis(1_500)), cool_down);
    let before = first_target_arrivals(&deployment, start, cold_from);
    assert!(before > COLD_MAX, "{before} requests before: too little load to reach the bound");
    let cold = first_target_arrivals(&deployment, cold_from, cold_until);
    assert!((1..=COLD_MAX).contains(&cold), "{cold} requests while it was cold");
    let after = first_target_arrivals(&deployment, cold_until, Instant::now());
    assert!(after > COLD_MAX, "{after} requests after it was cold");
}

/// Guards against a daemon that restarts and counts anew the requests of a target that is still
/// cold.
#[tokio::test]
async fn the_bound_of_a_cold_target_holds_across_a_restart_of_its_daemon() {
    let mut deployment = deploy_with_cold_bound("coldrestart").await;
    let cold_from = Instant::now();
    deployment.instances[0].target.cool_down(COLD_PERIOD);
    send_load(&deployment, cold_from + COLD_PERIOD / 4).await;
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    send_load(&deployment, cold_from + COLD_PERIOD).await;
    let cold = first_target_arrivals(&deployment, cold_from, cold_from + COLD_PERIOD);
    assert!(cold <= COLD_MAX, "{cold} requests while it was cold");
    let is_back = || async {
        let before = deployment.instances[0].target.requests();
        send_load(&deployment, Instant::now() + Duration::from_millis(100)).await;
        deployment.instances[0].target.requests() > before
    };
    wait("requests to the target after its cold period", is_back).await;
}

/// Guards against a bound that stays in force after operators have lifted it.
#[tokio::test]
async fn a_lifted_bound_limits_nothing() {
    let mut deployment = deploy_with_cold_bound("coldlifted").await;
    deployment.bound_cold_targets(0.0);
    deployment.apply(&board_routes()).await;
    let from = Instant::now();
    deployment.instances[0].target.cool_down(COLD_PERIOD);
    send_load(&deployment, from + COLD_PERIOD).await;
    let cold = first_target_arrivals(&deployment, from, from + COLD_PERIOD);
    assert!(cold > COLD_MAX, "{cold} requests without a bound");
}
