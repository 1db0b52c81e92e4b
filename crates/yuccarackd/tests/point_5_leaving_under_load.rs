//! A target that is leaving gets no new work, under load and with its daemon frozen.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use yuccarack_standins::{
    fleet::{Fleet, FleetPlan, Storm, judge_storm, until},
    platform::{PlatformFaults, PlatformMode},
    proxy::ProxyFaults,
    target::TargetFaults,
};

const SERVICE: &str = "conditions";

/// Calls made while nothing may reach the target that has left.
const CALLS_AFTER: usize = 400;

/// Time that requests take at most from the gate to the target.
const DISPATCH_MAX: Duration = Duration::from_secs(1);

/// Time after which a silent target gets no new work; the announce timeout of 3 s and a second.
const ANNOUNCE_TIMEOUT_MAX: Duration = Duration::from_secs(4);

fn plan(seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed).with_service(SERVICE, 3)
}

fn storm(fleet: &Fleet, seed: u64) -> Storm {
    let mut plan = fleet.storm_plan(SERVICE, seed);
    plan.callers = 12;
    plan.hang_up_percent = 0;
    Storm::start(&plan)
}

/// Holds up what daemons tell each other.
fn block_control_links(fleet: &Fleet) {
    for node in &fleet.nodes {
        let blocked = ProxyFaults { black_hole: true, ..Default::default() };
        node.links.control.set_faults(blocked);
    }
}

/// Checks that `name` begins no run from now on while the others serve.
async fn check_no_new_runs(fleet: &Fleet, storm: Storm, name: &str) {
    // What the gate had let in before may still be on its way to the target.
    sleep(DISPATCH_MAX).await;
    let since = Instant::now();
    fleet.more_calls(&storm, CALLS_AFTER).await;
    let calls = storm.stop().await;
    let later_runs: Vec<_> = fleet.ledger.runs_since(since);
    let runs_on_target = later_runs.iter().filter(|run| run.target == name).count();
    assert_eq!(
        runs_on_target,
        0,
        "{name} got {runs_on_target} of {} runs after it left",
        later_runs.len()
    );
    assert!(!later_runs.is_empty(), "nobody served any more");
    assert_eq!(judge_storm(&calls, &fleet.ledger).breaches, Vec::<String>::new());
}

/// A target tells that it drains. It gets no work once its daemon has heard it, which is at once,
/// wherever the news of it are: with the store down and with news between daemons held up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_announced_drain_takes_effect_at_once_without_store_and_peer_updates() {
    for (seed, is_store_down, is_control_blocked) in
        [(57, false, false), (52, true, false), (58, true, true)]
    {
        let fleet = Fleet::serving(plan(seed)).await;
        let storm = storm(&fleet, seed);
        fleet.more_calls(&storm, 200).await;
        if is_store_down {
            let mode = PlatformMode::BlackHole;
            fleet.platform.set_faults(PlatformFaults { mode, ..Default::default() });
        }
        if is_control_blocked {
            block_control_links(&fleet);
        }
        let node = &fleet.nodes[1];
        node.target.drain();
        until("its daemon knows", || async {
            !fleet.ready_targets(node, SERVICE).await.contains(&node.name().to_owned())
        })
        .await;
        check_no_new_runs(&fleet, storm, node.name()).await;
        fleet.stop().await;
    }
}

/// A target goes away without a word: it only stops announcing itself, while its port still answers.
/// After the announce timeout it counts as leaving, also with the store down and news held up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_target_counts_as_leaving_after_the_announce_timeout() {
    for (seed, is_cut_off) in [(54, false), (55, true)] {
        let fleet = Fleet::serving(plan(seed)).await;
        let storm = storm(&fleet, seed);
        fleet.more_calls(&storm, 200).await;
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

/// The daemon of a leaving target hears nothing, since it is frozen together with the news; other
/// entries hold it for ready. Their calls time out or go elsewhere; the target gets none.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_daemon_sends_its_target_no_requests() {
    let mut fleet = Fleet::serving(plan(56)).await;
    let name = fleet.nodes[1].name().to_owned();
    fleet.nodes[1].daemon().freeze();
    fleet.nodes[1].target.drain();
    let mut plan = fleet.storm_plan(SERVICE, 56);
    plan.addresses.remove(1);
    plan.callers = 12;
    plan.hang_up_percent = 0;
    let storm = Storm::start(&plan);
    check_no_new_runs(&fleet, storm, &name).await;
    let before = fleet.ledger.runs_of_path("").iter().filter(|run| run.target == name).count();
    fleet.nodes[1].daemon().wake();
    until("its daemon knows", || async {
        !fleet.ready_targets(&fleet.nodes[1], SERVICE).await.contains(&name)
    })
    .await;
    let after = fleet.ledger.runs_of_path("").iter().filter(|run| run.target == name).count();
    println!("{} runs between its waking up and the news", after - before);
    fleet.stop().await;
}
