//! Connection pool for requests to gates and to the target.

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio_util::task::TaskTracker;

use super::{
    connection::{BodyLength, Connection, SendError},
    keep_alive,
};
use crate::protocol::body::{BodyError, CallBody};

/// Most idle connections that are pooled for one address.
const IDLE_MAX: usize = 32;

/// Longest idle time of a pooled connection. Many servers close idle connections after 5 s, and a
/// request that is sent while the peer closes has an unknown outcome.
const IDLE_TIME_MAX: Duration = Duration::from_secs(4);

/// Longest request body that is sent over pooled connections; it fits into the kernel's socket
/// buffers.
const SHORT_BODY_MAX_BYTES: u64 = 64 * 1024;

/// Which connections a request may go over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any idle connection; a request that may run twice is resent if the peer closed it.
    Pooled,
    /// An idle connection that has been idle for at most this time.
    PooledWithin(Duration),
    /// A new connection. The peer can't close it as idle while the request is in transit, so a
    /// request that must not be repeated doesn't end as unknown for that reason. Costs one connect.
    New,
}

/// Sends requests, one at a time per connection; clones share the pool.
#[derive(Clone, Debug)]
pub struct Upstream {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    tracker: TaskTracker,
}

impl Upstream {
    /// Creates an upstream whose connection drivers run under `tracker`.
    pub fn new(tracker: TaskTracker) -> Self {
        Self { idle: Arc::default(), tracker }
    }

    /// Sends `request` to `address`; the connection returns to the pool when the response's body
    /// ends.
    ///
    /// A connection whose response was abandoned, late or truncated is closed and never reused.
    /// Otherwise its response could be delivered to another request, and a caller would get data
    /// that belongs to someone else.
    ///
    /// # Errors
    ///
    /// [`SendError`], which says whether anything was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<CallBody>,
        freshness: Freshness,
    ) -> Result<Response<CallBody>, SendError> {
        self.prepare(address, request, freshness).await?.send().await
    }

    /// Takes a pooled connection or opens a new one, without sending `request` yet.
    ///
    /// # Errors
    ///
    /// [`SendError::Unreachable`] if no connection can be opened.
    pub async fn prepare(
        &self,
        address: SocketAddr,
        request: Request<CallBody>,
        freshness: Freshness,
    ) -> Result<PreparedRequest, SendError> {
        let body_length = classify_body_length(&request);
        let freshness = if body_length == BodyLength::Long { Freshness::New } else { freshness };
        let connection = match self.take_idle(address, freshness).await {
            Some(connection) => connection,
            None => Connection::open(address, body_length, &self.tracker).await?,
        };
        Ok(PreparedRequest { request, address, connection, body_length, upstream: self.clone() })
    }

    /// Closes all idle connections; those in use aren't affected.
    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    async fn take_idle(&self, address: SocketAddr, freshness: Freshness) -> Option<Connection> {
        let idle_max = match freshness {
            Freshness::Pooled => IDLE_TIME_MAX,
            Freshness::PooledWithin(idle_max) => idle_max.min(IDLE_TIME_MAX),
            Freshness::New => return None,
        };
        let oldest = Instant::now().checked_sub(idle_max)?;
        loop {
            let mut connection = self.idle.lock().get_mut(&address)?.pop()?;
            if connection.is_usable(oldest).await {
                return Some(connection);
            }
        }
    }

    fn return_to_pool(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }
}

/// Request with an open connection; dropped, it is not sent and the connection is closed.
pub struct PreparedRequest {
    request: Request<CallBody>,
    address: SocketAddr,
    connection: Connection,
    body_length: BodyLength,
    upstream: Upstream,
}

impl PreparedRequest {
    /// Sends the request, like [`Upstream::send`].
    ///
    /// # Errors
    ///
    /// [`SendError`], which says whether anything was sent.
    pub async fn send(self) -> Result<Response<CallBody>, SendError> {
        let Self { request, address, mut connection, body_length, upstream } = self;
        let sent_fully = Arc::new(AtomicBool::new(false));
        let (parts, body) = request.into_parts();
        let tracked = TrackedBody::new(body, Arc::clone(&sent_fully)).boxed_unsync();
        let response = connection.send(Request::from_parts(parts, tracked)).await?;
        let is_reusable = body_length == BodyLength::Short;
        let idle_time_max = keep_alive::idle_time_max(response.headers());
        let lease = Lease { address, connection, sent_fully, is_reusable, idle_time_max, upstream };
        Ok(response.map(|body| LeasedBody::new(body, lease).boxed_unsync()))
    }
}

fn classify_body_length(request: &Request<CallBody>) -> BodyLength {
    let length = request.body().size_hint().upper();
    match length {
        Some(bytes) if bytes <= SHORT_BODY_MAX_BYTES => BodyLength::Short,
        _ => BodyLength::Long,
    }
}

/// Connection in use, which returns to the pool when its response has been read to the end.
#[derive(Debug)]
struct Lease {
    address: SocketAddr,
    connection: Connection,
    sent_fully: Arc<AtomicBool>,
    /// Whether it may carry another request. One that was opened for a long body is slow to detect
    /// a dead peer.
    is_reusable: bool,
    /// Time for which the peer keeps the idle connection open, if it announced one.
    idle_time_max: Option<Duration>,
    upstream: Upstream,
}

impl Lease {
    /// Returns the connection to the pool if its request was sent to the end as well. A response
    /// may end before its request does, and the connection then still carries the request.
    fn release(self) {
        if self.is_reusable && self.sent_fully.load(Ordering::Acquire) {
            let Self { address, mut connection, idle_time_max, upstream, .. } = self;
            connection.mark_idle(Instant::now(), idle_time_max);
            upstream.return_to_pool(address, connection);
        }
    }
}

/// Response body that holds its connection until the end.
#[derive(Debug)]
struct LeasedBody {
    body: Incoming,
    lease: Option<Lease>,
}

impl LeasedBody {
    fn new(body: Incoming, lease: Lease) -> Self {
        let mut leased = Self { body, lease: Some(lease) };
        if leased.body.is_end_stream() {
            leased.release_connection();
        }
        leased
    }

    fn release_connection(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
    }
}

impl Body for LeasedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match frame {
            Some(Ok(frame)) => {
                if self.body.is_end_stream() {
                    self.release_connection();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.lease = None;
                Poll::Ready(Some(Err(BodyError::Truncated(error))))
            }
            None => {
                self.release_connection();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Request body that records whether it was read to its end.
struct TrackedBody {
    body: CallBody,
    sent_fully: Arc<AtomicBool>,
}

impl TrackedBody {
    fn new(body: CallBody, sent_fully: Arc<AtomicBool>) -> Self {
        let tracked = Self { body, sent_fully };
        tracked.note_end();
        tracked
    }

    fn note_end(&self) {
        if self.body.is_end_stream() {
            self.sent_fully.store(true, Ordering::Release);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.sent_fully.store(true, Ordering::Release);
        } else {
            self.note_end();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
