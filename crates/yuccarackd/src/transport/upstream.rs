//! Connections kept to gates and to the target, and answers that give them back.

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

use super::connection::{Connection, SendError, Sending};
use crate::protocol::body::{BodyError, CallBody};

/// Idle connections kept to one address.
const IDLE_MAX: usize = 32;

/// Idle time after which a connection isn't trusted any more: many servers close theirs after 5 s,
/// and a request that meets the closing one has an unknown fate.
const IDLE_TIME_MAX: Duration = Duration::from_secs(4);

/// Longest body of a request that goes over kept connections; the system's buffers take as much.
const SHORT_BODY_MAX_BYTES: u64 = 64 * 1024;

/// Which connections a request may go over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any that is idle; a request that may run twice is sent again if the peer closed it.
    Kept,
    /// Any that has not been idle for longer.
    KeptWithin(Duration),
    /// A new one: the peer can't have closed it for idleness while the request was on its way, so
    /// a request that must not repeat isn't left unknown for so small a thing. Costs one connect.
    New,
}

/// Sends requests, one at a time on each connection; clones share their connections.
#[derive(Clone, Debug)]
pub struct Upstream {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    tracker: TaskTracker,
}

impl Upstream {
    /// Makes an upstream whose connection drivers run under `tracker`.
    pub fn new(tracker: TaskTracker) -> Self {
        Self { idle: Arc::default(), tracker }
    }

    /// Sends `request` to `address`; the answer's body gives the connection back at its end.
    ///
    /// A connection whose answer was abandoned, late or cut is closed and never used again, so
    /// that an answer can't reach another request: it would show as somebody else's logbook page.
    ///
    /// # Errors
    ///
    /// [`SendError`] tells whether anything was handed over.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<CallBody>,
        freshness: Freshness,
    ) -> Result<Response<CallBody>, SendError> {
        let sending = sending_of(&request);
        let freshness = if sending == Sending::Long { Freshness::New } else { freshness };
        let mut connection = match self.take_idle(address, freshness).await {
            Some(connection) => connection,
            None => Connection::open(address, sending, &self.tracker).await?,
        };
        let sent_whole = Arc::new(AtomicBool::new(false));
        let (parts, body) = request.into_parts();
        let watched = WatchedBody::new(body, Arc::clone(&sent_whole)).boxed_unsync();
        let answer = connection.send(Request::from_parts(parts, watched)).await?;
        let is_kept = sending == Sending::Short;
        let lease = Lease { address, connection, sent_whole, is_kept, upstream: self.clone() };
        Ok(answer.map(|body| LeasedBody::new(body, lease).boxed_unsync()))
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.lock().clear();
    }

    async fn take_idle(&self, address: SocketAddr, freshness: Freshness) -> Option<Connection> {
        let idle_max = match freshness {
            Freshness::Kept => IDLE_TIME_MAX,
            Freshness::KeptWithin(idle_max) => idle_max.min(IDLE_TIME_MAX),
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

    fn give_back(&self, address: SocketAddr, mut connection: Connection) {
        connection.rest(Instant::now());
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }
}

fn sending_of(request: &Request<CallBody>) -> Sending {
    let length = request.body().size_hint().upper();
    match length {
        Some(bytes) if bytes <= SHORT_BODY_MAX_BYTES => Sending::Short,
        _ => Sending::Long,
    }
}

/// A connection in use, given back when its answer has been read whole.
#[derive(Debug)]
struct Lease {
    address: SocketAddr,
    connection: Connection,
    sent_whole: Arc<AtomicBool>,
    /// Whether it may carry another request: one that was opened for a long body is slow to tell
    /// that its peer is dead.
    is_kept: bool,
    upstream: Upstream,
}

impl Lease {
    /// An answer may end before its request does; such a connection still has a request on it.
    fn end(self) {
        if self.is_kept && self.sent_whole.load(Ordering::Acquire) {
            self.upstream.give_back(self.address, self.connection);
        }
    }
}

/// An answer's body that holds its connection.
#[derive(Debug)]
struct LeasedBody {
    body: Incoming,
    lease: Option<Lease>,
}

impl LeasedBody {
    fn new(body: Incoming, lease: Lease) -> Self {
        let mut leased = Self { body, lease: Some(lease) };
        if leased.body.is_end_stream() {
            leased.end_lease();
        }
        leased
    }

    fn end_lease(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.end();
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
                    self.end_lease();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.lease = None;
                Poll::Ready(Some(Err(BodyError::Truncated(error))))
            }
            None => {
                self.end_lease();
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

/// A request's body that remembers whether it was read to its end.
struct WatchedBody {
    body: CallBody,
    sent_whole: Arc<AtomicBool>,
}

impl WatchedBody {
    fn new(body: CallBody, sent_whole: Arc<AtomicBool>) -> Self {
        let watched = Self { body, sent_whole };
        watched.note_end();
        watched
    }

    fn note_end(&self) {
        if self.body.is_end_stream() {
            self.sent_whole.store(true, Ordering::Release);
        }
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.sent_whole.store(true, Ordering::Release);
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
