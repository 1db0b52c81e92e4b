//! What targets do wrong never reaches a caller as an answer.

use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::task::JoinSet;
use yuccarack_platform_standin::{
    caller::{Call, KeptConnection, ask},
    deployment::{RouteSpec, wait},
    target::Behaviour,
};

use crate::support::{ORDERS, READS, deployed};

/// Story: a target sends a second answer to a request, and the next caller on that connection gets
/// somebody else's page. The answer's name tells whose it is.
#[tokio::test]
async fn a_second_answer_reaches_nobody() {
    let deployment = deployed("second", &["board"]).await;
    let instance = &deployment.instances[0];
    for (number, after_ms) in [0, 5, 40].into_iter().enumerate() {
        instance.target.next(Behaviour::AnswerTwice(Duration::from_millis(after_ms)));
        for step in 0..6 {
            let id = format!("a{number}-{step}");
            let told = ask(instance.call_address(), &Call::read(READS, "/r/1", &id)).await;
            let told = told.expect("an answer");
            if told.status.is_success() {
                assert_eq!(told.body, format!("page of {id}"));
            }
        }
    }
}

/// Story: a target breaks off its answer or sends what is none. A read is answered by another
/// target; an order, which has run, is told as broken, and a part of an answer never looks whole.
#[tokio::test]
async fn broken_answers_are_never_passed_on() {
    let deployment = deployed("broken", &["board", "board"]).await;
    let broken = [
        Behaviour::CutBody,
        Behaviour::WrongId,
        Behaviour::Encoded,
        Behaviour::Garbage,
        Behaviour::LoseAnswer,
        Behaviour::UnframedReset,
    ];
    for behaviour in broken {
        for instance in &deployment.instances {
            instance.target.behave(behaviour);
        }
        let id = format!("b-{behaviour:?}");
        let call = Call::order(ORDERS, "/o/1", &id);
        let told = ask(deployment.instances[0].call_address(), &call).await.expect("an answer");
        assert_eq!(told.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert!(told.body.is_empty() && told.signature().is_empty());
        let runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
        assert_eq!(runs.filter(|run| run.id == id).count(), 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn a_read_whose_answer_breaks_is_answered_by_another_target() {
    let deployment = deployed("again", &["board", "board"]).await;
    for behaviour in [Behaviour::CutBody, Behaviour::Garbage, Behaviour::LoseAnswer] {
        let id = format!("c-{behaviour:?}");
        for instance in &deployment.instances {
            instance.target.behave(Behaviour::Answer(Duration::from_millis(5)));
        }
        deployment.instances[0].target.behave(behaviour);
        for number in 0..6 {
            let call = Call::read(READS, "/r/1", &format!("{id}-{number}"));
            let told = ask(deployment.instances[1].call_address(), &call).await;
            assert_eq!(told.expect("an answer").status, StatusCode::OK, "{behaviour:?}");
        }
    }
}

#[tokio::test]
async fn an_answer_without_a_length_is_whole_at_its_orderly_end() {
    let deployment = deployed("unframed", &["board"]).await;
    deployment.instances[0].target.behave(Behaviour::Unframed);
    let call = Call::order(ORDERS, "/o/1", "d1");
    let told = ask(deployment.instances[0].call_address(), &call).await.expect("an answer");
    assert_eq!((told.status, told.body.as_ref()), (StatusCode::OK, b"page of d1".as_slice()));
}

/// Story: a target answers a long order before it has read it and goes on reading on that
/// connection. What the next request sends there would be read as the rest of the first one.
#[tokio::test]
async fn the_rest_of_a_body_is_never_another_request() {
    let deployment = deployed("early", &["board"]).await;
    let instance = &deployment.instances[0];
    instance.target.next(Behaviour::AnswerEarly);
    let long = Call { body: vec![b'x'; 2_000_000].into(), ..Call::order(ORDERS, "/o/1", "e1") };
    let _ = ask(instance.call_address(), &long).await;
    for number in 0..5 {
        let id = format!("e-{number}");
        let told = ask(instance.call_address(), &Call::read(READS, "/r/1", &id)).await;
        assert_eq!(told.expect("an answer").body, format!("page of {id}"));
    }
    let known = |line: &str| line.starts_with("GET /r/1 ") || line.starts_with("POST /o/1 ");
    assert!(instance.target.runs().iter().all(|run| known(&run.line)));
}

/// Story: a long order goes to a target that is busy for a second before it reads on. Its connection
/// stands, so the order must arrive; taken for dead, it would end as unknown.
#[tokio::test]
async fn a_long_body_waits_for_a_target_that_reads_late() {
    let mut deployment = deployed("late", &["board", "board"]).await;
    let route = RouteSpec { wait_max_ms: 9_000, ..RouteSpec::orders(ORDERS, "/o/", "board") };
    deployment.apply(&[route]).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::ReadLate(Duration::from_millis(1_500)));
    }
    let body = vec![b'x'; 12_000_000].into();
    let long = Call { body, left_ms: 9_000, ..Call::order(ORDERS, "/o/1", "r1") };
    let told = ask(deployment.instances[0].call_address(), &long).await.expect("an answer");
    assert_eq!(told.status, StatusCode::OK);
}

/// Story: a target drops an idle connection without a word, and what is sent next on it is reset.
/// An order must not be lost by that.
#[tokio::test]
async fn an_order_does_not_go_over_a_forgotten_connection() {
    let deployment = deployed("forgotten", &["board"]).await;
    let instance = &deployment.instances[0];
    ask(instance.call_address(), &Call::read(READS, "/r/1", "f0")).await.expect("an answer");
    instance.target.behave(Behaviour::ResetKept);
    for number in 0..5 {
        let call = Call::order(ORDERS, "/o/1", &format!("f-{number}"));
        let told = ask(instance.call_address(), &call).await.expect("an answer");
        assert_eq!(told.status, StatusCode::OK);
    }
}

/// Story: a target runs a request and never answers. Its caller gets a final answer within the
/// longest wait that operators gave the route, and the target's slot is free again.
#[tokio::test]
async fn a_target_that_hangs_is_answered_for_in_time() {
    let mut deployment = deployed("hang", &["board"]).await;
    let route = RouteSpec { wait_max_ms: 400, ..RouteSpec::orders(ORDERS, "/o/", "board") };
    deployment.apply(&[route, RouteSpec::reads(READS, "/r/", "board")]).await;
    let instance = &deployment.instances[0];
    instance.target.next(Behaviour::Hang);
    let asked_at = Instant::now();
    let call = Call::order(ORDERS, "/o/1", "g1");
    let told = ask(instance.call_address(), &call).await.expect("an answer");
    assert_eq!(told.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(asked_at.elapsed() < Duration::from_millis(900), "{:?}", asked_at.elapsed());
    let is_cut = || async { instance.target.runs().iter().any(|run| run.is_cut) };
    wait("the target to be let go", is_cut).await;
}

/// Story: a caller leaves. Its request must not go on using a slot that others want.
#[tokio::test]
async fn a_caller_that_leaves_frees_the_target() {
    let deployment = deployed("gone", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::Answer(Duration::from_secs(30)));
    }
    let address = deployment.instances[0].call_address();
    let mut connection = KeptConnection::open(address).await.expect("a connection");
    let call = Call::read(READS, "/r/1", "h1");
    let _ = tokio::time::timeout(Duration::from_millis(200), connection.ask(&call)).await;
    drop(connection);
    let left_at = Instant::now();
    let runs = || deployment.instances.iter().flat_map(|instance| instance.target.runs());
    let is_cut = || async { runs().any(|run| run.is_cut) };
    wait("the run to be cut", is_cut).await;
    assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
}

/// Story: a target answers another name's requests with 421 because its process was replaced; the
/// request did not run, and its caller may come back.
#[tokio::test]
async fn what_another_target_refuses_has_not_run() {
    let deployment = deployed("misdirected", &["board"]).await;
    deployment.instances[0].target.behave(Behaviour::Shed);
    let call = Call::order(ORDERS, "/o/1", "i1");
    let told = ask(deployment.instances[0].call_address(), &call).await.expect("an answer");
    assert_eq!(told.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!told.header("retry-after").is_empty());
    assert!(deployment.instances[0].target.runs().is_empty());
}

/// Story: callers wait for a slot and leave at all times, some of them just when their turn has come.
/// A slot that is given to one who has left must come back; after a minute of a crowd a target that
/// runs nothing would take nothing.
#[tokio::test]
async fn a_slot_given_to_one_who_left_comes_back() {
    let deployment = deployed("turns", &["board"]).await;
    let instance = &deployment.instances[0];
    instance.target.behave(Behaviour::Answer(Duration::from_millis(40)));
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..40 {
        let address = instance.call_address();
        callers.spawn(async move {
            for step in 0..30 {
                let mut connection = KeptConnection::open(address).await.expect("a connection");
                let call = Call::read(READS, "/r/1", &format!("t{caller}-{step}"));
                let patience = Duration::from_millis(20 + (caller * 7 + step * 13) % 140);
                let _ = tokio::time::timeout(patience, connection.ask(&call)).await;
            }
        });
    }
    while callers.join_next().await.is_some() {}
    tokio::time::sleep(Duration::from_millis(500)).await;
    instance.target.behave(Behaviour::Answer(Duration::from_millis(600)));
    let before = instance.target.runs().len();
    let mut crowd = tokio::task::JoinSet::new();
    for number in 0..7 {
        let address = instance.call_address();
        crowd.spawn(async move {
            ask(address, &Call::read(READS, "/r/1", &format!("u{number}"))).await
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(instance.target.runs().len() - before, 7, "slots that run at once");
}

/// A read fails at its first target and is sent to the other one, which turns it away. The caller
/// got a 502 that says nothing, though the first target's own 500 was there to be passed on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_targets_failure_is_passed_on_though_no_other_target_takes_the_request() {
    let deployment = deployed("failure", &["board", "board"]).await;
    deployment.instances[0].target.behave(Behaviour::Fail);
    deployment.instances[1].target.behave(Behaviour::Shed);
    for number in 0..4 {
        let call = Call::read(READS, "/r/1", &format!("failed-{number}"));
        let told = ask(deployment.instances[0].call_address(), &call).await.expect("an answer");
        assert_eq!(told.status, StatusCode::INTERNAL_SERVER_ERROR, "{told:?}");
        assert_eq!(told.signature(), format!("stamp-of-failed-{number}"));
    }
}

/// Targets of some services reset what comes when they are full, or never answer it, nor anything
/// else on that connection. Five times as many requests come at once as a target has slots, from two
/// entries; its gate is the only way in and never fills it, so none of them is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_is_never_filled_beyond_its_slots() {
    let deployment = deployed("overflow", &["board", "desk"]).await;
    let target = &deployment.instances[0].target;
    let work = Duration::from_millis(60);
    for behaviour in [Behaviour::AnswerOrHang(work), Behaviour::AnswerOrReset(work)] {
        target.behave(behaviour);
        let mut calls = JoinSet::new();
        for number in 0..45 {
            let address = deployment.instances[number % 2].call_address();
            let call = Call::read(READS, "/r/1", &format!("o{behaviour:?}{number}"));
            calls.spawn(async move { ask(address, &call).await.map(|told| told.status) });
        }
        while let Some(status) = calls.join_next().await {
            let status = status.expect("a call").expect("an answer");
            let is_known = matches!(status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE);
            assert!(is_known, "{behaviour:?}: {status}");
        }
    }
    assert_eq!(target.overflows(), 0);
}

/// Story: a target with few requests turns four times slower while one of them runs. No answer tells so
/// for 600 ms, and reads that another target would have answered in 5 ms were let in there. A look at
/// the target tells its gate, which sends them on; without work the target is left alone.
#[tokio::test]
async fn a_target_that_turns_slow_between_answers_is_passed_over() {
    let deployment = deployed("slowspell", &["board", "board"]).await;
    let first = &deployment.instances[0];
    let read = |id: &str| Call::read(READS, "/r/1", id);
    ask(first.call_address(), &read("p0")).await.expect("an answer");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let idle = first.target.looks();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(first.target.looks(), idle, "an idle target was asked");
    first.target.tell_pace(400);
    first.target.next(Behaviour::Answer(Duration::from_millis(600)));
    let address = first.call_address();
    let long = tokio::spawn(async move { ask(address, &Call::read(READS, "/r/1", "p1")).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(first.target.looks() > idle, "a working target was not asked");
    let before = first.target.requests();
    for number in 0..5 {
        let told = ask(address, &read(&format!("q{number}"))).await.expect("an answer");
        assert_eq!(told.status, StatusCode::OK);
    }
    assert_eq!(first.target.requests(), before, "reads were let in at a slow target");
    long.await.expect("a task").expect("an answer");
}
