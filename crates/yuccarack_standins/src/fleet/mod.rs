//! A fleet for tests: real daemons and tools, stand-ins around them, a faulty link on each path.

mod node;
mod operator;
mod plan;
pub mod process;
mod storm;
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
use yuccarack_platform::rows::{MemberRow, TargetState};

pub use self::{
    node::{Links, Node},
    operator::{CommandOutput, Operator, route, rules_file, service_rules},
    plan::{DOMAINS, FleetPlan},
    process::Daemon,
    storm::{StressCall, StressLoad, StressPlan, StressReport, check_stress_calls},
    wait::{WAIT_MAX, wait_for, wait_until},
};
use crate::{
    client::{ClientError, ClientRequest, ClientResponse, HttpClient},
    load::{Verdict, classify_response},
    platform::Platform,
    target::RunLog,
};

/// Fleets of this process so far.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Time that a request which must not repeat has, in ms.
const ONCE_DEADLINE_MS: u32 = 2_000;

/// Time that an operator gives a command, in ms.
const OPERATOR_PATIENCE_MS: u32 = 10_000;

/// Time without a request after which a target counts as quiet.
const QUIET: Duration = Duration::from_millis(200);

/// Daemons that each new one may ask when the platform is away.
const SEED_PEERS: usize = 2;

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The platform; its faults hit everybody.
    pub platform: Platform,
    /// All runs on all targets.
    pub run_log: RunLog,
    /// The instances, in the order of the plan.
    pub nodes: Vec<Node>,
    /// A caller.
    pub client: HttpClient,
    /// An operator.
    pub operator: Operator,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the platform, all targets and all daemons of `plan`.
    ///
    /// # Errors
    ///
    /// Something can't be started.
    pub async fn start(plan: FleetPlan) -> io::Result<Self> {
        let mut fleet = Self::without_daemons(plan).await?;
        for node in &mut fleet.nodes {
            node.start_daemon().await?;
        }
        Ok(fleet)
    }

    /// Starts the platform and all targets of `plan`, and no daemon yet.
    ///
    /// # Errors
    ///
    /// Something can't be started.
    pub async fn without_daemons(plan: FleetPlan) -> io::Result<Self> {
        println!("seed {}", plan.seed);
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
            timeout_ms: OPERATOR_PATIENCE_MS,
        };
        Ok(Self { platform, run_log, nodes, client: HttpClient::default(), operator, folder })
    }

    /// Applies the rules of `services` as the first file.
    ///
    /// # Panics
    ///
    /// The file isn't accepted.
    pub async fn apply(&self, services: Vec<ServiceRules>) {
        let ran = self.operator.apply("first", &rules_file(0, services)).await;
        let ran = ran.expect("the operators' program can't be run; is it built?");
        assert_eq!(ran.exit_code, 0, "not accepted: {} {}", ran.stdout_json, ran.stderr);
    }

    /// Starts a fleet of `plan` with the usual rules for all its services, ready for calls.
    ///
    /// # Panics
    ///
    /// It doesn't get ready.
    pub async fn start_ready(plan: FleetPlan) -> Self {
        let mut services: Vec<_> = plan.targets.iter().map(|target| &target.service).collect();
        services.dedup();
        let rules = services.into_iter().map(|service| service_rules(service)).collect();
        Self::start_ready_with(plan, rules).await
    }

    /// Starts a fleet of `plan` with the rules `services`, ready for calls.
    ///
    /// # Panics
    ///
    /// It doesn't get ready.
    pub async fn start_ready_with(plan: FleetPlan, services: Vec<ServiceRules>) -> Self {
        let fleet = Self::start(plan).await.expect("the fleet doesn't start");
        fleet.apply(services).await;
        fleet.wait_ready().await;
        fleet
    }

    /// Waits until each daemon serves a call of each service, and knows all targets of its own.
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
        wait_until(&what, || async { self.ready_targets(node, service).await.len() == count })
            .await;
    }

    /// Instances of `service` that the daemon of `node` takes for ready.
    pub async fn ready_targets(&self, node: &Node, service: &str) -> Vec<String> {
        let rows: Result<Vec<MemberRow>, _> =
            self.client.get_json(node.admin_address(), "/targets").await;
        let ready = rows.unwrap_or_default().into_iter();
        ready
            .filter(|row| row.service == service && row.state == TargetState::Ready)
            .map(|row| row.instance)
            .collect()
    }

    /// Revision of the rules of `service` that the daemon of `node` has in force.
    pub async fn rules_revision(&self, node: &Node, service: &str) -> Option<u64> {
        let status: Value = self.client.get_json(node.admin_address(), "/status").await.ok()?;
        let services = status["services"].as_array()?;
        let found = services.iter().find(|entry| entry["name"] == service)?;
        found["rules_revision"].as_u64()
    }

    /// Counters of the daemon of `node`.
    pub async fn counters(&self, node: &Node) -> BTreeMap<String, u64> {
        self.client.get_json(node.admin_address(), "/counters").await.unwrap_or_default()
    }

    /// Asks for a call of `service` at the daemon at `address`.
    ///
    /// # Errors
    ///
    /// What a caller would see.
    pub async fn call(
        &self,
        address: SocketAddr,
        service: &str,
        question: ClientRequest,
    ) -> Result<ClientResponse, ClientError> {
        self.client.send(address, question.with_header(headers::SERVICE, service)).await
    }

    /// Prints what the daemons remember of `request`, and its runs.
    pub async fn print_explanation(&self, request: &str) {
        println!("{request} ran as {:?}", self.run_log.runs_of_request(request));
        for node in &self.nodes {
            let path = format!("/explain/{request}");
            let told: Result<Value, _> = self.client.get_json(node.admin_address(), &path).await;
            println!("{} says {}", node.name(), told.unwrap_or_default());
        }
    }

    /// Sends a request that must not repeat, and judges its answer.
    pub async fn send_once(&self, address: SocketAddr, service: &str, key: &str) -> Verdict {
        self.send_once_to(address, service, key, "/once").await
    }

    /// Sends a request for `path` that must not repeat, and judges its answer.
    pub async fn send_once_to(
        &self,
        address: SocketAddr,
        service: &str,
        key: &str,
        path: &str,
    ) -> Verdict {
        let body = format!("order {key}");
        let question = ClientRequest::new(Method::POST, path)
            .with_header(headers::IDEMPOTENCY_KEY, key)
            .with_header(headers::DEADLINE_MS, ONCE_DEADLINE_MS)
            .with_body(body.clone());
        classify_response(path, body.as_bytes(), &self.call(address, service, question).await)
    }

    /// Whether a call of `service` that may repeat gets its answer at `address`.
    pub async fn read_succeeds(&self, address: SocketAddr, service: &str) -> bool {
        let question = ClientRequest::new(Method::GET, "/read");
        classify_response("/read", b"", &self.call(address, service, question).await)
            == Verdict::Correct
    }

    /// Callers of `service` at all daemons.
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

    /// Waits until the callers of `storm` have made `count` more calls.
    pub async fn wait_more_calls(&self, storm: &StressLoad, count: usize) {
        let enough = storm.calls_made() + count;
        let what = format!("{count} more calls were made");
        wait_until(&what, || async { storm.calls_made() >= enough }).await;
    }

    /// Waits until no target runs anything any more.
    pub async fn wait_idle(&self) {
        for node in &self.nodes {
            node.target.wait_idle(QUIET).await;
        }
    }

    /// The node of the instance of `name`.
    ///
    /// # Panics
    ///
    /// There is none.
    pub fn node(&mut self, name: &str) -> &mut Node {
        let found = self.nodes.iter_mut().find(|node| node.name() == name);
        found.unwrap_or_else(|| panic!("no instance {name}"))
    }

    /// Stops everything and removes what was written.
    pub async fn stop(mut self) {
        for node in std::mem::take(&mut self.nodes) {
            node.stop().await;
        }
        let Self { platform, folder, .. } = self;
        platform.stop().await;
        // Only the logs of a test that passed are thrown away.
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
