//! Tests of targets and daemons that leave, return, or share a name with an earlier process.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http::StatusCode;
use tokio::task::JoinSet;
use yuccarack_platform_standin::{
    caller::{Call, KeepAliveConnection, send_call},
    deployment::{Deployment, wait_until},
    store::StoreServerMode,
    target::Behaviour,
};

use crate::support::{ORDERS, READS, deployed};

/// Sends `calls` reads; returns how many reached the target of the first instance.
async fn reads_at_first(deployment: &Deployment, name: &str, calls: usize) -> usize {
    let before = deployment.instances[0].target.requests();
    for number in 0..calls {
        let address = deployment.instances[number % deployment.instances.len()].call_address();
        let call = Call::read(READS, "/r/1", &format!("{name}{number}"));
        let response = send_call(address, &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
    (deployment.instances[0].target.requests() - before) as usize
}

/// Sends more reads at once than the second target has slots, through the second instance; returns
/// how many reached the target of the first one.
async fn crowd_at_first(deployment: &Deployment, name: &str) -> usize {
    let before = deployment.instances[0].target.requests();
    let address = deployment.instances[1].call_address();
    let reads = (0..60).map(|number| async move {
        // The second target alone can't answer all.
        send_call(address, &Call::read(READS, "/r/1", &format!("{name}{number}"))).await;
    });
    join_all(reads).await;
    (deployment.instances[0].target.requests() - before) as usize
}

/// Guards against requests to a target that has announced that it drains. Its daemon has to refuse
/// them although other daemons still send there, and callers must not notice.
#[tokio::test]
async fn a_draining_target_receives_no_more_requests() {
    let mut deployment = deployed("drain", &["board", "board"]).await;
    assert!(reads_at_first(&deployment, "a", 10).await > 0);
    deployment.instances[0].stop_heartbeats();
    assert_eq!(deployment.instances[0].send_heartbeat("draining").await, Some(StatusCode::OK));
    assert_eq!(reads_at_first(&deployment, "b", 20).await, 0);
}

/// Guards against requests to a target that announces with its responses that it leaves, while its
/// heartbeats still report that it is ready.
#[tokio::test]
async fn a_target_that_announces_in_a_response_that_it_leaves_receives_no_more_requests() {
    let deployment = deployed("says", &["board", "board"]).await;
    deployment.instances[0].target.announce_in_health_checks(false);
    deployment.instances[0].target.announce_leaving();
    assert!(reads_at_first(&deployment, "a", 10).await > 0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(reads_at_first(&deployment, "b", 20).await, 0);
}

/// Guards against a restarted gate that admits requests for a target which has announced that it
/// leaves to an earlier process, while the store, which has the announcement, is unavailable.
#[tokio::test]
async fn an_entry_remembers_the_announcement_of_a_leaving_target_for_its_restarted_gate() {
    let mut deployment = deployed("remembers", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(50)));
    }
    deployment.instances[0].target.announce_in_health_checks(false);
    deployment.instances[0].target.announce_leaving();
    assert!(crowd_at_first(&deployment, "a").await > 0);
    deployment.instances[0].store_server.set_mode(StoreServerMode::Unavailable);
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    deployment.instances[0].start_heartbeats();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(crowd_at_first(&deployment, "b").await, 0);
}

/// Guards against a restarted gate that doesn't know that its target leaves, as the announcement
/// was not stored.
#[tokio::test]
async fn an_announcement_in_a_response_is_stored_for_a_restarted_daemon() {
    let mut deployment = deployed("stored", &["board", "board"]).await;
    deployment.instances[0].target.announce_in_health_checks(false);
    deployment.instances[0].target.announce_leaving();
    assert!(reads_at_first(&deployment, "a", 10).await > 0);
    let is_stored = || async { deployment.store.has_row("leaving", "n0") };
    wait_until("the departure to be stored", is_stored).await;
    for instance in &mut deployment.instances {
        instance.kill_daemon();
        instance.start_daemon().await.expect("a daemon");
        instance.start_heartbeats();
    }
    for instance in &deployment.instances {
        wait_until("the daemon to be ready", || instance.is_ready()).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(reads_at_first(&deployment, "b", 20).await, 0);
}

/// Guards against a new target that gets no requests because the process before it left.
#[tokio::test]
async fn a_target_that_replaces_a_leaving_one_receives_requests() {
    let mut deployment = deployed("replaces", &["board", "board"]).await;
    deployment.instances[0].target.announce_in_health_checks(false);
    deployment.instances[0].target.announce_leaving();
    assert!(reads_at_first(&deployment, "a", 10).await > 0);
    assert_eq!(reads_at_first(&deployment, "b", 10).await, 0);
    deployment.instances[0].restart_target().await.expect("a target");
    let receives_requests = || async { reads_at_first(&deployment, "c", 4).await > 0 };
    wait_until("requests to the new target", receives_requests).await;
}

#[tokio::test]
async fn a_target_that_left_receives_no_more_requests() {
    let mut deployment = deployed("left", &["board", "board"]).await;
    assert_eq!(deployment.instances[0].send_leave().await, Some(StatusCode::OK));
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Guards against a target that leaves before its first heartbeat and becomes ready by that heartbeat,
/// which is late, whether or not its daemon restarts before or after the leave.
#[tokio::test]
async fn a_target_that_left_before_its_first_heartbeat_receives_no_requests() {
    for (name, restarts_before, restarts_after) in
        [("never", false, false), ("after", false, true), ("both", true, true)]
    {
        let mut deployment = deployed(&format!("left-early-{name}"), &["board", "board"]).await;
        deployment.instances[0].stop_heartbeats();
        let restart = async |deployment: &mut Deployment| {
            deployment.instances[0].kill_daemon();
            deployment.instances[0].start_daemon().await.expect("a daemon");
            wait_until("the daemon to be ready", || deployment.instances[0].is_ready()).await;
        };
        if restarts_before {
            restart(&mut deployment).await;
        }
        let status = deployment.instances[0].send_leave_of_later_process().await;
        assert_eq!(status, Some(StatusCode::OK));
        if restarts_after {
            restart(&mut deployment).await;
        }
        deployment.instances[0].send_heartbeat_of_later_process().await;
        assert_eq!(reads_at_first(&deployment, "a", 20).await, 0, "{name}");
    }
}

/// Guards against a leave that is confirmed and then forgotten by a restart, as the store didn't have
/// it. It takes effect all the same.
#[tokio::test]
async fn a_leave_is_confirmed_once_the_store_has_it() {
    let mut deployment = deployed("unconfirmed", &["board", "board"]).await;
    deployment.instances[0].store_server.set_mode(StoreServerMode::Unresponsive);
    let status = deployment.instances[0].send_leave().await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
    deployment.instances[0].store_server.set_mode(StoreServerMode::Serving);
    for _ in 0..10 {
        if deployment.instances[0].send_leave().await == Some(StatusCode::OK) {
            assert!(deployment.store.has_row("leaving", "n0"));
            return;
        }
    }
    panic!("the leave was not confirmed");
}

/// Guards against a late heartbeat that makes a target ready which left before its daemon restarted,
/// while the store doesn't respond to the daemon.
#[tokio::test]
async fn a_daemon_that_restarts_without_the_store_accepts_no_late_heartbeat() {
    let mut deployment = deployed("left-no-store", &["board", "board"]).await;
    assert_eq!(deployment.instances[0].send_leave().await, Some(StatusCode::OK));
    deployment.instances[0].store_server.set_mode(StoreServerMode::Unresponsive);
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let status = deployment.instances[0].resend_older_heartbeat("ready").await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(crowd_at_first(&deployment, "a").await, 0);
}

/// Guards against a gate that stays closed when a draining target of the same process reports that
/// it is ready again.
#[tokio::test]
async fn a_target_that_stays_after_all_receives_requests_again() {
    let mut deployment = deployed("stays", &["board", "board"]).await;
    deployment.instances[0].stop_heartbeats();
    deployment.instances[0].send_heartbeat("draining").await;
    assert_eq!(reads_at_first(&deployment, "a", 10).await, 0);
    deployment.instances[0].start_heartbeats();
    let first = &deployment.instances[0];
    let receives_requests = || async {
        let before = first.target.requests();
        send_call(first.call_address(), &Call::read(READS, "/r/1", "b")).await.expect("a response");
        first.target.requests() > before
    };
    wait_until("requests to the target that stays", receives_requests).await;
}

/// Guards against a restarted daemon that takes a draining target for ready. Its new process
/// doesn't know of the announcement, as the target sends no more heartbeats.
#[tokio::test]
async fn a_restarted_daemon_waits_for_a_heartbeat_of_its_target() {
    let mut deployment = deployed("restart", &["board", "board"]).await;
    deployment.instances[0].stop_heartbeats();
    assert_eq!(deployment.instances[0].send_heartbeat("draining").await, Some(StatusCode::OK));
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    wait_until("the daemon to be ready", || deployment.instances[0].is_ready()).await;
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Guards against a restarted daemon that admits requests for a draining target on a late
/// heartbeat, sent while the target was still ready.
#[tokio::test]
async fn a_restarted_daemon_knows_that_its_target_leaves() {
    let mut deployment = deployed("knows", &["board", "board"]).await;
    deployment.instances[0].stop_heartbeats();
    assert_eq!(deployment.instances[0].send_heartbeat("draining").await, Some(StatusCode::OK));
    let is_stored = || async { deployment.store.has_row("leaving", "n0") };
    wait_until("the departure to be stored", is_stored).await;
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    wait_until("the daemon to be ready", || deployment.instances[0].is_ready()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.instances[0].resend_older_heartbeat("ready").await;
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Guards against a daemon that reads the rows of all targets that ever left, and is too late for
/// its own.
#[tokio::test]
async fn a_restarted_daemon_knows_that_its_target_leaves_though_many_left_before() {
    let mut deployment = deployed("manyleft", &["board", "board"]).await;
    for number in 0..6_000 {
        let row = format!(r#"{{"target":"i-old{number}","last_life":{number}}}"#);
        deployment.store.put("leaving", &format!("old{number}"), row.as_bytes());
    }
    deployment.instances[0].stop_heartbeats();
    assert_eq!(deployment.instances[0].send_heartbeat("draining").await, Some(StatusCode::OK));
    let is_stored = || async { deployment.store.has_row("leaving", "n0") };
    wait_until("the departure to be stored", is_stored).await;
    deployment.instances[0].kill_daemon();
    deployment.instances[0].store_server.set_rate(Some(128 * 1024));
    deployment.instances[0].start_daemon().await.expect("a daemon");
    wait_until("the daemon to be ready", || deployment.instances[0].is_ready()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.instances[0].resend_older_heartbeat("ready").await;
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Guards against a heartbeat that a cut link delays until its sender has died and another process
/// of the same name has replaced it. It must neither make the new one ready nor drain it.
#[tokio::test]
async fn a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let mut deployment = deployed("late", &["board", "board"]).await;
    let first = &deployment.instances[0];
    assert_eq!(
        first.send_heartbeat_of_earlier_process("draining").await,
        Some(StatusCode::CONFLICT)
    );
    assert!(reads_at_first(&deployment, "a", 20).await > 0);
    deployment.instances[0].stop_heartbeats();
    deployment.instances[0].send_heartbeat("draining").await;
    let first = &deployment.instances[0];
    assert_eq!(first.send_heartbeat_of_earlier_process("ready").await, Some(StatusCode::CONFLICT));
    assert_eq!(reads_at_first(&deployment, "b", 20).await, 0);
}

#[tokio::test]
async fn an_unreadable_heartbeat_changes_nothing() {
    let deployment = deployed("unread", &["board", "board"]).await;
    for text in ["", "{}", "null", "{\"address\":7}"] {
        let response = deployment.instances[0].send_raw_heartbeat(text).await;
        assert_eq!(response, Some(StatusCode::BAD_REQUEST), "{text}");
    }
    assert!(reads_at_first(&deployment, "a", 20).await > 0);
}

/// Guards against requests lost at a planned stop under load. Callers of the stopping daemon have
/// to move away within seconds, no request that was read may be lost, and the process has to exit
/// by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_loses_no_request() {
    let mut deployment = deployed("stop", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(120)));
    }
    let address = deployment.instances[0].call_address();
    let mut callers = JoinSet::new();
    let load_ends_at = Instant::now() + Duration::from_millis(1_900);
    for caller in 0..6 {
        callers.spawn(async move {
            let mut connection = KeepAliveConnection::open(address).await.expect("a connection");
            let mut number = 0;
            while Instant::now() < load_ends_at {
                number += 1;
                let call = Call::order(ORDERS, "/o/1", &format!("s{caller}-{number}"));
                let response =
                    connection.send(&call).await.expect("a response to each request that was read");
                assert_eq!(response.status, StatusCode::OK);
                if response.header("connection") == "close" {
                    connection = KeepAliveConnection::open(address).await.expect("a connection");
                }
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut daemon = deployment.instances[0].daemon.take().expect("a daemon");
    daemon.terminate();
    assert!(!deployment.instances[0].is_ready().await);
    while let Some(caller) = callers.join_next().await {
        caller.expect("a caller that lost no request");
    }
    let status = tokio::time::timeout(Duration::from_secs(6), daemon.wait_exit()).await;
    assert!(status.expect("an exit in time").expect("a status").success());
}

/// Guards against orders with unknown outcome at a planned stop. Other daemons keep sending to the
/// stopping gate until it announces its stop. Once the gate closed connections that had unread
/// requests on them, and its port stayed open without a listener while the last responses were in
/// transit: about thirty orders at each planned stop under load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gate_leaves_no_order_with_an_unknown_outcome() {
    let mut deployment = deployed("stopgate", &["board", "depot"]).await;
    deployment.instances[0].target.set_behaviour(Behaviour::Respond(Duration::from_millis(400)));
    let other = deployment.instances[1].call_address();
    let load_ends_at = Instant::now() + Duration::from_millis(4_500);
    let mut callers = JoinSet::new();
    for caller in 0..24 {
        callers.spawn(async move {
            let mut outcomes = Vec::new();
            while Instant::now() < load_ends_at {
                let id = format!("g{caller}-{}", outcomes.len());
                let response = send_call(other, &Call::order(ORDERS, "/o/1", &id)).await;
                outcomes.push(response.map(|response| response.status));
            }
            outcomes
        });
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let mut daemon = deployment.instances[0].daemon.take().expect("a daemon");
    daemon.terminate();
    let mut outcomes = HashMap::new();
    while let Some(caller) = callers.join_next().await {
        for outcome in caller.expect("a caller") {
            *outcomes.entry(outcome).or_insert(0) += 1;
        }
    }
    let is_known = |outcome: &Option<StatusCode>| {
        matches!(*outcome, Some(StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE))
    };
    assert!(outcomes.keys().all(is_known), "{outcomes:?}");
    let status = tokio::time::timeout(Duration::from_secs(6), daemon.wait_exit()).await;
    assert!(status.expect("an exit in time").expect("a status").success());
}

/// Guards against a daemon that doesn't handle the reload signal: it would exit with all calls in
/// flight.
#[tokio::test]
async fn changed_settings_are_reloaded_without_a_restart() {
    let mut deployment = deployed("hup", &["board"]).await;
    let instance = &mut deployment.instances[0];
    instance.set_setting("service", serde_json::json!("cellar")).expect("a written file");
    let daemon = instance.daemon.as_ref().expect("a daemon");
    daemon.reload();
    let address = instance.call_address();
    let is_new = || async {
        send_call(address, &Call::read(READS, "/r/1", "k1")).await.expect("a response");
        instance.target.runs().last().is_some_and(|run| run.caller_service == "cellar")
    };
    wait_until("the changed settings", is_new).await;
    std::fs::write(instance.settings_file(), "{}").expect("a written file");
    instance.daemon.as_ref().expect("a daemon").reload();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let response = send_call(address, &Call::read(READS, "/r/1", "k2")).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against failed requests when an instance is lost with its daemon: other daemons have to
/// route around it at once.
#[tokio::test]
async fn a_lost_instance_fails_no_request() {
    let mut deployment = deployed("lost", &["board", "board", "board"]).await;
    deployment.instances[0].kill_daemon();
    for number in 0..30 {
        let address = deployment.instances[1 + number % 2].call_address();
        let call = Call::order(ORDERS, "/o/1", &format!("l{number}"));
        let response = send_call(address, &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK, "order {number}");
    }
}
