//! Pipelined requests, which a caller sends before it has the responses to earlier ones.

use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::time::{sleep, timeout};
use yuccarack_platform_standin::{
    caller::Call,
    deployment::{Deployment, RouteSpec, wait},
    pipelined_caller::PipelinedCaller,
    target::{Behaviour, Run},
};

use crate::support::{ORDERS, READS, deployed};

/// Most reads of a connection that run ahead of the one whose response is due.
const EARLY_MAX: usize = 8;

fn reads(count: usize, name: &str) -> Vec<Call> {
    (0..count).map(|number| Call::read(READS, "/r/1", &format!("{name}{number}"))).collect()
}

fn runs(deployment: &Deployment) -> Vec<Run> {
    deployment.instances.iter().flat_map(|instance| instance.target.runs()).collect()
}

fn has_started(deployment: &Deployment, id: &str) -> bool {
    runs(deployment).iter().any(|run| run.id == id)
}

async fn open(deployment: &Deployment) -> PipelinedCaller {
    PipelinedCaller::open(deployment.instances[0].call_address()).await.expect("a connection")
}

async fn deploy_with_service_time(name: &str, service_time: Duration) -> Deployment {
    let deployment = deployed(name, &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::Answer(service_time));
    }
    deployment
}

/// Guards against runs that go on after their caller has disconnected: a caller disconnects while
/// its pipelined reads run. While bytes of later requests are unread, the end of the connection
/// isn't seen by a read, so the first run would go on to its end and a further one could start.
#[tokio::test]
async fn a_caller_that_disconnects_frees_the_targets_despite_pipelined_reads() {
    let deployment = deploy_with_service_time("left", Duration::from_secs(4)).await;
    for (count, is_reset) in [(1, false), (2, false), (3, false), (8, false), (3, true)] {
        let name = format!("left{count}{is_reset}-");
        let mut caller = open(&deployment).await;
        caller.send(&reads(count, &name)).await.expect("sent");
        wait("the first run", || async { has_started(&deployment, &format!("{name}0")) }).await;
        sleep(Duration::from_millis(100)).await;
        let of_caller = || runs(&deployment).into_iter().filter(|run| run.id.starts_with(&name));
        let disconnected_at = Instant::now();
        if is_reset {
            caller.reset().expect("a reset")
        } else {
            drop(caller)
        }
        wait("all runs to be cancelled", || async { of_caller().all(|run| run.is_cut) }).await;
        assert!(
            disconnected_at.elapsed() < Duration::from_millis(500),
            "{count}: {:?}",
            disconnected_at.elapsed()
        );
        sleep(Duration::from_millis(700)).await;
        assert!(of_caller().all(|run| run.is_cut && run.began_at < disconnected_at), "{count}");
    }
}

/// Guards against pipelined reads that run one after the other though targets are idle: a page
/// consists of eight reads that a caller sends at once.
#[tokio::test]
async fn pipelined_reads_run_concurrently_and_get_responses_in_order() {
    let deployment = deploy_with_service_time("side", Duration::from_millis(300)).await;
    let mut caller = open(&deployment).await;
    let sent_at = Instant::now();
    caller.send(&reads(8, "s")).await.expect("sent");
    for number in 0..8 {
        let response = caller.next_answer().await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.body, format!("page of s{number}"));
    }
    assert!(sent_at.elapsed() < Duration::from_millis(1_000), "{:?}", sent_at.elapsed());
}

/// Guards against responses in the wrong order: the first of five reads takes longest, so targets
/// respond to the others before it.
#[tokio::test]
async fn responses_keep_the_order_of_requests_when_targets_respond_out_of_order() {
    let deployment = deploy_with_service_time("order", Duration::from_millis(5)).await;
    for round in 0..4 {
        for instance in &deployment.instances {
            instance.target.next(Behaviour::Answer(Duration::from_millis(250 - 40 * round)));
        }
        let mut caller = open(&deployment).await;
        let name = format!("o{round}-");
        caller.send(&reads(5, &name)).await.expect("sent");
        for number in 0..5 {
            let response = caller.next_answer().await.expect("a response");
            assert_eq!(response.body, format!("page of {name}{number}"));
            assert_eq!(response.request_id(), format!("{name}{number}"));
        }
    }
}

/// Guards against pipelined orders that start early: if the response to an earlier request closes
/// the connection, the caller sends the order again, and it could run twice. A read behind the
/// order may depend on it, so it must wait too.
#[tokio::test]
async fn an_order_and_later_requests_wait_for_earlier_responses() {
    let deployment = deploy_with_service_time("orders", Duration::from_millis(250)).await;
    let mut caller = open(&deployment).await;
    let read = |id| Call::read(READS, "/r/1", id);
    let calls = [read("a1"), Call::order(ORDERS, "/o/1", "a2"), read("a3"), read("a4")];
    let sent_at = Instant::now();
    caller.send(&calls).await.expect("sent");
    for id in ["a1", "a2", "a3", "a4"] {
        assert_eq!(caller.next_answer().await.expect("a response").body, format!("page of {id}"));
    }
    let all = runs(&deployment);
    let start_of = |id: &str| all.iter().find(|run| run.id == id).expect("a run").began_at;
    assert!(start_of("a2") >= sent_at + Duration::from_millis(250), "the order started early");
    assert!(
        start_of("a3") >= start_of("a2") + Duration::from_millis(250),
        "the read started before the order ended"
    );
    assert!(
        start_of("a4") < start_of("a3") + Duration::from_millis(200),
        "the last read waited for the one before it"
    );
}

