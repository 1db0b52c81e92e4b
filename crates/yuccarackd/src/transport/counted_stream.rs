//! A TCP stream that counts what was handed to the peer.

use std::{
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

/// Bytes handed to the peer so far; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SentBytes(Arc<AtomicU64>);

impl SentBytes {
    /// The bytes so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.0.fetch_add(*bytes as u64, Ordering::AcqRel);
        }
    }
}

/// Counts each byte that the operating system took for the peer.
///
/// A request that failed while this count stood still was never handed over, whatever the HTTP
/// library says of the failure; one more byte and its fate is unknown.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    sent_bytes: SentBytes,
}

impl CountedStream {
    /// Wraps a fresh connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, sent_bytes: SentBytes::default() }
    }

    /// The count, to be read while the stream is in use.
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
