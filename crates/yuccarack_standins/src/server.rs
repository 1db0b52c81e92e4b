//! A small HTTP/1.1 server that can stop gracefully or close all connections at once, like a crash.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Longest wait for a port in use.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two attempts to bind it.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Body of a response; an error in it closes the connection in the middle of the body.
pub type ResponseBody = UnsyncBoxBody<Bytes, ConnectionAborted>;

/// A response, or an error that closes the connection without one.
pub type HandlerResult = Result<Response<ResponseBody>, ConnectionAborted>;

/// Makes the server close the connection instead of completing the response.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stand-in closes the connection")]
pub struct ConnectionAborted;

/// A running server; end it with [`Server::crash`] or [`Server::stop`]. A drop closes all
/// connections without waiting for their tasks.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    crash: CancellationToken,
    stop: CancellationToken,
    tasks: TaskTracker,
    connections: Arc<Connections>,
}

/// Current and peak number of connections of a server.
#[derive(Debug, Default)]
struct Connections {
    open: AtomicUsize,
    peak: AtomicUsize,
}

impl Server {
    /// Serves `listener` with `handler`; connections above `connections_max` are closed at once.
    ///
    /// # Errors
    ///
    /// The listener has no local address.
    pub fn start<H, F>(
        listener: TcpListener,
        connections_max: usize,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let server = Self {
            address: listener.local_addr()?,
            crash: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            connections: Arc::default(),
        };
        let crash = server.crash.clone();
        let stop = server.stop.clone();
        let tasks = server.tasks.clone();
        let connections = Arc::clone(&server.connections);
        server.tasks.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = crash.cancelled() => return,
                    () = stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { continue };
                if connections.open.load(Ordering::Relaxed) >= connections_max {
                    continue;
                }
                let open = OpenConnection::new(Arc::clone(&connections));
                let tokens = (crash.clone(), stop.clone());
                tasks.spawn(serve(stream, tokens, handler.clone(), open));
            }
        });
        Ok(server)
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the highest number of connections that were open at once.
    pub fn peak_connections(&self) -> usize {
        self.connections.peak.load(Ordering::Relaxed)
    }

    /// Closes the listener and all connections at once, also with requests in flight.
    pub async fn crash(&self) {
        self.crash.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Stops listening and waits until the requests in flight are finished.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.crash.cancel();
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection(Arc<Connections>);

impl OpenConnection {
    fn new(connections: Arc<Connections>) -> Self {
        let open = connections.open.fetch_add(1, Ordering::Relaxed) + 1;
        connections.peak.fetch_max(open, Ordering::Relaxed);
        Self(connections)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve<H, F>(
    stream: TcpStream,
    (crash, stop): (CancellationToken, CancellationToken),
    handler: H,
    _open: OpenConnection,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    tokio::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            () = crash.cancelled() => return,
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            // The result doesn't matter: a disconnected caller and an aborted response both end it.
            _ = connection.as_mut() => return,
        }
    }
}

/// Makes a body of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Makes a response of `status` with `body`.
///
/// # Errors
///
/// Never in practice; the return type is that of all handlers.
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> HandlerResult {
    Response::builder().status(status).body(full_body(body)).map_err(|_| ConnectionAborted)
}

/// Makes a response of `status` with `value` as JSON.
///
/// # Errors
///
/// The value can't be serialized.
pub fn respond_json<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let body = serde_json::to_vec(value).map_err(|_| ConnectionAborted)?;
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full_body(body))
        .map_err(|_| ConnectionAborted)
}

/// Reads the full body of a request and parses it as JSON.
///
/// # Errors
///
/// The caller disconnected, or the body isn't the expected JSON.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, ConnectionAborted> {
    let bytes = body.collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| ConnectionAborted)
}

/// Listens on `address`, with retries while the port is in use.
///
/// The retries are for a stand-in that restarts on its port while another test starts a process:
/// between fork and exec the child holds a copy of the old listener, so the port stays in use for
/// some milliseconds.
///
/// # Errors
///
/// The address can't be bound.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    loop {
        match listen_once(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                if Instant::now() >= deadline {
                    return Err(error);
                }
                sleep(LISTEN_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn listen_once(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    // A restarted stand-in binds its old port while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
