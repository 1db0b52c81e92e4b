//! Handles calls to a target: sheds, fails, crashes, or runs and echoes the request.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt, future::ready, stream};
use http::{HeaderMap, Request, Response, StatusCode, request::Parts};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::{sleep, sleep_until, timeout};
use yuccarack_config::headers;

use super::{CRASH_MARKER, CrashMode, Inner, Run, RunGuard, RunState, TargetFaults, unix_ms};
use crate::{
    echo::{self, EchoHash, HASH_BYTES},
    server::{ConnectionAborted, HandlerResult, full_body, respond},
};

/// Longest body that a target reads before the run starts; a longer one is streamed during the
/// run.
const READ_FIRST_BYTES: usize = 64 * 1024;

/// Time between the last piece of a truncated response and the end of the connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Handles one call.
pub(super) async fn call(inner: Arc<Inner>, request: Request<Incoming>) -> HandlerResult {
    let faults = inner.faults.lock().clone();
    let inside = InsideGuard::new(Arc::clone(&inner));
    let shed_above = inner.options.shed_above.map_or(u64::MAX, u64::from);
    if faults.refuse_all || inside.count > shed_above {
        return shed(&inner);
    }
    let (head, body) = request.into_parts();
    let mut reader = RequestReader::new(&head, body);
    reader.read_first_part().await?;
    let slot = inner.slots.acquire().await.map_err(|_| ConnectionAborted)?;
    let mut run = inner.run_log.begin(new_run(&inner, &head, &reader));
    if reader.has_crash_marker() {
        return crash(&inner, run).await;
    }
    if let Some(status) = faults.fail_fast {
        run.end(RunState::Finished);
        return respond(
            StatusCode::from_u16(status).map_err(|_| ConnectionAborted)?,
            "the stand-in fails",
        );
    }
    run.set_state_on_drop(RunState::Cancelled);
    let deadline_ms = number(&head.headers, headers::DEADLINE_MS).unwrap_or(u64::MAX >> 16);
    if timeout(Duration::from_millis(deadline_ms), wait_service_time(&inner, &faults, &reader))
        .await
        .is_err()
    {
        run.end(RunState::Late);
        return respond(StatusCode::GATEWAY_TIMEOUT, "the stand-in gave up at the deadline");
    }
    drop(slot);
    if let Some(length) = faults.cut_answers_after {
        run.end(RunState::Finished);
        return reader.truncated_response(length);
    }
    if reader.ended {
        run.end(RunState::Finished);
        let body = reader.pieces.concat();
        return Response::builder()
            .body(full_body(echo::expected_body(&reader.path, &body)))
            .map_err(|_| ConnectionAborted);
    }
    reader.streamed_response(run, inside)
}

fn shed(inner: &Inner) -> HandlerResult {
    inner.stats.lock().shed += 1;
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(headers::NOT_RUN, "true")
        .body(full_body("the stand-in sheds"))
        .map_err(|_| ConnectionAborted)
}

/// Aborts the process, or hangs until the owner closes all connections.
async fn crash(inner: &Inner, mut run: RunGuard) -> HandlerResult {
    if inner.crash_mode == CrashMode::AbortProcess {
        run.end(RunState::Crashed);
        std::process::abort();
    }
    run.set_state_on_drop(RunState::Crashed);
    inner.is_down.store(true, Ordering::Relaxed);
    inner.crashed.notify_one();
    std::future::pending().await
}

async fn wait_service_time(inner: &Inner, faults: &TargetFaults, reader: &RequestReader) {
    let ms = echo::query_number(&reader.path, "work_ms").unwrap_or_else(|| service_ms(inner));
    let cold =
        inner.started_at.lock().elapsed().as_millis() < u128::from(inner.options.cold_for_ms);
    let cold_ms = if cold { inner.options.cold_extra_ms } else { 0 };
    let total_ms = ms + faults.slow_ms + cold_ms;
    if total_ms > 0 {
        sleep(Duration::from_millis(total_ms)).await;
    }
    let stalled_until = *inner.stalled_until.lock();
    if stalled_until > Instant::now() {
        sleep_until(stalled_until.into()).await;
    }
}

fn service_ms(inner: &Inner) -> u64 {
    let options = &inner.options;
    let mut random = inner.random.lock();
    if random.random_range(0..100) >= options.tail_percent {
        return options.service_ms;
    }
    let spread = -(1.0 - random.random::<f64>()).ln();
    options.service_ms + (spread * options.tail_ms as f64) as u64
}

fn new_run(inner: &Inner, head: &Parts, reader: &RequestReader) -> Run {
    Run {
        target: inner.options.name.clone(),
        boot_id: inner.boot_id.load(Ordering::Relaxed),
        request: text(&head.headers, headers::REQUEST_ID),
        attempt: text(&head.headers, headers::ATTEMPT_ID),
        key: text(&head.headers, headers::IDEMPOTENCY_KEY),
        method: head.method.to_string(),
        path: reader.path.clone(),
        body_hash: reader.check.value(),
        began_at_unix_ms: unix_ms(),
        state: RunState::Running,
    }
}

