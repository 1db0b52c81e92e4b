//! Requests sent ahead are understood as a server without look-ahead understands them.

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

/// Longest head that the server takes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Silence after which no further answer is waited for; a run takes 1 ms.
const SILENCE: Duration = Duration::from_millis(60);

/// Requests and what looks like them; some end the connection, some hide others.
const PIECES: [&str; 31] = [
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

/// What a caller writes, and after how many bytes it pauses.
#[derive(Clone, Debug)]
struct Written {
    bytes: Vec<u8>,
    pauses: Vec<usize>,
}

impl Arbitrary for Written {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = Vec::new();
        for _ in 0..1 + usize::arbitrary(g) % 7 {
            // Plain reads are what most callers send.
            let piece = if u8::arbitrary(g) % 2 == 0 { 0 } else { usize::arbitrary(g) };
            bytes.extend_from_slice(PIECES[piece % PIECES.len()].as_bytes());
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

/// Notes all requests; `AHEAD` says whether reads may start early.
#[derive(Default)]
struct Noting<const AHEAD: bool> {
    seen: Mutex<Vec<String>>,
}

impl<const AHEAD: bool> CallHandler for Noting<AHEAD> {
    const ACCEPTS_PIPELINING: bool = AHEAD;

    fn may_start_early(&self, _head: &Parts) -> bool {
        AHEAD
    }

    async fn handle(
        self: Arc<Self>,
        _arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes());
        let whole = body.is_ok();
        let text = format!(
            "{} {} {:?} {:?} {whole}",
            head.method,
            head.uri,
            head.headers,
            body.unwrap_or_default()
        );
        self.seen.lock().push(text.clone());
        tokio::time::sleep(Duration::from_millis(1)).await;
        Response::new(full(text.into()))
    }
}

/// What a caller got and what ran.
#[derive(Debug)]
struct Played {
    told: String,
    /// Whether the connection ended by a reset, which takes answers away that are on their way.
    was_reset: bool,
    seen: Vec<String>,
}

impl Played {
    /// Whether this, with look-ahead, is the same as `plain` without it.
    fn is_alike(&self, plain: &Self) -> bool {
        let is_told_alike = match self.was_reset || plain.was_reset {
            true => self.told.starts_with(&plain.told) || plain.told.starts_with(&self.told),
            // hyper looks at the rest of a head that comes in parts only when its end has come, so
            // that it may refuse later what is wrong before that.
            false => self.told.strip_prefix(&plain.told).is_some_and(|more| {
                more.is_empty() || more.trim_start().starts_with("HTTP/1.1 400 Bad Request")
            }),
        };
        is_told_alike && self.seen == plain.seen
    }
}

async fn play<const AHEAD: bool>(written: &Written) -> Played {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(Noting::<AHEAD>::default());
    let (tracker, stop) = (TaskTracker::new(), CancellationToken::new());
    let server = CallServer::new(listener, HEAD_MAX_BYTES, Counters::new(), "test");
    let serving = tokio::spawn(server.run(Arc::clone(&handler), tracker.clone(), stop.clone()));
    let (told, was_reset) = converse(address, written).await;
    stop.cancel();
    serving.await.expect("a server");
    tracker.close();
    tracker.wait().await;
    let mut seen = handler.seen.lock().clone();
    seen.sort();
    Played { told: without_dates(&told), was_reset, seen }
}

async fn converse(address: SocketAddr, written: &Written) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let mut at = 0;
    for &pause in written.pauses.iter().chain([&written.bytes.len()]) {
        if stream.write_all(&written.bytes[at..pause]).await.is_err() {
            break;
        }
        at = pause;
        tokio::time::sleep(Duration::from_micros(400)).await;
    }
    let mut told = Vec::new();
    loop {
        match timeout(SILENCE, stream.read_buf(&mut told)).await {
            Ok(Ok(0)) | Err(_) => return (told, false),
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return (told, true),
        }
    }
}

fn without_dates(told: &[u8]) -> String {
    let text = String::from_utf8_lossy(told);
    text.lines().filter(|line| !line.starts_with("date:")).collect::<Vec<_>>().join("\n")
}

/// Story: a request hides in another one, or two readers disagree on where one ends. What is started
/// early would then be a request that no caller sent. Whatever the bytes and however they come, the
/// same requests run and the same answers go out with look-ahead as without.
#[test]
fn the_same_bytes_are_the_same_requests_with_and_without_look_ahead() {
    fn is_same(written: Written) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let (ahead, plain) = tokio::join!(play::<true>(&written), play::<false>(&written));
            let is_alike = ahead.is_alike(&plain);
            if !is_alike {
                let text = String::from_utf8_lossy(&written.bytes);
                println!("{text:?}, pauses {:?}", written.pauses);
                println!("with: {ahead:#?}\nwithout: {plain:#?}");
            }
            is_alike
        })
    }
    QuickCheck::new().tests(250).quickcheck(is_same as fn(Written) -> bool);
}

/// A caller trickles a head that never ends. It is held in part only up to the longest head, then
/// refused as by a server without look-ahead.
#[tokio::test]
async fn a_head_without_end_is_refused() {
    let bytes = format!("GET /a HTTP/1.1\r\nHost: h\r\nX-Long: {}", "x".repeat(HEAD_MAX_BYTES * 2));
    let written = Written { bytes: bytes.into_bytes(), pauses: vec![10, 9_000] };
    let played = play::<true>(&written).await;
    assert!(played.told.starts_with("HTTP/1.1 431"), "{played:?}");
    assert!(played.seen.is_empty());
}
