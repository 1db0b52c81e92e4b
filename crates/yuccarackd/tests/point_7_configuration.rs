//! An accepted configuration is in force at all daemons within seconds and never reverts.

use std::{collections::HashMap, fs, net::SocketAddr, time::Duration};

use serde_json::Value;
use tokio::{task::JoinHandle, time::sleep};
use tokio_util::sync::CancellationToken;
use yuccarack_config::rules::ServiceRules;
use yuccarack_platform::rows::{RulesRow, rules_key};
use yuccarack_standins::{
    client::HttpClient,
    fleet::{
        CommandOutput, Fleet, FleetPlan, Node, WAIT_MAX, rules_file, service_rules, wait_for,
        wait_until,
    },
    platform::{PlatformFaults, PlatformMode},
    proxy::ProxyFaults,
};

const SERVICE: &str = "conditions";
const OTHER: &str = "deliveries";

/// Time between two polls of the rules in force.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Operators that apply rules at the same time.
const OPERATORS: u32 = 6;

fn plan(seed: u64) -> FleetPlan {
    FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed)
        .with_service(SERVICE, 3)
        .with_service(OTHER, 2)
}

/// Returns rules with the deadline `deadline_ms`, by which versions are distinguished.
fn rules(service: &str, deadline_ms: u32) -> ServiceRules {
    let mut rules = service_rules(service);
    rules.routes[1].deadline_ms = deadline_ms;
    rules
}

fn revision(ran: &CommandOutput) -> u64 {
    assert_eq!(ran.exit_code, 0, "not accepted: {} {}", ran.stdout_json, ran.stderr);
    ran.stdout_json["revision"].as_u64().expect("an accepted file has a revision")
}

async fn in_force_at_all(fleet: &Fleet, service: &str, revision: u64) {
    for node in fleet.nodes.iter().filter(|node| node.daemon.is_some()) {
        let what = format!("{} has revision {revision} of {service}", node.name());
        wait_until(&what, || async {
            // No calls are sent meanwhile: a daemon of another service must get the rules too.
            fleet.rules_revision(node, service).await == Some(revision)
        })
        .await;
    }
}

fn rules_in_table(fleet: &Fleet, service: &str) -> (u64, u32) {
    let row = fleet.platform.with_table(|table| table.row(&rules_key(service)));
    let row = row.expect("the service has no rules");
    let RulesRow::InForce(rules) = serde_json::from_value(row.value).expect("not a rules row")
    else {
        panic!("{service} is removed")
    };
    (row.revision, rules.routes[1].deadline_ms)
}

/// Polls all daemons until it is stopped; no daemon may put an older version in force.
struct RulesWatch {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl RulesWatch {
    fn start(fleet: &Fleet, service: &'static str) -> Self {
        let stop = CancellationToken::new();
        let daemons = fleet.nodes.iter().map(|node| node.admin_address());
        let tasks = daemons.map(|admin| tokio::spawn(watch(admin, service, stop.clone())));
        Self { tasks: tasks.collect(), stop }
    }

    async fn stop(self, fleet: &Fleet) {
        self.stop.cancel();
        for task in self.tasks {
            task.await.expect("a daemon put an older version in force");
        }
        for node in &fleet.nodes {
            check_log(node);
        }
    }
}

/// Checks the log of a daemon, which has a line for each change, even for one between two polls.
fn check_log(node: &Node) {
    let log = fs::read_to_string(node.daemon.as_ref().expect("it runs").log());
    let log = log.expect("a daemon without a log");
    let mut newest = HashMap::new();
    for line in log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        let (Some(service), Some(revision)) = (line["service"].as_str(), line["revision"].as_u64())
        else {
            continue;
        };
        let before = newest.insert(service.to_owned(), revision).unwrap_or(0);
        assert!(
            revision >= before,
            "{} put an older version than {before} in force: {line}",
            node.name()
        );
    }
}

