//! One call to a target: shed, fail, crash, or run and echo.

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

/// Longest body that a target reads before it begins; a longer one runs while it arrives.
const READ_FIRST_BYTES: usize = 64 * 1024;

/// Time between the last piece of a cut answer and the cut.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Serves one call.
pub(super) async fn call(inner: Arc<Inner>, request: Request<Incoming>) -> HandlerResult {
    let faults = inner.faults.lock().clone();
    let inside = Inside::new(Arc::clone(&inner));
    let shed_above = inner.options.shed_above.map_or(u64::MAX, u64::from);
    if faults.refuse_all || inside.count > shed_above {
        return shed(&inner);
    }
    let (head, body) = request.into_parts();
    let mut reading = Reading::new(&head, body);
    reading.first_part().await?;
    let slot = inner.slots.acquire().await.map_err(|_| ConnectionAborted)?;
    let mut run = inner.run_log.begin(run(&inner, &head, &reading));
    if reading.has_mark() {
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
    if timeout(Duration::from_millis(deadline_ms), work(&inner, &faults, &reading)).await.is_err() {
        run.end(RunState::Late);
        return respond(StatusCode::GATEWAY_TIMEOUT, "the stand-in gave up at the deadline");
    }
    drop(slot);
    if let Some(length) = faults.cut_answers_after {
        run.end(RunState::Finished);
        return reading.cut_answer(length);
    }
    if reading.ended {
        run.end(RunState::Finished);
        let body = reading.pieces.concat();
        return Response::builder()
            .body(full_body(echo::expected_body(&reading.path, &body)))
            .map_err(|_| ConnectionAborted);
    }
    reading.streamed_answer(run, inside)
}

fn shed(inner: &Inner) -> HandlerResult {
    inner.stats.lock().shed += 1;
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(headers::NOT_RUN, "true")
        .body(full_body("the stand-in sheds"))
        .map_err(|_| ConnectionAborted)
}

/// Ends the process, or hangs until the owner cuts all connections.
async fn crash(inner: &Inner, mut run: RunGuard) -> HandlerResult {
    if inner.on_crash == CrashMode::AbortProcess {
        run.end(RunState::Crashed);
        std::process::abort();
    }
    run.set_state_on_drop(RunState::Crashed);
    inner.away.store(true, Ordering::Relaxed);
    inner.crashed.notify_one();
    std::future::pending().await
}

async fn work(inner: &Inner, faults: &TargetFaults, reading: &Reading) {
    let ms = echo::query_number(&reading.path, "work_ms").unwrap_or_else(|| service_ms(inner));
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

fn run(inner: &Inner, head: &Parts, reading: &Reading) -> Run {
    Run {
        target: inner.options.name.clone(),
        boot_id: inner.boot_id.load(Ordering::Relaxed),
        request: text(&head.headers, headers::REQUEST_ID),
        attempt: text(&head.headers, headers::ATTEMPT_ID),
        key: text(&head.headers, headers::IDEMPOTENCY_KEY),
        method: head.method.to_string(),
        path: reading.path.clone(),
        body_hash: reading.check.value(),
        began_at_unix_ms: unix_ms(),
        state: RunState::Running,
    }
}

/// A request's body on its way in.
struct Reading {
    path: String,
    length: Option<u64>,
    body: Incoming,
    pieces: Vec<Bytes>,
    check: EchoHash,
    ended: bool,
}

impl Reading {
    fn new(head: &Parts, body: Incoming) -> Self {
        let path = head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
        let length = number(&head.headers, http::header::CONTENT_LENGTH.as_str());
        let check = EchoHash::new(&path);
        Self { path, length, body, pieces: Vec::new(), check, ended: false }
    }

    async fn first_part(&mut self) -> Result<(), ConnectionAborted> {
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

    fn has_mark(&self) -> bool {
        self.path.contains(CRASH_MARKER) || is_marked(&self.pieces.concat())
    }

    /// The echo's first `length` bytes, then a cut; its whole length is told unless the query says
    /// `chunked=1`.
    fn cut_answer(self, length: u64) -> HandlerResult {
        let answer = echo::expected_body(&self.path, &self.pieces.concat());
        let whole_length = answer.len();
        let kept = answer.slice(..whole_length.min(usize::try_from(length).unwrap_or(usize::MAX)));
        // Time for the first piece to go out; cut at once, nothing of the answer would.
        let cut = async {
            sleep(CUT_DELAY).await;
            Err(ConnectionAborted)
        };
        let pieces = stream::once(ready(Ok(Frame::data(kept)))).chain(stream::once(cut));
        let mut answer = Response::builder();
        if echo::query_number(&self.path, "chunked") != Some(1) {
            answer = answer.header(http::header::CONTENT_LENGTH, whole_length + 1);
        }
        answer.body(BodyExt::boxed_unsync(StreamBody::new(pieces))).map_err(|_| ConnectionAborted)
    }

    /// The echo of a body that is still arriving.
    fn streamed_answer(self, run: RunGuard, inside: Inside) -> HandlerResult {
        let filler = echo::filler(&self.path);
        let length = self.length.map(|body| body + (filler.len() + HASH_BYTES) as u64);
        let mut first = self.pieces;
        first.insert(0, filler);
        first.reverse();
        let state = Streaming { first, body: self.body, check: self.check, run: Some(run), inside };
        let pieces = stream::unfold(state, Streaming::next);
        let mut answer = Response::builder();
        if let Some(length) = length {
            answer = answer.header(http::header::CONTENT_LENGTH, length);
        }
        answer.body(BodyExt::boxed_unsync(StreamBody::new(pieces))).map_err(|_| ConnectionAborted)
    }
}

fn is_marked(body: &[u8]) -> bool {
    let mark = CRASH_MARKER.as_bytes();
    body.windows(mark.len()).any(|part| part == mark)
}

/// An echo in the middle of its body.
struct Streaming {
    first: Vec<Bytes>,
    body: Incoming,
    check: EchoHash,
    run: Option<RunGuard>,
    /// Counts the request as inside for as long as it streams.
    inside: Inside,
}

impl Streaming {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, ConnectionAborted>, Self)> {
        if let Some(piece) = self.first.pop() {
            return Some((Ok(Frame::data(piece)), self));
        }
        self.run.as_ref()?;
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return Some((Err(ConnectionAborted), self)) };
            let Ok(piece) = frame.into_data() else { continue };
            if is_marked(&piece) {
                let run = self.run.take()?;
                // Never ends: the answer's beginning is out, and its end doesn't come.
                let _ = crash(&self.inside.inner, run).await;
            }
            self.check.update(&piece);
            return Some((Ok(Frame::data(piece)), self));
        }
        self.run.take()?.end(RunState::Finished);
        Some((Ok(Frame::data(self.check.hex_suffix())), self))
    }
}

/// Counts one request as inside the target.
struct Inside {
    inner: Arc<Inner>,
    count: u64,
}

impl Inside {
    fn new(inner: Arc<Inner>) -> Self {
        let mut stats = inner.stats.lock();
        stats.inside += 1;
        stats.inside_most = stats.inside_most.max(stats.inside);
        let count = stats.inside;
        drop(stats);
        Self { inner, count }
    }
}

impl Drop for Inside {
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
