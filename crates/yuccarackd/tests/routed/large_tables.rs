//! Tests with routing tables that are large for the links over which they are transferred.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use http::Method;
use yuccarack_platform_standin::{
    deployment::{Deployment, RouteSpec, wait},
    instance::Links,
};
use yuccarack_policy::relays::{RelayRole, relay_role};
use yuccarack_standins::{
    client::{Asker, Question},
    proxy::ProxyFaults,
};

use crate::{
    support::{READS, program},
    tables::scattered,
};

/// Two failure domains of four instances each: two relays and two followers in each.
const SERVICES: [&str; 8] = ["board"; 8];

const DOMAINS: usize = 2;

/// Routes of a table that takes far more than a second over a thin link.
const ROUTES: usize = 3_000;

/// Rate of a link over which a table of [`ROUTES`] takes about three seconds.
const THIN_BYTES_PER_S: u64 = 256 * 1024;

/// Time within which a change has to be in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(2);

/// Returns `count` routes, which differ between calls with different `series`.
fn routes(series: &str, count: usize) -> Vec<RouteSpec> {
    let route = |number: usize| {
        let prefix = format!("/{series}{number}{}", scattered(number as u64));
        RouteSpec::reads(READS, prefix, "board")
    };
    (0..count).map(route).collect()
}

/// Returns the instances that receive updates from relays.
fn followers() -> BTreeSet<usize> {
    let names: Vec<String> = (0..SERVICES.len()).map(|number| format!("n{number}")).collect();
    let is_follower = |number: &usize| {
        let domain = names.iter().skip(number % DOMAINS).step_by(DOMAINS).map(String::as_str);
        matches!(relay_role(&names[*number], domain), RelayRole::Follower(_))
    };
    let followers: BTreeSet<usize> = (0..SERVICES.len()).filter(is_follower).collect();
    assert_eq!(followers.len(), 4, "{followers:?}");
    followers
}

/// Starts a deployment with `table` in force, whose followers are connected to their relays.
async fn start_settled(name: &str, table: &[RouteSpec]) -> Deployment {
    let links = [Links { is_gate_proxied: true, ..Links::default() }; SERVICES.len()];
    let starting = Deployment::start_with(program(), name, &SERVICES, &links, DOMAINS);
    let mut deployment = starting.await.expect("a deployment");
    deployment.apply(table).await;
    for number in followers() {
        let log = deployment.instances[number].log();
        let is_follower = || async {
            std::fs::read_to_string(&log).unwrap_or_default().contains("\"relay_heard\"")
        };
        wait(&format!("n{number} to receive updates from a relay"), is_follower).await;
    }
    deployment
}

/// Limits the links of `numbers` to the store, and all links between daemons.
fn limit_links(deployment: &Deployment, numbers: &BTreeSet<usize>) {
    for number in numbers {
        deployment.instances[*number].door.set_rate(Some(THIN_BYTES_PER_S));
    }
    for instance in &deployment.instances {
        let proxy = instance.proxies.gate.as_ref().expect("a proxy");
        let bytes_per_s = Some(THIN_BYTES_PER_S);
        proxy.set_faults(ProxyFaults { bytes_per_s, ..ProxyFaults::default() });
    }
}

/// Returns the version of the table that an instance has in force, by its metrics.
async fn version_in_force(deployment: &Deployment, number: usize) -> Option<u64> {
    let address = deployment.instances[number].address("metrics_address");
    let query = Question::new(Method::GET, "/metrics");
    let response = Asker::new(Duration::from_secs(1)).ask(address, query).await.ok()?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("yuccarack_routing_version "))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Writes `table` and returns the instances that don't have it in force in time.
async fn write_and_list_late(deployment: &mut Deployment, table: &[RouteSpec]) -> Vec<usize> {
    let written = deployment.write(table);
    let due_at = Instant::now() + IN_FORCE_MAX;
    let mut late: Vec<usize> = (0..SERVICES.len()).collect();
    while !late.is_empty() && Instant::now() < due_at {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut still_late = Vec::new();
        for number in late {
            if version_in_force(deployment, number).await != Some(written) {
                still_late.push(number);
            }
        }
        late = still_late;
    }
    late
}

/// Guards against a change of one route that costs every daemon a transfer of the full table.
#[tokio::test]
async fn a_small_change_of_a_large_table_is_in_force_in_time_over_thin_links() {
    let mut table = routes("a", ROUTES);
    let mut deployment = start_settled("large-small-change", &table).await;
    limit_links(&deployment, &followers());
    table[7].wait_max_ms = 900;
    table.push(RouteSpec::reads(READS, "/new/", "board"));
    assert_eq!(write_and_list_late(&mut deployment, &table).await, Vec::<usize>::new());
}

/// Guards against many added routes that congest thin links when the table is large.
#[tokio::test]
async fn many_added_routes_are_in_force_in_time_over_thin_links() {
    let mut table = routes("a", ROUTES);
    let mut deployment = start_settled("large-growth", &table).await;
    limit_links(&deployment, &followers());
    table.extend(routes("b", 1_400));
    assert_eq!(write_and_list_late(&mut deployment, &table).await, Vec::<usize>::new());
}

/// Guards against a daemon that is never ready, since each transfer of the table is cut off and
/// starts over.
#[tokio::test]
async fn a_daemon_starts_with_a_table_that_takes_seconds_to_arrive() {
    let mut deployment = start_settled("large-start", &routes("a", ROUTES)).await;
    let all = (0..SERVICES.len()).collect();
    limit_links(&deployment, &all);
    for number in [0, 1] {
        deployment.instances[number].kill_daemon();
        deployment.instances[number].start_daemon().await.expect("a daemon");
    }
    for number in [0, 1] {
        let instance = &deployment.instances[number];
        wait(&format!("{} to be ready", instance.name), || instance.is_ready()).await;
    }
}

/// Guards against waiting for a store that sends a byte now and then while peers have the table.
#[tokio::test]
async fn a_trickling_store_does_not_delay_a_change() {
    let mut table = routes("a", 300);
    let mut deployment = start_settled("large-trickle", &table).await;
    let slow_follower = *followers().first().expect("an instance");
    deployment.instances[slow_follower].door.set_rate(Some(200));
    let relay = (0..SERVICES.len()).find(|number| !followers().contains(number));
    deployment.instances[relay.expect("a relay")].door.set_rate(Some(200));
    table.extend(routes("b", 300));
    assert_eq!(write_and_list_late(&mut deployment, &table).await, Vec::<usize>::new());
}

/// Guards against a relay that waits for its slow transfer of the table while peers have the
/// change.
#[tokio::test]
async fn a_slow_transfer_from_the_store_does_not_delay_a_change() {
    let mut table = routes("a", ROUTES);
    let mut deployment = start_settled("large-slow-relay", &table).await;
    let relay = (0..SERVICES.len()).find(|number| !followers().contains(number));
    let door = &deployment.instances[relay.expect("a relay")].door;
    door.set_rate(Some(THIN_BYTES_PER_S));
    table.extend(routes("b", 300));
    assert_eq!(write_and_list_late(&mut deployment, &table).await, Vec::<usize>::new());
}
