//! Request body whose unread rest is read and discarded when its consumer drops it.

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

/// Longest time for which the rest of a dropped body is read.
const DISCARD_MAX: Duration = Duration::from_secs(5);

/// Most bytes of a dropped body that are read and discarded.
const DISCARD_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Request body whose rest is read and discarded when it is dropped before its end.
///
/// When a gate refuses an upload whose body is still arriving, the server closes a connection with
/// unread bytes. The kernel then resets it, and the reset overtakes the refusal: the entry sees a
/// broken connection and has to report `unknown` for a request that did not run. Discarding the
/// rest leaves nothing unread when the connection closes.
#[derive(Debug)]
pub struct DiscardOnDropBody {
    body: Option<Incoming>,
    /// Whether the sender waits for `100 Continue`, which hyper sends on the first read.
    expects_continue: bool,
    tracker: TaskTracker,
}

impl DiscardOnDropBody {
    /// Wraps `body`; a task under `tracker` discards its rest if it is dropped before its end.
    pub fn new(body: Incoming, tracker: TaskTracker) -> Self {
        Self { body: Some(body), expects_continue: false, tracker }
    }

    /// Sets whether the sender waits for `100 Continue`. The rest of such a body isn't read if
    /// nothing of it was read before, because its sender hasn't begun to send it.
    pub fn with_expect_continue(mut self, expects_continue: bool) -> Self {
        self.expects_continue = expects_continue;
        self
    }
}

impl Body for DiscardOnDropBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.expects_continue = false;
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

impl Drop for DiscardOnDropBody {
    fn drop(&mut self) {
        let expects_continue = self.expects_continue;
        let unread = self.body.take().filter(|body| !body.is_end_stream() && !expects_continue);
        // Without a runtime the process is exiting, and its connections close with it.
        if let (Some(body), Ok(runtime)) = (unread, Handle::try_current()) {
            self.tracker.spawn_on(discard(body), &runtime);
        }
    }
}

async fn discard(body: Incoming) {
    // After the timeout the sender is deliberately slow or has vanished, and the connection may be
    // reset.
    let _ = timeout(DISCARD_MAX, read_to_end(body)).await;
}

async fn read_to_end(mut body: Incoming) {
    let mut remaining_bytes = DISCARD_MAX_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let read = frame.data_ref().map_or(0, Bytes::len);
        if read > remaining_bytes {
            return;
        }
        remaining_bytes -= read;
    }
}
