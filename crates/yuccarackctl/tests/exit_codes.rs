//! The tool as a process, as scripts run it: exit codes and output.

mod common;

use std::process::{Command, Output};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;
use yuccarack_standins::server::{Server, listen, respond};

use common::{any_port, platform, rules_file};

/// Runs the tool as a process, on a blocking thread because the servers run on this runtime.
async fn run_tool(args: String) -> Output {
    let run = move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccarackctl"));
        command.env_remove("YUCCARACK_PLATFORM").env_remove("YUCCARACK_DAEMON");
        command.args(args.split_whitespace()).output().expect("the built tool")
    };
    tokio::task::spawn_blocking(run).await.expect("a finished process")
}

async fn exit_code(args: String) -> i32 {
    run_tool(args).await.status.code().expect("an exit code")
}

#[tokio::test]
async fn every_command_has_a_help_page() {
    for command in [
        "check",
        "apply",
        "diff",
        "show",
        "history",
        "status",
        "targets",
        "counters",
        "explain",
        "claim",
        "claim list",
        "claim show",
        "claim release",
    ] {
        let output = run_tool(format!("{command} --help")).await;
        assert_eq!(output.status.code(), Some(0), "{command}");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("Usage: yuccarackctl"), "{command}: {text}");
    }
}

#[tokio::test]
async fn each_kind_of_failure_has_its_exit_code() {
    let platform = platform().await;
    let address = platform.address();
    let valid = rules_file("code-good.json", 0, "conditions", 500);
    let conflicting = rules_file("code-other.json", 0, "conditions", 600);
    let invalid = rules_file("code-bad.json", 0, "conditions", 0);
    assert_eq!(exit_code(format!("apply {valid} --platform {address}")).await, 0);
    assert_eq!(exit_code(format!("claim show conditions none --platform {address}")).await, 1);
    assert_eq!(exit_code("apply".to_owned()).await, 2);
    assert_eq!(exit_code(format!("apply {valid}")).await, 2);
    assert_eq!(exit_code(format!("apply {invalid} --platform {address}")).await, 3);
    assert_eq!(exit_code(format!("apply {conflicting} --platform {address}")).await, 4);
    platform.stop().await;
    let unreachable = format!("--platform {address} --timeout-ms 200");
    assert_eq!(exit_code(format!("apply {valid} {unreachable}")).await, 5);
    assert_eq!(exit_code(format!("show {unreachable}")).await, 5);
    assert_eq!(exit_code(format!("status --daemon {address}")).await, 6);
}

// Guards against reporting an unknown outcome as a failure: the store stops responding during a
// commit. A script that takes it as failed would apply its next file on top of rules that may be in
// force.
#[tokio::test]
async fn an_unknown_outcome_has_its_own_exit_code() {
    let server = Server::start(listen(any_port()).await.unwrap(), 16, |request| async move {
        let request: http::Request<hyper::body::Incoming> = request;
        match *request.method() {
            Method::PUT => respond(StatusCode::NO_CONTENT, Bytes::new()),
            Method::POST => std::future::pending().await,
            _ => respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    })
    .unwrap();
    let address = server.address();
    let valid = rules_file("code-unknown.json", 0, "conditions", 500);
    let output =
        run_tool(format!("apply {valid} --json --platform {address} --timeout-ms 400")).await;
    assert_eq!(output.status.code(), Some(7));
    let error: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(error["apply_id"].is_string(), "{error}");
    server.crash().await;
}

#[tokio::test]
async fn a_script_reads_the_faults_as_json() {
    let invalid = rules_file("code-json.json", 0, "conditions", 0);
    let output = run_tool(format!("check {invalid} --json")).await;
    let error: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(error["exit_code"], 3);
    assert_eq!(error["faults"][0]["path"], "services[0].routes[0].deadline_ms");
}
