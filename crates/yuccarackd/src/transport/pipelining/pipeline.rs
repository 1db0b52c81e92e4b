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

use super::early::EarlyCall;
use crate::protocol::body::{BodyError, CallBody};

/// One connection, as its stream and its service share it.
#[derive(Default)]
pub struct Pipeline {
    state: Mutex<State>,
    early_ended: Notify,
}

#[derive(Default)]
struct State {
    /// Whether a request is being answered.
    is_answering: bool,
    /// Whether that one is a read, so that others may run beside it.
    is_read: bool,
    /// Who waits for the end of that answer.
    reader: Option<Waker>,
    /// The request that the stream has given to hyper.
    given: Option<Given>,
    early: usize,
}

/// A request that the stream gives to hyper.
pub(super) struct Given {
    /// When it came.
    pub came_at: Instant,
    /// Its call, if it was started early.
    pub early: Option<EarlyCall>,
}

/// A request whose turn has come.
pub struct Turn {
    /// When it came.
    pub came_at: Instant,
    /// Its call, if it was started early.
    pub early: Option<EarlyCall>,
    /// Kept until it is answered.
    pub answering: Answering,
}

/// Held while a request is answered.
pub struct Answering(Arc<Pipeline>);

/// Held while a read runs, or waits answered, before its turn.
pub(super) struct EarlyCount(Arc<Pipeline>);

impl Pipeline {
    /// Starts without a request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the request that hyper hands over; reads may run beside it if `is_read`.
    pub fn take_turn(self: &Arc<Self>, is_read: bool) -> Turn {
        let mut state = self.state.lock();
        state.is_answering = true;
        state.is_read = is_read;
        let given = state.given.take();
        drop(state);
        let (came_at, early) = match given {
            Some(given) => (given.came_at, given.early),
            None => (Instant::now(), None),
        };
        Turn { came_at, early, answering: Answering(Arc::clone(self)) }
    }

    /// Whether reads run, or wait answered, before their turn.
    pub fn has_early(&self) -> bool {
        self.early() > 0
    }

    /// Waits until no read runs, or waits answered, before its turn.
    pub async fn until_none_early(&self) {
        loop {
            let ended = self.early_ended.notified();
            if !self.has_early() {
                return;
            }
            ended.await;
        }
    }

    pub(super) fn early(&self) -> usize {
        self.state.lock().early
    }

    pub(super) fn count_early(self: &Arc<Self>) -> EarlyCount {
        self.state.lock().early += 1;
        EarlyCount(Arc::clone(self))
    }

    /// Notes what hyper reads next.
    pub(super) fn give(&self, given: Given) {
        self.state.lock().given = Some(given);
    }

    /// Whether a request is being answered; if so, `cx` is woken at its end.
    pub(super) fn is_answering(&self, cx: &Context<'_>) -> bool {
        let mut state = self.state.lock();
        if !state.is_answering {
            return false;
        }
        match &mut state.reader {
            Some(reader) => reader.clone_from(cx.waker()),
            none => *none = Some(cx.waker().clone()),
        }
        true
    }

    /// Whether the request that is being answered is a read.
    pub(super) fn answers_read(&self) -> bool {
        let state = self.state.lock();
        state.is_answering && state.is_read
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.is_answering = false;
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
    }
}

impl Drop for EarlyCount {
    fn drop(&mut self) {
        self.0.state.lock().early -= 1;
        self.0.early_ended.notify_one();
    }
}

/// An answer's body; the next request's turn comes when hyper has taken it whole or dropped it.
pub struct TurnBody {
    body: CallBody,
    _answering: Answering,
}

impl Answering {
    /// Holds the turn until `body` has been sent.
    pub fn until_sent(self, body: CallBody) -> TurnBody {
        TurnBody { body, _answering: self }
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
