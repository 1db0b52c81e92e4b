//! Response body that ends with an error at a deadline.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep_until};

use super::body::{BodyError, CallBody};

/// Body that fails with [`BodyError::DeadlinePassed`] at a deadline unless it has ended.
pub struct BodyUntil {
    body: CallBody,
    deadline: Pin<Box<Sleep>>,
}

impl BodyUntil {
    /// Creates a body that ends at `deadline`.
    pub fn new(body: CallBody, deadline: Instant) -> Self {
        Self { body, deadline: Box::pin(sleep_until(deadline.into())) }
    }
}

impl Body for BodyUntil {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.body.is_end_stream() && self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
