//! State that the stream of a connection shares with the service behind hyper.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::early_calls::EarlyCall;
use crate::protocol::body::{BodyError, CallBody};

/// Request state of one connection, shared by its stream and its service.
#[derive(Default)]
pub struct Pipeline {
    state: Mutex<State>,
    early_finished: Notify,
}

#[derive(Default)]
struct State {
    /// Whether a request is in progress, until its response is sent.
    is_responding: bool,
    /// Whether that request is a read, so that other reads may run concurrently.
    is_read: bool,
    /// Waker of the stream, which waits for the end of that response.
    stream_waker: Option<Waker>,
    /// Request that the stream has passed to hyper and the service hasn't received yet.
    passed: Option<PassedRequest>,
    early_count: usize,
}

/// Request that the stream passes to hyper.
pub(super) struct PassedRequest {
    /// Time at which its complete head had arrived.
    pub received_at: Instant,
    /// Early read, if the request was started as one.
    pub early: Option<EarlyCall>,
}

/// Request whose turn on the connection has come.
pub struct Turn {
    /// Time at which its complete head had arrived.
    pub received_at: Instant,
    /// Early read, if the request was started as one.
    pub early: Option<EarlyCall>,
    /// Held until the response is sent.
    pub guard: ResponseGuard,
}

/// Marks a request as in progress until it is dropped, and then wakes the stream.
pub struct ResponseGuard(Arc<Pipeline>);

/// Counts an early read until it is dropped.
pub(super) struct EarlyGuard(Arc<Pipeline>);

impl Pipeline {
    /// Creates the state of a new connection, without a request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins the turn of the request that hyper dispatches; reads may run concurrently with it if
    /// `is_read`.
    pub fn take_turn(self: &Arc<Self>, is_read: bool) -> Turn {
        let mut state = self.state.lock();
        state.is_responding = true;
        state.is_read = is_read;
        let passed = state.passed.take();
        drop(state);
        let (received_at, early) = match passed {
            Some(passed) => (passed.received_at, passed.early),
            None => (Instant::now(), None),
        };
        Turn { received_at, early, guard: ResponseGuard(Arc::clone(self)) }
    }

    /// Returns whether there are early reads, running or completed.
    pub fn has_early(&self) -> bool {
        self.early_count() > 0
    }

    /// Waits until there are no early reads, running or completed.
    pub async fn wait_none_early(&self) {
        loop {
            let finished = self.early_finished.notified();
            if !self.has_early() {
                return;
            }
            finished.await;
        }
    }

    pub(super) fn early_count(&self) -> usize {
        self.state.lock().early_count
    }

    pub(super) fn begin_early(self: &Arc<Self>) -> EarlyGuard {
        self.state.lock().early_count += 1;
        EarlyGuard(Arc::clone(self))
    }

    /// Stores the request that hyper reads next.
    pub(super) fn pass(&self, request: PassedRequest) {
        self.state.lock().passed = Some(request);
    }

    /// Returns whether a request is in progress; if so, `cx` is woken at the end of its response.
    pub(super) fn is_responding(&self, cx: &Context<'_>) -> bool {
        let mut state = self.state.lock();
        if !state.is_responding {
            return false;
        }
        match &mut state.stream_waker {
            Some(waker) => waker.clone_from(cx.waker()),
            none => *none = Some(cx.waker().clone()),
        }
        true
    }

    /// Returns whether a request is in progress that is a read.
    pub(super) fn is_responding_to_read(&self) -> bool {
        let state = self.state.lock();
        state.is_responding && state.is_read
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.is_responding = false;
        let waker = state.stream_waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl Drop for EarlyGuard {
    fn drop(&mut self) {
        self.0.state.lock().early_count -= 1;
        self.0.early_finished.notify_one();
    }
}

/// Response body that keeps its request marked as in progress until hyper has sent or dropped it.
pub struct GuardedBody {
    body: CallBody,
    _guard: ResponseGuard,
}

impl ResponseGuard {
    /// Attaches the guard to `body`, so that it lasts until the body has been sent or dropped.
    pub fn hold_until_sent(self, body: CallBody) -> GuardedBody {
        GuardedBody { body, _guard: self }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
