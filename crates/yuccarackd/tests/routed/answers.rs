//! Faulty behaviour of targets never reaches a caller as a valid response.

use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::task::JoinSet;
use yuccarack_platform_standin::{
    caller::{Call, KeepAliveConnection, send_call},
    deployment::{RouteSpec, wait_until},
    target::Behaviour,
};

use crate::support::{ORDERS, READS, deployed};

/// Guards against a caller that gets another caller's page: a target sends a second response to a
/// request, which arrives where the response to the next request on the connection is due. The
/// request ID in the response tells them apart.
#[tokio::test]
async fn a_second_response_reaches_no_caller() {
    let deployment = deployed("second", &["board"]).await;
    let instance = &deployment.instances[0];
    for (number, after_ms) in [0, 5, 40].into_iter().enumerate() {
        instance.target.queue_behaviour(Behaviour::RespondTwice(Duration::from_millis(after_ms)));
        for step in 0..6 {
            let id = format!("a{number}-{step}");
            let response =
                send_call(instance.call_address(), &Call::read(READS, "/r/1", &id)).await;
            let response = response.expect("a response");
            if response.status.is_success() {
                assert_eq!(response.body, format!("page of {id}"));
            }
        }
    }
}

/// Guards against broken responses that look complete: a target breaks off its response or sends
/// bytes that are none. An order, which has run, must fail with 502 and run once.
#[tokio::test]
async fn broken_responses_are_never_forwarded() {
    let deployment = deployed("broken", &["board", "board"]).await;
    let broken = [
        Behaviour::TruncateBody,
        Behaviour::WrongId,
        Behaviour::Encoded,
        Behaviour::Garbage,
        Behaviour::ResetBeforeResponse,
        Behaviour::UnframedReset,
    ];
    for behaviour in broken {
        for instance in &deployment.instances {
            instance.target.set_behaviour(behaviour);
        }
        let id = format!("b-{behaviour:?}");
        let call = Call::order(ORDERS, "/o/1", &id);
        let response =
            send_call(deployment.instances[0].call_address(), &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert!(response.body.is_empty() && response.signature().is_empty());
        let runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
        assert_eq!(runs.filter(|run| run.id == id).count(), 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn a_read_with_a_broken_response_is_served_by_another_target() {
    let deployment = deployed("again", &["board", "board"]).await;
    for behaviour in [Behaviour::TruncateBody, Behaviour::Garbage, Behaviour::ResetBeforeResponse] {
        let id = format!("c-{behaviour:?}");
        for instance in &deployment.instances {
            instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(5)));
        }
        deployment.instances[0].target.set_behaviour(behaviour);
        for number in 0..6 {
            let call = Call::read(READS, "/r/1", &format!("{id}-{number}"));
            let response = send_call(deployment.instances[1].call_address(), &call).await;
            assert_eq!(response.expect("a response").status, StatusCode::OK, "{behaviour:?}");
        }
    }
}

#[tokio::test]
async fn a_response_without_a_length_is_complete_at_an_orderly_close() {
    let deployment = deployed("unframed", &["board"]).await;
    deployment.instances[0].target.set_behaviour(Behaviour::Unframed);
    let call = Call::order(ORDERS, "/o/1", "d1");
    let response =
        send_call(deployment.instances[0].call_address(), &call).await.expect("a response");
    assert_eq!(
        (response.status, response.body.as_ref()),
        (StatusCode::OK, b"page of d1".as_slice())
    );
}

/// Guards against requests that are parsed as part of an earlier body: a target responds to a long
/// order before it has read it, and would read the next request on the connection as the rest of
/// the body.
#[tokio::test]
async fn the_rest_of_a_body_is_never_parsed_as_a_request() {
    let deployment = deployed("early", &["board"]).await;
    let instance = &deployment.instances[0];
    instance.target.queue_behaviour(Behaviour::RespondEarly);
    let long = Call { body: vec![b'x'; 2_000_000].into(), ..Call::order(ORDERS, "/o/1", "e1") };
    let _ = send_call(instance.call_address(), &long).await;
    for number in 0..5 {
        let id = format!("e-{number}");
        let response = send_call(instance.call_address(), &Call::read(READS, "/r/1", &id)).await;
        assert_eq!(response.expect("a response").body, format!("page of {id}"));
    }
    let is_known_line =
        |line: &str| line.starts_with("GET /r/1 ") || line.starts_with("POST /o/1 ");
    assert!(instance.target.runs().iter().all(|run| is_known_line(&run.request_line)));
}

/// Guards against a slow target that is taken for dead: a target reads the rest of a long order
/// late, by more than a second. Its connection is intact, so the order must arrive and not end as
/// unknown.
#[tokio::test]
async fn a_long_body_waits_for_a_target_that_reads_late() {
    let mut deployment = deployed("late", &["board", "board"]).await;
    let route = RouteSpec { wait_max_ms: 9_000, ..RouteSpec::orders(ORDERS, "/o/", "board") };
    deployment.apply(&[route]).await;
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::ReadBodyLate(Duration::from_millis(1_500)));
    }
    let body = vec![b'x'; 12_000_000].into();
    let long = Call { body, deadline_ms: 9_000, ..Call::order(ORDERS, "/o/1", "r1") };
    let response =
        send_call(deployment.instances[0].call_address(), &long).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against orders that are lost on a stale connection: a target drops an idle connection
/// without notice, and the next request sent on it is reset.
#[tokio::test]
async fn an_order_is_not_sent_over_a_stale_connection() {
    let deployment = deployed("forgotten", &["board"]).await;
    let instance = &deployment.instances[0];
    send_call(instance.call_address(), &Call::read(READS, "/r/1", "f0")).await.expect("a response");
    instance.target.set_behaviour(Behaviour::ResetReused);
    for number in 0..5 {
        let call = Call::order(ORDERS, "/o/1", &format!("f-{number}"));
        let response = send_call(instance.call_address(), &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// Guards against calls without an end: a target runs a request and never responds. The caller gets
/// a final response within the longest wait of the route, and the run is cancelled to free the
/// slot.
#[tokio::test]
async fn a_call_to_a_hanging_target_ends_in_time() {
    let mut deployment = deployed("hang", &["board"]).await;
    let route = RouteSpec { wait_max_ms: 400, ..RouteSpec::orders(ORDERS, "/o/", "board") };
    deployment.apply(&[route, RouteSpec::reads(READS, "/r/", "board")]).await;
    let instance = &deployment.instances[0];
    instance.target.queue_behaviour(Behaviour::Hang);
    let sent_at = Instant::now();
    let call = Call::order(ORDERS, "/o/1", "g1");
    let response = send_call(instance.call_address(), &call).await.expect("a response");
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(sent_at.elapsed() < Duration::from_millis(900), "{:?}", sent_at.elapsed());
    let is_cut = || async { instance.target.runs().iter().any(|run| run.is_disconnected) };
    wait_until("the run at the target to be cancelled", is_cut).await;
}

/// Guards against requests that hold a slot after their caller has disconnected.
#[tokio::test]
async fn a_caller_that_disconnects_frees_the_target() {
    let deployment = deployed("gone", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(Duration::from_secs(30)));
    }
    let address = deployment.instances[0].call_address();
    let mut connection = KeepAliveConnection::open(address).await.expect("a connection");
    let call = Call::read(READS, "/r/1", "h1");
    let _ = tokio::time::timeout(Duration::from_millis(200), connection.send(&call)).await;
    drop(connection);
    let disconnected_at = Instant::now();
    let runs = || deployment.instances.iter().flat_map(|instance| instance.target.runs());
    let is_cut = || async { runs().any(|run| run.is_disconnected) };
    wait_until("the run to be cancelled", is_cut).await;
    assert!(
        disconnected_at.elapsed() < Duration::from_millis(500),
        "{:?}",
        disconnected_at.elapsed()
    );
}

/// Guards against a shed request that ends as unknown: a target responds that it didn't execute the
/// request, so the caller must get a 503 with `Retry-After`.
#[tokio::test]
async fn a_request_that_its_target_sheds_has_not_run() {
    let deployment = deployed("misdirected", &["board"]).await;
    deployment.instances[0].target.set_behaviour(Behaviour::Shed);
    let call = Call::order(ORDERS, "/o/1", "i1");
    let response =
        send_call(deployment.instances[0].call_address(), &call).await.expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!response.header("retry-after").is_empty());
    assert!(deployment.instances[0].target.runs().is_empty());
}

/// Guards against callers that come back earlier than a target which sheds requests asks for.
#[tokio::test]
async fn the_retry_after_of_a_target_that_sheds_is_passed_on() {
    let deployment = deployed("shedfor", &["board"]).await;
    let shed = Behaviour::ShedFor(Duration::from_millis(1_250));
    deployment.instances[0].target.set_behaviour(shed);
    let call = Call::read(READS, "/r/1", "i1");
    let response =
        send_call(deployment.instances[0].call_address(), &call).await.expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.header("retry-after"), "1.250");
}

/// Guards against leaked slots: callers wait for a slot and disconnect at any time, some of them
/// just when the slot is assigned. With each leak the target would run fewer requests, until it
/// gets none.
#[tokio::test]
async fn a_slot_assigned_to_a_disconnected_caller_is_released() {
    let deployment = deployed("turns", &["board"]).await;
    let instance = &deployment.instances[0];
    instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(40)));
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..40 {
        let address = instance.call_address();
        callers.spawn(async move {
            for step in 0..30 {
                let mut connection =
                    KeepAliveConnection::open(address).await.expect("a connection");
                let call = Call::read(READS, "/r/1", &format!("t{caller}-{step}"));
                let timeout_after = Duration::from_millis(20 + (caller * 7 + step * 13) % 140);
                let _ = tokio::time::timeout(timeout_after, connection.send(&call)).await;
            }
        });
    }
    while callers.join_next().await.is_some() {}
    tokio::time::sleep(Duration::from_millis(500)).await;
    instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(600)));
    let requests_before = instance.target.runs().len();
    let mut crowd = tokio::task::JoinSet::new();
    for number in 0..7 {
        let address = instance.call_address();
        crowd.spawn(async move {
            send_call(address, &Call::read(READS, "/r/1", &format!("u{number}"))).await
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(instance.target.runs().len() - requests_before, 7, "slots that run at once");
}

/// Guards against an uninformative 502: a read fails at its first target and is shed by the other
/// one. The caller must get the first target's own 500.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_error_response_is_forwarded_if_no_other_target_accepts_the_request() {
    let deployment = deployed("failure", &["board", "board"]).await;
    deployment.instances[0].target.set_behaviour(Behaviour::Fail);
    deployment.instances[1].target.set_behaviour(Behaviour::Shed);
    for number in 0..4 {
        let call = Call::read(READS, "/r/1", &format!("failed-{number}"));
        let response =
            send_call(deployment.instances[0].call_address(), &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR, "{response:?}");
        assert_eq!(response.signature(), format!("stamp-of-failed-{number}"));
    }
}

/// Guards against requests that are lost at a full target: some targets reset a request beyond
/// their slots, or never respond to it and to anything else on that connection. Five times as many
/// requests as a target has slots arrive at once from two entries, and the gate must keep within
/// the slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_never_gets_more_requests_than_slots() {
    let deployment = deployed("overflow", &["board", "desk"]).await;
    let target = &deployment.instances[0].target;
    let service_time = Duration::from_millis(60);
    for behaviour in
        [Behaviour::RespondOrHang(service_time), Behaviour::RespondOrReset(service_time)]
    {
        target.set_behaviour(behaviour);
        let mut calls = JoinSet::new();
        for number in 0..45 {
            let address = deployment.instances[number % 2].call_address();
            let call = Call::read(READS, "/r/1", &format!("o{behaviour:?}{number}"));
            calls.spawn(
                async move { send_call(address, &call).await.map(|response| response.status) },
            );
        }
        while let Some(status) = calls.join_next().await {
            let status = status.expect("a call").expect("a response");
            let is_known = matches!(status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE);
            assert!(is_known, "{behaviour:?}: {status}");
        }
    }
    assert_eq!(target.overflows(), 0);
}

