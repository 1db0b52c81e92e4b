//! A fleet for tests: real daemons and tools among stand-ins, with a fault-injecting proxy on each
//! link.

mod build;
mod node;
mod operator;
mod plan;
pub mod process;
mod stress;
mod wait;

use std::{
    collections::BTreeMap,
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use http::Method;
use serde_json::Value;
use yuccarack_config::{headers, rules::ServiceRules};
use yuccarack_platform::rows::{MemberRow, TargetState, member_prefix};

pub use self::{
    node::{Links, Node},
    operator::{CommandOutput, Operator, route, rules_file, service_rules},
    plan::{DOMAINS, FleetPlan},
    process::Daemon,
    stress::{StressCall, StressLoad, StressPlan, StressReport, check_stress_calls},
    wait::{WAIT_MAX, wait_for, wait_until, wait_until_or_report},
};
use crate::{
    client::{ClientError, ClientRequest, ClientResponse, HttpClient},
    load::{Verdict, classify_response},
    platform::Platform,
    target::RunLog,
};

/// Number of fleets that this process has started.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Deadline of a request that must run at most once, in ms.
const ONCE_DEADLINE_MS: u32 = 2_000;

/// Timeout of an operator's command, in ms.
const OPERATOR_TIMEOUT_MS: u32 = 10_000;

/// Time without a request after which a target counts as idle.
const IDLE_TIME: Duration = Duration::from_millis(200);

/// Lines at the end of each daemon's log that a failed wait prints.
const REPORTED_LOG_LINES: usize = 40;

/// Seed peers of each daemon, which it queries when the platform is unavailable.
const SEED_PEERS: usize = 2;

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The platform; its faults affect all daemons.
    pub platform: Platform,
    /// Runs on all targets.
    pub run_log: RunLog,
    /// The instances, in the order of the plan's targets.
    pub nodes: Vec<Node>,
    /// HTTP client for calls and admin requests.
    pub client: HttpClient,
    /// Runs operator commands.
    pub operator: Operator,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the platform, the targets and the daemons of `plan`.
    ///
    /// # Errors
    ///
    /// A part can't be started.
    pub async fn start(plan: FleetPlan) -> io::Result<Self> {
        let mut fleet = Self::without_daemons(plan).await?;
        for node in &mut fleet.nodes {
            node.start_daemon().await?;
        }
        Ok(fleet)
    }

    /// Starts the platform and the targets of `plan`, but no daemons.
    ///
    /// # Errors
    ///
    /// A part can't be started.
    pub async fn without_daemons(plan: FleetPlan) -> io::Result<Self> {
        println!("seed {}", plan.seed);
        build::build_missing(&plan.operator_program)?;
        let folder = folder()?;
        let platform = Platform::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let run_log = RunLog::default();
        let mut nodes: Vec<Node> = Vec::new();
        for number in 0..plan.targets.len() {
            let peers = nodes.iter().take(SEED_PEERS);
            let peers = peers.map(|peer| peer.links.control.address()).collect();
            let platform = platform.address();
            nodes.push(Node::start(&plan, number, platform, peers, &run_log, &folder).await?);
        }
        let operator = Operator {
            program: plan.operator_program.clone(),
            platform: platform.address(),
            folder: folder.clone(),
            timeout_ms: OPERATOR_TIMEOUT_MS,
        };
        Ok(Self { platform, run_log, nodes, client: HttpClient::default(), operator, folder })
    }

    /// Applies the rules of `services` as the first rules file.
    ///
    /// # Panics
    ///
    /// The file is rejected, or the operators' program can't be run.
    pub async fn apply(&self, services: Vec<ServiceRules>) {
        let output = self.operator.apply("first", &rules_file(0, services)).await;
        let output = output.expect("the operators' program can't be run");
        assert_eq!(
            output.exit_code, 0,
            "rules file rejected: {} {}",
            output.stdout_json, output.stderr
        );
    }

    /// Starts a fleet of `plan` with the default rules for all its services and waits until it
    /// serves calls.
    ///
    /// # Panics
    ///
    /// The fleet doesn't start or doesn't become ready.
    pub async fn start_ready(plan: FleetPlan) -> Self {
        let mut services: Vec<_> = plan.targets.iter().map(|target| &target.service).collect();
        services.dedup();
        let rules = services.into_iter().map(|service| service_rules(service)).collect();
        Self::start_ready_with(plan, rules).await
    }

    /// Starts a fleet of `plan` with the rules `services` and waits until it serves calls.
    ///
    /// # Panics
    ///
    /// The fleet doesn't start or doesn't become ready.
    pub async fn start_ready_with(plan: FleetPlan, services: Vec<ServiceRules>) -> Self {
        let fleet = Self::start(plan).await.expect("the fleet failed to start");
        fleet.apply(services).await;
        fleet.wait_ready().await;
        fleet
    }

    /// Waits until each daemon serves a call of each service and knows all its targets.
    pub async fn wait_ready(&self) {
        for node in self.nodes.iter().filter(|node| node.daemon.is_some()) {
            for service in self.services() {
                let what = format!("{} serves {service}", node.name());
                wait_until(&what, || async {
                    self.read_succeeds(node.call_address(), service).await
                })
                .await;
                self.wait_targets_known(node, service, self.count_of(service)).await;
            }
        }
    }

    /// Waits until the daemon of `node` knows `count` ready targets of `service`.
    pub async fn wait_targets_known(&self, node: &Node, service: &str, count: usize) {
        let what = format!("{} knows {count} ready targets of {service}", node.name());
        let is_known = || async { self.ready_targets(node, service).await.len() == count };
        wait_until_or_report(&what, is_known, async || self.print_members(service).await).await;
    }

    /// Prints the members of `service` in the store and as each daemon knows them, with its status,
    /// its counters and the end of its log.
    pub async fn print_members(&self, service: &str) {
        let stored = self.platform.with_table(|table| table.rows(&member_prefix(service)));
        println!("members in the store:");
        for row in stored.rows {
            println!("  revision {}: {}", row.revision, row.value);
        }
        for node in &self.nodes {
            println!("{}:", node.name());
            for path in ["/status", "/targets", "/counters"] {
                let found: Result<Value, _> =
                    self.client.get_json(node.admin_address(), path).await;
                match found {
                    Ok(found) => println!("  {path} {found}"),
                    Err(error) => println!("  {path} failed: {error}"),
                }
            }
            let log = node.daemon.as_ref().map(|daemon| fs::read_to_string(daemon.log()));
            let log = log.and_then(Result::ok).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            for line in &lines[lines.len().saturating_sub(REPORTED_LOG_LINES)..] {
                println!("  {line}");
            }
        }
    }

    /// Returns the instances of `service` that the daemon of `node` considers ready.
    pub async fn ready_targets(&self, node: &Node, service: &str) -> Vec<String> {
        let rows: Result<Vec<MemberRow>, _> =
            self.client.get_json(node.admin_address(), "/targets").await;
        let ready = rows.unwrap_or_default().into_iter();
        ready
            .filter(|row| row.service == service && row.state == TargetState::Ready)
            .map(|row| row.instance)
            .collect()
    }

    /// Returns the revision of the rules of `service` that are in force on the daemon of `node`.
    pub async fn rules_revision(&self, node: &Node, service: &str) -> Option<u64> {
        let status: Value = self.client.get_json(node.admin_address(), "/status").await.ok()?;
        let services = status["services"].as_array()?;
        let found = services.iter().find(|entry| entry["name"] == service)?;
        found["rules_revision"].as_u64()
    }

    /// Returns the counters of the daemon of `node`; empty if it can't be reached.
    pub async fn counters(&self, node: &Node) -> BTreeMap<String, u64> {
        self.client.get_json(node.admin_address(), "/counters").await.unwrap_or_default()
    }

    /// Sends a call of `service` to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Any [`ClientError`] of the call.
    pub async fn call(
        &self,
        address: SocketAddr,
        service: &str,
        request: ClientRequest,
    ) -> Result<ClientResponse, ClientError> {
        self.client.send(address, request.with_header(headers::SERVICE, service)).await
    }

    /// Prints the runs of `request` and the daemons' explanations of it.
    pub async fn print_explanation(&self, request: &str) {
        println!("{request} ran as {:?}", self.run_log.runs_of_request(request));
        for node in &self.nodes {
            let path = format!("/explain/{request}");
            let explanation: Result<Value, _> =
                self.client.get_json(node.admin_address(), &path).await;
            println!("{} says {}", node.name(), explanation.unwrap_or_default());
        }
    }

    /// Sends a request that must run at most once and classifies the response.
    pub async fn send_once(&self, address: SocketAddr, service: &str, key: &str) -> Verdict {
        self.send_once_to(address, service, key, "/once").await
    }

    /// Sends a request for `path` that must run at most once and classifies the response.
    pub async fn send_once_to(
        &self,
        address: SocketAddr,
        service: &str,
        key: &str,
        path: &str,
    ) -> Verdict {
        let body = format!("order {key}");
        let request = ClientRequest::new(Method::POST, path)
            .with_header(headers::IDEMPOTENCY_KEY, key)
            .with_header(headers::DEADLINE_MS, ONCE_DEADLINE_MS)
            .with_body(body.clone());
        classify_response(path, body.as_bytes(), &self.call(address, service, request).await)
    }

    /// Whether a repeatable call of `service` at `address` gets the correct response.
    pub async fn read_succeeds(&self, address: SocketAddr, service: &str) -> bool {
        let request = ClientRequest::new(Method::GET, "/read");
        classify_response("/read", b"", &self.call(address, service, request).await)
            == Verdict::Correct
    }

    /// Makes a plan of callers of `service` at all daemons.
    pub fn stress_plan(&self, service: &str, seed: u64) -> StressPlan {
        StressPlan {
            seed,
            service: service.to_owned(),
            addresses: self.nodes.iter().map(Node::call_address).collect(),
            callers: 24,
            once_percent: 40,
            disconnect_percent: 5,
            deadline_ms: 1_500,
        }
    }

    /// Waits until the callers of `load` have finished `count` more calls.
    pub async fn wait_more_calls(&self, load: &StressLoad, count: usize) {
        let expected = load.calls_made() + count;
        let what = format!("{count} more calls were made");
        wait_until(&what, || async { load.calls_made() >= expected }).await;
    }

    /// Waits until all targets are idle.
    pub async fn wait_idle(&self) {
        for node in &self.nodes {
            node.target.wait_idle(IDLE_TIME).await;
        }
    }

    /// Returns the node of the instance `name`.
    ///
    /// # Panics
    ///
    /// No instance has this name.
    pub fn node(&mut self, name: &str) -> &mut Node {
        let found = self.nodes.iter_mut().find(|node| node.name() == name);
        found.unwrap_or_else(|| panic!("no instance {name}"))
    }

    /// Stops the fleet and deletes its settings and logs.
    pub async fn stop(mut self) {
        for node in std::mem::take(&mut self.nodes) {
            node.stop().await;
        }
        let Self { platform, folder, .. } = self;
        platform.stop().await;
        // A test that fails doesn't get here, so its logs are kept.
        let _ = fs::remove_dir_all(folder);
    }

    fn services(&self) -> Vec<&str> {
        let mut services: Vec<_> =
            self.nodes.iter().map(|node| node.target.options().service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    fn count_of(&self, service: &str) -> usize {
        let running = self.nodes.iter().filter(|node| node.daemon.is_some());
        running.filter(|node| node.target.options().service == service).count()
    }
}

fn folder() -> io::Result<PathBuf> {
    let number = FLEETS.fetch_add(1, Ordering::Relaxed);
    let name = format!("yuccarack-fleet-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    println!("logs in {}", folder.display());
    Ok(folder)
}
