//! Tests that bytes without an end are cut off, with the caller answered and bounded memory.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::timeout,
};
use yuccarack_platform_standin::{
    caller::{Call, send_call},
    deployment::{Deployment, RouteSpec, wait_until},
    target::Behaviour,
};

use crate::support::{ORDERS, READS, board_routes, deployed};

/// Host of the routes to a target without a fault.
const DESK: &str = "desk.example";

/// Calls to the target without a fault.
const OTHER_CALLS: usize = 40;

/// Time by which a call of the routes has its response.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Slack of a response's time on a busy machine.
const SLACK: Duration = Duration::from_millis(500);

/// Most memory that a daemon may use, in KiB.
const MEMORY_MAX_KIB: u64 = 128 * 1024;

/// Time after a deadline after which a streamed response is cut off, with slack.
const CUT_OFF_MAX: Duration = Duration::from_secs(12);

/// Returns the largest memory that the daemon of `number` has used, in KiB.
fn peak_memory_kib(deployment: &Deployment, number: usize) -> u64 {
    let daemon = deployment.instances[number].daemon.as_ref().expect("a daemon");
    daemon.peak_memory_kib().expect("a peak")
}

fn log_contains(deployment: &Deployment, number: usize, text: &str) -> bool {
    std::fs::read_to_string(deployment.instances[number].log()).unwrap_or_default().contains(text)
}

/// Waits until the log names a rejected response; the daemon writes its lines in the background.
async fn wait_for_rejection(deployment: &Deployment) {
    let is_written = || async { log_contains(deployment, 0, "\"target_response_rejected\"") };
    wait_until("the line of a rejected response", is_written).await;
}

/// Sends a request and reads the response until the daemon ends it; returns its first bytes, how many
/// bytes arrived and how long it took.
async fn read_until_cut(
    address: SocketAddr,
    id: &str,
    deadline_ms: u64,
) -> (Vec<u8>, u64, Duration) {
    let sent_at = Instant::now();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "GET /r/1 HTTP/1.1\r\nHost: {READS}\r\nYuccarack-Request-Id: {id}\r\n\
         Yuccarack-Request-Deadline: {deadline_ms}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    let (mut first, mut total, mut buffer) = (Vec::new(), 0, vec![0; 64 * 1024]);
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        if first.is_empty() {
            first = buffer[..read].to_vec();
        }
        total += read as u64;
    }
    (first, total, sent_at.elapsed())
}

/// Guards against a target that sends a head without an end, or bytes that are no response, until its
/// peer closes the connection: the caller waits, or the daemon's memory grows.
#[tokio::test]
async fn a_response_head_without_end_fails_the_call_in_time() {
    let deployment = deployed("endless-head", &["board"]).await;
    let instance = &deployment.instances[0];
    for behaviour in [Behaviour::EndlessHead, Behaviour::EndlessGarbage] {
        instance.target.set_behaviour(behaviour);
        let calls = (0..8).map(|number| {
            let call = match number % 2 {
                0 => Call::read(READS, "/r/1", &format!("{behaviour:?}{number}")),
                _ => Call::order(ORDERS, "/o/1", &format!("{behaviour:?}{number}")),
            };
            async move {
                let sent_at = Instant::now();
                let response = send_call(instance.call_address(), &call).await;
                (response.expect("a response").status, sent_at.elapsed())
            }
        });
        for (status, took) in join_all(calls).await {
            assert!(!status.is_success(), "{behaviour:?}");
            assert!(took < Duration::from_secs(2) + SLACK, "{behaviour:?} took {took:?}");
        }
        instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(5)));
        wait_until("the target to be used again", || async {
            let call = Call::read(READS, "/r/1", &format!("after{behaviour:?}"));
            let response = send_call(instance.call_address(), &call).await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        })
        .await;
    }
    wait_for_rejection(&deployment).await;
    let peak_kib = peak_memory_kib(&deployment, 0);
    assert!(peak_kib < MEMORY_MAX_KIB, "{peak_kib} KiB");
}

/// Starts two instances, of which the first one's target serves reads and orders and the second one's
/// target serves [`DESK`].
async fn deployed_with_desk(name: &str) -> Deployment {
    let mut deployment = deployed(name, &["board", "desk"]).await;
    let mut routes = board_routes();
    routes.push(RouteSpec::reads(DESK, "/d/", "desk"));
    deployment.apply(&routes).await;
    deployment
}

/// Sends calls to the target without a fault while `flood` runs; all must be served in time.
async fn assert_others_served<T>(deployment: &Deployment, flood: impl Future<Output = T>) -> T {
    let address = deployment.instances[0].call_address();
    let others = async {
        for step in 0..OTHER_CALLS {
            let sent_at = Instant::now();
            let call = Call::read(DESK, "/d/1", &format!("other-{step}"));
            let response = send_call(address, &call).await.expect("a response");
            assert_eq!(response.status, StatusCode::OK);
            let took = sent_at.elapsed();
            assert!(took < ROUTE_TIMEOUT + SLACK, "{took:?}");
        }
    };
    let (result, ()) = tokio::join!(flood, others);
    let peak_kib = peak_memory_kib(deployment, 0);
    assert!(peak_kib < MEMORY_MAX_KIB, "{peak_kib} KiB");
    result
}

