//! Requests with large bodies: streamed, sent once, and held nowhere.

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

/// Most memory of a daemon while uploads pass, in KiB.
const MEMORY_MAX_KIB: u64 = 60 * 1024;

async fn with_uploads(name: &str, services: &[&str]) -> Deployment {
    let mut deployment = deployed(name, services).await;
    let uploads = RouteSpec { wait_max_ms: 20_000, ..RouteSpec::uploads(UPLOADS, "/u/", "board") };
    deployment.apply(&[uploads, RouteSpec::reads(READS, "/r/", "board")]).await;
    deployment
}

fn upload(id: &str, body: Bytes) -> Call {
    Call { body, left_ms: 20_000, ..Call::order(UPLOADS, "/u/1", id) }
}

/// A body in which no two parts are alike.
fn mixed(bytes: usize, salt: u64) -> Bytes {
    let words = (0..bytes as u64 / 8 + 1).map(|word| xxh3_64(&(word ^ salt).to_le_bytes()));
    let all: Vec<u8> = words.flat_map(u64::to_le_bytes).take(bytes).collect();
    all.into()
}

fn runs(deployment: &Deployment) -> Vec<Run> {
    deployment.instances.iter().flat_map(|instance| instance.target.runs()).collect()
}

/// Story: a target runs an upload and its answer is lost. The upload is a recorded statement; sent a
/// second time, there would be two.
#[tokio::test]
async fn an_upload_runs_at_most_once() {
    let deployment = with_uploads("once", &["board", "board"]).await;
    for instance in &deployment.instances {
        instance.target.behave(Behaviour::LoseAnswer);
    }
    for (number, bytes) in [0, 4_000, 300_000].into_iter().enumerate() {
        let id = format!("o{number}");
        let call = upload(&id, mixed(bytes, 1));
        let told = ask(deployment.instances[0].call_address(), &call).await.expect("an answer");
        assert_eq!(told.status, StatusCode::BAD_GATEWAY, "{bytes}");
        assert_eq!(runs(&deployment).iter().filter(|run| run.id == id).count(), 1, "{bytes}");
    }
}

/// Story: a target says that it leaves, and daemons that haven't heard of it yet offer its gate large
/// uploads. It turns them away, and other targets stand idle. The body of such an upload had gone with
/// its first try, and its caller was turned away too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_upload_goes_on_to_a_gate_that_takes_it() {
    let mut deployment = with_uploads("goeson", &["board", "board", "desk"]).await;
    let body = mixed(200_000, 5);
    deployment.instances[0].stop_beating();
    assert_eq!(deployment.instances[0].say("draining").await, Some(StatusCode::OK));
    let mut uploads = JoinSet::new();
    for number in 0..12 {
        let address = deployment.instances[2].call_address();
        let call = upload(&format!("u{number}"), body.clone());
        uploads.spawn(async move { (ask(address, &call).await, call) });
    }
    for (told, call) in uploads.join_all().await {
        assert_eq!(told.expect("an answer").status, StatusCode::OK, "{}", call.id);
        let run = runs(&deployment).into_iter().find(|run| run.id == call.id).expect("a run");
        assert_eq!((run.body_bytes, run.body_hash), (200_000, xxh3_64(&call.body)));
    }
}

/// Story: a hundred callers upload 10 MB each at the same time. A daemon that held the bodies would
/// need a gigabyte and be killed with all its calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_large_uploads_pass_whole_and_are_not_held() {
    let deployment = with_uploads("many", &["board", "board"]).await;
    let body = mixed(10_000_000, 2);
    let hash = xxh3_64(&body);
    let mut callers = JoinSet::new();
    for number in 0..100 {
        let address = deployment.instances[number % 2].call_address();
        let call = upload(&format!("m{number}"), body.clone());
        callers.spawn(async move { ask(address, &call).await.map(|told| told.status) });
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
        let most_kib = daemon.memory_most_kib().expect("its memory");
        println!("{}: {most_kib} KiB at its peak, {served} of 100 served", instance.name);
        assert!(most_kib < MEMORY_MAX_KIB, "{}: {most_kib} KiB", instance.name);
    }
}