async fn watch(admin: SocketAddr, service: &str, stop: CancellationToken) {
    let asker = HttpClient::new(WAIT_MAX);
    let mut newest = 0;
    while !stop.is_cancelled() {
        let status: Result<Value, _> = asker.get_json(admin, "/status").await;
        let services = status.ok().and_then(|status| status["services"].as_array().cloned());
        let entry = services.into_iter().flatten().find(|entry| entry["name"] == service);
        if let Some(revision) = entry.and_then(|entry| entry["rules_revision"].as_u64()) {
            assert!(revision >= newest, "{admin} put revision {revision} in force after {newest}");
            newest = revision;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against lost changes when operators apply files for one service at the same time, all
/// based on the same revision. One is accepted, the others get a conflict, and the accepted rules
/// come into force everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_several_concurrent_operators_wins() {
    let fleet = Fleet::start_ready(plan(71)).await;
    let watch = RulesWatch::start(&fleet, SERVICE);
    let (mut base, _) = rules_in_table(&fleet, SERVICE);
    for round in 0..4 {
        let files: Vec<_> = (0..OPERATORS)
            .map(|operator| rules_file(base, vec![rules(SERVICE, 1_000 + round * 100 + operator)]))
            .collect();
        let names: Vec<_> = (0..OPERATORS).map(|number| format!("operator-{number}")).collect();
        let races = files.iter().zip(&names).map(|(file, name)| fleet.operator.apply(name, file));
        let ran = futures_util::future::try_join_all(races).await.unwrap();
        let won: Vec<_> = (0..ran.len()).filter(|number| ran[*number].exit_code == 0).collect();
        let codes: Vec<_> = ran.iter().map(|ran| ran.exit_code).collect();
        assert_eq!(won.len(), 1, "exit codes {codes:?}");
        assert_eq!(codes.iter().filter(|code| **code == 4).count(), ran.len() - 1, "{codes:?}");
        base = revision(&ran[won[0]]);
        let winner = u32::try_from(won[0]).unwrap();
        assert_eq!(rules_in_table(&fleet, SERVICE), (base, 1_000 + round * 100 + winner));
        in_force_at_all(&fleet, SERVICE, base).await;
    }
    watch.stop(&fleet).await;
    fleet.stop().await;
}

/// Guards against a conflict between two operators who change different services at the same time,
/// based on the same revision. Both changes come into force everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_operators_of_different_services_both_win() {
    let fleet = Fleet::start_ready(plan(72)).await;
    for round in 0..4 {
        let base = fleet.platform.with_table(|table| table.rows("").revision);
        let one = rules_file(base, vec![rules(SERVICE, 1_500 + round)]);
        let two = rules_file(base, vec![rules(OTHER, 2_500 + round)]);
        let (one, two) =
            tokio::join!(fleet.operator.apply("one", &one), fleet.operator.apply("two", &two));
        in_force_at_all(&fleet, SERVICE, revision(&one.unwrap())).await;
        in_force_at_all(&fleet, OTHER, revision(&two.unwrap())).await;
        assert_eq!(rules_in_table(&fleet, SERVICE).1, 1_500 + round);
        assert_eq!(rules_in_table(&fleet, OTHER).1, 2_500 + round);
    }
    fleet.stop().await;
}

/// Guards against an accepted file that is reported as failed because the response to its write is
/// lost. The tool must read back that the file was accepted; a second operator with the old base
/// gets a conflict.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_accepted_file_with_a_lost_response_is_recognised() {
    let fleet = Fleet::start_ready(plan(73)).await;
    let (base, _) = rules_in_table(&fleet, SERVICE);
    // Several, since writes of daemons may use up one of them.
    fleet.platform.set_faults(PlatformFaults { lose_answers: 3, ..Default::default() });
    let file = rules_file(base, vec![rules(SERVICE, 1_234)]);
    let ran = fleet.operator.apply("unlucky", &file).await.unwrap();
    fleet.platform.set_faults(PlatformFaults::default());
    let accepted = revision(&ran);
    assert_eq!(rules_in_table(&fleet, SERVICE), (accepted, 1_234));
    let late = rules_file(base, vec![rules(SERVICE, 4_321)]);
    assert_eq!(fleet.operator.apply("late", &late).await.unwrap().exit_code, 4);
    in_force_at_all(&fleet, SERVICE, accepted).await;
    fleet.stop().await;
}

