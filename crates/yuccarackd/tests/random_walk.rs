//! Soak test of calls by rules: injects random faults, singly and combined, and checks the
//! guarantees to callers.
//!
//! `scripts/soak` runs it for longer: `YUCCARACK_WALK_SEED` sets the first seed and
//! `YUCCARACK_WALK_MINUTES` the duration.

use std::{
    env, fs,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use yuccarack_platform::rows::rules_key;
use yuccarack_standins::{
    fleet::{
        Fleet, FleetPlan, Node, StressLoad, check_stress_calls, rules_file, service_rules,
        wait_until,
    },
    load::Verdict,
    platform::{PlatformFaults, PlatformMode},
    proxy::{CutAfter, Direction, ProxyFaults},
    target::TargetFaults,
};

const SERVICE: &str = "repairs";
const TARGETS: usize = 3;

/// Steps of one walk; each injects one or two faults.
const STEPS: usize = 7;

/// Calls made during the faults of one step.
const CALLS_PER_STEP: usize = 80;

/// Orders sent during the faults of one step; each must have its outcome at the end.
const ORDERS_PER_STEP: usize = 2;

/// A kind of fault and the index of the node that it affects, or the variant of the fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KilledDaemon(usize),
    StoppedDaemon(usize),
    FrozenDaemon(usize),
    KilledTarget(usize),
    DrainedTarget(usize),
    FaultyTarget(usize, u8),
    FaultyGateLink(usize, u8),
    FaultyTargetLink(usize, u8),
    BlockedUpdates(usize),
    FaultyStoreLink(usize),
    FaultyStore(u8),
}

impl Fault {
    fn random(random: &mut StdRng) -> Self {
        let node = random.random_range(0..TARGETS);
        let kind = random.random_range(0..5);
        match random.random_range(0..11) {
            0 => Self::KilledDaemon(node),
            1 => Self::StoppedDaemon(node),
            2 => Self::FrozenDaemon(node),
            3 => Self::KilledTarget(node),
            4 => Self::DrainedTarget(node),
            5 => Self::FaultyTarget(node, kind),
            6 => Self::FaultyGateLink(node, kind),
            7 => Self::FaultyTargetLink(node, kind),
            8 => Self::BlockedUpdates(node),
            9 => Self::FaultyStoreLink(node),
            _ => Self::FaultyStore(kind),
        }
    }

    async fn inject(self, fleet: &mut Fleet) {
        match self {
            Self::KilledDaemon(node) => fleet.nodes[node].kill_daemon(),
            Self::StoppedDaemon(node) => {
                if let Some(daemon) = &fleet.nodes[node].daemon {
                    daemon.terminate();
                }
            }
            Self::FrozenDaemon(node) => {
                if let Some(daemon) = &fleet.nodes[node].daemon {
                    daemon.pause();
                }
            }
            Self::KilledTarget(node) => fleet.nodes[node].target.kill().await,
            Self::DrainedTarget(node) => fleet.nodes[node].target.drain(),
            Self::FaultyTarget(node, kind) => {
                fleet.nodes[node].target.set_faults(target_faults(kind));
            }
            Self::FaultyGateLink(node, kind) => {
                fleet.nodes[node].links.gate.set_faults(link_faults(kind));
            }
            Self::FaultyTargetLink(node, kind) => {
                fleet.nodes[node].links.target.set_faults(link_faults(kind));
            }
            Self::BlockedUpdates(node) => fleet.nodes[node].links.control.set_faults(blocked()),
            Self::FaultyStoreLink(node) => fleet.nodes[node].links.platform.set_faults(blocked()),
            Self::FaultyStore(kind) => fleet.platform.set_faults(store_faults(kind)),
        }
    }
}

fn blocked() -> ProxyFaults {
    ProxyFaults { black_hole: true, ..Default::default() }
}

fn target_faults(kind: u8) -> TargetFaults {
    let mut faults = TargetFaults::default();
    match kind {
        0 => faults.slow_ms = 300,
        1 => faults.stall_for_ms = 500,
        2 => faults.fail_fast = Some(500),
        3 => faults.refuse_all = true,
        _ => faults.cut_answers_after = Some(3_000),
    }
    faults
}