/// Guards against reads that are admitted at a slow target: a target with few requests becomes four
/// times slower while one of them runs, and no response reports this for 600 ms. A health check
/// must report it to the gate, so that reads go to another target, which serves them in 5 ms. An
/// idle target gets no health checks.
#[tokio::test]
async fn a_target_that_slows_down_between_responses_is_avoided() {
    let deployment = deployed("slowspell", &["board", "board"]).await;
    let first = &deployment.instances[0];
    let read = |id: &str| Call::read(READS, "/r/1", id);
    send_call(first.call_address(), &read("p0")).await.expect("a response");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let checks_when_idle = first.target.health_checks();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(first.target.health_checks(), checks_when_idle, "health check of an idle target");
    first.target.set_slowdown_percent(400);
    first.target.queue_behaviour(Behaviour::Respond(Duration::from_millis(600)));
    let address = first.call_address();
    let long =
        tokio::spawn(async move { send_call(address, &Call::read(READS, "/r/1", "p1")).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(first.target.health_checks() > checks_when_idle, "no health check of a working target");
    let requests_before = first.target.requests();
    for number in 0..5 {
        let response = send_call(address, &read(&format!("q{number}"))).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(first.target.requests(), requests_before, "reads were admitted at a slow target");
    long.await.expect("a task").expect("a response");
}