/// The body of a request while it is being read.
struct RequestReader {
    path: String,
    length: Option<u64>,
    body: Incoming,
    pieces: Vec<Bytes>,
    check: EchoHash,
    ended: bool,
}

impl RequestReader {
    fn new(head: &Parts, body: Incoming) -> Self {
        let path = head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
        let length = number(&head.headers, http::header::CONTENT_LENGTH.as_str());
        let check = EchoHash::new(&path);
        Self { path, length, body, pieces: Vec::new(), check, ended: false }
    }

    async fn read_first_part(&mut self) -> Result<(), ConnectionAborted> {
        let mut size = 0;
        while size <= READ_FIRST_BYTES {
            let Some(frame) = self.body.frame().await else {
                self.ended = true;
                return Ok(());
            };
            let Ok(piece) = frame.map_err(|_| ConnectionAborted)?.into_data() else { continue };
            size += piece.len();
            self.check.update(&piece);
            self.pieces.push(piece);
        }
        Ok(())
    }

    fn has_crash_marker(&self) -> bool {
        self.path.contains(CRASH_MARKER) || contains_crash_marker(&self.pieces.concat())
    }

    /// Sends the first `length` bytes of the echo and closes the connection. The response has the
    /// full content length unless the query has `chunked=1`.
    fn truncated_response(self, length: u64) -> HandlerResult {
        let response = echo::expected_body(&self.path, &self.pieces.concat());
        let full_length = response.len();
        let truncated =
            response.slice(..full_length.min(usize::try_from(length).unwrap_or(usize::MAX)));
        // Without a delay the connection would close before the first piece is sent.
        let cut = async {
            sleep(TRUNCATION_DELAY).await;
            Err(ConnectionAborted)
        };
        let pieces = stream::once(ready(Ok(Frame::data(truncated)))).chain(stream::once(cut));
        let mut response = Response::builder();
        if echo::query_number(&self.path, "chunked") != Some(1) {
            response = response.header(http::header::CONTENT_LENGTH, full_length + 1);
        }
        response.body(BodyExt::boxed_unsync(StreamBody::new(pieces))).map_err(|_| ConnectionAborted)
    }

    /// Echoes a body that is still being received.
    fn streamed_response(self, run: RunGuard, inside: InsideGuard) -> HandlerResult {
        let filler = echo::filler(&self.path);
        let length = self.length.map(|body| body + (filler.len() + HASH_BYTES) as u64);
        let mut first = self.pieces;
        first.insert(0, filler);
        first.reverse();
        let state =
            StreamedEcho { first, body: self.body, check: self.check, run: Some(run), inside };
        let pieces = stream::unfold(state, StreamedEcho::next);
        let mut response = Response::builder();
        if let Some(length) = length {
            response = response.header(http::header::CONTENT_LENGTH, length);
        }
        response.body(BodyExt::boxed_unsync(StreamBody::new(pieces))).map_err(|_| ConnectionAborted)
    }
}

fn contains_crash_marker(body: &[u8]) -> bool {
    let marker = CRASH_MARKER.as_bytes();
    body.windows(marker.len()).any(|part| part == marker)
}

/// State of a streamed echo.
struct StreamedEcho {
    first: Vec<Bytes>,
    body: Incoming,
    check: EchoHash,
    run: Option<RunGuard>,
    /// Counts the request as in flight for as long as the response streams.
    inside: InsideGuard,
}

impl StreamedEcho {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, ConnectionAborted>, Self)> {
        if let Some(piece) = self.first.pop() {
            return Some((Ok(Frame::data(piece)), self));
        }
        self.run.as_ref()?;
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return Some((Err(ConnectionAborted), self)) };
            let Ok(piece) = frame.into_data() else { continue };
            if contains_crash_marker(&piece) {
                let run = self.run.take()?;
                // Never returns: the start of the response has been sent, the end never is.
                let _ = crash(&self.inside.inner, run).await;
            }
            self.check.update(&piece);
            return Some((Ok(Frame::data(piece)), self));
        }
        self.run.take()?.end(RunState::Finished);
        Some((Ok(Frame::data(self.check.hex_suffix())), self))
    }
}

/// Counts a request as inside the target until dropped.
struct InsideGuard {
    inner: Arc<Inner>,
    count: u64,
}

impl InsideGuard {
    fn new(inner: Arc<Inner>) -> Self {
        let mut stats = inner.stats.lock();
        stats.inside += 1;
        stats.inside_most = stats.inside_most.max(stats.inside);
        let count = stats.inside;
        drop(stats);
        Self { inner, count }
    }
}

impl Drop for InsideGuard {
    fn drop(&mut self) {
        self.inner.stats.lock().inside -= 1;
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name).parse().ok()
}