fn link_faults(kind: u8) -> ProxyFaults {
    let mut faults = ProxyFaults { times: Some(6), ..Default::default() };
    match kind {
        0 => faults.cut_after_bytes = Some(CutAfter { direction: Direction::Upstream, bytes: 200 }),
        1 => {
            faults.cut_after_bytes =
                Some(CutAfter { direction: Direction::Downstream, bytes: 9_000 });
        }
        2 => faults.swallow_answer = true,
        3 => faults.half_open = Some(Direction::Downstream),
        _ => faults.delay_ms = 60,
    }
    faults
}

fn store_faults(kind: u8) -> PlatformFaults {
    let mut faults = PlatformFaults::default();
    match kind {
        0 => faults.mode = PlatformMode::Down,
        1 => faults.mode = PlatformMode::BlackHole,
        2 => faults.lose_answers = 3,
        3 => faults.delay_ms = 300,
        _ => {
            faults.delay_ms = 900;
            faults.late_effect = true;
        }
    }
    faults
}

/// Clears all faults and restarts all targets and the daemons that stopped.
async fn clear_faults(fleet: &mut Fleet) {
    fleet.platform.set_faults(PlatformFaults::default());
    for node in &mut fleet.nodes {
        for link in
            [&node.links.platform, &node.links.gate, &node.links.control, &node.links.target]
        {
            link.set_faults(ProxyFaults::default());
            link.cut_connections();
        }
        node.target.set_faults(TargetFaults::default());
        node.target.kill().await;
        node.target.restart().await.expect("the target can't be restarted");
        if let Some(daemon) = &mut node.daemon {
            daemon.resume();
            // A daemon that was asked to stop exits; any other goes on.
            if daemon.is_running() && !daemon.is_stopping() {
                continue;
            }
            daemon.wait_exit().await.expect("the daemon's exit can't be awaited");
        }
        node.kill_daemon();
        node.start_daemon().await.expect("the daemon can't be restarted");
    }
}

/// Changes the rules and returns the accepted revision, or none if the change failed.
async fn change_rules(fleet: &Fleet, number: u32) -> Option<u64> {
    let row = fleet.platform.with_table(|table| table.row(&rules_key(SERVICE)));
    let base = row.map_or(0, |row| row.revision);
    let mut rules = service_rules(SERVICE);
    rules.routes[1].deadline_ms = 3_000 + number;
    let operator = fleet.operator.with_timeout_ms(1_000);
    let output = operator.apply("walker", &rules_file(base, vec![rules])).await;
    output.expect("the operators' program can't be run").stdout_json["revision"].as_u64()
}

/// Checks that no daemon process put older rules in force than it had; a restart begins anew.
fn check_rules_never_regress(node: &Node) {
    let Some(daemon) = &node.daemon else { return };
    let log = fs::read_to_string(daemon.log()).expect("the daemon's log can't be read");
    let mut newest = 0;
    for line in log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        if line["msg"] == "serving" {
            newest = 0;
        }
        if let Some(revision) = line["revision"].as_u64().filter(|_| line["service"] == SERVICE) {
            assert!(revision >= newest, "{} regressed from revision {newest}: {line}", node.name());
            newest = revision;
        }
    }
}

