//! Requests that a caller sends before its earlier ones are answered.

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

/// Most reads of a connection that run beside the one that is answered.
const EARLY_MAX: usize = 8;

fn reads(count: usize, name: &str) -> Vec<Call> {
    (0..count).map(|number| Call::read(READS, "/r/1", &format!("{name}{number}"))).collect()
}

fn runs(deployment: &Deployment) -> Vec<Run> {
    deployment.instances.iter().flat_map(|instance| instance.target.runs()).collect()
}

fn has_begun(deployment: &Deployment, id: &str) -> bool {
    runs(deployment).iter().any(|run| run.id == id)
}

async fn open(deployment: &Deployment) -> PipelinedCaller {
    PipelinedCaller::open(deployment.instances[0].call_address()).await.expect("a connection")
}

async fn behaving(name: &str, work: Duration) -> Deployment {
    let deployment = deployed(name, &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::Answer(work));
    }
    deployment
}

/// Story: a caller leaves while its reads run, some of them sent ahead on its connection. While bytes
/// of the further ones were unread, nobody looked whether the connection had ended: the first run
/// went on to its end, and with three sent ahead another began after the caller had gone.
#[tokio::test]
async fn a_caller_that_leaves_frees_the_targets_whatever_it_sent_ahead() {
    let deployment = behaving("left", Duration::from_secs(4)).await;
    for (count, is_reset) in [(1, false), (2, false), (3, false), (8, false), (3, true)] {
        let name = format!("left{count}{is_reset}-");
        let mut caller = open(&deployment).await;
        caller.send(&reads(count, &name)).await.expect("sent");
        wait("the first run", || async { has_begun(&deployment, &format!("{name}0")) }).await;
        sleep(Duration::from_millis(100)).await;
        let of_caller = || runs(&deployment).into_iter().filter(|run| run.id.starts_with(&name));
        let left_at = Instant::now();
        if is_reset {
            caller.reset().expect("a reset")
        } else {
            drop(caller)
        }
        wait("all runs to be cut", || async { of_caller().all(|run| run.is_cut) }).await;
        assert!(left_at.elapsed() < Duration::from_millis(500), "{count}: {:?}", left_at.elapsed());
        sleep(Duration::from_millis(700)).await;
        assert!(of_caller().all(|run| run.is_cut && run.began_at < left_at), "{count}");
    }
}

/// Story: a page is made of eight reads that a caller sends behind each other. Each waited for the
/// whole run of those before it, though targets stood idle.
#[tokio::test]
async fn reads_sent_ahead_run_side_by_side_and_are_answered_in_order() {
    let deployment = behaving("side", Duration::from_millis(300)).await;
    let mut caller = open(&deployment).await;
    let sent_at = Instant::now();
    caller.send(&reads(8, "s")).await.expect("sent");
    for number in 0..8 {
        let told = caller.next_answer().await.expect("an answer");
        assert_eq!(told.status, StatusCode::OK);
        assert_eq!(told.body, format!("page of s{number}"));
    }
    assert!(sent_at.elapsed() < Duration::from_millis(1_000), "{:?}", sent_at.elapsed());
}

/// Story: the first of five reads takes longest, so targets answer the others before it. Their
/// answers must not be taken for the first one's.
#[tokio::test]
async fn answers_keep_the_order_of_the_requests_when_targets_do_not() {
    let deployment = behaving("order", Duration::from_millis(5)).await;
    for round in 0..4 {
        for instance in &deployment.instances {
            instance.target.next(Behaviour::Answer(Duration::from_millis(250 - 40 * round)));
        }
        let mut caller = open(&deployment).await;
        let name = format!("o{round}-");
        caller.send(&reads(5, &name)).await.expect("sent");
        for number in 0..5 {
            let told = caller.next_answer().await.expect("an answer");
            assert_eq!(told.body, format!("page of {name}{number}"));
            assert_eq!(told.request_id(), format!("{name}{number}"));
        }
    }
}

/// Story: a caller sends a read, an order and another read behind each other. If the first answer
/// closed the connection, the caller would send the order again, so an order that was started early
/// could run twice; and the read behind the order may depend on it.
#[tokio::test]
async fn an_order_and_what_follows_it_wait_for_their_turn() {
    let deployment = behaving("orders", Duration::from_millis(250)).await;
    let mut caller = open(&deployment).await;
    let read = |id| Call::read(READS, "/r/1", id);
    let calls = [read("a1"), Call::order(ORDERS, "/o/1", "a2"), read("a3"), read("a4")];
    let sent_at = Instant::now();
    caller.send(&calls).await.expect("sent");
    for id in ["a1", "a2", "a3", "a4"] {
        assert_eq!(caller.next_answer().await.expect("an answer").body, format!("page of {id}"));
    }
    let all = runs(&deployment);
    let began = |id: &str| all.iter().find(|run| run.id == id).expect("a run").began_at;
    assert!(began("a2") >= sent_at + Duration::from_millis(250), "the order began early");
    assert!(began("a3") >= began("a2") + Duration::from_millis(250), "the read overtook the order");
    assert!(began("a4") < began("a3") + Duration::from_millis(200), "the last read waited");
}

