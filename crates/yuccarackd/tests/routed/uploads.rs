//! Requests with large bodies, which are streamed, sent once and never buffered in full.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, RouteSpec, wait},
    target::{Behaviour, Run},
};

use crate::support::{READS, deployed};

/// Host of the uploads.
const UPLOADS: &str = "uploads.example";

/// Limit of a daemon's peak memory during uploads, in KiB.
const DAEMON_MEMORY_MAX_KIB: u64 = 60 * 1024;

async fn deploy_with_uploads(name: &str, services: &[&str]) -> Deployment {
    let mut deployment = deployed(name, services).await;
    let uploads = RouteSpec { wait_max_ms: 20_000, ..RouteSpec::uploads(UPLOADS, "/u/", "board") };
    deployment.apply(&[uploads, RouteSpec::reads(READS, "/r/", "board")]).await;
    deployment
}

fn upload(id: &str, body: Bytes) -> Call {
    Call { body, left_ms: 20_000, ..Call::order(UPLOADS, "/u/1", id) }
}

/// Returns a body without repetitions, so that its hash shows lost, repeated or swapped parts.
fn random_body(bytes: usize, salt: u64) -> Bytes {
    let words = (0..bytes as u64 / 8 + 1).map(|word| xxh3_64(&(word ^ salt).to_le_bytes()));
    let all: Vec<u8> = words.flat_map(u64::to_le_bytes).take(bytes).collect();
    all.into()
}

fn runs(deployment: &Deployment) -> Vec<Run> {
    deployment.instances.iter().flat_map(|instance| instance.target.runs()).collect()
}

/// Guards against an upload that is recorded twice: a target runs the upload and its response is
/// lost. A second attempt would record it again.
#[tokio::test]
async fn an_upload_runs_at_most_once() {
    let deployment = deploy_with_uploads("once", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::LoseAnswer);
    }
    for (number, bytes) in [0, 4_000, 300_000].into_iter().enumerate() {
        let id = format!("o{number}");
        let call = upload(&id, random_body(bytes, 1));
        let response =
            ask(deployment.instances[0].call_address(), &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{bytes}");
        assert_eq!(runs(&deployment).iter().filter(|run| run.id == id).count(), 1, "{bytes}");
    }
}

/// Guards against uploads that fail after one refusal: a target is leaving, and daemons that don't
/// know it yet offer its gate large uploads, which it refuses. A body that was already sent with
/// the first attempt couldn't be sent to the other, idle target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_large_upload_is_sent_to_another_gate() {
    let mut deployment = deploy_with_uploads("goeson", &["board", "board", "desk"]).await;
    let body = random_body(200_000, 5);
    deployment.instances[0].stop_beating();
    assert_eq!(deployment.instances[0].say("draining").await, Some(StatusCode::OK));
    let mut uploads = JoinSet::new();
    for number in 0..12 {
        let address = deployment.instances[2].call_address();
        let call = upload(&format!("u{number}"), body.clone());
        uploads.spawn(async move { (ask(address, &call).await, call) });
    }
    for (response, call) in uploads.join_all().await {
        assert_eq!(response.expect("a response").status, StatusCode::OK, "{}", call.id);
        let run = runs(&deployment).into_iter().find(|run| run.id == call.id).expect("a run");
        assert_eq!((run.body_bytes, run.body_hash), (200_000, xxh3_64(&call.body)));
    }
}

/// Guards against memory exhaustion: a hundred callers upload 10 MB each at the same time. A daemon
/// that buffered the bodies would need a gigabyte and be killed with all its calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_large_uploads_arrive_complete_and_are_not_buffered() {
    let deployment = deploy_with_uploads("many", &["board", "board"]).await;
    let body = random_body(10_000_000, 2);
    let hash = xxh3_64(&body);
    let mut callers = JoinSet::new();
    for number in 0..100 {
        let address = deployment.instances[number % 2].call_address();
        let call = upload(&format!("m{number}"), body.clone());
        callers.spawn(async move { ask(address, &call).await.map(|response| response.status) });
    }
    let statuses = callers.join_all().await;
    for status in &statuses {
        let is_known = matches!(status, Some(StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE));
        assert!(is_known, "{status:?}");
    }
    let served = statuses.iter().filter(|status| **status == Some(StatusCode::OK)).count();
    let all = runs(&deployment);
    assert!(all.iter().all(|run| run.body_hash == hash));
    assert_eq!(all.len(), served);
    for instance in &deployment.instances {
        let daemon = instance.daemon.as_ref().expect("a daemon");
        let peak_kib = daemon.memory_most_kib().expect("the peak memory");
        println!("{}: {peak_kib} KiB at its peak, {served} of 100 served", instance.name);
        assert!(peak_kib < DAEMON_MEMORY_MAX_KIB, "{}: {peak_kib} KiB", instance.name);
    }
}

