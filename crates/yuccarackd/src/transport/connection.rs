//! One HTTP/1.1 connection to a gate or a target, with one request at a time on it.

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

use super::counted_stream::{CountedStream, SentBytes};
use crate::protocol::body::CallBody;

/// Longest wait for a connection; an instance that takes longer is as good as away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest time for which bytes may stay unacknowledged before the connection counts as dead.
///
/// Failure: a connection dies without a reset, and what is sent on it waits until its caller gives
/// up. A lost packet is sent again within 0.3 s, so that alone doesn't end it.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(500);

/// The same where a long body is sent.
///
/// Failure: a peer that is busy reads nothing for a second, its window closes, and the system counts
/// that as unacknowledged too: 2 of 12 uploads of 16 MiB were cut on a busy machine.
const UNACKNOWLEDGED_MAX_LONG: Duration = Duration::from_secs(30);

/// What a connection is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// Requests that fit into the system's buffers.
    Short,
    /// A request with a long body, for which its peer may take its time.
    Long,
}

/// Silence after which the peer's system is asked whether the connection still stands; an answer
/// that is waited for usually comes sooner, so this costs next to nothing.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Questions without an answer after which the connection is dead.
const KEEPALIVE_RETRIES: u32 = 1;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be made; nothing was handed over.
    #[error("no connection to {address} could be made")]
    Unreachable {
        /// Who was to be reached.
        address: SocketAddr,
        /// Whether the peer's system refused: nothing listens there.
        refused: bool,
    },
    /// The connection broke before a byte of the request was handed over.
    #[error("the connection broke before anything was handed over")]
    NothingSent,
    /// The connection broke after some of the request was handed over.
    #[error("the connection broke after something was handed over")]
    Broken(#[source] hyper::Error),
}

impl SendError {
    /// Whether it is proved that nothing of the request was handed over.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::NothingSent)
    }

    /// Whether no connection could be made at all.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Unreachable { .. })
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<CallBody>,
    sent_bytes: SentBytes,
    idle_since: Instant,
}

impl Connection {
    /// Opens a connection; its driver runs under `tracker` until the connection ends.
    ///
    /// # Errors
    ///
    /// [`SendError::Unreachable`] when none could be made in time.
    pub async fn open(
        address: SocketAddr,
        body_length: BodyLength,
        tracker: &TaskTracker,
    ) -> Result<Self, SendError> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                return Err(SendError::Unreachable { address, refused });
            }
            Err(_) => return Err(SendError::Unreachable { address, refused: false }),
        };
        // Small requests must not wait for the peer's acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        set_dead_peer_timeouts(&stream, body_length);
        let stream = CountedStream::new(stream);
        let sent_bytes = stream.sent_bytes();
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::Unreachable { address, refused: false })?;
        tracker.spawn(async move {
            // The driver's failure is the request's failure and is told there.
            let _ = driver.await;
        });
        Ok(Self { sender, sent_bytes, idle_since: Instant::now() })
    }

    /// Whether the connection can take a request now, and has not been idle since before
    /// `oldest`.
    pub async fn is_usable(&mut self, oldest: Instant) -> bool {
        if self.idle_since < oldest || self.sender.is_closed() {
            return false;
        }
        poll_fn(|cx| match self.sender.poll_ready(cx) {
            Poll::Ready(Ok(())) => Poll::Ready(true),
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Ready(false),
        })
        .await
    }

    /// Sends one request and waits for the head of its answer.
    ///
    /// Dropping the future abandons the request; the connection must then be dropped too.
    ///
    /// # Errors
    ///
    /// [`SendError::NothingSent`] only while the count of handed-over bytes stood still.
    pub async fn send(
        &mut self,
        request: Request<CallBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent_before = self.sent_bytes.total();
        let result = self.sender.send_request(request).await;
        result.map_err(|error| {
            if self.sent_bytes.total() == sent_before {
                SendError::NothingSent
            } else {
                SendError::Broken(error)
            }
        })
    }

    /// Marks the connection as idle from `now` on.
    pub fn mark_idle(&mut self, now: Instant) {
        self.idle_since = now;
    }
}

/// Lets the system end a connection whose peer has fallen silent.
///
/// Without these options a dead connection is noticed by its requests' deadlines only, so their
/// failure is left at that.
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
