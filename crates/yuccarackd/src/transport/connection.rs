//! HTTP/1.1 connection to a gate or a target that carries one request at a time.

use std::{
    future::poll_fn,
    net::SocketAddr,
    task::Poll,
    time::{Duration, Instant},
};

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::TaskTracker;
use yuccarack_platform::response_head::{ResponseHeadError, check_response_head};

use super::counted_stream::{CountedStream, HeadLimit, SentBytes};
use crate::protocol::body::CallBody;

/// Longest time for a TCP connect; a peer that takes longer counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest time for which bytes may stay unacknowledged before the connection counts as dead.
///
/// Without it, a request on a connection that died without a reset waits until its caller gives up.
/// A lost packet is retransmitted within 0.3 s, so packet loss alone doesn't end a connection.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(500);

/// The same limit for a connection that carries a long body.
///
/// A busy peer may read nothing for a second. Its receive window then closes, and the kernel counts
/// the waiting bytes as unacknowledged: the short limit cut 2 of 12 uploads of 16 MiB on a busy
/// machine.
const UNACKNOWLEDGED_MAX_LONG: Duration = Duration::from_secs(30);

/// Length class of a request's body, which decides the timeouts of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body fits into the kernel's socket buffers.
    Short,
    /// The body is longer or of unknown length; the peer may read it slowly.
    Long,
}

/// Idle time before the first TCP keepalive probe. Most responses arrive sooner, so few probes are
/// sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered TCP keepalive probes after which the connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 1;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection could not be established; nothing of the request was sent.
    #[error("can't connect to {address}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Whether the peer's kernel refused the connection because nothing listens there.
        is_refused: bool,
    },
    /// The connection failed before a byte of the request was sent.
    #[error("connection failed before any byte of the request was sent")]
    NothingSent,
    /// The connection failed after at least a part of the request was sent.
    #[error("connection failed after at least a part of the request was sent")]
    Broken(#[source] hyper::Error),
    /// The response to the request has a malformed head.
    #[error("malformed response head")]
    Malformed(#[source] ResponseHeadError),
}

impl SendError {
    /// Returns whether it is certain that nothing of the request was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::NothingSent)
    }

    /// Returns why the head of the response is malformed or too long, if that is the error.
    pub fn malformed_head(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Broken(source) if source.is_parse() || HeadLimit::is_exceeded(source) => {
                Some(source)
            }
            Self::Malformed(source) => Some(source),
            Self::Unreachable { .. } | Self::NothingSent | Self::Broken(_) => None,
        }
    }

    /// Returns whether the connection could not be established.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Unreachable { .. })
    }
}

/// Open client connection with its byte count and the time since which it is idle.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<CallBody>,
    sent_bytes: SentBytes,
    head_limit: HeadLimit,
    idle_since: Instant,
    /// When the peer closes the connection if it stays idle; `None` if the peer announced no time.
    idle_deadline: Option<Instant>,
}

impl Connection {
    /// Opens a connection; its driver runs under `tracker` until the connection ends.
    ///
    /// # Errors
    ///
    /// [`SendError::Unreachable`] if it can't be established in time.
    pub async fn open(
        address: SocketAddr,
        body_length: BodyLength,
        tracker: &TaskTracker,
    ) -> Result<Self, SendError> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                return Err(SendError::Unreachable { address, is_refused });
            }
            Err(_) => return Err(SendError::Unreachable { address, is_refused: false }),
        };
        // Nagle's algorithm would delay a small request until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        set_dead_peer_timeouts(&stream, body_length);
        let stream = CountedStream::new(stream);
        let (sent_bytes, head_limit) = (stream.sent_bytes(), stream.head_limit());
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::Unreachable { address, is_refused: false })?;
        tracker.spawn(async move {
            // A failure of the driver is reported by the request that it fails.
            let _ = driver.await;
        });
        let idle_since = Instant::now();
        Ok(Self { sender, sent_bytes, head_limit, idle_since, idle_deadline: None })
    }

    /// Returns whether the connection can carry a request now and became idle at `oldest` or later.
    pub async fn is_usable(&mut self, oldest: Instant) -> bool {
        let is_expired = self.idle_deadline.is_some_and(|deadline| deadline <= Instant::now());
        if self.idle_since < oldest || is_expired || self.sender.is_closed() {
            return false;
        }
        poll_fn(|cx| match self.sender.poll_ready(cx) {
            Poll::Ready(Ok(())) => Poll::Ready(true),
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Ready(false),
        })
        .await
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// Dropping the future abandons the request; the connection must then be dropped as well, also
    /// after an error.
    ///
    /// # Errors
    ///
    /// [`SendError::NothingSent`] only if the count of sent bytes didn't change; otherwise
    /// [`SendError::Broken`] or [`SendError::Malformed`].
    pub async fn send(
        &mut self,
        request: Request<CallBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent_before = self.sent_bytes.total();
        self.head_limit.start();
        let result = self.sender.send_request(request).await;
        self.head_limit.end();
        let response = result.map_err(|error| {
            if self.sent_bytes.total() == sent_before {
                SendError::NothingSent
            } else {
                SendError::Broken(error)
            }
        })?;
        check_response_head(&response).map_err(SendError::Malformed)?;
        Ok(response)
    }

    /// Marks the connection as idle since `now`; the peer keeps it open for `idle_time_max` if it
    /// announced a time.
    pub fn mark_idle(&mut self, now: Instant, idle_time_max: Option<Duration>) {
        self.idle_since = now;
        self.idle_deadline = idle_time_max.and_then(|time| now.checked_add(time));
    }
}

/// Lets the kernel close a connection whose peer no longer responds.
///
/// Errors are ignored: without these options a dead connection is still noticed by the deadlines of
/// its requests.
fn set_dead_peer_timeouts(stream: &TcpStream, body_length: BodyLength) {
    let unacknowledged_max = match body_length {
        BodyLength::Short => UNACKNOWLEDGED_MAX,
        BodyLength::Long => UNACKNOWLEDGED_MAX_LONG,
    };
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged_max));
}
