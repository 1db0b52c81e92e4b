//! A request's body that is read to its end even when nobody wants it any more.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{runtime::Handle, time::timeout};
use tokio_util::task::TaskTracker;

use crate::protocol::body::BodyError;

/// Longest time for which an unwanted body is read.
const DRAIN_MAX: Duration = Duration::from_secs(5);

/// Most bytes of an unwanted body that are read.
const DRAIN_MAX_BYTES: usize = 64 * 1024 * 1024;

/// A body that goes on being read, and thrown away, when it is dropped before its end.
///
/// Failure: a gate refuses an upload whose body is still on its way. The server closes a connection
/// that has unread bytes, the system then resets it, and the reset overtakes the refusal: its
/// entry sees a broken link and has to say `unknown` of a request that did not run. Read to its end,
/// nothing is unread when the connection closes.
#[derive(Debug)]
pub struct DrainedBody {
    body: Option<Incoming>,
    /// Whether its sender waits for a word before it sends any of it; reading asks for it.
    is_held_back: bool,
    tracker: TaskTracker,
}

impl DrainedBody {
    /// Wraps `body`; an unwanted rest is read under `tracker`.
    pub fn new(body: Incoming, tracker: TaskTracker) -> Self {
        Self { body: Some(body), is_held_back: false, tracker }
    }

    /// Leaves it unread where nobody has begun to read it, if its sender holds it back until then.
    pub fn with_held_back(mut self, is_held_back: bool) -> Self {
        self.is_held_back = is_held_back;
        self
    }
}

impl Body for DrainedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.is_held_back = false;
        match &mut self.body {
            Some(body) => Pin::new(body).poll_frame(cx).map_err(BodyError::Truncated),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for DrainedBody {
    fn drop(&mut self) {
        let is_held_back = self.is_held_back;
        let unread = self.body.take().filter(|body| !body.is_end_stream() && !is_held_back);
        // Without a runtime the process is ending and its connections with it.
        if let (Some(body), Ok(runtime)) = (unread, Handle::try_current()) {
            self.tracker.spawn_on(drain(body), &runtime);
        }
    }
}

async fn drain(body: Incoming) {
    // Over time: the sender is slow on purpose or gone, and a reset is all that is left.
    let _ = timeout(DRAIN_MAX, discard(body)).await;
}

async fn discard(mut body: Incoming) {
    let mut left = DRAIN_MAX_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let read = frame.data_ref().map_or(0, Bytes::len);
        if read > left {
            return;
        }
        left -= read;
    }
}
