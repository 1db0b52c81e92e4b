//! Targets and daemons that leave, come back, or are confused with earlier ones.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio::task::JoinSet;
use yuccarack_platform_standin::{
    caller::{Call, KeptConnection, ask},
    deployment::{Deployment, wait},
    target::Behaviour,
};

use crate::support::{ORDERS, READS, deployed};

/// Reads that reach the target of the first instance out of `calls`.
async fn reads_at_first(deployment: &Deployment, name: &str, calls: usize) -> usize {
    let before = deployment.instances[0].target.requests();
    for number in 0..calls {
        let address = deployment.instances[number % deployment.instances.len()].call_address();
        let call = Call::read(READS, "/r/1", &format!("{name}{number}"));
        let told = ask(address, &call).await.expect("an answer");
        assert_eq!(told.status, StatusCode::OK);
    }
    (deployment.instances[0].target.requests() - before) as usize
}

/// Story: a target says that it will end. From that word on its daemon lets nothing in, whatever
/// other daemons believe, and callers notice nothing.
#[tokio::test]
async fn a_draining_target_gets_nothing_more() {
    let mut deployment = deployed("drain", &["board", "board"]).await;
    assert!(reads_at_first(&deployment, "a", 10).await > 0);
    deployment.instances[0].stop_beating();
    assert_eq!(deployment.instances[0].say("draining").await, Some(StatusCode::OK));
    assert_eq!(reads_at_first(&deployment, "b", 20).await, 0);
}

