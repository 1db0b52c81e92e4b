//! Reports of crashes to the other gates of a service.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::json;
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::mpsc,
    time::timeout_at,
};
use tokio_util::task::TaskTracker;
use yuccarack_config::{heartbeat::TargetPhase, routed_settings::RoutedSettings};
use yuccarackd::{
    coordination::routed::{
        events::EventLog,
        gate::{CrashTracker, CrashTrackerParts},
    },
    protocol::peer_update::RoutedMember,
    state::{
        counters::Counters,
        routed::{live_settings::LiveSettings, members::Members, target::RoutedTargetView},
    },
    transport::upstream::Upstream,
};

const SERVICE: &str = "board";

/// Gates that accept connections and send no response.
const SILENT_GATES: usize = 20;

/// Gates that acknowledge reports.
const RESPONSIVE_GATES: usize = 20;

/// Time from a crash until all responsive gates have its report.
const REPORTED_MAX: Duration = Duration::from_secs(1);

/// Starts a gate that sends to `reported` when a report has arrived.
async fn start_gate(tasks: &TaskTracker, reported: Option<mpsc::Sender<()>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tasks.spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1024];
        let bytes = stream.read(&mut head).await.expect("a report");
        assert!(bytes > 0, "the connection ended without a report");
        let Some(reported) = reported else {
            // Until the reporting gate closes the connection.
            let _ = stream.read(&mut head).await;
            return;
        };
        reported.send(()).await.expect("the test waits");
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(response).await.expect("the report is acknowledged");
    });
    address
}

fn settings() -> RoutedSettings {
    let address = "127.0.0.1:1";
    let settings = json!({
        "instance": "reporting",
        "failure_domain": "a",
        "service": SERVICE,
        "call_address": address,
        "gate_address": address,
        "liveness_address": address,
        "readiness_address": address,
        "metrics_address": address,
        "store_address": address,
    });
    serde_json::from_value(settings).expect("valid settings")
}

/// Returns the view of a target whose port refuses connections, as after a crash.
async fn crashed_target() -> RoutedTargetView {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    RoutedTargetView {
        target: "t-1".to_owned(),
        incarnation: 1,
        service: SERVICE.to_owned(),
        address: listener.local_addr().expect("an address"),
        slots: 9,
        phase: TargetPhase::Ready,
        is_cold: false,
        cold_until: Instant::now(),
    }
}

/// Guards against gates that learn of a crash seconds late, because the report is sent to one gate
/// after the other and some don't respond.
#[tokio::test]
async fn silent_gates_do_not_delay_the_report_to_others() {
    let tasks = TaskTracker::new();
    let (reported, mut reports) = mpsc::channel(RESPONSIVE_GATES);
    let members = Members::new();
    for number in 0..SILENT_GATES + RESPONSIVE_GATES {
        let is_silent = number < SILENT_GATES;
        let gate_address = start_gate(&tasks, (!is_silent).then(|| reported.clone())).await;
        let member = RoutedMember {
            instance: format!("gate-{number:02}"),
            failure_domain: "a".to_owned(),
            gate_address,
            service: Some(SERVICE.to_owned()),
        };
        members.merge(&member.instance.clone(), 1, Some(member));
    }
    let counters = Counters::new();
    let tracker = CrashTracker::new(CrashTrackerParts {
        settings: LiveSettings::new(settings()),
        members,
        upstream: Upstream::new(tasks.clone()),
        counters: counters.clone(),
        events: EventLog::new(Logger::root(Discard, o!()), counters.clone(), 100),
        background: tasks.clone(),
    });
    let deadline = Instant::now() + REPORTED_MAX;
    tracker.check_target(Arc::new(crashed_target().await), 7);
    for number in 0..RESPONSIVE_GATES {
        let report = timeout_at(deadline.into(), reports.recv()).await;
        assert!(report.is_ok(), "only {number} of {RESPONSIVE_GATES} gates have the report");
    }
    // All checks and reports end, those to silent gates without an acknowledgement.
    tasks.close();
    drop(tracker);
    tasks.wait().await;
    assert_eq!(counters.snapshot().get("crashes.untold"), Some(&(SILENT_GATES as u64)));
}