/// Story: a caller announces a large body, sends a part of it and leaves, or sends it byte by byte. Its
/// target's slot must come back, and no part of a body may look whole.
#[tokio::test]
async fn a_caller_that_leaves_in_the_middle_of_its_body_costs_no_slot() {
    let deployment = with_uploads("middle", &["board"]).await;
    let instance = &deployment.instances[0];
    for number in 0..12 {
        let mut stream = TcpStream::connect(instance.call_address()).await.expect("a connection");
        stream.write_all(head(&format!("l{number}"), 500_000).as_bytes()).await.expect("sent");
        stream.write_all(&[7; 100_000]).await.expect("sent");
        sleep(Duration::from_millis(20)).await;
        drop(stream);
    }
    sleep(Duration::from_millis(300)).await;
    assert!(runs(&deployment).is_empty(), "a part of a body ran");
    let asked_at = Instant::now();
    let told = ask(instance.call_address(), &upload("after", mixed(200_000, 3))).await;
    assert_eq!(told.expect("an answer").status, StatusCode::OK);
    assert!(asked_at.elapsed() < Duration::from_millis(500), "{:?}", asked_at.elapsed());
}

/// Story: a caller trickles its body for longer than its route lets a request wait. It gets a final
/// answer then, and what it sent runs nowhere.
#[tokio::test]
async fn a_caller_that_trickles_is_answered_in_time() {
    let mut deployment = deployed("trickle", &["board"]).await;
    let uploads = RouteSpec { wait_max_ms: 800, ..RouteSpec::uploads(UPLOADS, "/u/", "board") };
    deployment.apply(&[uploads]).await;
    let mut stream = TcpStream::connect(deployment.instances[0].call_address()).await.expect("one");
    stream.write_all(head("t1", 300_000).as_bytes()).await.expect("sent");
    let mut told = [0; 12];
    let (mut reading, mut writing) = stream.split();
    let trickling = async {
        while writing.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let read = tokio::select! {
        () = trickling => None,
        read = timeout(Duration::from_millis(1_300), reading.read_exact(&mut told)) => read.ok(),
    };
    read.expect("an answer in time").expect("an answer");
    assert_eq!(&told, b"HTTP/1.1 504");
    assert!(runs(&deployment).is_empty());
}

/// Story: a body is longer than operators allow, by its length or, in chunks, by what comes. The first
/// is refused unread; of the second nothing may look whole.
#[tokio::test]
async fn a_body_beyond_the_limit_runs_nowhere() {
    let deployment = with_uploads("limit", &["board"]).await;
    let address = deployment.instances[0].call_address();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(head("x1", 70_000_000).as_bytes()).await.expect("sent");
    let mut told = [0; 12];
    stream.read_exact(&mut told).await.expect("an answer");
    assert_eq!(&told, b"HTTP/1.1 413");
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
        let told = ask(address, &upload("x3", mixed(100_000, 4))).await;
        told.is_some_and(|told| told.status == StatusCode::OK)
    };
    wait("room after it", is_served).await;
}

/// Story: a caller sends more than it announced. The target gets just what was announced; the rest is
/// no request, and must not be read as one.
#[tokio::test]
async fn a_body_beyond_its_announced_length_is_no_request() {
    let deployment = with_uploads("longer", &["board"]).await;
    let mut stream = TcpStream::connect(deployment.instances[0].call_address()).await.expect("one");
    let body = mixed(100_000, 6);
    let sent = [head("b1", body.len()).as_bytes(), &body, b"xx GET /u/1 HTTP/1.1\r\n\r\n"].concat();
    stream.write_all(&sent).await.expect("sent");
    let mut told = Vec::new();
    let _ = timeout(Duration::from_secs(2), stream.read_to_end(&mut told)).await;
    let told = String::from_utf8_lossy(&told);
    assert!(told.starts_with("HTTP/1.1 200"), "{told}");
    let runs = runs(&deployment);
    assert_eq!(runs.len(), 1, "{told}");
    assert_eq!((runs[0].body_bytes, runs[0].body_hash), (body.len(), xxh3_64(&body)));
}

fn head(id: &str, bytes: usize) -> String {
    format!(
        "POST /u/1 HTTP/1.1\r\nHost: {UPLOADS}\r\nYuccarack-Request-Id: {id}\r\n\
         Yuccarack-Request-Deadline: 20000\r\nContent-Length: {bytes}\r\n\r\n"
    )
}
