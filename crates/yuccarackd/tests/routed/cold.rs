//! Targets that become cold under load, and what reaches them.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::time::sleep;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, wait},
    target::Behaviour,
};

use crate::support::{READS, board_routes, program};

/// Requests a second that a cold target bears, and no more are allowed.
const COLD_PER_S: usize = 10;

/// Time for which a target is cold.
const COLD: Duration = Duration::from_secs(2);

/// Requests that reach it in that time at most: three whole seconds touch it.
const COLD_MAX: usize = 3 * COLD_PER_S;

/// Callers that send one request after the other.
const CALLERS: usize = 24;

/// Two instances with a bound of cold targets.
async fn bounded(name: &str) -> Deployment {
    let services = ["board", "board"];
    let mut deployment = Deployment::start(program(), name, &services).await.expect("a deployment");
    deployment.bound_cold_targets(COLD_PER_S as f64);
    deployment.apply(&board_routes()).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::Answer(Duration::from_millis(10)));
    }
    deployment
}

/// Calls over both instances for as long as `until` has not come.
async fn press(deployment: &Deployment, until: Instant) {
    let callers = (0..CALLERS).map(|caller| async move {
        let address = deployment.instances[caller % 2].call_address();
        for number in 0.. {
            if Instant::now() >= until {
                return;
            }
            let call = Call::read(READS, "/r/1", &format!("c{caller}-{number}"));
            // Refusals come at once and are expected.
            ask(address, &call).await;
            sleep(Duration::from_millis(10)).await;
        }
    });
    join_all(callers).await;
}

/// Requests that reached the first target between two moments.
fn reached_first(deployment: &Deployment, from: Instant, until: Instant) -> usize {
    let arrivals = deployment.instances[0].target.arrivals();
    arrivals.into_iter().filter(|at| (from..until).contains(at)).count()
}

/// Guards against a target that crashes because the load of a warm one goes on when it becomes cold.
#[tokio::test]
async fn a_target_that_becomes_cold_under_load_gets_no_more_than_it_bears() {
    let deployment = bounded("cold").await;
    let start = Instant::now();
    let cold_from = start + Duration::from_millis(1_500);
    let cold_until = cold_from + COLD;
    let become_cold = async {
        tokio::time::sleep_until(cold_from.into()).await;
        deployment.instances[0].target.cool_down(COLD);
    };
    tokio::join!(press(&deployment, cold_until + Duration::from_millis(1_500)), become_cold);
    let before = reached_first(&deployment, start, cold_from);
    assert!(before > COLD_MAX, "{before} requests before: no load that a bound could hold back");
    let cold = reached_first(&deployment, cold_from, cold_until);
    assert!((1..=COLD_MAX).contains(&cold), "{cold} requests while it was cold");
    let after = reached_first(&deployment, cold_until, Instant::now());
    assert!(after > COLD_MAX, "{after} requests after it was cold");
}

/// Guards against a daemon that restarts and allows its cold target what the process before had allowed.
#[tokio::test]
async fn a_daemon_that_restarts_allows_its_cold_target_no_more() {
    let mut deployment = bounded("coldrestart").await;
    let cold_from = Instant::now();
    deployment.instances[0].target.cool_down(COLD);
    press(&deployment, cold_from + COLD / 4).await;
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    press(&deployment, cold_from + COLD).await;
    let cold = reached_first(&deployment, cold_from, cold_from + COLD);
    assert!(cold <= COLD_MAX, "{cold} requests while it was cold");
    let is_back = || async {
        let before = deployment.instances[0].target.requests();
        press(&deployment, Instant::now() + Duration::from_millis(100)).await;
        deployment.instances[0].target.requests() > before
    };
    wait("work for the target after it was cold", is_back).await;
}

/// Guards against a bound that operators lift and that goes on.
#[tokio::test]
async fn a_bound_that_operators_lift_holds_nothing_back() {
    let mut deployment = bounded("coldlifted").await;
    deployment.bound_cold_targets(0.0);
    deployment.apply(&board_routes()).await;
    let from = Instant::now();
    deployment.instances[0].target.cool_down(COLD);
    press(&deployment, from + COLD).await;
    let cold = reached_first(&deployment, from, from + COLD);
    assert!(cold > COLD_MAX, "{cold} requests without a bound");
}