/// Guards against heads and interim responses without an end: the daemon would read them until the
/// deadline, and calls to other targets would wait meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_without_end_fails_the_call_at_once_and_delays_no_other() {
    let deployment = deployed_with_desk("endless-others").await;
    let instance = &deployment.instances[0];
    for behaviour in [Behaviour::EndlessInterim, Behaviour::EndlessHead, Behaviour::EndlessGarbage]
    {
        instance.target.set_behaviour(behaviour);
        let flood = (0..6).map(|number| async move {
            for step in 0..10 {
                let id = format!("{behaviour:?}-{number}-{step}");
                let call = match step % 2 {
                    0 => Call::read(READS, "/r/1", &id),
                    _ => Call::order(ORDERS, "/o/1", &id),
                };
                let sent_at = Instant::now();
                let response = send_call(instance.call_address(), &call).await;
                assert!(!response.expect("a response").status.is_success(), "{id}");
                assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
            }
        });
        assert_others_served(&deployment, join_all(flood)).await;
    }
    wait_for_rejection(&deployment).await;
}

/// Guards against bodies without an end that delay calls to other targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_without_end_delays_no_other_call() {
    let deployment = deployed_with_desk("endless-bodies").await;
    let instance = &deployment.instances[0];
    instance.target.set_behaviour(Behaviour::EndlessBody);
    let address = instance.call_address();
    let ids: Vec<_> = (0..6).map(|number| format!("endless-{number}")).collect();
    let flood = ids.iter().map(|id| read_until_cut(address, id, 1_000));
    for (first, _, took) in assert_others_served(&deployment, join_all(flood)).await {
        assert!(first.starts_with(b"HTTP/1.1 200"));
        assert!(took < Duration::from_secs(1) + CUT_OFF_MAX, "{took:?}");
    }
}

/// Guards against a target whose response body has no end: it would hold a slot, and a caller that
/// reads it, for an unlimited time.
#[tokio::test]
async fn a_response_body_without_end_is_cut_off() {
    let deployment = deployed("endless-body", &["board"]).await;
    let instance = &deployment.instances[0];
    instance.target.set_behaviour(Behaviour::EndlessBody);
    let deadline = Duration::from_millis(1_000);
    let reading = read_until_cut(instance.call_address(), "endless", 1_000);
    let (first, total, took) =
        timeout(deadline + CUT_OFF_MAX, reading).await.expect("an end of the response");
    assert!(first.starts_with(b"HTTP/1.1 200"));
    assert!(total > 256 * 1024, "{total} bytes");
    assert!(took >= deadline, "cut off after {took:?}");
    wait_for_rejection(&deployment).await;
    let peak_kib = peak_memory_kib(&deployment, 0);
    assert!(peak_kib < MEMORY_MAX_KIB, "{peak_kib} KiB");
    instance.target.set_behaviour(Behaviour::Respond(Duration::from_millis(5)));
    let response = send_call(instance.call_address(), &Call::read(READS, "/r/1", "after")).await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
}

/// Guards against a caller that sends a head without an end.
#[tokio::test]
async fn a_request_head_without_end_is_refused() {
    let deployment = deployed("endless-request", &["board"]).await;
    let address = deployment.instances[0].call_address();
    let sending = async {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let start = format!("GET /r/1 HTTP/1.1\r\nHost: {READS}\r\nX-Long: ");
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(&[b'x'; 16 * 1024]).await;
        }
    };
    timeout(Duration::from_secs(5), sending).await.expect("an end of the connection");
    let peak_kib = peak_memory_kib(&deployment, 0);
    assert!(peak_kib < MEMORY_MAX_KIB, "{peak_kib} KiB");
}

/// Starts a store that responds to each request with `start`, followed by bytes without an end.
async fn start_endless_store(start: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.spawn(async move {
                let mut request = [0; 4 * 1024];
                let is_open = stream.read(&mut request).await.is_ok_and(|read| read > 0);
                let mut sent = stream.write_all(start.as_bytes()).await;
                while is_open && sent.is_ok() {
                    sent = stream.write_all(&[b'x'; 16 * 1024]).await;
                }
            });
        }
    };
    (address, tokio::spawn(serve))
}

/// Guards against a store that sends a head or a body without an end: the daemon's memory grows, or it
/// waits for the end.
#[tokio::test]
async fn a_response_of_the_store_without_end_leaves_the_memory_bounded() {
    for start in ["HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\n\r\n"] {
        let mut deployment = deployed("endless-store", &["board", "board"]).await;
        let (address, store) = start_endless_store(start).await;
        let instance = &mut deployment.instances[0];
        instance.kill_daemon();
        instance.set_setting("store_address", address.to_string().into()).expect("settings");
        instance.start_daemon().await.expect("a daemon");
        deployment.write_routes(&board_routes());
        tokio::time::sleep(Duration::from_secs(8)).await;
        let peak_kib = peak_memory_kib(&deployment, 0);
        assert!(peak_kib < MEMORY_MAX_KIB, "{peak_kib} KiB");
        assert!(log_contains(&deployment, 0, "\"leaving_not_looked_up\""));
        store.abort();
    }
}
