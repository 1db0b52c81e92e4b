//! HTTP handling of calls: which malformed or forged requests a daemon refuses and what it
//! forwards.

use std::net::SocketAddr;

use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yuccarack_config::headers;
use yuccarack_standins::{
    client::Question,
    fleet::{Fleet, FleetPlan, until},
    target::{Run, RunState},
};

const SERVICE: &str = "conditions";
/// Larger than the largest head that the default settings allow.
const HUGE_HEADER_BYTES: usize = 512 * 1024;
/// Larger than a buffered body and than the buffers of a connection.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// Number of uploads at each daemon.
const UPLOADS: usize = 8;

async fn fleet(seed: u64) -> Fleet {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), seed).with_service(SERVICE, 1);
    Fleet::serving(plan).await
}

/// Sends raw bytes and returns everything received until the daemon closes the connection.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
    // The daemon may refuse the request and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}

/// Returns the runs of `path`, without the requests to `/ready` that the fleet sends at its start.
fn runs_of_path(fleet: &Fleet, path: &str) -> Vec<Run> {
    fleet.ledger.runs_of_path(path)
}

/// Waits for a counter, as the daemon counts the end of a connection slightly later than its peer
/// sees it.
async fn wait_until_counted(fleet: &Fleet, name: &str) {
    until("the refusal is counted", || async {
        fleet.counters(&fleet.nodes[0]).await.get(name) == Some(&1)
    })
    .await;
}

/// Guards against request smuggling: a request has two different content lengths, and two hops that
/// use different ones split the byte stream into different requests. It is refused and counted, and
/// nothing runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_with_two_content_lengths_is_refused() {
    let fleet = fleet(31).await;
    let request = format!(
        "POST /once HTTP/1.1\r\nHost: {SERVICE}\r\nIdempotency-Key: k1\r\n\
         Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"
    );
    let response = exchange(fleet.nodes[0].call_address(), request.as_bytes()).await;
    assert_eq!(status(&response), "400", "{response}");
    wait_until_counted(&fleet, "entry.bad_head").await;
    assert!(runs_of_path(&fleet, "/once").is_empty());
    fleet.stop().await;
}

/// Guards against request smuggling: a request has a content length together with chunked encoding,
/// which can hide a second request in its body. The chunked encoding applies, the length isn't
/// forwarded (RFC 9112, section 6.3), and the hidden request stays part of the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_content_length_beside_chunked_encoding_hides_no_request() {
    let fleet = fleet(32).await;
    let hidden = format!("GET /hidden HTTP/1.1\r\nHost: {SERVICE}\r\n\r\n");
    let request = format!(
        "POST /once HTTP/1.1\r\nHost: {SERVICE}\r\nIdempotency-Key: k2\r\nContent-Length: 4\r\n\
         Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n",
        hidden.len()
    );
    let response = exchange(fleet.nodes[0].call_address(), request.as_bytes()).await;
    assert!(runs_of_path(&fleet, "/hidden").is_empty());
    assert!(runs_of_path(&fleet, "/once").len() <= 1);
    assert!(matches!(status(&response), "200" | "400"), "{response}");
    fleet.stop().await;
}

/// Guards against memory exhaustion by large heads: buffered for each connection, heads of half a
/// megabyte exceed a daemon's limit of 128 MB. They are refused with 431 and counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_head_is_refused() {
    let fleet = fleet(33).await;
    let filler = "x".repeat(HUGE_HEADER_BYTES);
    let request = format!("GET /notes HTTP/1.1\r\nHost: {SERVICE}\r\nX-Filler: {filler}\r\n\r\n");
    let response = exchange(fleet.nodes[0].call_address(), request.as_bytes()).await;
    assert!(response.is_empty() || status(&response) == "431", "{response}");
    wait_until_counted(&fleet, "entry.head_too_large").await;
    assert!(runs_of_path(&fleet, "/notes").is_empty());
    fleet.stop().await;
}

/// Guards against forged internal headers: an external caller sets headers that daemons use among
/// themselves, and with a forged attempt ID one order could be taken for another. The target gets
/// an attempt ID that the daemon generated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_internal_headers_are_removed() {
    let fleet = fleet(34).await;
    let forged = "000000000000000000000000000000aa";
    let request = format!(
        "GET /forged HTTP/1.1\r\nHost: {SERVICE}\r\nYuccarack-Attempt-Id: {forged}\r\n\
         Yuccarack-Outcome: not_run\r\nConnection: close\r\n\r\n"
    );
    let response = exchange(fleet.nodes[0].call_address(), request.as_bytes()).await;
    assert_eq!(status(&response), "200", "{response}");
    let runs = runs_of_path(&fleet, "/forged");
    assert_eq!(runs.len(), 1);
    assert_ne!(runs[0].attempt, forged);
    assert_eq!(runs[0].state, RunState::Finished);
    fleet.stop().await;
}

/// Guards against orders without an idempotency key, whose resends can't be told from new orders.
/// They are refused as not run, with the reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_without_an_idempotency_key_is_refused() {
    let fleet = fleet(35).await;
    let request = format!(
        "POST /once HTTP/1.1\r\nHost: {SERVICE}\r\nContent-Length: 4\r\nConnection: close\r\n\
         \r\nabcd"
    );
    let response = exchange(fleet.nodes[0].call_address(), request.as_bytes()).await;
    assert_eq!(status(&response), "400", "{response}");
    let lower = response.to_lowercase();
    assert!(lower.contains("yuccarack-reason: no_idempotency_key"), "{response}");
    assert!(lower.contains("yuccarack-outcome: not_run"), "{response}");
    assert!(runs_of_path(&fleet, "/once").is_empty());
    fleet.stop().await;
}

/// Guards against refusals that are lost in a reset connection: a gate refuses uploads while their
/// bodies are still being sent, as their only target leaves. The caller then gets `unknown` or no
/// response for a request that did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_refusal_of_an_upload_reaches_its_caller() {
    let plan = FleetPlan::new(env!("CARGO_BIN_EXE_yuccarackd"), 37)
        .with_service(SERVICE, 1)
        .with_service("repairs", 1);
    let fleet = Fleet::serving(plan).await;
    fleet.nodes[0].target.drain();
    // The target still serves until its daemon has received its announcement.
    until("the daemon has no ready target", || async {
        fleet.ready_targets(&fleet.nodes[0], SERVICE).await.is_empty()
    })
    .await;
    let upload = || {
        Question::new(Method::POST, "/read")
            .with_header(headers::SERVICE, SERVICE)
            .with_body(vec![b'x'; UPLOAD_BYTES])
    };
    for node in &fleet.nodes {
        for number in 0..UPLOADS {
            let response = fleet.asker.ask(node.call_address(), upload()).await;
            let response = response.unwrap_or_else(|error| {
                panic!("upload {number} at {} got no response: {error}", node.name())
            });
            assert_eq!(response.header(headers::OUTCOME), "not_run", "{response:?}");
        }
    }
    fleet.stop().await;
}