#[tokio::test]
async fn a_target_that_left_gets_nothing_more() {
    let mut deployment = deployed("left", &["board", "board"]).await;
    assert_eq!(deployment.instances[0].leave().await, Some(StatusCode::OK));
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Story: a target says that it will leave and then, still the same process, that it is ready. Its gate
/// takes work again.
#[tokio::test]
async fn a_target_that_stays_after_all_gets_work_again() {
    let mut deployment = deployed("stays", &["board", "board"]).await;
    deployment.instances[0].stop_beating();
    deployment.instances[0].say("draining").await;
    assert_eq!(reads_at_first(&deployment, "a", 10).await, 0);
    deployment.instances[0].beat();
    let first = &deployment.instances[0];
    let is_back = || async {
        let before = first.target.requests();
        ask(first.call_address(), &Call::read(READS, "/r/1", "b")).await.expect("an answer");
        first.target.requests() > before
    };
    wait("work for the target that stays", is_back).await;
}

/// Story: a target drains, and its daemon is killed and restarted beside it, with the store away.
/// The new process of the daemon knows nothing of the word; it must not take the target for ready.
#[tokio::test]
async fn a_restarted_daemon_waits_for_its_target_to_speak() {
    let mut deployment = deployed("restart", &["board", "board"]).await;
    deployment.instances[0].stop_beating();
    assert_eq!(deployment.instances[0].say("draining").await, Some(StatusCode::OK));
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    wait("the daemon to be ready", || deployment.instances[0].is_ready()).await;
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Story: a target drains, and its daemon is killed and restarted. Before the target speaks again, a
/// heartbeat arrives that it had sent while it was ready; for a heartbeat's time it got work again.
#[tokio::test]
async fn a_restarted_daemon_knows_that_its_target_leaves() {
    let mut deployment = deployed("knows", &["board", "board"]).await;
    deployment.instances[0].stop_beating();
    assert_eq!(deployment.instances[0].say("draining").await, Some(StatusCode::OK));
    let is_told = || async { deployment.store.has_row("leaving", "n0") };
    wait("the word to be kept", is_told).await;
    deployment.instances[0].kill_daemon();
    deployment.instances[0].start_daemon().await.expect("a daemon");
    wait("the daemon to be ready", || deployment.instances[0].is_ready()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.instances[0].say_again("ready").await;
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Guards against a daemon that reads about all targets that ever left, and is too late for its own.
#[tokio::test]
async fn a_restarted_daemon_knows_that_its_target_leaves_though_many_left_before() {
    let mut deployment = deployed("manyleft", &["board", "board"]).await;
    for number in 0..6_000 {
        let row = format!(r#"{{"target":"i-old{number}","last_life":{number}}}"#);
        deployment.store.put("leaving", &format!("old{number}"), row.as_bytes());
    }
    deployment.instances[0].stop_beating();
    assert_eq!(deployment.instances[0].say("draining").await, Some(StatusCode::OK));
    let is_kept = || async { deployment.store.has_row("leaving", "n0") };
    wait("the row", is_kept).await;
    deployment.instances[0].kill_daemon();
    deployment.instances[0].door.set_rate(Some(128 * 1024));
    deployment.instances[0].start_daemon().await.expect("a daemon");
    wait("the daemon to be ready", || deployment.instances[0].is_ready()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.instances[0].say_again("ready").await;
    assert_eq!(reads_at_first(&deployment, "a", 20).await, 0);
}

/// Story: a heartbeat is held up by a cut link and arrives after its sender died and another process
/// of the same name took its place. It must neither bring back nor drain what runs now.
#[tokio::test]
async fn a_late_heartbeat_of_an_earlier_process_changes_nothing() {
    let mut deployment = deployed("late", &["board", "board"]).await;
    let first = &deployment.instances[0];
    assert_eq!(first.say_of_earlier_life("draining").await, Some(StatusCode::CONFLICT));
    assert!(reads_at_first(&deployment, "a", 20).await > 0);
    deployment.instances[0].stop_beating();
    deployment.instances[0].say("draining").await;
    let first = &deployment.instances[0];
    assert_eq!(first.say_of_earlier_life("ready").await, Some(StatusCode::CONFLICT));
    assert_eq!(reads_at_first(&deployment, "b", 20).await, 0);
}

#[tokio::test]
async fn an_unreadable_heartbeat_changes_nothing() {
    let deployment = deployed("unread", &["board", "board"]).await;
    for text in ["", "{}", "null", "{\"address\":7}"] {
        let told = deployment.instances[0].say_text(text).await;
        assert_eq!(told, Some(StatusCode::BAD_REQUEST), "{text}");
    }
    assert!(reads_at_first(&deployment, "a", 20).await > 0);
}

/// Story: each daemon is stopped in turn while callers go on. Those of a stopping one move away
/// within seconds; not one request that was read is lost, and the process ends by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_loses_no_request() {
    let mut deployment = deployed("stop", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::Answer(Duration::from_millis(120)));
    }
    let address = deployment.instances[0].call_address();
    let mut callers = JoinSet::new();
    let until = Instant::now() + Duration::from_millis(1_900);
    for caller in 0..6 {
        callers.spawn(async move {
            let mut connection = KeptConnection::open(address).await.expect("a connection");
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let call = Call::order(ORDERS, "/o/1", &format!("s{caller}-{number}"));
                let told = connection.ask(&call).await.expect("an answer to each read request");
                assert_eq!(told.status, StatusCode::OK);
                if told.header("connection") == "close" {
                    connection = KeptConnection::open(address).await.expect("a connection");
                }
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut daemon = deployment.instances[0].daemon.take().expect("a daemon");
    daemon.terminate();
    assert!(!deployment.instances[0].is_ready().await);
    while let Some(caller) = callers.join_next().await {
        caller.expect("a caller that lost nothing");
    }
    let status = tokio::time::timeout(Duration::from_secs(6), daemon.ended()).await;
    assert!(status.expect("an end in time").expect("a status").success());
}

/// Story: a daemon stops, and other daemons go on sending to its gate until it says that it goes. It
/// closed their connections with requests unread on them, and left its port open with nobody behind
/// it while the last answers were on their way. Callers of the others waited and then heard of orders
/// whose fate nobody knows, some thirty at each planned stop under load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gate_that_stops_leaves_no_order_of_other_daemons_unknown() {
    let mut deployment = deployed("stopgate", &["board", "depot"]).await;
    deployment.instances[0].target.behave(Behaviour::Answer(Duration::from_millis(400)));
    let other = deployment.instances[1].call_address();
    let until = Instant::now() + Duration::from_millis(4_500);
    let mut callers = JoinSet::new();
    for caller in 0..24 {
        callers.spawn(async move {
            let mut ends = Vec::new();
            while Instant::now() < until {
                let id = format!("g{caller}-{}", ends.len());
                let told = ask(other, &Call::order(ORDERS, "/o/1", &id)).await;
                ends.push(told.map(|told| told.status));
            }
            ends
        });
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let mut daemon = deployment.instances[0].daemon.take().expect("a daemon");
    daemon.terminate();
    let mut ends = HashMap::new();
    while let Some(caller) = callers.join_next().await {
        for end in caller.expect("a caller") {
            *ends.entry(end).or_insert(0) += 1;
        }
    }
    let is_known = |end: &Option<StatusCode>| {
        matches!(*end, Some(StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE))
    };
    assert!(ends.keys().all(is_known), "{ends:?}");
    let status = tokio::time::timeout(Duration::from_secs(6), daemon.ended()).await;
    assert!(status.expect("an end in time").expect("a status").success());
}

/// Story: the platform says that the settings have changed. A daemon that doesn't know the signal
/// dies of it, with all calls in its hands.
#[tokio::test]
async fn changed_settings_are_read_without_an_end() {
    let mut deployment = deployed("hup", &["board"]).await;
    let instance = &mut deployment.instances[0];
    instance.set("service", serde_json::json!("cellar")).expect("a written file");
    let daemon = instance.daemon.as_ref().expect("a daemon");
    daemon.reload();
    let address = instance.call_address();
    let is_new = || async {
        ask(address, &Call::read(READS, "/r/1", "k1")).await.expect("an answer");
        instance.target.runs().last().is_some_and(|run| run.caller_service == "cellar")
    };
    wait("the changed settings", is_new).await;
    std::fs::write(instance.settings_file(), "{}").expect("a written file");
    instance.daemon.as_ref().expect("a daemon").reload();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let told = ask(address, &Call::read(READS, "/r/1", "k2")).await.expect("an answer");
    assert_eq!(told.status, StatusCode::OK);
}

/// Story: an instance is lost with its daemon. The requests of others go round it at once.
#[tokio::test]
async fn a_lost_instance_costs_no_answer() {
    let mut deployment = deployed("lost", &["board", "board", "board"]).await;
    deployment.instances[0].kill_daemon();
    for number in 0..30 {
        let address = deployment.instances[1 + number % 2].call_address();
        let call = Call::order(ORDERS, "/o/1", &format!("l{number}"));
        let told = ask(address, &call).await.expect("an answer");
        assert_eq!(told.status, StatusCode::OK, "order {number}");
    }
}
