//! Starts the measured daemons, announces their targets and sends them calls.

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use http::Method;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::headers;

use super::MeasurePlan;
use crate::client::{ClientRequest, HttpClient};

/// Interval of a target's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a daemon's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Failure domains; daemons are assigned to them in turn.
const DOMAINS: [&str; 3] = ["sapporo", "asahikawa", "kushiro"];
/// Most attempts of the first call of a service, which fail until the service is loaded.
const FIRST_CALL_ATTEMPTS_MAX: usize = 50;

/// One measured daemon.
pub(super) struct Daemon {
    pub(super) instance: String,
    pub(super) admin: SocketAddr,
    pub(super) process: Child,
    call: SocketAddr,
    service: usize,
    /// Foreign services that it calls.
    calls: Vec<usize>,
    state: Arc<Mutex<&'static str>>,
    is_killed: bool,
}

/// All daemons of a measurement.
pub(super) struct Daemons {
    all: Vec<Daemon>,
    client: HttpClient,
    tasks: TaskTracker,
    stop: CancellationToken,
    load_tasks: TaskTracker,
    stop_load: CancellationToken,
    folder: PathBuf,
}

/// Returns the name of the service with index `number`.
pub(super) fn service_name(number: usize) -> String {
    format!("service-{number}")
}

impl Daemons {
    /// Starts all daemons and announces their targets each second.
    pub(super) async fn start(
        plan: &MeasurePlan,
        platform: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("yuccarack-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut daemons = Self {
            all: Vec::new(),
            client: HttpClient::new(RESPONSE_TIMEOUT),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            load_tasks: TaskTracker::new(),
            stop_load: CancellationToken::new(),
            folder,
        };
        for number in 0..plan.daemons {
            let daemon = start_one(plan, number, platform, &daemons.folder)?;
            daemons.announce(&daemon, target);
            daemons.all.push(daemon);
        }
        Ok(daemons)
    }

    pub(super) fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Returns the daemons that weren't killed.
    pub(super) fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.all.iter().filter(|daemon| !daemon.is_killed)
    }

    /// Calls each daemon's foreign services once, so that it loads them.
    pub(super) async fn call_all_services(&self) {
        let calls =
            self.all.iter().flat_map(|daemon| daemon.calls.iter().map(move |c| (daemon, c)));
        let call = async |(daemon, service): (&Daemon, &usize)| {
            for _ in 0..FIRST_CALL_ATTEMPTS_MAX {
                if self.call(daemon.call, *service).await {
                    return;
                }
                sleep(ANNOUNCE_INTERVAL / 4).await;
            }
        };
        join_all(calls.map(call)).await;
    }

    async fn call(&self, address: SocketAddr, service: usize) -> bool {
        let request = ClientRequest::new(Method::GET, "/")
            .with_header(headers::SERVICE, service_name(service));
        self.client.send(address, request).await.is_ok_and(|response| response.status.is_success())
    }

    /// Calls each daemon's services in turn, `rate` times per second, until [`Daemons::stop_load`].
    pub(super) fn start_load(&self, rate: u32) {
        for daemon in self.running() {
            let mut services = daemon.calls.clone();
            services.push(daemon.service);
            let (client, address) = (self.client.clone(), daemon.call);
            let stop = self.stop_load.clone();
            self.load_tasks.spawn(async move {
                let mut ticks = interval(Duration::from_secs(1) / rate);
                ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
                for service in services.into_iter().cycle() {
                    tokio::select! {
                        () = stop.cancelled() => return,
                        _ = ticks.tick() => {}
                    }
                    let request = ClientRequest::new(Method::GET, "/")
                        .with_header(headers::SERVICE, service_name(service));
                    // Only the cost is measured here; other tests check responses.
                    let _ = client.send(address, request).await;
                }
            });
        }
    }

    pub(super) async fn stop_load(&self) {
        self.stop_load.cancel();
        self.load_tasks.close();
        self.load_tasks.wait().await;
    }

    /// Whether all daemons that serve or call the first service have rules of `service` in force
    /// at `revision` or later.
    pub(super) async fn all_have_rules(&self, service: &str, revision: u64) -> bool {
        let has = async |daemon: &Daemon| {
            let status = self.client.get_json(daemon.admin, "/status").await;
            has_revision(&status.unwrap_or(Value::Null), service, revision)
        };
        join_all(self.affected().map(has)).await.into_iter().all(|has| has)
    }

    /// Whether all daemons that serve or call the first service know `instance` in `state`; `None`
    /// means that they don't know it.
    pub(super) async fn all_know(&self, instance: &str, state: Option<&str>) -> bool {
        let knows = async |daemon: &Daemon| {
            let targets = self.client.get_json(daemon.admin, "/targets").await;
            known_state(&targets.unwrap_or(Value::Null), instance).as_deref() == state
        };
        join_all(self.affected().map(knows)).await.into_iter().all(|knows| knows)
    }

    /// Announces the target of the daemon with index `round` as draining; returns its instance.
    pub(super) async fn drain(&mut self, round: usize) -> String {
        let daemon = &self.all[round];
        *daemon.state.lock() = "draining";
        daemon.instance.clone()
    }

    /// Kills the last daemon of the first service; returns its instance.
    pub(super) async fn kill_last_of_first_service(&mut self) -> String {
        let last = self.all.iter_mut().rfind(|daemon| daemon.service == 0);
        let Some(daemon) = last else { return String::new() };
        daemon.is_killed = true;
        // It doesn't matter if the process has already exited.
        let _ = daemon.process.kill();
        let _ = daemon.process.wait();
        daemon.instance.clone()
    }

    pub(super) async fn stop(mut self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        for daemon in &mut self.all {
            let _ = daemon.process.kill();
            let _ = daemon.process.wait();
        }
        // A folder that can't be deleted does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Returns the running daemons that serve or call the first service.
    fn affected(&self) -> impl Iterator<Item = &Daemon> {
        self.running().filter(|daemon| daemon.service == 0 || daemon.calls.contains(&0))
    }

    fn announce(&self, daemon: &Daemon, target: SocketAddr) {
        let (client, admin, stop) = (self.client.clone(), daemon.admin, self.stop.clone());
        let (service, state) = (service_name(daemon.service), Arc::clone(&daemon.state));
        self.tasks.spawn(async move {
            let mut ticks = interval(ANNOUNCE_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = stop.cancelled() => return,
                    _ = ticks.tick() => {}
                }
                let state = *state.lock();
                let announcement = json!({
                    "service": service, "boot_id": 1, "call_address": target, "slots": 10,
                    "connections_max": 250, "state": state,
                });
                // A killed daemon can't be reached; that is expected.
                let _ = client.post_json(admin, "/announce", &announcement).await;
            }
        });
    }
}

