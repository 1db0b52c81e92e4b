//! Commands that check, apply, compare and show rules.

mod common;

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;
use yuccarack_platform::{
    accept::{AcceptError, now_unix_ms},
    messages::{Commit, Write},
    rows::{AppliedRow, HISTORY_SPAN_MS, history_key},
};
use yuccarackctl::{CtlError, ExitStatus};

use common::{FakeDaemon, ctl, platform, rules_file, write_file};

#[tokio::test]
async fn check_reports_all_faults_without_a_platform() {
    let valid = rules_file("check-good.json", 0, "conditions", 500);
    ctl(&format!("check {valid}")).await.unwrap();
    let invalid = rules_file("check-bad.json", 0, "Conditions", 0);
    let error = ctl(&format!("check {invalid}")).await.unwrap_err();
    assert_eq!(error.exit_status(), ExitStatus::InvalidFile);
    let paths: Vec<_> = error.to_json()["faults"].as_array().unwrap().clone();
    assert_eq!(paths.len(), 2);
    assert!(error.to_string().contains("services[0].routes[0].deadline_ms: found 0"), "{error}");
}

#[tokio::test]
async fn a_file_with_faults_is_not_applied() {
    let platform = platform().await;
    let invalid = rules_file("apply-bad.json", 0, "conditions", 0);
    let error =
        ctl(&format!("apply {invalid} --platform {}", platform.address())).await.unwrap_err();
    assert_eq!(error.exit_status(), ExitStatus::InvalidFile);
    assert_eq!(platform.stats().writes, 0);
    platform.stop().await;
}

#[tokio::test]
async fn output_of_show_can_be_edited_and_applied() {
    let platform = platform().await;
    let address = platform.address();
    let first = rules_file("show-first.json", 0, "conditions", 500);
    ctl(&format!("apply {first} --platform {address}")).await.unwrap();

    let show_report = ctl(&format!("show --platform {address}")).await.unwrap();
    assert_eq!(show_report.json["based_on"], json!(1));
    let edited_file = show_report.text.replace("\"deadline_ms\": 500", "\"deadline_ms\": 600");
    let edited_file = write_file("show-edited.json", &edited_file);
    let diff = ctl(&format!("diff {edited_file} --platform {address}")).await.unwrap();
    assert_eq!(diff.text, "~ conditions\n    routes[0].deadline_ms: 500 -> 600");
    ctl(&format!("apply {edited_file} --platform {address} --operator aiko")).await.unwrap();

    let history = ctl(&format!("history --platform {address} --limit 1")).await.unwrap();
    let newest = &history.json[0];
    assert_eq!(newest["applied"]["operator"], json!("aiko"));
    assert_eq!(newest["revision"], json!(2));

    let oldest = ctl(&format!("history --platform {address}")).await.unwrap().json[1].clone();
    let apply_id = oldest["applied"]["apply_id"].as_str().unwrap();
    let applied_file =
        ctl(&format!("show --platform {address} --applied {apply_id}")).await.unwrap();
    assert_eq!(applied_file.json["based_on"], json!(2));
    assert_eq!(applied_file.json["services"][0]["routes"][0]["deadline_ms"], json!(500));
    platform.stop().await;
}

// Guards against reading the whole history, which has millions of files after years of operation.
#[tokio::test]
async fn history_is_limited_by_days() {
    let platform = platform().await;
    let address = platform.address();
    let file = rules_file("history.json", 0, "conditions", 500);
    ctl(&format!("apply {file} --platform {address}")).await.unwrap();
    let old_unix_ms = now_unix_ms() - 3 * HISTORY_SPAN_MS;
    let old = AppliedRow {
        apply_id: "old".to_owned(),
        operator: "aiko".to_owned(),
        services: vec!["repairs".to_owned()],
        removed: Vec::new(),
        object: "rules-file-0".to_owned(),
        applied_at_unix_ms: old_unix_ms,
    };
    let value = serde_json::to_value(&old).unwrap();
    let write = Write::put(history_key(old_unix_ms, "old"), value);
    let commit = Commit { conditions: vec![], writes: vec![write] };
    platform.with_table(|table| table.commit(commit)).unwrap();
    let count = async |days: u32| {
        let history = ctl(&format!("history --platform {address} --days {days}")).await.unwrap();
        history.json.as_array().unwrap().len()
    };
    assert_eq!((count(1).await, count(30).await), (1, 2));
    platform.stop().await;
}

// Guards against silently overwriting newer rules: an old file without `based_on` is applied. Such
// a file counts as based on revision 0, so it conflicts with every service that exists.
#[tokio::test]
async fn file_without_based_on_conflicts_with_existing_rules() {
    let platform = platform().await;
    let address = platform.address();
    let first = rules_file("conflict-first.json", 0, "conditions", 500);
    ctl(&format!("apply {first} --platform {address}")).await.unwrap();
    let old = rules_file("conflict-old.json", 0, "conditions", 700);
    let diff = ctl(&format!("diff {old} --platform {address}")).await.unwrap();
    assert!(diff.text.starts_with("~ conditions (conflict: changed at revision 1)"));
    let error = ctl(&format!("apply {old} --platform {address}")).await.unwrap_err();
    assert_eq!(error.exit_status(), ExitStatus::Conflict);
    assert_eq!(error.to_json()["services"], json!([{"service": "conditions", "revision": 1}]));
    platform.stop().await;
}

