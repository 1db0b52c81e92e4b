//! The tool against real daemons and targets.

mod common;

use std::{net::SocketAddr, time::Duration};

use http::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use yuccarack_config::settings::{DaemonSettings, LogFormat, LogLevel, LogSettings};
use yuccarack_standins::{
    client::{ClientRequest, ClientResponse, HttpClient},
    platform::Platform,
    target::{CrashMode, RunLog, Target, TargetOptions},
};
use yuccarackd::{daemon::Daemon, logging};

use common::{ctl, platform, rules_file, write_file};

/// Maximum wait for an expected state.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// An instance: a target with its daemon.
struct Instance {
    daemon: Daemon,
    target: Target,
    call_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Instance {
    async fn start(platform: &Platform, name: &str, service: &str) -> Self {
        let any = "127.0.0.1:0";
        let settings = json!({
            "instance": name, "failure_domain": "sapporo", "call_address": any,
            "gate_address": any, "admin_address": any, "control_address": any,
            "platform_address": platform.address(), "budgets": {"drain_notice_ms": 50},
        });
        let settings = DaemonSettings::parse(settings.to_string().as_bytes());
        let log = LogSettings { format: LogFormat::Json, level: LogLevel::Error };
        let logger = logging::logger(&log, name);
        let daemon = Daemon::start(settings.expect("valid settings"), logger).await;
        let daemon = daemon.expect("free ports");
        let ready_line: Value = serde_json::from_str(&daemon.ready_line()).expect("a line of JSON");
        let address = |field: &str| -> SocketAddr {
            ready_line[field].as_str().expect("an address").parse().expect("an address")
        };
        let (call_address, admin_address) = (address("call_address"), address("admin_address"));
        let options =
            TargetOptions { admin: Some(admin_address), ..TargetOptions::new(name, service) };
        let target = Target::start(options, CrashMode::CloseConnections, RunLog::default()).await;
        Self { daemon, target: target.expect("free ports"), call_address, admin_address }
    }

    async fn stop(self) {
        self.target.drain();
        self.daemon.stop().await.expect("a graceful stop");
        self.target.stop().await;
    }
}

/// Sends a request repeatedly until it succeeds and returns the response.
async fn send_until_successful(entry: SocketAddr, request: &ClientRequest) -> ClientResponse {
    let client = HttpClient::default();
    let deadline = Instant::now() + WAIT_MAX;
    loop {
        let response = client.send(entry, request.clone()).await.expect("a response");
        if response.status.is_success() {
            return response;
        }
        let reason = response.header("yuccarack-reason");
        assert!(Instant::now() < deadline, "still refused: {} {reason}", response.status);
        sleep(Duration::from_millis(50)).await;
    }
}

// Guards against a field that is renamed only in the tool or only in the daemons: an operator
// starts two instances, traces an order through them and changes a rule, all with real daemons.
#[tokio::test]
async fn commands_read_the_responses_of_real_daemons() {
    let platform = platform().await;
    let first = Instance::start(&platform, "sapporo-1", "supplies").await;
    let second = Instance::start(&platform, "kushiro-1", "conditions").await;
    let address = platform.address();
    let daemons = format!("--daemon {} --daemon {}", first.admin_address, second.admin_address);

    let rules = rules_file("fleet-1.json", 0, "supplies", 5_000);
    let applied =
        ctl(&format!("apply {rules} --wait --platform {address} {daemons}")).await.unwrap();
    assert_eq!(applied.json["in_force_at"].as_array().unwrap().len(), 2);

    let order = ClientRequest::new(Method::POST, "/deliveries")
        .with_header("yuccarack-service", "supplies")
        .with_header("idempotency-key", "order-7")
        .with_body("firewood");
    let response = send_until_successful(second.call_address, &order).await;
    let request = response.header("yuccarack-request-id");
    let explained = ctl(&format!("explain {request} {daemons}")).await.unwrap();
    let entry_steps = explained.json[second.admin_address.to_string()].to_string();
    assert!(entry_steps.contains("chosen") && entry_steps.contains("sapporo-1"), "{entry_steps}");

    let claim = wait_until_done(&format!("claim show supplies order-7 --platform {address}")).await;
    assert_eq!(claim["claim"]["instance"], json!("sapporo-1"));
    assert_eq!(claim["claim"]["outcome"]["status"], json!(200));
    let release = format!("claim release supplies order-7 --yes --platform {address}");
    assert!(ctl(&release).await.is_err(), "a done claim was released");

    let status = ctl(&format!("status {daemons}")).await.unwrap();
    assert_eq!(status.json[first.admin_address.to_string()]["target_state"], json!("ready"));
    let members = format!("targets --members-of supplies --platform {address}");
    let targets = ctl(&members).await.unwrap();
    assert_eq!(targets.json[first.admin_address.to_string()][0]["instance"], json!("sapporo-1"));
    let counters = ctl(&format!("counters {daemons} --prefix claims.")).await.unwrap();
    assert_eq!(counters.json[first.admin_address.to_string()]["claims.mine"], json!(1));

    let rules_report = ctl(&format!("show --platform {address}")).await.unwrap();
    let edited_file = write_file("fleet-2.json", &rules_report.text.replace("5000", "4000"));
    let reapply =
        format!("apply {edited_file} --wait --timeout-ms 20000 --platform {address} {daemons}");
    let started_at = Instant::now();
    let changed = ctl(&reapply).await.unwrap();
    println!("in force at both daemons after {:?}", started_at.elapsed());
    assert!(changed.json["revision"].as_u64() > applied.json["revision"].as_u64());

    second.stop().await;
    first.stop().await;
    platform.stop().await;
}

/// Waits until the outcome of the claim is recorded, which happens after the response was sent.
async fn wait_until_done(show: &str) -> Value {
    let deadline = Instant::now() + WAIT_MAX;
    loop {
        let claim = ctl(show).await.expect("a claim").json;
        if claim["claim"]["state"] == json!("done") {
            return claim;
        }
        assert!(Instant::now() < deadline, "still open: {claim}");
        sleep(Duration::from_millis(20)).await;
    }
}
