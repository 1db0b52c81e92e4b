//! Tests of store failures: which daemons receive changes, and that calls keep succeeding.

use std::time::Duration;

use http::StatusCode;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, RouteSpec, wait},
    store::DoorMode,
    target::Behaviour,
};

use crate::support::{ORDERS, READS, board_routes, deployed};

/// Returns whether `instance` has a route for `path`.
async fn has_route(deployment: &Deployment, instance: usize, path: &str) -> bool {
    let call = Call::read(READS, path, &format!("k{instance}"));
    let response = ask(deployment.instances[instance].call_address(), &call).await;
    response.is_some_and(|response| response.status == StatusCode::OK)
}

fn moved_routes() -> Vec<RouteSpec> {
    vec![RouteSpec::reads(READS, "/new/", "board")]
}

/// Guards against a daemon that misses a change because the store refuses it, in each way that it
/// can, while it serves the others.
#[tokio::test]
async fn a_daemon_refused_by_the_store_receives_changes_from_peers() {
    for mode in [DoorMode::Refusing, DoorMode::Cutting, DoorMode::Silent] {
        let mut deployment = deployed(&format!("away{mode:?}"), &["board", "board"]).await;
        deployment.instances[1].door.set(mode);
        deployment.write(&moved_routes());
        let is_known = || has_route(&deployment, 1, "/new/1");
        wait("the changed routes from another daemon", is_known).await;
    }
}

/// Guards against calls that fail while the store is unavailable to all daemons.
#[tokio::test]
async fn calls_succeed_without_the_store() {
    let deployment = deployed("down", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.door.set(DoorMode::Cutting);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for number in 0..20 {
        assert!(has_route(&deployment, number % 2, "/r/1").await);
    }
}

/// Guards against a change that is never received because the store compacted its history
/// meanwhile.
#[tokio::test]
async fn a_compacted_history_is_replaced_by_a_full_read() {
    let mut deployment = deployed("compact", &["board"]).await;
    deployment.instances[0].door.set(DoorMode::Cutting);
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.write(&moved_routes());
    deployment.store.compact();
    deployment.instances[0].door.set(DoorMode::Open);
    wait("the changed routes", || has_route(&deployment, 0, "/new/1")).await;
}

/// Guards against a wrong row when the store writes it and its response is lost: the daemon writes
/// again and finds its own row there.
#[tokio::test]
async fn a_row_whose_write_response_is_lost_is_correct() {
    let mut deployment = deployed("lostrow", &["board", "desk"]).await;
    deployment.instances[0].door.set(DoorMode::LosingAnswers);
    deployment.instances[0].stop_beating();
    deployment.instances[0].service = "cellar".to_owned();
    deployment.instances[0].say("ready").await;
    let row = || deployment.store.value("members", "n0");
    let is_written =
        || async { row().is_some_and(|row| String::from_utf8_lossy(&row).contains("\"cellar\"")) };
    wait("the changed row", is_written).await;
    deployment.instances[0].door.set(DoorMode::Open);
    wait("the correct row", is_written).await;
}

/// Guards against a document in an unknown format that replaces the table in force.
#[tokio::test]
async fn an_unreadable_document_is_ignored() {
    let mut deployment = deployed("unread", &["board"]).await;
    deployment.write_text(b"{\"version\": 99, \"routes\": 7}");
    deployment.store.put("members", "stranger", b"\xff\xfe");
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(has_route(&deployment, 0, "/r/1").await);
    deployment.write(&moved_routes());
    wait("the changed routes", || has_route(&deployment, 0, "/new/1")).await;
}

/// Guards against frequent polls of an idle daemon: every request to the store is billed, and polls
/// are held open.
#[tokio::test]
async fn an_idle_daemon_rarely_queries_the_store() {
    let deployment = deployed("idle", &["board"]).await;
    let before = deployment.instances[0].door.questions();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sent = deployment.instances[0].door.questions() - before;
    assert!(sent <= 1, "{sent} store requests in three idle seconds");
}

/// Guards against a daemon that is refused by the store and retries too often. Each refused request
/// is billed, and the daemon receives changes from peers meanwhile. At two requests a second by a
/// third of the daemons, refusals made up half of a day's requests.
#[tokio::test]
async fn a_refused_daemon_rarely_queries_the_store() {
    let mut deployment = deployed("refused", &["board", "board"]).await;
    deployment.instances[1].door.set(DoorMode::Refusing);
    // The polls that are held open end with these changes, and the following ones are refused.
    deployment.write(&board_routes());
    deployment.store.put("members", "stranger", b"{}");
    let before = deployment.instances[1].door.questions();
    tokio::time::sleep(Duration::from_secs(8)).await;
    let sent = deployment.instances[1].door.questions() - before;
    println!("{sent} store requests in eight seconds");
    assert!((10..=22).contains(&sent), "{sent} store requests in eight seconds");
    assert!(deployment.instances[1].is_ready().await);
}

/// Guards against a document whose route has an unknown kind. The whole deployment once responded
/// with 503 for a day because of one. That route is served at most once, and all others as usual.
#[tokio::test]
async fn a_route_of_an_unknown_kind_is_served_at_most_once() {
    let mut deployment = deployed("newkind", &["board", "board"]).await;
    let unknown_kind = RouteSpec { kind: "perhaps", ..RouteSpec::reads(ORDERS, "/p/", "board") };
    deployment.apply(&[unknown_kind, RouteSpec::reads(READS, "/r/", "board")]).await;
    let address = deployment.instances[0].call_address();
    let response = ask(address, &Call::read(READS, "/r/1", "k1")).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let response = ask(address, &Call::read(ORDERS, "/p/1", "k2")).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::LoseAnswer);
    }
    let response = ask(address, &Call::read(ORDERS, "/p/1", "k3")).await.expect("a response");
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    let runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
    assert_eq!(runs.filter(|run| run.id == "k3").count(), 1);
    let log = std::fs::read_to_string(deployment.instances[0].log()).expect("a log");
    assert!(log.contains("\"routing_substituted\"") && log.contains("routes.kind"));
}