// Guards against silently overwriting all rules: a file from another platform, whose revisions are
// higher, is applied. No service is newer than its `based_on`, so no conflict would be found.
#[tokio::test]
async fn file_based_on_a_future_revision_is_rejected() {
    let platform = platform().await;
    let file = rules_file("future.json", 40, "conditions", 500);
    let error = ctl(&format!("apply {file} --platform {}", platform.address())).await.unwrap_err();
    assert!(matches!(error, CtlError::BasedOnFuture { based_on: 40, revision: 0 }), "{error}");
    assert_eq!(error.exit_status(), ExitStatus::InvalidFile);
    platform.stop().await;
}

#[tokio::test]
async fn repeated_apply_returns_the_first_outcome() {
    let platform = platform().await;
    let address = platform.address();
    let file = rules_file("again.json", 0, "conditions", 500);
    let first = ctl(&format!("apply {file} --platform {address}")).await.unwrap();
    let second = ctl(&format!("apply {file} --platform {address}")).await.unwrap();
    assert_eq!(second, first);
    assert_eq!(platform.stats().commits, 1);

    let other = rules_file("again-other.json", 0, "repairs", 500);
    let apply_id = first.json["applied"]["apply_id"].as_str().unwrap();
    let error = ctl(&format!("apply {other} --platform {address} --apply-id {apply_id}"))
        .await
        .unwrap_err();
    assert!(matches!(error, CtlError::Accept(AcceptError::ApplyIdTaken { .. })), "{error}");
    platform.stop().await;
}

#[tokio::test]
async fn show_omits_removed_services() {
    let platform = platform().await;
    let address = platform.address();
    let first = rules_file("remove-first.json", 0, "conditions", 500);
    ctl(&format!("apply {first} --platform {address}")).await.unwrap();
    let removal = r#"{"format": 1, "based_on": 1, "services": [], "removed": ["conditions"]}"#;
    let removal = write_file("remove.json", removal);
    let diff = ctl(&format!("diff {removal} --platform {address}")).await.unwrap();
    assert_eq!(diff.text, "- conditions");
    ctl(&format!("apply {removal} --platform {address}")).await.unwrap();
    let show_report = ctl(&format!("show --platform {address}")).await.unwrap();
    assert_eq!(show_report.json["services"], json!([]));
    let error = ctl(&format!("show conditions --platform {address}")).await.unwrap_err();
    assert!(matches!(error, CtlError::NotFound { .. }), "{error}");
    platform.stop().await;
}

#[tokio::test]
async fn apply_waits_until_daemons_have_the_rules_in_force() {
    let platform = platform().await;
    let daemon = FakeDaemon::start().await;
    let file = rules_file("wait.json", 0, "conditions", 500);
    let status = |revision: u64| {
        json!({"services": [
            {"name": "conditions", "rules_revision": revision, "members": 6},
            {"name": "repairs", "rules_revision": 0},
        ]})
    };
    daemon.set_response("/status", status(0));
    let args = format!(
        "apply {file} --wait --platform {} --daemon {}",
        platform.address(),
        daemon.address()
    );
    let applying = ctl(&args);
    let put_in_force = async {
        while daemon.requests() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        daemon.set_response("/status", status(1));
    };
    let (applied, ()) = tokio::join!(applying, put_in_force);
    assert_eq!(applied.unwrap().json["in_force_at"], json!([daemon.address()]));
    assert_eq!(daemon.hints(), 1);
    daemon.stop().await;
    platform.stop().await;
}

#[tokio::test]
async fn apply_reports_daemons_without_the_rules_in_force() {
    let platform = platform().await;
    let daemon = FakeDaemon::start().await;
    daemon.set_response(
        "/status",
        json!({"services": [{"name": "conditions", "rules_revision": 0}]}),
    );
    let file = rules_file("late.json", 0, "conditions", 500);
    let args = format!(
        "apply {file} --wait --timeout-ms 300 --platform {} --daemon {}",
        platform.address(),
        daemon.address()
    );
    let error = ctl(&args).await.unwrap_err();
    let pending = [daemon.address()];
    assert!(
        matches!(&error, CtlError::NotInForce { revision: 1, daemons } if *daemons == pending),
        "{error}"
    );
    daemon.stop().await;
    platform.stop().await;
}

#[tokio::test]
async fn check_reports_all_faults_of_a_routing_file() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let example = folder.join("hokkaido/routing.json");
    let report = ctl(&format!("check {}", example.display())).await.expect("a valid file");
    assert_eq!(report.json["routes"], 3, "{}", report.text);
    let text = std::fs::read_to_string(&example).expect("the example");
    let invalid_text =
        text.replace("\"/repairs/\"", "\"/repairs\"").replace("\"supply-desk\"", "\"x\"");
    let invalid_text = invalid_text.replacen("\"x\"", "\"nobody\"", 1);
    let file = write_file("routing-broken.json", &invalid_text);
    let error = ctl(&format!("check {file}")).await.expect_err("an invalid file");
    let error_json = error.to_json();
    assert_eq!(error_json["exit_code"], 3);
    assert_eq!(error_json["faults"].as_array().map(Vec::len), Some(2), "{error_json}");
}
