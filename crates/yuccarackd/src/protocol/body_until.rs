//! Body that ends with an error at a deadline or when its daemon stops.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep_until};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use super::body::{BodyError, CallBody};

/// Body that fails at a given moment unless it has ended.
pub struct BodyUntil {
    body: CallBody,
    limit: Limit,
}

/// Moment at which a body fails.
enum Limit {
    /// A deadline; the body fails with [`BodyError::DeadlinePassed`].
    Deadline(Pin<Box<Sleep>>),
    /// The cancellation of a token; the body fails with [`BodyError::Stopping`].
    Stop(Pin<Box<WaitForCancellationFutureOwned>>),
}

impl BodyUntil {
    /// Creates a body that fails at `deadline`.
    pub fn new(body: CallBody, deadline: Instant) -> Self {
        Self { body, limit: Limit::Deadline(Box::pin(sleep_until(deadline.into()))) }
    }

    /// Creates a body that fails when `stop` is cancelled.
    pub fn new_until_stop(body: CallBody, stop: CancellationToken) -> Self {
        Self { body, limit: Limit::Stop(Box::pin(stop.cancelled_owned())) }
    }
}

impl Limit {
    /// Returns the error of the body once the moment has come.
    fn poll_error(&mut self, cx: &mut Context<'_>) -> Option<BodyError> {
        match self {
            Self::Deadline(sleep) => {
                sleep.as_mut().poll(cx).is_ready().then_some(BodyError::DeadlinePassed)
            }
            Self::Stop(stop) => stop.as_mut().poll(cx).is_ready().then_some(BodyError::Stopping),
        }
    }
}

impl Body for BodyUntil {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.body.is_end_stream()
            && let Some(error) = self.limit.poll_error(cx)
        {
            return Poll::Ready(Some(Err(error)));
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
