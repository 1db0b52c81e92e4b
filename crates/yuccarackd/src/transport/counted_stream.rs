//! TCP stream that counts the bytes sent to the peer and limits the head of its response.

use std::{
    error::Error,
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Count of bytes that were sent to the peer; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SentBytes(Arc<AtomicU64>);

impl SentBytes {
    /// Returns the number of bytes sent so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.0.fetch_add(*bytes as u64, Ordering::AcqRel);
        }
    }
}

/// Longest head of a response, with all interim responses before it.
const RESPONSE_HEAD_MAX_BYTES: u64 = 64 * 1024;

/// Limit of what the peer sends before the head of its response is complete; clones share it.
///
/// The HTTP library limits a single head only. Interim responses without an end would occupy the
/// process until the deadline of the request.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    /// Number of bytes that may still be received; `u64::MAX` while no head is expected.
    remaining_bytes: Arc<AtomicU64>,
}

impl HeadLimit {
    fn new() -> Self {
        Self { remaining_bytes: Arc::new(AtomicU64::new(u64::MAX)) }
    }

    /// Limits what is received from now on.
    pub fn start(&self) {
        self.remaining_bytes.store(RESPONSE_HEAD_MAX_BYTES, Ordering::Release);
    }

    /// Ends the limit; the head is complete.
    pub fn end(&self) {
        self.remaining_bytes.store(u64::MAX, Ordering::Release);
    }

    /// Returns whether `error` is that of a read beyond the limit.
    pub fn is_exceeded(error: &hyper::Error) -> bool {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        source.is_some_and(|source| source.kind() == io::ErrorKind::QuotaExceeded)
    }

    fn check(&self) -> io::Result<()> {
        match self.remaining_bytes.load(Ordering::Acquire) {
            0 => Err(io::ErrorKind::QuotaExceeded.into()),
            _ => Ok(()),
        }
    }

    /// Counts received bytes. A read may exceed the limit, since the start of the body may follow
    /// the head; only the next one fails.
    fn record_received(&self, bytes: usize) {
        let subtract = |remaining: u64| match remaining {
            u64::MAX => None,
            _ => Some(remaining.saturating_sub(bytes as u64)),
        };
        let _ = self.remaining_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, subtract);
    }
}

/// TCP stream that counts each byte that the kernel accepted for the peer.
///
/// A request that failed without a change of this count was never sent, whatever error the HTTP
/// library reports. After a single byte its outcome is unknown.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    sent_bytes: SentBytes,
    head_limit: HeadLimit,
}

impl CountedStream {
    /// Wraps a new connection with a count of zero.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, sent_bytes: SentBytes::default(), head_limit: HeadLimit::new() }
    }

    /// Returns a handle to the limit of response heads, which is not in force yet.
    pub fn head_limit(&self) -> HeadLimit {
        self.head_limit.clone()
    }

    /// Returns a handle to the count that can be read while the stream is in use.
    pub fn sent_bytes(&self) -> SentBytes {
        self.sent_bytes.clone()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.head_limit.check()?;
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.head_limit.record_received(buf.filled().len() - filled_before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.sent_bytes.add(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.sent_bytes.add(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