/// Guards against a failure that spreads to later reads: the first of some pipelined reads is shed,
/// fails or loses its response.
#[tokio::test]
async fn a_failed_read_does_not_affect_later_ones() {
    let deployment = deployed("bad", &["board"]).await;
    for behaviour in [Behaviour::Shed, Behaviour::Fail, Behaviour::LoseAnswer, Behaviour::CutBody] {
        deployment.instances[0].target.behave(Behaviour::Answer(Duration::from_millis(20)));
        deployment.instances[0].target.next(behaviour);
        let name = format!("b{behaviour:?}-");
        let mut caller = open(&deployment).await;
        caller.send(&reads(4, &name)).await.expect("sent");
        let mut served = 0;
        for number in 0..4 {
            let response = caller.next_answer().await.expect("a response");
            if response.status.is_success() {
                assert_eq!(response.body, format!("page of {name}{number}"));
                served += 1;
            }
        }
        assert!(served >= 3, "{behaviour:?}: {served} of 4 served");
    }
}

/// Guards against requests that run though they count as unread: a read asks to close the
/// connection, so the caller sends the requests behind it again.
#[tokio::test]
async fn nothing_runs_after_a_request_that_closes_the_connection() {
    let deployment = deploy_with_service_time("closes", Duration::from_millis(200)).await;
    let mut caller = open(&deployment).await;
    let last = Call::read(READS, "/r/1 HTTP/1.1\r\nConnection: close\r\nX-Rest:", "c1");
    caller.send(&[last, Call::read(READS, "/r/1", "c2")]).await.expect("sent");
    assert_eq!(caller.next_answer().await.expect("a response").status, StatusCode::OK);
    assert!(caller.next_answer().await.is_none());
    assert!(!has_started(&deployment, "c2"));
}

/// Guards against an order that runs after its caller has given up: an order waits behind a long
/// read on the connection. Its deadline counts from its arrival and not from the end of the read.
#[tokio::test]
async fn the_deadline_of_a_request_counts_from_its_arrival() {
    let deployment = deploy_with_service_time("time", Duration::from_millis(600)).await;
    let mut caller = open(&deployment).await;
    let order = Call { left_ms: 400, ..Call::order(ORDERS, "/o/1", "t2") };
    caller.send(&[Call::read(READS, "/r/1", "t1"), order]).await.expect("sent");
    assert_eq!(caller.next_answer().await.expect("a response").status, StatusCode::OK);
    let response = caller.next_answer().await.expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!has_started(&deployment, "t2"));
}

/// Guards against one connection that takes all slots: a caller pipelines two dozen reads. Started
/// all at once they would keep out callers that send one request at a time.
#[tokio::test]
async fn one_connection_starts_a_limited_number_of_reads_at_once() {
    let deployment = deploy_with_service_time("crowd", Duration::from_millis(300)).await;
    let mut caller = open(&deployment).await;
    caller.send(&reads(24, "f")).await.expect("sent");
    sleep(Duration::from_millis(200)).await;
    let started = runs(&deployment).len();
    assert!((2..=1 + EARLY_MAX).contains(&started), "{started} reads started at once");
    for number in 0..24 {
        let response = timeout(Duration::from_secs(8), caller.next_answer()).await;
        let response = response.expect("in time").expect("a response");
        assert!(
            response.status.is_success() || response.promises_not_run(),
            "{number}: {}",
            response.status
        );
    }
}

/// Guards against a stopping daemon that drops running reads: its responses announce that the
/// connection closes. With the first response, this would cut off the later reads, which already
/// run.
#[tokio::test]
async fn a_stopping_daemon_responds_to_all_running_reads() {
    let mut deployment = deploy_with_service_time("stops", Duration::from_millis(3_200)).await;
    let route = RouteSpec { wait_max_ms: 6_000, ..RouteSpec::reads(READS, "/r/", "board") };
    deployment.apply(&[route]).await;
    let mut caller = open(&deployment).await;
    let calls: Vec<Call> =
        reads(5, "e").into_iter().map(|call| Call { left_ms: 6_000, ..call }).collect();
    caller.send(&calls).await.expect("sent");
    wait("all reads to start", || async { runs(&deployment).len() == 5 }).await;
    let mut daemon = deployment.instances[0].daemon.take().expect("a daemon");
    daemon.terminate();
    for number in 0..5 {
        let response = caller.next_answer().await.expect("a response");
        assert_eq!(response.body, format!("page of e{number}"));
    }
    assert!(caller.next_answer().await.is_none(), "the connection stays open");
    let status = timeout(Duration::from_secs(6), daemon.ended()).await;
    assert!(status.expect("an exit in time").expect("a status").success());
}

/// Guards against unbounded memory: a caller pipelines reads without end and reads no response. The
/// daemon must stop reading from the connection, so that the caller can't write any more.
#[tokio::test]
async fn a_caller_that_sends_without_reading_is_throttled() {
    let deployment = deploy_with_service_time("endless", Duration::from_millis(1_200)).await;
    let mut caller = open(&deployment).await;
    let many = reads(2_000, "n");
    let mut sent = 0;
    while sent < 400 && timeout(Duration::from_millis(300), caller.send(&many)).await.is_ok() {
        sent += 1;
    }
    assert!(sent < 400, "about {} MB were accepted", sent * many.len() / 10_000);
    let daemon = deployment.instances[0].daemon.as_ref().expect("a daemon");
    let peak_kib = daemon.memory_most_kib().expect("the peak memory");
    assert!(peak_kib < 40 * 1024, "{peak_kib} KiB");
}
