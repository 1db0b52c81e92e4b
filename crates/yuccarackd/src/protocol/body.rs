//! Bodies of requests and answers on their way through the daemon.

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{header, request::Parts};
use http_body::Frame;
use http_body_util::{
    BodyExt, BodyStream, Empty, Full, Limited, StreamBody, combinators::UnsyncBoxBody,
};
use thiserror::Error;

use super::streamed_body::StreamedBody;

/// A body of any origin; an error in it must reach the reader as a broken message.
pub type CallBody = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended before its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection it came over broke, or its framing is wrong.
    #[error("the body was cut")]
    Truncated(#[source] hyper::Error),
    /// The call's deadline passed while the body was on its way.
    #[error("the deadline passed before the body's end")]
    DeadlinePassed,
    /// More of it came than is allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It was offered to another receiver, or taken by one.
    #[error("the body is no longer offered here")]
    Withdrawn,
}

/// A body with nothing in it.
pub fn empty() -> CallBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is all there.
pub fn full(bytes: Bytes) -> CallBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// `body`, which breaks off after `max_bytes`; for one that doesn't tell its length.
pub fn limited(body: CallBody, max_bytes: u64) -> CallBody {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let own_error = |error: Box<dyn std::error::Error + Send + Sync>| match error.downcast() {
        Ok(error) => *error,
        // The limit's own error, since the body has none but ours.
        Err(_) => BodyError::TooLong,
    };
    Limited::new(body, max_bytes).map_err(own_error).boxed_unsync()
}

/// The start of a body, and the rest of it if there is more.
pub struct BodyStart {
    /// What has arrived.
    pub start: Bytes,
    /// What is still to come; unset when the body has ended.
    pub rest: Option<CallBody>,
}

impl BodyStart {
    /// Reads `body` until its end or until more than `threshold_bytes` have arrived.
    ///
    /// # Errors
    ///
    /// The body's own error; what had arrived is lost with it.
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

    /// The body as it was, its start first.
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

/// A request's body that is sent once, or as often as wanted if it is all there.
pub enum SendableBody {
    /// All there, for as many tries as wanted.
    Buffered(Bytes),
    /// Still arriving, for the first one who takes any of it.
    Streamed(StreamedBody),
}

impl SendableBody {
    /// Takes a body in; one of up to `buffered_max_bytes` is read whole first.
    ///
    /// # Errors
    ///
    /// The body's own error; nothing was sent.
    pub async fn read(
        parts: &Parts,
        body: CallBody,
        buffered_max_bytes: usize,
    ) -> Result<Self, BodyError> {
        if !is_buffered(parts, buffered_max_bytes) {
            return Ok(Self::Streamed(StreamedBody::new(body)));
        }
        let read = BodyStart::read(body, buffered_max_bytes).await?;
        Ok(Self::Buffered(read.start))
    }

    /// The whole body, where it is all there.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// Whether it is all there.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Whether it can be sent another time.
    pub fn can_be_sent(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(body) => body.is_unread(),
        }
    }

    /// The body for a try that may send it again itself.
    pub fn resendable(&self) -> Self {
        match self {
            Self::Buffered(bytes) => Self::Buffered(bytes.clone()),
            Self::Streamed(body) => Self::Streamed(StreamedBody::new(body.offer())),
        }
    }

    /// The body for the next try, which reads it at once.
    pub fn next_body(&self) -> CallBody {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => empty(),
            Self::Buffered(bytes) => full(bytes.clone()),
            Self::Streamed(body) => body.offer(),
        }
    }

    /// The body, if it is streamed: it can be offered before it is sent.
    pub fn streamed(&self) -> Option<&StreamedBody> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(body) => Some(body),
        }
    }
}

/// A body of unknown length isn't kept: reading ahead would hold up a stream.
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
