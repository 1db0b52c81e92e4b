//! Store troubles: who hears of changes, and who goes on.

use std::time::Duration;

use http::StatusCode;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, RouteSpec, wait},
    store::DoorMode,
    target::Behaviour,
};

use crate::support::{ORDERS, READS, board_routes, deployed};

/// Whether the routes of `instance` have a route for `path`.
async fn knows(deployment: &Deployment, instance: usize, path: &str) -> bool {
    let call = Call::read(READS, path, &format!("k{instance}"));
    let told = ask(deployment.instances[instance].call_address(), &call).await;
    told.is_some_and(|told| told.status == StatusCode::OK)
}

fn moved() -> Vec<RouteSpec> {
    vec![RouteSpec::reads(READS, "/new/", "board")]
}

/// Story: the store turns one daemon away, in each way that it can, and serves the others while the
/// routes change. That daemon hears of the change from them.
#[tokio::test]
async fn a_daemon_that_the_store_turns_away_hears_from_others() {
    for mode in [DoorMode::Refusing, DoorMode::Cutting, DoorMode::Silent] {
        let mut deployment = deployed(&format!("away{mode:?}"), &["board", "board"]).await;
        deployment.instances[1].door.set(mode);
        deployment.write(&moved());
        let is_known = || knows(&deployment, 1, "/new/1");
        wait("the changed routes by way of another daemon", is_known).await;
    }
}

/// Story: the store is away for all. Calls go on by what is known.
#[tokio::test]
async fn calls_go_on_without_the_store() {
    let deployment = deployed("down", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.door.set(DoorMode::Cutting);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for number in 0..20 {
        assert!(knows(&deployment, number % 2, "/r/1").await);
    }
}

/// Story: the store forgets its history while the routes change; whoever follows by changes alone
/// never hears of it.
#[tokio::test]
async fn a_forgotten_history_is_made_up_for() {
    let mut deployment = deployed("compact", &["board"]).await;
    deployment.instances[0].door.set(DoorMode::Cutting);
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.write(&moved());
    deployment.store.compact();
    deployment.instances[0].door.set(DoorMode::Open);
    wait("the changed routes", || knows(&deployment, 0, "/new/1")).await;
}

/// Story: the store writes the row of a new instance and loses its answer. The daemon asks again,
/// finds its own row there, and the row is right in the end.
#[tokio::test]
async fn a_row_whose_answer_is_lost_stands_all_the_same() {
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
    wait("a right row", is_written).await;
}

/// Story: an operator's document in a form that nobody knows. What was in force stays.
#[tokio::test]
async fn a_document_that_can_not_be_read_is_kept_out() {
    let mut deployment = deployed("unread", &["board"]).await;
    deployment.write_text(b"{\"version\": 99, \"routes\": 7}");
    deployment.store.put("members", "stranger", b"\xff\xfe");
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(knows(&deployment, 0, "/r/1").await);
    deployment.write(&moved());
    wait("the changed routes", || knows(&deployment, 0, "/new/1")).await;
}

/// Story: an idle daemon follows the store by questions that are held back; each is paid for.
#[tokio::test]
async fn an_idle_daemon_asks_the_store_seldom() {
    let deployment = deployed("idle", &["board"]).await;
    let before = deployment.instances[0].door.questions();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let asked = deployment.instances[0].door.questions() - before;
    assert!(asked <= 1, "{asked} questions in three idle seconds");
}

/// Story: the store turns a daemon away for seconds. Each refused question is paid for, and the daemon
/// serves by what it knows and hears from others meanwhile; asked twice a second by a third of the
/// daemons, refusals were half of a day's questions.
#[tokio::test]
async fn a_daemon_that_is_turned_away_asks_the_store_seldom() {
    let mut deployment = deployed("refused", &["board", "board"]).await;
    deployment.instances[1].door.set(DoorMode::Refusing);
    // The questions that are held back are answered, and refused.
    deployment.write(&board_routes());
    deployment.store.put("members", "stranger", b"{}");
    let before = deployment.instances[1].door.questions();
    tokio::time::sleep(Duration::from_secs(8)).await;
    let asked = deployment.instances[1].door.questions() - before;
    println!("{asked} questions in eight seconds");
    assert!((10..=22).contains(&asked), "{asked} questions in eight seconds");
    assert!(deployment.instances[1].is_ready().await);
}

/// Story: operators use a word for a kind of route that no daemon knows. The whole deployment answered
/// 503 for a day because of it. The route is served, at most once, and so are all others.
#[tokio::test]
async fn a_route_of_a_kind_that_is_not_known_is_served_at_most_once() {
    let mut deployment = deployed("newkind", &["board", "board"]).await;
    let strange = RouteSpec { kind: "perhaps", ..RouteSpec::reads(ORDERS, "/p/", "board") };
    deployment.apply(&[strange, RouteSpec::reads(READS, "/r/", "board")]).await;
    let address = deployment.instances[0].call_address();
    let told = ask(address, &Call::read(READS, "/r/1", "k1")).await.expect("an answer");
    assert_eq!(told.status, StatusCode::OK);
    let told = ask(address, &Call::read(ORDERS, "/p/1", "k2")).await.expect("an answer");
    assert_eq!(told.status, StatusCode::OK);
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::LoseAnswer);
    }
    let told = ask(address, &Call::read(ORDERS, "/p/1", "k3")).await.expect("an answer");
    assert_eq!(told.status, StatusCode::BAD_GATEWAY);
    let runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
    assert_eq!(runs.filter(|run| run.id == "k3").count(), 1);
    let log = std::fs::read_to_string(deployment.instances[0].log()).expect("a log");
    assert!(log.contains("\"routing_substituted\"") && log.contains("routes.kind"));
}