async fn run_walk(seed: u64) {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed)
        .with_service(SERVICE, TARGETS)
        .with_budgets(|budgets| budgets.drain_notice_ms = 200);
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start_ready(plan).await;
    let mut stress_plan = fleet.stress_plan(SERVICE, seed);
    stress_plan.callers = 24;
    let storm = StressLoad::start(&stress_plan);
    let mut orders = Vec::new();
    let mut accepted = 0;
    for step in 0..STEPS {
        for _ in 0..random.random_range(1..=2) {
            let fault = Fault::random(&mut random);
            println!("step {step}: {fault:?}");
            fault.inject(&mut fleet).await;
        }
        let keys = (0..ORDERS_PER_STEP).map(|number| format!("order-{seed}-{step}-{number}"));
        let keys: Vec<_> = keys.collect();
        let sent = keys.iter().map(|key| {
            let address = fleet.nodes[random.random_range(0..TARGETS)].call_address();
            fleet.send_once(address, SERVICE, key)
        });
        join_all(sent).await;
        orders.extend(keys);
        if random.random_range(0..2) == 0 {
            let number = u32::try_from(step).expect("the step number exceeds u32");
            accepted = change_rules(&fleet, number).await.unwrap_or(accepted);
        }
        fleet.wait_more_calls(&storm, CALLS_PER_STEP).await;
        if random.random_range(0..3) > 0 {
            clear_faults(&mut fleet).await;
        }
    }
    clear_faults(&mut fleet).await;
    let calls = storm.stop().await;
    fleet.wait_ready().await;
    fleet.wait_idle().await;
    let report = check_stress_calls(&calls, &fleet.run_log);
    println!("{report:?}");
    assert_eq!(report.violations, Vec::<String>::new());
    check_orders(&fleet, &orders).await;
    check_rules(&fleet, accepted).await;
    fleet.stop().await;
}

/// Checks that each order has its outcome, runs now because it never ran, or is an open claim that
/// operators see; none may be lost silently.
async fn check_orders(fleet: &Fleet, orders: &[String]) {
    for key in orders {
        let mut attempt = 0;
        wait_until(&format!("{key} is settled"), || {
            attempt += 1;
            let address = fleet.nodes[attempt % TARGETS].call_address();
            async move { is_settled(fleet, key, &fleet.send_once(address, SERVICE, key).await) }
        })
        .await;
        let runs = fleet.run_log.runs_of_key(key).len();
        assert!(runs <= 1, "{key} ran {runs} times");
    }
}

fn is_settled(fleet: &Fleet, key: &str, verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Correct => true,
        Verdict::Refused { outcome, .. } if outcome == "run" => true,
        // The failure of the target itself is recorded as the outcome.
        Verdict::Untyped { .. } => fleet.run_log.runs_of_key(key).len() == 1,
        Verdict::Refused { reason, .. } => {
            let row = fleet.platform.with_table(|table| table.row(&claim_key(key)));
            reason == "in_progress" && row.is_some()
        }
        _ => false,
    }
}

fn claim_key(key: &str) -> String {
    yuccarack_platform::rows::claim_key(SERVICE, key)
}

async fn check_rules(fleet: &Fleet, accepted: u64) {
    let row = fleet.platform.with_table(|table| table.row(&rules_key(SERVICE)));
    let newest = row.expect("the service has rules").revision;
    assert!(newest >= accepted, "revision {accepted} was accepted, but the store has {newest}");
    for node in &fleet.nodes {
        wait_until(&format!("{} has revision {newest}", node.name()), || async {
            fleet.rules_revision(node, SERVICE).await == Some(newest)
        })
        .await;
        check_rules_never_regress(node);
    }
}

/// Runs one walk for each seed. Whatever fails and in whichever order: no order runs twice, "not
/// run" is true, no response is wrong, no accepted rules are lost, and everything recovers.
async fn run_walks(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        run_walk(seed).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn first_seeds() {
    run_walks(1_000..1_002).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn second_seeds() {
    run_walks(2_000..2_002).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn third_seeds() {
    run_walks(3_000..3_002).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fourth_seeds() {
    run_walks(5_000..5_002).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fifth_seeds() {
    run_walks(6_000..6_002).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sixth_seeds() {
    run_walks(7_000..7_002).await;
}

/// Runs walks from the seed and for the time that the environment sets; one short walk by default.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak() {
    let env_number = |name| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let minutes = env_number("YUCCARACK_WALK_MINUTES").unwrap_or(0);
    let mut seed = env_number("YUCCARACK_WALK_SEED").unwrap_or(4_000);
    let started_at = Instant::now();
    loop {
        run_walk(seed).await;
        seed += 1;
        if started_at.elapsed() >= Duration::from_secs(60 * minutes) {
            return;
        }
    }
}
