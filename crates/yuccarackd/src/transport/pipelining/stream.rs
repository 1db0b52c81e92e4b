//! Stream between a socket and hyper that passes on one request at a time and reads ahead.

use std::{
    collections::VecDeque,
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::{Buf, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::io::poll_read_buf;

use super::{
    early_calls::{EarlyCall, EarlyCalls},
    framing::{Framing, RequestExtent, frame, parse_read_head},
    pipeline::{PassedRequest, Pipeline},
};
use crate::transport::call_server::CallHandler;

/// Buffer space reserved for one receive from the socket; most heads fit.
const READ_BYTES: usize = 4 * 1024;

/// Most bytes that are received ahead; TCP flow control stops a client that sends more.
const READ_AHEAD_MAX_BYTES: usize = 64 * 1024;

/// Connection of a caller, between its socket and hyper.
pub struct PipelinedStream<H> {
    stream: TcpStream,
    /// Bytes received from the socket and not yet passed to hyper.
    unread: BytesMut,
    /// Bytes at the start of `unread` that belong to the head that hyper is reading.
    head_remaining_bytes: usize,
    /// Bytes of the body that hyper is reading which aren't passed on yet.
    body_remaining_bytes: u64,
    /// Requests at the start of `unread` of which nothing is passed on yet.
    queued: VecDeque<QueuedRequest>,
    is_eof: bool,
    /// Whether all bytes are passed on as they arrive, since the end of a request isn't known.
    is_passthrough: bool,
    head_max_bytes: usize,
    pipeline: Arc<Pipeline>,
    early_calls: EarlyCalls<H>,
}

/// Complete request that waits for its turn.
struct QueuedRequest {
    extent: RequestExtent,
    received_at: Instant,
    early: Option<EarlyCall>,
}

impl QueuedRequest {
    fn bytes(&self) -> usize {
        let body_bytes = usize::try_from(self.extent.body_bytes).unwrap_or(usize::MAX);
        self.extent.head_bytes.saturating_add(body_bytes)
    }
}

impl<H: CallHandler> PipelinedStream<H> {
    /// Wraps a new connection; heads above `head_max_bytes` are left to hyper, which rejects them.
    pub fn new(
        stream: TcpStream,
        head_max_bytes: usize,
        pipeline: Arc<Pipeline>,
        early_calls: EarlyCalls<H>,
    ) -> Self {
        Self {
            stream,
            unread: BytesMut::new(),
            head_remaining_bytes: 0,
            body_remaining_bytes: 0,
            queued: VecDeque::new(),
            is_eof: false,
            is_passthrough: !H::ACCEPTS_PIPELINING,
            head_max_bytes,
            pipeline,
            early_calls,
        }
    }

    /// Receives available bytes from the socket into `unread`; `Ready` after one receive or at EOF.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // An idle connection holds no buffer.
        ready!(self.stream.poll_read_ready(cx))?;
        self.unread.reserve(READ_BYTES);
        let read = ready!(poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.unread))?;
        self.is_eof = read == 0;
        Poll::Ready(Ok(()))
    }

    /// Passes up to `max_bytes` of `unread` to hyper and returns their number.
    fn pass_bytes(&mut self, max_bytes: usize, buf: &mut ReadBuf<'_>) -> usize {
        let passed = max_bytes.min(self.unread.len()).min(buf.remaining());
        buf.put_slice(&self.unread[..passed]);
        self.unread.advance(passed);
        if self.unread.is_empty() {
            self.unread = BytesMut::new();
        }
        passed
    }

    fn pass_all(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            self.pass_bytes(usize::MAX, buf);
            return Poll::Ready(Ok(()));
        }
        if self.is_eof {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }

    fn pass_body(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let max_bytes = usize::try_from(self.body_remaining_bytes).unwrap_or(usize::MAX);
        if !self.unread.is_empty() {
            self.body_remaining_bytes -= self.pass_bytes(max_bytes, buf) as u64;
            return Poll::Ready(Ok(()));
        }
        if self.is_eof {
            return Poll::Ready(Ok(()));
        }
        if max_bytes < buf.remaining() {
            // Bytes after the body must not reach hyper yet.
            ready!(self.fill(cx))?;
            self.body_remaining_bytes -= self.pass_bytes(max_bytes, buf) as u64;
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.body_remaining_bytes -= (buf.filled().len() - before) as u64;
        Poll::Ready(Ok(()))
    }

    /// Begins the next request; `Ready` when hyper may read again.
    fn pass_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Some(next) = self.queued.pop_front() {
                self.begin_request(
                    next.extent,
                    PassedRequest { received_at: next.received_at, early: next.early },
                );
                return Poll::Ready(Ok(()));
            }
            match frame(&self.unread) {
                Framing::Complete(extent) => {
                    self.begin_request(
                        extent,
                        PassedRequest { received_at: Instant::now(), early: None },
                    );
                    return Poll::Ready(Ok(()));
                }
                Framing::Partial if self.unread.len() <= self.head_max_bytes && !self.is_eof => {
                    ready!(self.fill(cx))?;
                }
                // hyper rejects this head, or only hyper can determine where the request ends. No
                // later request of the connection can be told apart then.
                Framing::Partial | Framing::Ambiguous => {
                    self.is_passthrough = true;
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }

    fn begin_request(&mut self, extent: RequestExtent, request: PassedRequest) {
        self.head_remaining_bytes = extent.head_bytes;
        self.body_remaining_bytes = extent.body_bytes;
        self.pipeline.pass(request);
    }

    /// Reads ahead while a request is in progress. `Ready` only at the end of the connection, where
    /// hyper then cancels all of its calls.
    fn read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.is_eof && self.unread.len() < READ_AHEAD_MAX_BYTES {
            match self.fill(cx) {
                Poll::Ready(filled) => filled?,
                Poll::Pending => break,
            }
        }
        if self.is_eof {
            return Poll::Ready(Ok(()));
        }
        if !self.unread.is_empty() {
            self.find_queued();
            self.start_early();
        }
        Poll::Pending
    }

    /// Queues each complete request that was read ahead with its time of arrival, so that the wait
    /// for its turn counts.
    fn find_queued(&mut self) {
        let mut offset: usize = self.queued.iter().map(QueuedRequest::bytes).sum();
        while offset < self.unread.len() {
            let Framing::Complete(extent) = frame(&self.unread[offset..]) else { return };
            let queued = QueuedRequest { extent, received_at: Instant::now(), early: None };
            let end = offset.saturating_add(queued.bytes());
            if end > self.unread.len() {
                return;
            }
            self.queued.push_back(queued);
            offset = end;
        }
    }

    /// Starts queued reads as long as only reads precede them. A request after one that changes
    /// state may depend on its effect.
    fn start_early(&mut self) {
        if !self.pipeline.is_responding_to_read() {
            return;
        }
        let mut offset = 0;
        for queued in &mut self.queued {
            let end = offset + queued.bytes();
            if queued.early.is_none() {
                if queued.extent.body_bytes > 0 || !self.early_calls.has_room() {
                    return;
                }
                let head = parse_read_head(&self.unread[offset..end]);
                let early = head.and_then(|head| self.early_calls.start(head, queued.received_at));
                if early.is_none() {
                    return;
                }
                queued.early = early;
            }
            offset = end;
        }
    }
}

impl<H: CallHandler> AsyncRead for PipelinedStream<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.is_passthrough {
                return self.pass_all(cx, buf);
            }
            if self.head_remaining_bytes > 0 {
                let max_bytes = self.head_remaining_bytes;
                self.head_remaining_bytes -= self.pass_bytes(max_bytes, buf);
                return Poll::Ready(Ok(()));
            }
            if self.body_remaining_bytes > 0 {
                return self.pass_body(cx, buf);
            }
            if self.pipeline.is_responding(cx) {
                return self.read_ahead(cx);
            }
            ready!(self.pass_next(cx))?;
        }
    }
}

impl<H: CallHandler> AsyncWrite for PipelinedStream<H> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
