//! Pipelined requests are interpreted as by a server without pipelining.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response, request::Parts};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarackd::{
    protocol::body::{CallBody, full},
    state::counters::Counters,
    transport::call_server::{Arrival, CallHandler, CallServer},
};

/// Largest request head that the server accepts, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Time without a byte after which no further response is expected; a request runs for 1 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Valid, ambiguous and invalid requests; some end the connection, some contain another request.
const FRAGMENTS: [&str; 31] = [
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /b?x=1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n\r\n",
    "HEAD /c HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    "GET /e HTTP/1.1\nHost: h\n\n",
    "\r\n\r\nGET /f HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /g HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    "GET /h HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nGET ",
    "POST /i HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "POST /j HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
    "POST /k HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
    "POST /l HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 33\r\n\r\nabc",
    "POST /m HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "POST /n HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
    "POST /o HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
    "GET /p HTTP/1.1\r\nHost: h\r\nX-Fold: a\r\n b\r\n\r\n",
    "GET /q HTTP/1.1\r\nHost: h\r\nX-Cr: a\rb\r\n\r\n",
    "GET /r HTTP/1.1\r\nHost : h\r\n\r\n",
    "GET /s HTTP/1.0\r\nHost: h\r\n\r\n",
    "GET /t HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    "GET /u HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
    "GET /v HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "POST /w HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
    "GET http://h/x HTTP/1.1\r\nHost: other\r\n\r\n",
    "GET  /y  HTTP/1.1\r\nHost: h\r\n\r\n",
    "get /z HTTP/1.1\r\nHost: h\r\n\r\n",
    "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /g2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "POST /x2 HTTP/1.1\r\nHost: h\r\nContent-Length: 18446744073709551612\r\n\r\nGET /y2 HTTP/1.1\r\n\r\n",
    "POST /z2 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\nabc",
    "GET /half HTTP/1.1\r\nHo",
];

/// Bytes that a caller writes, and the offsets at which it pauses.
#[derive(Clone, Debug)]
struct ByteSequence {
    bytes: Vec<u8>,
    pauses: Vec<usize>,
}

impl Arbitrary for ByteSequence {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = Vec::new();
        for _ in 0..1 + usize::arbitrary(g) % 7 {
            // At least half of the fragments are plain reads, as most callers send.
            let fragment = if u8::arbitrary(g) % 2 == 0 { 0 } else { usize::arbitrary(g) };
            bytes.extend_from_slice(FRAGMENTS[fragment % FRAGMENTS.len()].as_bytes());
        }
        if u8::arbitrary(g) % 6 == 0 {
            let at = usize::arbitrary(g) % bytes.len();
            bytes[at] = u8::arbitrary(g);
        }
        let pauses = (0..usize::arbitrary(g) % 6).map(|_| usize::arbitrary(g) % bytes.len());
        let mut pauses: Vec<usize> = pauses.collect();
        pauses.sort_unstable();
        Self { bytes, pauses }
    }
}

/// Records all requests; `PIPELINING` is whether reads may start early.
#[derive(Default)]
struct RecordingHandler<const PIPELINING: bool> {
    requests: Mutex<Vec<String>>,
}

impl<const PIPELINING: bool> CallHandler for RecordingHandler<PIPELINING> {
    const ACCEPTS_PIPELINING: bool = PIPELINING;

    fn may_start_early(&self, _head: &Parts) -> bool {
        PIPELINING
    }

    async fn handle(
        self: Arc<Self>,
        _arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes());
        let is_complete = body.is_ok();
        let text = format!(
            "{} {} {:?} {:?} {is_complete}",
            head.method,
            head.uri,
            head.headers,
            body.unwrap_or_default()
        );
        self.requests.lock().push(text.clone());
        tokio::time::sleep(Duration::from_millis(1)).await;
        Response::new(full(text.into()))
    }
}

/// Text of the responses that a caller received, and the requests that ran.
#[derive(Debug)]
struct Exchange {
    text: String,
    /// Whether the connection ended by a reset, which discards responses in transit.
    was_reset: bool,
    requests: Vec<String>,
}

