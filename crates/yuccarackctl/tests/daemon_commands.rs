//! Commands that query daemons: status, targets, counters, explain.

mod common;

use serde_json::{Value, json};
use yuccarack_platform::{
    messages::{Commit, Write},
    rows::member_key,
};
use yuccarackctl::{CtlError, ExitStatus};

use common::{FakeDaemon, ctl, platform};

fn member(instance: &str, admin_address: &str) -> Value {
    json!({
        "instance": instance,
        "incarnation": 1,
        "sequence": 1,
        "service": "conditions",
        "failure_domain": "sapporo",
        "gate_address": "127.0.0.1:7001",
        "control_address": "127.0.0.1:7003",
        "admin_address": admin_address,
        "state": "ready",
        "slots": 10,
    })
}

#[tokio::test]
async fn status_and_targets_show_the_response_of_the_daemon() {
    let daemon = FakeDaemon::start().await;
    daemon.set_response("/status", json!({
        "instance": "sapporo-1",
        "store": "reachable",
        "services": [{"name": "conditions", "is_own": true, "rules_revision": 41, "members": 6}],
    }));
    daemon.set_response("/targets", json!([member("sapporo-1", "127.0.0.1:7002")]));
    let address = daemon.address();
    let status = ctl(&format!("status --daemon {address}")).await.unwrap();
    assert!(status.text.contains("instance: sapporo-1\nstore: reachable"), "{}", status.text);
    let line = "conditions  true  41              6";
    assert!(status.text.contains(line), "{}", status.text);
    let targets = ctl(&format!("targets --daemon {address}")).await.unwrap();
    let line = "conditions  sapporo-1  sapporo  ready  10     127.0.0.1:7001  127.0.0.1:7002";
    assert!(targets.text.contains(line), "{}", targets.text);
    assert_eq!(targets.json[address.to_string()][0]["slots"], json!(10));
    daemon.stop().await;
}

#[tokio::test]
async fn counters_are_filtered_by_prefix() {
    let daemon = FakeDaemon::start().await;
    daemon
        .set_response("/counters", json!({"refused.draining": 3, "refused.shed": 1, "retries": 7}));
    let address = daemon.address();
    let counters = ctl(&format!("counters --daemon {address} --prefix refused.")).await.unwrap();
    assert_eq!(
        counters.json[address.to_string()],
        json!({"refused.draining": 3, "refused.shed": 1})
    );
    assert!(counters.text.contains("refused.draining  3"), "{}", counters.text);
    daemon.stop().await;
}

#[tokio::test]
async fn explain_prints_one_line_per_step() {
    let daemon = FakeDaemon::start().await;
    let steps = json!([
        {"after_us": 12, "event": "chosen", "instance": "sapporo-1"},
        {"after_us": 950, "event": "answered", "instance": "sapporo-1", "reason": null},
    ]);
    daemon.set_response("/explain/00ff", steps);
    let explained = ctl(&format!("explain 00ff --daemon {}", daemon.address())).await.unwrap();
    let lines: Vec<_> = explained.text.lines().skip(1).collect();
    let expected = [
        "        12 us  chosen  instance=sapporo-1",
        "       950 us  answered  instance=sapporo-1",
    ];
    assert_eq!(lines, expected);
    daemon.stop().await;
}

// Guards against an incomplete explanation: each daemon records only its own steps, and the
// operator doesn't know which daemons a request passed. All are queried, and those without steps
// are left out.
#[tokio::test]
async fn explain_queries_all_daemons_of_a_service() {
    let platform = platform().await;
    let daemons = [FakeDaemon::start().await, FakeDaemon::start().await, FakeDaemon::start().await];
    daemons[0].set_response("/explain/00ff", json!({"role": "entry"}));
    daemons[2].set_response("/explain/00ff", json!({"role": "gate"}));
    for (index, daemon) in daemons.iter().enumerate() {
        let instance = format!("sapporo-{index}");
        let row = member(&instance, &daemon.address().to_string());
        let write = Write::put(member_key("conditions", &instance), row);
        let commit = Commit { conditions: vec![], writes: vec![write] };
        platform.with_table(|table| table.commit(commit)).unwrap();
    }
    let address = platform.address();
    let explained =
        ctl(&format!("explain 00ff --members-of conditions --platform {address}")).await.unwrap();
    assert_eq!(explained.json.as_object().unwrap().len(), 2);
    assert_eq!(explained.json[daemons[2].address().to_string()]["role"], json!("gate"));

    let not_found = ctl(&format!("explain 01 --members-of conditions --platform {address}")).await;
    assert!(matches!(not_found, Err(CtlError::NotFound { .. })));
    for daemon in daemons {
        daemon.stop().await;
    }
    platform.stop().await;
}

// Guards against losing all responses when one daemon is unreachable: the row of a crashed instance
// is still in the table, so it is queried with the others.
#[tokio::test]
async fn unreachable_daemon_does_not_hide_the_others() {
    let (running, stopped) = (FakeDaemon::start().await, FakeDaemon::start().await);
    running.set_response("/counters", json!({"entry.calls": 3}));
    let (running_address, stopped_address) = (running.address(), stopped.address());
    stopped.stop().await;
    let args = format!("counters --daemon {stopped_address} --daemon {running_address}");
    let counters = ctl(&args).await.unwrap();
    assert_eq!(counters.json[running_address.to_string()], json!({"entry.calls": 3}));
    assert_eq!(counters.json[stopped_address.to_string()]["exit_code"], json!(6));
    assert_eq!(counters.exit_status, ExitStatus::DaemonUnreachable);
    running.stop().await;
}

#[tokio::test]
async fn unexpected_response_differs_from_an_unreachable_daemon() {
    let daemon = FakeDaemon::start().await;
    let address = daemon.address();
    let not_a_daemon = ctl(&format!("counters --daemon {address}")).await.unwrap_err();
    assert!(matches!(not_a_daemon, CtlError::NotADaemon { .. }), "{not_a_daemon}");
    daemon.set_response("/counters", json!("not a map"));
    let unexpected_response = ctl(&format!("counters --daemon {address}")).await.unwrap_err();
    assert_eq!(unexpected_response.exit_status(), ExitStatus::Failed);
    daemon.stop().await;
    let unreachable = ctl(&format!("counters --daemon {address}")).await.unwrap_err();
    assert_eq!(unreachable.exit_status(), ExitStatus::DaemonUnreachable);
}
