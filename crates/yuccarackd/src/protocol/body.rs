//! Request and response bodies on their way through the daemon.

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{header, request::Parts};
use http_body::Frame;
use http_body_util::{
    BodyExt, BodyStream, Empty, Full, Limited, StreamBody, combinators::UnsyncBoxBody,
};
use thiserror::Error;

use super::streamed_body::StreamedBody;

/// A body from any source. An error in it has to reach the reader as an incomplete message.
pub type CallBody = UnsyncBoxBody<Bytes, BodyError>;

/// Reason why a body ended early.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that carried the body failed, or its framing is invalid.
    #[error("the connection failed before the end of the body")]
    Truncated(#[source] hyper::Error),
    /// The deadline of the call passed during the transfer of the body.
    #[error("the deadline passed before the end of the body")]
    DeadlinePassed,
    /// The daemon stops, and the body would arrive too late for a response.
    #[error("the daemon stops before the end of the body")]
    Stopping,
    /// The body exceeds its size limit.
    #[error("the body exceeds its size limit")]
    TooLong,
    /// The body was offered to another receiver, or another receiver has read from it.
    #[error("the body was withdrawn in favor of another receiver")]
    Withdrawn,
}

/// Returns a body without any data.
pub fn empty() -> CallBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that consists of `bytes`.
pub fn full(bytes: Bytes) -> CallBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Limits `body` to `max_bytes`, for a body of undeclared length. A longer one fails with
/// [`BodyError::TooLong`].
pub fn limited(body: CallBody, max_bytes: u64) -> CallBody {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let own_error = |error: Box<dyn std::error::Error + Send + Sync>| match error.downcast() {
        Ok(error) => *error,
        // `Limited` fails either with the error of the body or with its own one.
        Err(_) => BodyError::TooLong,
    };
    Limited::new(body, max_bytes).map_err(own_error).boxed_unsync()
}

/// The first part of a body, and the remainder if there is more.
pub struct BodyStart {
    /// Data that has arrived.
    pub start: Bytes,
    /// Data that is still to come; `None` when the body has ended.
    pub rest: Option<CallBody>,
}

impl BodyStart {
    /// Reads `body` until its end or until more than `threshold_bytes` have arrived.
    ///
    /// # Errors
    ///
    /// Returns the error of the body; data that arrived before it is lost.
    pub async fn read(mut body: CallBody, threshold_bytes: usize) -> Result<Self, BodyError> {
        let mut start = BytesMut::new();
        while start.len() <= threshold_bytes {
            let Some(frame) = body.frame().await else {
                return Ok(Self { start: start.freeze(), rest: None });
            };
            if let Ok(data) = frame?.into_data() {
                start.extend_from_slice(&data);
            }
        }
        Ok(Self { start: start.freeze(), rest: Some(body) })
    }

    /// Reassembles the body from its start and the remainder.
    pub fn into_body(self) -> CallBody {
        match self.rest {
            None => full(self.start),
            Some(rest) => {
                let start = stream::once(async move { Ok(Frame::data(self.start)) });
                let rest = BodyStream::new(rest);
                StreamBody::new(start.chain(rest)).boxed_unsync()
            }
        }
    }
}

/// Body of a request: sent once while it streams, or any number of times once it is buffered.
pub enum SendableBody {
    /// Fully received, for any number of attempts.
    Buffered(Bytes),
    /// Still arriving, for the first receiver that reads from it.
    Streamed(StreamedBody),
}

impl SendableBody {
    /// Takes over a body. Buffers it first if its declared length is at most `buffered_max_bytes`,
    /// or if it declares neither a length nor a transfer encoding and is therefore empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the body; nothing was sent in that case.
    pub async fn read(
        parts: &Parts,
        body: CallBody,
        buffered_max_bytes: usize,
    ) -> Result<Self, BodyError> {
        if !is_buffered(parts, buffered_max_bytes) {
            return Ok(Self::Streamed(StreamedBody::new(body)));
        }
        let received = BodyStart::read(body, buffered_max_bytes).await?;
        Ok(Self::Buffered(received.start))
    }

    /// Returns the complete body if it is buffered.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// Returns whether the body is buffered.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns whether the body can be sent to another receiver.
    pub fn can_be_sent(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(body) => body.is_unread(),
        }
    }

    /// Offers the body to one attempt that may in turn offer it to several receivers, such as a
    /// second connection to the target.
    pub fn nested_offer(&self) -> Self {
        match self {
            Self::Buffered(bytes) => Self::Buffered(bytes.clone()),
            Self::Streamed(body) => Self::Streamed(StreamedBody::new(body.offer())),
        }
    }

    /// Returns the body for the next attempt, which reads it at once.
    pub fn next_body(&self) -> CallBody {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => empty(),
            Self::Buffered(bytes) => full(bytes.clone()),
            Self::Streamed(body) => body.offer(),
        }
    }

    /// Returns the body if it streams. Only a streamed body can be offered before it is sent.
    pub fn streamed(&self) -> Option<&StreamedBody> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(body) => Some(body),
        }
    }
}

/// Returns whether a body is buffered. One with a transfer encoding isn't, since its length is
/// unknown and reading ahead would stall a stream. One without a declared length is empty.
fn is_buffered(parts: &Parts, buffered_max_bytes: usize) -> bool {
    if parts.headers.contains_key(header::TRANSFER_ENCODING) {
        return false;
    }
    match parts.headers.get(header::CONTENT_LENGTH) {
        None => true,
        Some(length) => {
            let length: Option<usize> = length.to_str().ok().and_then(|text| text.parse().ok());
            length.is_some_and(|bytes| bytes <= buffered_max_bytes)
        }
    }
}
