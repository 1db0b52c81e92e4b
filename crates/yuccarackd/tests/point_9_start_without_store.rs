//! A daemon that starts while the store is down serves calls with the data of its peers.

use yuccarack_standins::{
    fleet::{Fleet, FleetPlan, service_rules, wait_until},
    load::Verdict,
    platform::{PlatformFaults, PlatformMode},
};

const SERVICE: &str = "refills";
/// Calls that all must succeed.
const CALLS: usize = 300;

fn plan(seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed).with_service(SERVICE, 3)
}

fn set_mode(fleet: &Fleet, mode: PlatformMode) {
    fleet.platform.set_faults(PlatformFaults { mode, ..PlatformFaults::default() });
}

/// Calls the daemons in turn; each call must succeed.
async fn read_at_all_daemons(fleet: &Fleet) {
    for number in 0..CALLS {
        let node = &fleet.nodes[number % fleet.nodes.len()];
        assert!(fleet.read_succeeds(node.call_address(), SERVICE).await, "{} failed", node.name());
    }
}

/// Sends an order until it runs, as a caller does that gets a retry delay.
async fn order_until_it_runs(fleet: &Fleet, key: &str) {
    let address = fleet.nodes[0].call_address();
    let what = format!("the order {key} runs");
    wait_until(&what, || async {
        fleet.send_once(address, SERVICE, key).await == Verdict::Correct
    })
    .await;
    assert_eq!(fleet.run_log.runs_of_key(key).len(), 1);
}

/// Guards against a new instance that can't serve because it starts while the store is down and no
/// peer knows it. Its daemon finds peers by its settings, gets their data and becomes a member.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_started_in_an_outage_serves_calls() {
    let mut fleet = Fleet::without_daemons(plan(92)).await.unwrap();
    fleet.nodes[0].start_daemon().await.unwrap();
    fleet.nodes[1].start_daemon().await.unwrap();
    fleet.apply(vec![service_rules(SERVICE)]).await;
    fleet.wait_ready().await;
    set_mode(&fleet, PlatformMode::Down);
    fleet.nodes[2].start_daemon().await.unwrap();
    let address = fleet.nodes[2].call_address();
    wait_until("the new daemon serves", || async { fleet.read_succeeds(address, SERVICE).await })
        .await;
    fleet.wait_targets_known(&fleet.nodes[0], SERVICE, 3).await;
    read_at_all_daemons(&fleet).await;
    set_mode(&fleet, PlatformMode::Up);
    order_until_it_runs(&fleet, "after-the-outage").await;
    fleet.stop().await;
}
