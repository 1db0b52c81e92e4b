//! TCP stream that counts the bytes sent to the peer.

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

/// TCP stream that counts each byte that the kernel accepted for the peer.
///
/// A request that failed without a change of this count was never sent, whatever error the HTTP
/// library reports. After a single byte its outcome is unknown.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    sent_bytes: SentBytes,
}

impl CountedStream {
    /// Wraps a new connection with a count of zero.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, sent_bytes: SentBytes::default() }
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
