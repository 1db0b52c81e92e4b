//! Requests that arrive late in the grace period of a planned stop.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep_until, timeout},
};
use yuccarack_platform_standin::{deployment::RouteSpec, target::Behaviour};

use crate::support::{ORDERS, deployed};

/// Longest time in which a daemon has to exit: operators allow 6 s.
const STOP_MAX: Duration = Duration::from_secs(6);

/// Time that a target works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(700);

/// Times after the start of the stop at which callers complete their requests, in ms.
const SENT_AFTER_MS: [u64; 7] = [500, 2_000, 3_000, 3_500, 4_500, 4_800, 5_000];

/// Time after the start of the stop until which heads are accepted, in ms.
const HEADS_ACCEPTED_MS: u64 = 2_000;

/// Time after the start of the stop until which bodies are accepted, in ms.
const BODIES_ACCEPTED_MS: u64 = 3_500;

/// How a caller begins its request before the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begun {
    /// It opens the connection.
    Connection,
    /// It sends a part of the head.
    PartOfHead,
    /// It sends another request and behind it a part of the head.
    PartOfSecondHead,
    /// It sends the head and a part of a body with a declared length, which the entry buffers.
    PartOfBody,
    /// It sends the head and a part of a chunked body, which is streamed to the target.
    PartOfChunks,
}

impl Begun {
    const ALL: [Self; 5] = [
        Self::Connection,
        Self::PartOfHead,
        Self::PartOfSecondHead,
        Self::PartOfBody,
        Self::PartOfChunks,
    ];

    /// Returns the whole request, and how many bytes of it are sent before the stop.
    fn request(self, id: &str) -> (String, usize) {
        let earlier = match self {
            Self::PartOfSecondHead => request(&format!("earlier-{id}"), "Content-Length: 0", ""),
            _ => String::new(),
        };
        let late = match self {
            Self::PartOfBody => request(id, "Content-Length: 20", &"x".repeat(20)),
            Self::PartOfChunks => {
                request(id, "Transfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n")
            }
            _ => request(id, "Content-Length: 0", ""),
        };
        let whole = earlier + &late;
        let begun_bytes = if self == Self::Connection { 0 } else { whole.len() - 10 };
        (whole, begun_bytes)
    }

    fn is_accepted(self, sent_after_ms: u64) -> bool {
        match self {
            Self::Connection | Self::PartOfHead => sent_after_ms <= HEADS_ACCEPTED_MS,
            // The response to the first request closes the connection.
            Self::PartOfSecondHead => false,
            Self::PartOfBody | Self::PartOfChunks => sent_after_ms <= BODIES_ACCEPTED_MS,
        }
    }
}

fn request(id: &str, length: &str, body: &str) -> String {
    format!(
        "POST /o/1 HTTP/1.1\r\nHost: {ORDERS}\r\nYuccarack-Request-Id: {id}\r\n\
         Yuccarack-Request-Deadline: 9000\r\n{length}\r\n\r\n{body}"
    )
}

/// Begins a request, completes it at `complete_at` and returns all that is sent back.
async fn send_late(address: SocketAddr, begun: Begun, id: String, complete_at: Instant) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let (whole, begun_bytes) = begun.request(&id);
    stream.write_all(&whole.as_bytes()[..begun_bytes]).await.expect("the start of a request");
    sleep_until(complete_at.into()).await;
    // Fails if the daemon has closed the connection.
    let _ = stream.write_all(&whole.as_bytes()[begun_bytes..]).await;
    let mut response = Vec::new();
    let _ = timeout(STOP_MAX, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against requests that are taken late in the grace period and cut off without a response at
/// its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_comes_late_in_a_planned_stop_is_not_cut_off() {
    let mut deployment = deployed("late-grace", &["board"; 4]).await;
    let route = RouteSpec { wait_max_ms: 9_000, ..RouteSpec::orders(ORDERS, "/o/", "board") };
    deployment.apply(&[route]).await;
    for instance in &deployment.instances {
        instance.target.set_behaviour(Behaviour::Respond(SERVICE_TIME));
    }
    let instance = &mut deployment.instances[0];
    let stopped_at = Instant::now() + Duration::from_millis(500);
    let mut callers = Vec::new();
    for begun in Begun::ALL {
        for sent_after_ms in SENT_AFTER_MS {
            let id = format!("{begun:?}-{sent_after_ms}");
            let complete_at = stopped_at + Duration::from_millis(sent_after_ms);
            let sent = send_late(instance.call_address(), begun, id.clone(), complete_at);
            callers.push((begun, sent_after_ms, id, tokio::spawn(sent)));
        }
    }
    sleep_until(stopped_at.into()).await;
    let mut daemon = instance.daemon.take().expect("a daemon");
    daemon.terminate();
    let status = timeout(STOP_MAX, daemon.wait_exit()).await.expect("an exit in time");
    assert!(status.expect("a status").success());
    for (begun, sent_after_ms, id, caller) in callers {
        let response = caller.await.expect("a caller");
        let runs = deployment.instances.iter().flat_map(|instance| instance.target.runs());
        let runs = runs.filter(|run| run.id == id).count();
        let is_answered = response.ends_with(&format!("page of {id}"));
        assert_eq!(runs, usize::from(is_answered), "{id}: {response:?}");
        assert!(is_answered || !begun.is_accepted(sent_after_ms), "{id}: {response:?}");
        if begun == Begun::PartOfBody && !is_answered {
            assert!(response.starts_with("HTTP/1.1 503 "), "{id}: {response:?}");
        }
    }
}
