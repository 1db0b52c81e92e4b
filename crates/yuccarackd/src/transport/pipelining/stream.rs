//! The stream that hyper reads of: one request at a time, while further ones are looked at.

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
    early::{EarlyCall, EarlyCalls},
    framing::{Extent, Framed, frame, read_head},
    pipeline::{Given, Pipeline},
};
use crate::transport::call_server::CallHandler;

/// Room made for one read of the socket; most heads fit.
const READ_BYTES: usize = 4 * 1024;

/// Most bytes that are read ahead; a sender of more is held up by flow control.
const AHEAD_MAX_BYTES: usize = 64 * 1024;

/// A connection of a caller, between its socket and hyper.
pub struct PipelinedStream<H> {
    stream: TcpStream,
    /// Read of the socket and not yet given to hyper.
    unread: BytesMut,
    /// Bytes of `unread` that belong to the head that hyper reads.
    head_left: usize,
    /// Bytes of the body that hyper reads which are still to come.
    body_left: u64,
    /// Requests at the start of `unread`, of which hyper has nothing yet.
    following: VecDeque<Following>,
    has_ended: bool,
    /// Whether all bytes pass as they come, since the end of a request isn't known.
    passes_all: bool,
    head_max_bytes: usize,
    pipeline: Arc<Pipeline>,
    early_calls: EarlyCalls<H>,
}

/// A request that waits for its turn.
struct Following {
    extent: Extent,
    came_at: Instant,
    early: Option<EarlyCall>,
}

impl Following {
    fn bytes(&self) -> usize {
        let body_bytes = usize::try_from(self.extent.body_bytes).unwrap_or(usize::MAX);
        self.extent.head_bytes.saturating_add(body_bytes)
    }
}

impl<H: CallHandler> PipelinedStream<H> {
    /// Wraps a fresh connection; heads above `head_max_bytes` are left to hyper.
    pub fn new(
        stream: TcpStream,
        head_max_bytes: usize,
        pipeline: Arc<Pipeline>,
        early_calls: EarlyCalls<H>,
    ) -> Self {
        Self {
            stream,
            unread: BytesMut::new(),
            head_left: 0,
            body_left: 0,
            following: VecDeque::new(),
            has_ended: false,
            passes_all: !H::TAKES_PIPELINES,
            head_max_bytes,
            pipeline,
            early_calls,
        }
    }

    /// Reads of the socket what is there; `Ready` once, also at its end.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // An idle connection holds no buffer.
        ready!(self.stream.poll_read_ready(cx))?;
        self.unread.reserve(READ_BYTES);
        let read = ready!(poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.unread))?;
        self.has_ended = read == 0;
        Poll::Ready(Ok(()))
    }

    /// Gives hyper up to `most` of what was read.
    fn give(&mut self, most: usize, buf: &mut ReadBuf<'_>) -> usize {
        let given = most.min(self.unread.len()).min(buf.remaining());
        buf.put_slice(&self.unread[..given]);
        self.unread.advance(given);
        if self.unread.is_empty() {
            self.unread = BytesMut::new();
        }
        given
    }

    fn pass_all(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            self.give(usize::MAX, buf);
            return Poll::Ready(Ok(()));
        }
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }

    fn give_body(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let most = usize::try_from(self.body_left).unwrap_or(usize::MAX);
        if !self.unread.is_empty() {
            self.body_left -= self.give(most, buf) as u64;
            return Poll::Ready(Ok(()));
        }
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        if most < buf.remaining() {
            // What follows the body isn't for hyper yet.
            ready!(self.fill(cx))?;
            self.body_left -= self.give(most, buf) as u64;
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.body_left -= (buf.filled().len() - before) as u64;
        Poll::Ready(Ok(()))
    }

    /// Finds the next request; `Ready` when hyper may read on.
    fn next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Some(next) = self.following.pop_front() {
                self.begin(next.extent, Given { came_at: next.came_at, early: next.early });
                return Poll::Ready(Ok(()));
            }
            match frame(&self.unread) {
                Framed::Whole(extent) => {
                    self.begin(extent, Given { came_at: Instant::now(), early: None });
                    return Poll::Ready(Ok(()));
                }
                Framed::Partial if self.unread.len() <= self.head_max_bytes && !self.has_ended => {
                    ready!(self.fill(cx))?;
                }
                // Refused by hyper, or for hyper alone to understand.
                Framed::Partial | Framed::Unclear => {
                    self.passes_all = true;
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }

    fn begin(&mut self, extent: Extent, given: Given) {
        self.head_left = extent.head_bytes;
        self.body_left = extent.body_bytes;
        self.pipeline.give(given);
    }

    /// Reads on while a request is answered; `Ready` only at the end of the connection, of which
    /// hyper then cancels all calls.
    fn look_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.has_ended && self.unread.len() < AHEAD_MAX_BYTES {
            match self.fill(cx) {
                Poll::Ready(filled) => filled?,
                Poll::Pending => break,
            }
        }
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        if !self.unread.is_empty() {
            self.find_following();
            self.start_early();
        }
        Poll::Pending
    }

    /// Notes when each request that follows came, however long it has to wait for its turn.
    fn find_following(&mut self) {
        let mut at: usize = self.following.iter().map(Following::bytes).sum();
        while at < self.unread.len() {
            let Framed::Whole(extent) = frame(&self.unread[at..]) else { return };
            let following = Following { extent, came_at: Instant::now(), early: None };
            let end = at.saturating_add(following.bytes());
            if end > self.unread.len() {
                return;
            }
            self.following.push_back(following);
            at = end;
        }
    }

    /// Starts reads as long as only reads are before them: what follows an order may depend on it.
    fn start_early(&mut self) {
        if !self.pipeline.answers_read() {
            return;
        }
        let mut at = 0;
        for following in &mut self.following {
            let end = at + following.bytes();
            if following.early.is_none() {
                if following.extent.body_bytes > 0 || !self.early_calls.has_room() {
                    return;
                }
                let head = read_head(&self.unread[at..end]);
                let early = head.and_then(|head| self.early_calls.start(head, following.came_at));
                if early.is_none() {
                    return;
                }
                following.early = early;
            }
            at = end;
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
            if self.passes_all {
                return self.pass_all(cx, buf);
            }
            if self.head_left > 0 {
                let most = self.head_left;
                self.head_left -= self.give(most, buf);
                return Poll::Ready(Ok(()));
            }
            if self.body_left > 0 {
                return self.give_body(cx, buf);
            }
            if self.pipeline.is_answering(cx) {
                return self.look_ahead(cx);
            }
            ready!(self.next(cx))?;
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