/// Guards against leaked slots and partial bodies that look complete: a caller announces a large
/// body, sends a part of it and disconnects.
#[tokio::test]
async fn a_caller_that_disconnects_within_its_body_costs_no_slot() {
    let deployment = deploy_with_uploads("middle", &["board"]).await;
    let instance = &deployment.instances[0];
    for number in 0..12 {
        let mut stream = TcpStream::connect(instance.call_address()).await.expect("a connection");
        stream.write_all(head(&format!("l{number}"), 500_000).as_bytes()).await.expect("sent");
        stream.write_all(&[7; 100_000]).await.expect("sent");
        sleep(Duration::from_millis(20)).await;
        drop(stream);
    }
    sleep(Duration::from_millis(300)).await;
    assert!(runs(&deployment).is_empty(), "a request with a partial body ran");
    let sent_at = Instant::now();
    let response = ask(instance.call_address(), &upload("after", random_body(200_000, 3))).await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
    assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
}

/// Guards against calls without an end: a caller sends its body in single bytes for longer than the
/// longest wait of the route. It must get a final response, and its request must not run.
#[tokio::test]
async fn a_caller_that_sends_slowly_gets_a_response_in_time() {
    let mut deployment = deployed("trickle", &["board"]).await;
    let uploads = RouteSpec { wait_max_ms: 800, ..RouteSpec::uploads(UPLOADS, "/u/", "board") };
    deployment.apply(&[uploads]).await;
    let mut stream = TcpStream::connect(deployment.instances[0].call_address()).await.expect("one");
    stream.write_all(head("t1", 300_000).as_bytes()).await.expect("sent");
    let mut line = [0; 12];
    let (mut reading, mut writing) = stream.split();
    let trickling = async {
        while writing.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let read = tokio::select! {
        () = trickling => None,
        read = timeout(Duration::from_millis(1_300), reading.read_exact(&mut line)) => read.ok(),
    };
    read.expect("a response in time").expect("a response");
    assert_eq!(&line, b"HTTP/1.1 504");
    assert!(runs(&deployment).is_empty());
}

/// Guards against bodies beyond the limit: by its announced length a body is refused unread. In
/// chunks it is only known to be too long when the bytes arrive, and a part of it must not look
/// complete.
#[tokio::test]
async fn a_body_beyond_the_limit_runs_nowhere() {
    let deployment = deploy_with_uploads("limit", &["board"]).await;
    let address = deployment.instances[0].call_address();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(head("x1", 70_000_000).as_bytes()).await.expect("sent");
    let mut line = [0; 12];
    stream.read_exact(&mut line).await.expect("a response");
    assert_eq!(&line, b"HTTP/1.1 413");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let chunked = head("x2", 0).replace("Content-Length: 0", "Transfer-Encoding: chunked");
    stream.write_all(chunked.as_bytes()).await.expect("sent");
    let chunk = [format!("{:x}\r\n", 1 << 20).as_bytes(), &vec![7; 1 << 20], b"\r\n"].concat();
    let sending = async {
        for _ in 0..70 {
            if stream.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    let _ = timeout(Duration::from_secs(10), sending).await;
    sleep(Duration::from_millis(200)).await;
    assert!(runs(&deployment).is_empty(), "a body beyond the limit ran");
    let is_served = || async {
        let response = ask(address, &upload("x3", random_body(100_000, 4))).await;
        response.is_some_and(|response| response.status == StatusCode::OK)
    };
    wait("capacity after the refused body", is_served).await;
}

/// Guards against surplus bytes that are parsed as a request: a caller sends more than it
/// announced. The target gets only the announced bytes.
#[tokio::test]
async fn bytes_beyond_the_announced_length_are_no_request() {
    let deployment = deploy_with_uploads("longer", &["board"]).await;
    let mut stream = TcpStream::connect(deployment.instances[0].call_address()).await.expect("one");
    let body = random_body(100_000, 6);
    let sent = [head("b1", body.len()).as_bytes(), &body, b"xx GET /u/1 HTTP/1.1\r\n\r\n"].concat();
    stream.write_all(&sent).await.expect("sent");
    let mut response = Vec::new();
    let _ = timeout(Duration::from_secs(2), stream.read_to_end(&mut response)).await;
    let response = String::from_utf8_lossy(&response);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let runs = runs(&deployment);
    assert_eq!(runs.len(), 1, "{response}");
    assert_eq!((runs[0].body_bytes, runs[0].body_hash), (body.len(), xxh3_64(&body)));
}

fn head(id: &str, bytes: usize) -> String {
    format!(
        "POST /u/1 HTTP/1.1\r\nHost: {UPLOADS}\r\nYuccarack-Request-Id: {id}\r\n\
         Yuccarack-Request-Deadline: 20000\r\nContent-Length: {bytes}\r\n\r\n"
    )
}
