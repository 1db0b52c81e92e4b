//! The path of a routed call from the caller to a target.

use std::time::Duration;

use http::StatusCode;
use yuccarack_platform_standin::{
    caller::{Call, ask, broken_heads},
    deployment::{Deployment, RouteSpec, wait},
    instance::Instance,
};
use yuccarack_standins::client::{Asker, Question};

use crate::support::{ORDERS, READS, board_routes, deployed, program};

#[tokio::test]
async fn any_entry_forwards_to_a_target_of_the_route() {
    let deployment = deployed("path", &["board", "board", "desk"]).await;
    for (number, instance) in deployment.instances.iter().enumerate() {
        let id = format!("a{number}");
        let call = Call::read(READS, "/r/huts/7?x=1", &id);
        let response = ask(instance.call_address(), &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.body, format!("page of {id}"));
        assert_eq!(response.request_id(), id);
        assert_eq!(response.signature(), format!("stamp-of-{id}"));
        let runs: Vec<_> =
            deployment.instances.iter().flat_map(|instance| instance.target.runs()).collect();
        let run = runs.iter().find(|run| run.id == id).expect("a run");
        assert_eq!(run.line, "GET /r/huts/7?x=1 HTTP/1.1");
        assert_eq!(run.caller_service, instance.service);
        assert!(run.left_ms.is_some_and(|left| left <= 1_500), "{:?}", run.left_ms);
        assert!(run.meant_for.starts_with("i-n"));
    }
    assert!(deployment.instances[2].target.runs().is_empty(), "a target of another service ran it");
}

#[tokio::test]
async fn a_target_receives_an_order_with_its_body() {
    let deployment = deployed("body", &["board"]).await;
    let call = Call::order(ORDERS, "/o/1", "b1");
    let response = ask(deployment.instances[0].call_address(), &call).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let runs = deployment.instances[0].target.runs();
    assert_eq!((runs.len(), &runs[0].body), (1, &call.body));
    let long = Call { body: vec![7; 300_000].into(), ..Call::order(ORDERS, "/o/2", "b2") };
    let response = ask(deployment.instances[0].call_address(), &long).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(deployment.instances[0].target.runs()[1].body, long.body);
}