impl Exchange {
    /// Whether this exchange, with pipelining, is equivalent to `plain` without it.
    fn is_equivalent(&self, plain: &Self) -> bool {
        let is_text_equivalent = match self.was_reset || plain.was_reset {
            true => self.text.starts_with(&plain.text) || plain.text.starts_with(&self.text),
            // hyper parses the rest of a head that arrives in parts only once its end has arrived,
            // so it may reject an error in that head later.
            false => self.text.strip_prefix(&plain.text).is_some_and(|rest| {
                rest.is_empty() || rest.trim_start().starts_with("HTTP/1.1 400 Bad Request")
            }),
        };
        is_text_equivalent && self.requests == plain.requests
    }
}

async fn run_exchange<const PIPELINING: bool>(input: &ByteSequence) -> Exchange {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(RecordingHandler::<PIPELINING>::default());
    let (tracker, stop) = (TaskTracker::new(), CancellationToken::new());
    let server = CallServer::new(listener, HEAD_MAX_BYTES, Counters::new(), "test");
    let server_task = tokio::spawn(server.run(Arc::clone(&handler), tracker.clone(), stop.clone()));
    let (received, was_reset) = write_and_read(address, input).await;
    stop.cancel();
    server_task.await.expect("a server");
    tracker.close();
    tracker.wait().await;
    let mut requests = handler.requests.lock().clone();
    requests.sort();
    Exchange { text: strip_dates(&received), was_reset, requests }
}

async fn write_and_read(address: SocketAddr, input: &ByteSequence) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let mut at = 0;
    for &pause in input.pauses.iter().chain([&input.bytes.len()]) {
        if stream.write_all(&input.bytes[at..pause]).await.is_err() {
            break;
        }
        at = pause;
        tokio::time::sleep(Duration::from_micros(400)).await;
    }
    let mut received = Vec::new();
    loop {
        match timeout(RESPONSE_TIMEOUT, stream.read_buf(&mut received)).await {
            Ok(Ok(0)) | Err(_) => return (received, false),
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return (received, true),
        }
    }
}

fn strip_dates(received: &[u8]) -> String {
    let text = String::from_utf8_lossy(received);
    text.lines().filter(|line| !line.starts_with("date:")).collect::<Vec<_>>().join("\n")
}

/// Guards against request smuggling: a request hidden in another one, or two parsers that disagree
/// on where a request ends, would start a request that no caller sent. For any bytes in any
/// segments, the same requests run and the same responses are sent with pipelining as without.
#[test]
fn pipelining_runs_the_same_requests_as_a_plain_server() {
    fn is_equivalent_exchange(input: ByteSequence) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let (pipelined, plain) =
                tokio::join!(run_exchange::<true>(&input), run_exchange::<false>(&input));
            let is_equivalent = pipelined.is_equivalent(&plain);
            if !is_equivalent {
                let text = String::from_utf8_lossy(&input.bytes);
                println!("{text:?}, pauses {:?}", input.pauses);
                println!("with: {pipelined:#?}\nwithout: {plain:#?}");
            }
            is_equivalent
        })
    }
    QuickCheck::new().tests(250).quickcheck(is_equivalent_exchange as fn(ByteSequence) -> bool);
}

/// Guards against unbounded buffering of a head that never ends. It is buffered up to the largest
/// accepted head and then refused as by a server without pipelining.
#[tokio::test]
async fn endless_head_is_refused() {
    let bytes = format!("GET /a HTTP/1.1\r\nHost: h\r\nX-Long: {}", "x".repeat(HEAD_MAX_BYTES * 2));
    let input = ByteSequence { bytes: bytes.into_bytes(), pauses: vec![10, 9_000] };
    let exchange = run_exchange::<true>(&input).await;
    assert!(exchange.text.starts_with("HTTP/1.1 431"), "{exchange:?}");
    assert!(exchange.requests.is_empty());
}
