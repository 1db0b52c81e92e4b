//! Queries the target's load endpoint within hard limits on bytes and time.

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
use yuccarack_platform::response_head::{ResponseHeadError, check_response_head};

/// Receive buffer of a probe's socket, in bytes. It is small because the target spends CPU time and
/// bandwidth on each byte of an oversized response that fits into it, even if it is never read.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

/// Load that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TargetLoad {
    /// Requests that the target is processing.
    pub in_flight: u16,
}

/// Result and cost of one load probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadProbe {
    /// Load that the target reported; none without a valid response within the limits.
    pub load: Option<TargetLoad>,
    /// Bytes read from the socket.
    pub bytes: u32,
}

/// Requests the load at `path`, reads at most `bytes_max` bytes and gives up at `give_up_at`.
///
/// An endpoint that responds with megabytes, trickles its response or hangs would make measuring
/// cost a busy target more than its own work. The limit is enforced at the socket, so that no layer
/// above it can read more.
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

/// Why a probe returned no load; callers only see that there is none.
#[derive(Debug, thiserror::Error)]
enum LoadProbeError {
    #[error("can't connect to the load endpoint")]
    Connection(#[from] io::Error),
    #[error("HTTP exchange with the load endpoint failed")]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Head(#[from] ResponseHeadError),
    #[error("path of the load endpoint is not valid in a request")]
    Path(#[from] http::Error),
    #[error("response of the load endpoint is not valid JSON of the load")]
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
        check_response_head(&response)?;
        let body = response.into_body().collect().await?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    };
    // Both run in this future, so that dropping it at the deadline closes the socket.
    let (response, _) = tokio::join!(response, connection);
    response
}

/// TCP stream that fails reads once its budget of bytes is used up.
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