/// Guards against a 404 from a daemon that has received no routes yet, by which callers would take
/// their routes for removed. They must get a 503 with `Retry-After`, and the daemon must not report
/// readiness.
#[tokio::test]
async fn a_daemon_without_routes_responds_with_retry_after() {
    let mut deployment = Deployment::start(program(), "unready", &["board"]).await.expect("one");
    let address = deployment.instances[0].call_address();
    let response = ask(address, &Call::read(READS, "/r/1", "c1")).await.expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.header("retry-after").parse::<f64>().is_ok_and(|seconds| seconds > 0.0));
    assert!(!deployment.instances[0].is_ready().await);
    deployment.apply(&board_routes()).await;
    let response = ask(address, &Call::read(READS, "/r/1", "c2")).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let response = ask(address, &Call::read(READS, "/nowhere/1", "c3")).await.expect("a response");
    assert_eq!(response.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_head_without_a_request_id_or_with_two_deadlines_is_refused() {
    let deployment = deployed("head", &["board"]).await;
    let address = deployment.instances[0].call_address();
    for text in broken_heads() {
        let response = send_raw(address, &text).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{text} got {response}");
    }
    assert!(deployment.instances[0].target.runs().is_empty());
}

async fn send_raw(address: std::net::SocketAddr, text: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("a sent request");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("a response");
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn a_split_route_follows_its_weights() {
    let mut deployment =
        Deployment::start(program(), "split", &["board", "desk"]).await.expect("two");
    let split = vec![("board", 3), ("desk", 1)];
    deployment.apply(&[RouteSpec { split, ..RouteSpec::reads(READS, "/r/", "board") }]).await;
    for number in 0..80 {
        let call = Call::read(READS, "/r/1", &format!("e{number}"));
        ask(deployment.instances[number % 2].call_address(), &call).await.expect("a response");
    }
    let desk = deployment.instances[1].target.runs().len();
    assert!(
        (18..=22).contains(&desk),
        "{desk} of 80 calls went to the service with a quarter of the weight"
    );
}

/// Guards against daemons that miss a changed route: operators move a route to another service. A
/// daemon must follow within two seconds and never go back to the old one.
#[tokio::test]
async fn a_moved_route_is_followed() {
    let mut deployment = deployed("moved", &["board", "desk"]).await;
    let address = deployment.instances[0].call_address();
    ask(address, &Call::read(READS, "/r/1", "f1")).await.expect("a response");
    assert_eq!(deployment.instances[0].target.runs().len(), 1);
    deployment.write(&[RouteSpec::reads(READS, "/r/", "desk")]);
    let is_moved = || async {
        ask(address, &Call::read(READS, "/r/1", "f2")).await.expect("a response");
        !deployment.instances[1].target.runs().is_empty()
    };
    wait("the moved route", is_moved).await;
    let before = deployment.instances[0].target.runs().len();
    for number in 0..20 {
        ask(address, &Call::read(READS, "/r/1", &format!("g{number}"))).await.expect("a response");
    }
    assert_eq!(deployment.instances[0].target.runs().len(), before);
}

#[tokio::test]
async fn counters_and_histograms_are_exported_as_text() {
    let deployment = deployed("metrics", &["board"]).await;
    let instance = &deployment.instances[0];
    ask(instance.call_address(), &Call::read(READS, "/r/1", "h1")).await.expect("a response");
    let text = send_raw(
        instance.address("metrics_address"),
        "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n",
    )
    .await;
    for expected in [
        "yuccarack_entry_calls_total 1",
        "yuccarack_call_seconds_count{end=\"answered\"} 1",
        "yuccarack_queue_seconds",
        "yuccarack_routing_version 3",
    ] {
        assert!(text.contains(expected), "no {expected} in {text}");
    }
}

/// Guards against routing files that are ignored or go back in version: a daemon serves by a file
/// though the store has no routing document, applies a newer file when it reloads its settings, and
/// keeps the table in force when the file has an older version.
#[tokio::test]
async fn routes_are_read_from_a_routing_file() {
    let mut deployment =
        Deployment::start(program(), "routing-file", &["board"]).await.expect("one");
    let file = std::env::temp_dir().join(format!("routing-{}.json", std::process::id()));
    let write = |version: u64, prefix: &str| {
        let table = serde_json::json!({
            "format": 1, "version": version,
            "routes": [{
                "name": "reads", "host": READS, "path_prefix": prefix, "is_repeatable": true,
                "split": [{"service": "board", "weight": 1}], "wait_max_ms": 1500,
                "on_time_ms": 500, "targets_max": 2, "rank": 1,
            }],
            "services": [{"name": "board", "load_path": "/health", "connections_max": 240}],
        });
        std::fs::write(&file, table.to_string()).expect("a written file");
    };
    write(2, "/first/");
    let instance = &mut deployment.instances[0];
    assert!(!instance.is_ready().await, "ready without routes");
    instance.set("routing_file", serde_json::json!(file)).expect("settings");
    instance.daemon.as_ref().expect("a daemon").reload();
    wait("the first file", || responds_with(instance, "/first/1", StatusCode::OK)).await;
    write(3, "/second/");
    instance.daemon.as_ref().expect("a daemon").reload();
    wait("the second file", || responds_with(instance, "/second/1", StatusCode::OK)).await;
    assert!(responds_with(instance, "/first/1", StatusCode::NOT_FOUND).await);
    write(1, "/third/");
    instance.daemon.as_ref().expect("a daemon").reload();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(responds_with(instance, "/third/1", StatusCode::NOT_FOUND).await);
    assert!(responds_with(instance, "/second/1", StatusCode::OK).await);
    std::fs::remove_file(&file).expect("a removed file");
}

/// Returns whether a read of `path` gets a response with `status`.
async fn responds_with(instance: &Instance, path: &str, status: StatusCode) -> bool {
    let call = Call::read(READS, path, "from-a-file");
    ask(instance.call_address(), &call).await.is_some_and(|response| response.status == status)
}

/// Guards against missing metrics of a daemon's state, its peers and the age of its data, and
/// against log lines beyond the limit: with a limit of zero a failed call is counted and not
/// logged.
#[tokio::test]
async fn metrics_report_ages_and_states_and_a_setting_limits_log_lines() {
    let mut deployment = deployed("metrics", &["board", "board"]).await;
    let instance = &mut deployment.instances[0];
    let daemon = instance.daemon.as_mut().expect("a daemon");
    daemon.terminate();
    daemon.ended().await.expect("an exit status");
    instance.set("log_lines_percent", serde_json::json!(0)).expect("settings");
    instance.start_daemon().await.expect("a daemon");
    wait("routes", || instance.is_ready()).await;
    let unknown = Call::read("nobody.example", "/", "without-a-line");
    let response = ask(instance.call_address(), &unknown).await.expect("a response");
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    wait("a served call", || responds_with(instance, "/r/1", StatusCode::OK)).await;
    let question = Question::new(http::Method::GET, "/metrics");
    let address = instance.address("metrics_address");
    let response =
        Asker::new(Duration::from_secs(2)).ask(address, question).await.expect("metrics");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    for line in [
        "yuccarack_members 2",
        "yuccarack_members_serving 2",
        "yuccarack_gates_unreachable 0",
        "yuccarack_store_served 1",
        "yuccarack_log_left_out_call_failed_total 1",
        "yuccarack_target_first_byte_seconds_count",
        "yuccarack_routing_age_seconds",
        "yuccarack_entry_refused_unknown_route_total 1",
    ] {
        assert!(text.contains(line), "no {line} in\n{text}");
    }
    let lines = std::fs::read_to_string(instance.log()).expect("a log");
    assert!(!lines.contains("without-a-line"), "a log line despite the limit of zero");
}
