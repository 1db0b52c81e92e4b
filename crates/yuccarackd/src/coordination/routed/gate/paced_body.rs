//! Body of a long response, which is sent in pieces at the pace of the link.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::link::LinkShare;
use crate::protocol::body::{BodyError, CallBody};

/// A body that yields the data of another one in small pieces, each when the link has room for it.
pub struct PacedBody {
    inner: CallBody,
    /// Data from `inner` that has not been sent.
    unsent: Bytes,
    share: LinkShare,
}

impl PacedBody {
    /// Paces `inner` by its `share` in the link.
    pub fn new(inner: CallBody, share: LinkShare) -> Self {
        Self { inner, unsent: Bytes::new(), share }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        while self.unsent.is_empty() {
            match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.unsent = data,
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                end => return Poll::Ready(end),
            }
        }
        let available_bytes = self.unsent.len();
        let piece_bytes = ready!(self.share.poll_piece(cx, available_bytes));
        let piece = self.unsent.split_to(piece_bytes.min(available_bytes));
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let unsent_bytes = self.unsent.len() as u64;
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower().saturating_add(unsent_bytes));
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper.saturating_add(unsent_bytes));
        }
        hint
    }
}
