//! What the stream of a connection and the service behind hyper know of each other.

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

/// One connection, as its stream and its service share it.
#[derive(Default)]
pub struct Pipeline {
    state: Mutex<State>,
    early_finished: Notify,
}

#[derive(Default)]
struct State {
    /// Whether a request is being answered.
    is_responding: bool,
    /// Whether that one is a read, so that others may run beside it.
    is_read: bool,
    /// Who waits for the end of that answer.
    stream_waker: Option<Waker>,
    /// The request that the stream has given to hyper.
    passed: Option<PassedRequest>,
    early_count: usize,
}

/// A request that the stream gives to hyper.
pub(super) struct PassedRequest {
    /// When it came.
    pub received_at: Instant,
    /// Its call, if it was started early.
    pub early: Option<EarlyCall>,
}

/// A request whose turn has come.
pub struct Turn {
    /// When it came.
    pub received_at: Instant,
    /// Its call, if it was started early.
    pub early: Option<EarlyCall>,
    /// Kept until it is answered.
    pub guard: ResponseGuard,
}

/// Held while a request is answered.
pub struct ResponseGuard(Arc<Pipeline>);

/// Held while a read runs, or waits answered, before its turn.
pub(super) struct EarlyGuard(Arc<Pipeline>);

impl Pipeline {
    /// Starts without a request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the request that hyper hands over; reads may run beside it if `is_read`.
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

    /// Whether reads run, or wait answered, before their turn.
    pub fn has_early(&self) -> bool {
        self.early_count() > 0
    }

    /// Waits until no read runs, or waits answered, before its turn.
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

    /// Notes what hyper reads next.
    pub(super) fn pass(&self, request: PassedRequest) {
        self.state.lock().passed = Some(request);
    }

    /// Whether a request is being answered; if so, `cx` is woken at its end.
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

    /// Whether the request that is being answered is a read.
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

/// An answer's body; the next request's turn comes when hyper has taken it whole or dropped it.
pub struct TurnBody {
    body: CallBody,
    _guard: ResponseGuard,
}

impl ResponseGuard {
    /// Holds the turn until `body` has been sent.
    pub fn hold_until_sent(self, body: CallBody) -> TurnBody {
        TurnBody { body, _guard: self }
    }
}

impl Body for TurnBody {
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
