//! A small HTTP/1.1 server that can be stopped gracefully or cut off at once, as a crash would.

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

/// Longest wait for a port that is in use.
const LISTEN_MAX: Duration = Duration::from_secs(10);
/// Wait between two tries to get it.
const LISTEN_PAUSE: Duration = Duration::from_millis(10);

/// Body of an answer; an error cuts the connection in mid-body.
pub type ResponseBody = UnsyncBoxBody<Bytes, ConnectionAborted>;

/// An answer, or none and a cut connection.
pub type HandlerResult = Result<Response<ResponseBody>, ConnectionAborted>;

/// Says that the connection is cut instead of answered.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stand-in cuts the connection")]
pub struct ConnectionAborted;

/// A running server; its owner ends it by [`Server::crash`] or [`Server::stop`].
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    crash: CancellationToken,
    stop: CancellationToken,
    tasks: TaskTracker,
    connections: Arc<Connections>,
}

/// Connections of one server, now and at most.
#[derive(Debug, Default)]
struct Connections {
    open: AtomicUsize,
    most: AtomicUsize,
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
                let ends = (crash.clone(), stop.clone());
                tasks.spawn(serve(stream, ends, handler.clone(), open));
            }
        });
        Ok(server)
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Most connections that were open at once.
    pub fn peak_connections(&self) -> usize {
        self.connections.most.load(Ordering::Relaxed)
    }

    /// Closes the listener and all connections at once, answered or not.
    pub async fn crash(&self) {
        self.crash.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Stops listening, lets the requests in flight end, and joins all connections.
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

/// Counts one connection for as long as it is open.
struct OpenConnection(Arc<Connections>);

impl OpenConnection {
    fn new(connections: Arc<Connections>) -> Self {
        let open = connections.open.fetch_add(1, Ordering::Relaxed) + 1;
        connections.most.fetch_max(open, Ordering::Relaxed);
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
            // A caller that hung up or an answer that was cut ends the connection either way.
            _ = connection.as_mut() => return,
        }
    }
}

/// A whole body.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer of `status` with `body`.
///
/// # Errors
///
/// Never in practice; the type is that of all answers.
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> HandlerResult {
    Response::builder().status(status).body(full_body(body)).map_err(|_| ConnectionAborted)
}

/// An answer of 200 with `value` as JSON.
///
/// # Errors
///
/// The value has no form in JSON.
pub fn respond_json<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let body = serde_json::to_vec(value).map_err(|_| ConnectionAborted)?;
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full_body(body))
        .map_err(|_| ConnectionAborted)
}

/// Reads a whole body and takes it as JSON.
///
/// # Errors
///
/// The caller hung up or sent something else.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, ConnectionAborted> {
    let bytes = body.collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| ConnectionAborted)
}

/// Listens on `address`.
///
/// Failure: a stand-in that crashed comes back on its port while another test starts a process. Until
/// that process has been replaced by its program it holds a copy of the old listener, and the
/// port is in use for some milliseconds. So a port in use is tried again for a while.
///
/// # Errors
///
/// The address can't be bound.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let give_up_at = Instant::now() + LISTEN_MAX;
    loop {
        match listen_once(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                if Instant::now() >= give_up_at {
                    return Err(error);
                }
                sleep(LISTEN_PAUSE).await;
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
    // A stand-in that crashed comes back on the same port while old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
