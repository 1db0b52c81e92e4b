//! A target that drains gets no new requests, under load and with its daemon frozen.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use yuccarack_standins::{
    fleet::{Fleet, FleetPlan, StressLoad, check_stress_calls, wait_until},
    platform::{PlatformFaults, PlatformMode},
    proxy::ProxyFaults,
    target::TargetFaults,
};

const SERVICE: &str = "conditions";

/// Calls made while no request may reach the drained target.
const CALLS_AFTER: usize = 400;

/// Upper limit of a request's time from the gate to the target.
const DISPATCH_MAX: Duration = Duration::from_secs(1);

/// Time after which a silent target gets no new requests: the announce timeout of 3 s plus 1 s.
const ANNOUNCE_TIMEOUT_MAX: Duration = Duration::from_secs(4);

fn plan(seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed).with_service(SERVICE, 3)
}

fn storm(fleet: &Fleet, seed: u64) -> StressLoad {
    let mut plan = fleet.stress_plan(SERVICE, seed);
    plan.callers = 12;
    plan.disconnect_percent = 0;
    StressLoad::start(&plan)
}

/// Drops all data on the control links between daemons.
fn block_control_links(fleet: &Fleet) {
    for node in &fleet.nodes {
        let blocked = ProxyFaults { black_hole: true, ..Default::default() };
        node.links.control.set_faults(blocked);
    }
}

/// Checks that the target `name` begins no run from now on while the others serve.
async fn check_no_new_runs(fleet: &Fleet, storm: StressLoad, name: &str) {
    // Requests that the gate has already dispatched may still be in transit to the target.
    sleep(DISPATCH_MAX).await;
    let since = Instant::now();
    fleet.wait_more_calls(&storm, CALLS_AFTER).await;
    let calls = storm.stop().await;
    let later_runs: Vec<_> = fleet.run_log.runs_since(since);
    let runs_on_target = later_runs.iter().filter(|run| run.target == name).count();
    assert_eq!(
        runs_on_target,
        0,
        "{name} got {runs_on_target} of {} runs after it left",
        later_runs.len()
    );
    assert!(!later_runs.is_empty(), "no target served requests any more");
    assert_eq!(check_stress_calls(&calls, &fleet.run_log).violations, Vec::<String>::new());
}

/// Guards against a drain that depends on other daemons: a target that announces its drain gets no
/// new requests as soon as its daemon knows, also with the store down and with the updates between
/// daemons blocked.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_announced_drain_takes_effect_at_once_without_store_and_peer_updates() {
    for (seed, is_store_down, is_control_blocked) in
        [(57, false, false), (52, true, false), (58, true, true)]
    {
        let fleet = Fleet::start_ready(plan(seed)).await;
        let storm = storm(&fleet, seed);
        fleet.wait_more_calls(&storm, 200).await;
        if is_store_down {
            let mode = PlatformMode::BlackHole;
            fleet.platform.set_faults(PlatformFaults { mode, ..Default::default() });
        }
        if is_control_blocked {
            block_control_links(&fleet);
        }
        let node = &fleet.nodes[1];
        node.target.drain();
        wait_until("its daemon knows that it drains", || async {
            !fleet.ready_targets(node, SERVICE).await.contains(&node.name().to_owned())
        })
        .await;
        check_no_new_runs(&fleet, storm, node.name()).await;
        fleet.stop().await;
    }
}

/// Guards against requests to a target that stops announcing itself without notice while its port
/// still responds. After the announce timeout it counts as leaving, also with the store down and
/// updates blocked.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_target_counts_as_leaving_after_the_announce_timeout() {
    for (seed, is_cut_off) in [(54, false), (55, true)] {
        let fleet = Fleet::start_ready(plan(seed)).await;
        let storm = storm(&fleet, seed);
        fleet.wait_more_calls(&storm, 200).await;
        if is_cut_off {
            let mode = PlatformMode::Down;
            fleet.platform.set_faults(PlatformFaults { mode, ..Default::default() });
            block_control_links(&fleet);
        }
        let node = &fleet.nodes[2];
        let silent = TargetFaults { stop_announcing: true, ..Default::default() };
        node.target.set_faults(silent);
        sleep(ANNOUNCE_TIMEOUT_MAX).await;
        check_no_new_runs(&fleet, storm, node.name()).await;
        fleet.stop().await;
    }
}

/// Guards against requests to a draining target whose daemon is frozen and can't receive the drain,
/// while other entries still consider the target ready. Their calls time out or go to other
/// targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_daemon_sends_its_target_no_requests() {
    let mut fleet = Fleet::start_ready(plan(56)).await;
    let name = fleet.nodes[1].name().to_owned();
    fleet.nodes[1].daemon().pause();
    fleet.nodes[1].target.drain();
    let mut plan = fleet.stress_plan(SERVICE, 56);
    plan.addresses.remove(1);
    plan.callers = 12;
    plan.disconnect_percent = 0;
    let storm = StressLoad::start(&plan);
    check_no_new_runs(&fleet, storm, &name).await;
    let before = fleet.run_log.runs_of_path("").iter().filter(|run| run.target == name).count();
    fleet.nodes[1].daemon().resume();
    wait_until("its daemon knows that it drains", || async {
        !fleet.ready_targets(&fleet.nodes[1], SERVICE).await.contains(&name)
    })
    .await;
    let after = fleet.run_log.runs_of_path("").iter().filter(|run| run.target == name).count();
    println!(
        "{} runs between the wake-up of the daemon and its receipt of the drain",
        after - before
    );
    fleet.stop().await;
}