/// Guards against a daemon that misses a version, and against outdated updates that bring back an
/// older one: during two changes one daemon is frozen, one loses the store and one its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn frozen_and_disconnected_daemons_get_the_newest_version() {
    let mut fleet = Fleet::start_ready(plan(74)).await;
    let watch = RulesWatch::start(&fleet, SERVICE);
    let (mut base, _) = rules_in_table(&fleet, SERVICE);
    for round in 0..2 {
        fleet.nodes[0].daemon().pause();
        let refusing = ProxyFaults { refuse: true, ..Default::default() };
        fleet.nodes[1].links.platform.set_faults(refusing.clone());
        fleet.nodes[2].links.control.set_faults(refusing);
        for change in 0..2 {
            let file = rules_file(base, vec![rules(SERVICE, 1_000 + 10 * round + change)]);
            base = revision(&fleet.operator.apply("operator", &file).await.unwrap());
        }
        fleet.nodes[0].daemon().resume();
        in_force_at_all(&fleet, SERVICE, base).await;
        fleet.nodes[1].links.platform.set_faults(ProxyFaults::default());
        fleet.nodes[2].links.control.set_faults(ProxyFaults::default());
        in_force_at_all(&fleet, SERVICE, base).await;
    }
    watch.stop(&fleet).await;
    fleet.stop().await;
}

/// Guards against a late response of the store that brings back older rules: one daemon's
/// connection to the store is slow, and its peers send it a change before the response arrives.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outdated_response_of_the_store_reverts_nothing() {
    let plan = plan(76).with_budgets(|budgets| {
        budgets.gossip_interval_ms = 20;
        budgets.platform_timeout_ms = 5_000;
    });
    let fleet = Fleet::start_ready(plan).await;
    let watch = RulesWatch::start(&fleet, SERVICE);
    let (mut base, _) = rules_in_table(&fleet, SERVICE);
    let slow = ProxyFaults { delay_ms: 400, ..Default::default() };
    fleet.nodes[1].links.platform.set_faults(slow);
    let hinted_daemon = fleet.nodes[0].admin_address().to_string();
    for change in 0..6 {
        fleet.client.post_json(fleet.nodes[1].admin_address(), "/hint", &()).await.unwrap();
        // The request has reached the store, and its response is still in transit.
        sleep(Duration::from_millis(500)).await;
        let file = rules_file(base, vec![rules(SERVICE, 1_000 + change)]);
        let ran =
            fleet.operator.apply_with_hints("operator", &file, &[&hinted_daemon]).await.unwrap();
        base = revision(&ran);
        in_force_at_all(&fleet, SERVICE, base).await;
    }
    // The last response has arrived by then.
    sleep(Duration::from_millis(1_000)).await;
    in_force_at_all(&fleet, SERVICE, base).await;
    watch.stop(&fleet).await;
    fleet.stop().await;
}

/// Guards against a daemon that serves with an older version or without rules because it starts
/// while the store is down, after a change. It must get the newest version of its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_started_while_the_store_is_down_gets_its_peers_version() {
    let mut fleet = Fleet::start_ready(plan(75)).await;
    let (base, _) = rules_in_table(&fleet, SERVICE);
    fleet.nodes[2].kill_daemon();
    let file = rules_file(base, vec![rules(SERVICE, 1_111)]);
    let newest = revision(&fleet.operator.apply("operator", &file).await.unwrap());
    in_force_at_all(&fleet, SERVICE, newest).await;
    fleet.platform.set_faults(PlatformFaults { mode: PlatformMode::Down, ..Default::default() });
    fleet.nodes[2].start_daemon().await.unwrap();
    let node = &fleet.nodes[2];
    let first_rules =
        || async { fleet.rules_revision(node, SERVICE).await.filter(|found| *found > 0) };
    let (first, _) = wait_for("the new daemon has some rules", first_rules).await;
    assert_eq!(first, newest, "the new daemon took older rules first");
    wait_until("it serves", || fleet.read_succeeds(node.call_address(), SERVICE)).await;
    fleet.stop().await;
}