fn start_one(
    plan: &MeasurePlan,
    number: usize,
    platform: SocketAddr,
    folder: &Path,
) -> io::Result<Daemon> {
    let services = plan.daemons.div_ceil(plan.members);
    let service = number / plan.members;
    let foreign: Vec<usize> = match plan.is_hot {
        true => (0..services).take(1).filter(|first| *first != service).collect(),
        false => (1..services).map(|step| (service + step) % services).collect(),
    };
    let instance = format!("instance-{number:04}");
    let settings = json!({
        "instance": instance,
        "failure_domain": DOMAINS[number % DOMAINS.len()],
        "call_address": "127.0.0.1:0", "gate_address": "127.0.0.1:0",
        "admin_address": "127.0.0.1:0", "control_address": "127.0.0.1:0",
        "platform_address": platform,
        "call_threads": 1,
    });
    let file = folder.join(format!("{instance}.json"));
    std::fs::write(&file, settings.to_string())?;
    let mut process = Command::new(&plan.program)
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    let mut line = String::new();
    if let Some(out) = process.stdout.take() {
        BufReader::new(out).read_line(&mut line)?;
    }
    let ready: Value = serde_json::from_str(&line)?;
    let address = |name: &str| {
        let text = ready[name].as_str().unwrap_or_default();
        text.parse::<SocketAddr>().map_err(io::Error::other)
    };
    Ok(Daemon {
        instance,
        admin: address("admin_address")?,
        call: address("call_address")?,
        process,
        service,
        calls: foreign.into_iter().take(plan.calls_services).collect(),
        state: Arc::new(Mutex::new("ready")),
        is_killed: false,
    })
}

fn has_revision(status: &Value, service: &str, revision: u64) -> bool {
    let services = status["services"].as_array();
    let found = services.into_iter().flatten().find(|entry| entry["name"] == service);
    found.is_some_and(|entry| entry["rules_revision"].as_u64() >= Some(revision))
}

fn known_state(targets: &Value, instance: &str) -> Option<String> {
    let rows = targets.as_array();
    let found = rows.into_iter().flatten().find(|row| row["instance"] == instance)?;
    found["state"].as_str().map(str::to_owned)
}