/// Story: the first of some reads is turned away, fails or loses its answer. The others are not
/// its business.
#[tokio::test]
async fn a_read_that_ends_badly_spoils_none_behind_it() {
    let deployment = deployed("bad", &["board"]).await;
    for behaviour in [Behaviour::Shed, Behaviour::Fail, Behaviour::LoseAnswer, Behaviour::CutBody] {
        deployment.instances[0].target.behave(Behaviour::Answer(Duration::from_millis(20)));
        deployment.instances[0].target.next(behaviour);
        let name = format!("b{behaviour:?}-");
        let mut caller = open(&deployment).await;
        caller.send(&reads(4, &name)).await.expect("sent");
        let mut served = 0;
        for number in 0..4 {
            let told = caller.next_answer().await.expect("an answer");
            if told.status.is_success() {
                assert_eq!(told.body, format!("page of {name}{number}"));
                served += 1;
            }
        }
        assert!(served >= 3, "{behaviour:?}: {served} of 4 served");
    }
}

/// Story: a first read closes the connection by its own wish. What was sent behind it counts as not
/// read and comes again, so nothing of it may go on running.
#[tokio::test]
async fn nothing_runs_behind_a_request_that_closes_the_connection() {
    let deployment = behaving("closes", Duration::from_millis(200)).await;
    let mut caller = open(&deployment).await;
    let last = Call::read(READS, "/r/1 HTTP/1.1\r\nConnection: close\r\nX-Rest:", "c1");
    caller.send(&[last, Call::read(READS, "/r/1", "c2")]).await.expect("sent");
    assert_eq!(caller.next_answer().await.expect("an answer").status, StatusCode::OK);
    assert!(caller.next_answer().await.is_none());
    assert!(!has_begun(&deployment, "c2"));
}

/// Story: a read takes long and an order waits behind it on the connection. Its caller's time runs
/// from when the order came, not from when its turn comes: an order that began so late would run for
/// nobody.
#[tokio::test]
async fn the_time_of_a_request_runs_while_it_waits_for_its_turn() {
    let deployment = behaving("time", Duration::from_millis(600)).await;
    let mut caller = open(&deployment).await;
    let order = Call { left_ms: 400, ..Call::order(ORDERS, "/o/1", "t2") };
    caller.send(&[Call::read(READS, "/r/1", "t1"), order]).await.expect("sent");
    assert_eq!(caller.next_answer().await.expect("an answer").status, StatusCode::OK);
    let told = caller.next_answer().await.expect("an answer");
    assert_eq!(told.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!has_begun(&deployment, "t2"));
}

/// Story: a caller sends two dozen reads behind each other. Started all at once they would hold every
/// slot of the targets against the callers that send one at a time.
#[tokio::test]
async fn one_connection_starts_few_reads_at_once() {
    let deployment = behaving("crowd", Duration::from_millis(300)).await;
    let mut caller = open(&deployment).await;
    caller.send(&reads(24, "f")).await.expect("sent");
    sleep(Duration::from_millis(200)).await;
    let begun = runs(&deployment).len();
    assert!((2..=1 + EARLY_MAX).contains(&begun), "{begun} began at once");
    for number in 0..24 {
        let told = timeout(Duration::from_secs(8), caller.next_answer()).await;
        let told = told.expect("in time").expect("an answer");
        assert!(told.status.is_success() || told.promises_not_run(), "{number}: {}", told.status);
    }
}

/// Story: a daemon stops while a caller's reads run, some before their turn. Its answers say that the
/// connection closes; said with the first one, it would cut off the others, which run already.
#[tokio::test]
async fn a_stopping_daemon_answers_all_reads_that_run() {
    let mut deployment = behaving("stops", Duration::from_millis(3_200)).await;
    let route = RouteSpec { wait_max_ms: 6_000, ..RouteSpec::reads(READS, "/r/", "board") };
    deployment.apply(&[route]).await;
    let mut caller = open(&deployment).await;
    let calls: Vec<Call> =
        reads(5, "e").into_iter().map(|call| Call { left_ms: 6_000, ..call }).collect();
    caller.send(&calls).await.expect("sent");
    wait("all to begin", || async { runs(&deployment).len() == 5 }).await;
    let mut daemon = deployment.instances[0].daemon.take().expect("a daemon");
    daemon.terminate();
    for number in 0..5 {
        let told = caller.next_answer().await.expect("an answer");
        assert_eq!(told.body, format!("page of e{number}"));
    }
    assert!(caller.next_answer().await.is_none(), "the connection stays open");
    let status = timeout(Duration::from_secs(6), daemon.ended()).await;
    assert!(status.expect("an end in time").expect("a status").success());
}

/// Story: a caller sends reads ahead without end and reads no answer. What a daemon keeps of it is
/// bounded: it stops reading, so that the caller can't write any more.
#[tokio::test]
async fn a_caller_that_sends_without_end_is_held_up() {
    let deployment = behaving("endless", Duration::from_millis(1_200)).await;
    let mut caller = open(&deployment).await;
    let many = reads(2_000, "n");
    let mut sent = 0;
    while sent < 400 && timeout(Duration::from_millis(300), caller.send(&many)).await.is_ok() {
        sent += 1;
    }
    assert!(sent < 400, "some {} MB were taken", sent * many.len() / 10_000);
    let daemon = deployment.instances[0].daemon.as_ref().expect("a daemon");
    let most_kib = daemon.memory_most_kib().expect("its memory");
    assert!(most_kib < 40 * 1024, "{most_kib} KiB");
}
