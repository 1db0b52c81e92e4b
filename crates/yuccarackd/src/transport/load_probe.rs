//! One look at the target's load endpoint, hard-bounded in bytes and time.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
    time::timeout_at,
};

/// Receive buffer of a look's socket; what a noisy endpoint pushes into it has left the target
/// though nobody reads it.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

/// What a target says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TargetLoad {
    /// Requests inside the target.
    pub in_flight: u16,
}

/// The end of a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadProbe {
    /// What the target said, unless it said nothing that makes sense within the bounds.
    pub load: Option<TargetLoad>,
    /// Bytes that were read.
    pub bytes: u32,
}

/// Asks for the load at `path`, reads `bytes_max` bytes at most and gives up at `give_up_at`.
///
/// Failure: an endpoint answers with megabytes of noise, or trickles or hangs, and measuring costs
/// a busy target more than its work. The socket itself refuses to read on past the budget, so no
/// layer above it can.
pub async fn probe_load(
    address: SocketAddr,
    path: &str,
    bytes_max: u32,
    give_up_at: Instant,
) -> LoadProbe {
    let budget = Arc::new(AtomicU32::new(bytes_max));
    let request = request_load(address, path, Arc::clone(&budget));
    let load = match timeout_at(give_up_at.into(), request).await {
        Ok(Ok(load)) => Some(load),
        Ok(Err(_)) | Err(_) => None,
    };
    LoadProbe { load, bytes: bytes_max - budget.load(Ordering::Acquire) }
}

/// Why a look gave no load; only its count matters.
#[derive(Debug, thiserror::Error)]
enum LoadProbeError {
    #[error("the load endpoint can't be reached")]
    Connection(#[from] io::Error),
    #[error("the load endpoint's answer broke")]
    Http(#[from] hyper::Error),
    #[error("the load endpoint's path is no path")]
    Path(#[from] http::Error),
    #[error("the load endpoint's answer makes no sense")]
    Response(#[from] serde_json::Error),
}

async fn request_load(
    address: SocketAddr,
    path: &str,
    budget: Arc<AtomicU32>,
) -> Result<TargetLoad, LoadProbeError> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = BoundedStream { stream: socket.connect(address).await?, budget };
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::<Bytes>::new())?;
    let response = async move {
        let response = sender.send_request(request).await?;
        let body = response.into_body().collect().await?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    };
    // Both in this future, so that dropping it at the deadline closes the socket.
    let (response, _) = tokio::join!(response, connection);
    response
}

/// A stream that reads no more than its budget.
struct BoundedStream {
    stream: TcpStream,
    budget: Arc<AtomicU32>,
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining = self.budget.load(Ordering::Acquire);
        if remaining == 0 {
            return Poll::Ready(Err(io::ErrorKind::QuotaExceeded.into()));
        }
        let mut part = vec![0; buf.remaining().min(remaining as usize)];
        let mut part = ReadBuf::new(&mut part);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        buf.put_slice(part.filled());
        let read = u32::try_from(part.filled().len()).unwrap_or(remaining);
        self.budget.fetch_sub(read, Ordering::AcqRel);
        polled
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
