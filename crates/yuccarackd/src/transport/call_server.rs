//! HTTP/1.1 server that cancels a request when its client disconnects.

use std::{
    future::Future,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use http::{Method, Request, Response, header, request::Parts};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    discard_on_drop_body::DiscardOnDropBody,
    pipelining::{EarlyCalls, Pipeline, PipelinedStream, Turn},
};
use crate::{protocol::body::CallBody, state::counters::Counters};

/// Longest wait for a complete request head, so that a slow sender can't occupy a connection.
///
/// The timeout also applies to idle connections. If it were shorter than the idle timeout of
/// callers, a connection could be closed just as a call arrives on it, and the call would be lost.
/// It is longer than the idle timeout of most clients and than the 4 s of [`Upstream`].
///
/// [`Upstream`]: super::upstream::Upstream
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Delay after a failed accept, which the kernel reports when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time for which the connections of a stopping server still accept a request.
///
/// If a connection closes while a request is in transit, the request is never read and its sender
/// can't tell whether it ran. Transit takes at most about 3 ms; the rest allows for a process that
/// is starved of CPU time.
const STOP_LINGER: Duration = Duration::from_millis(100);

/// Sender of a request and the time of its arrival.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Address of the client.
    pub peer: SocketAddr,
    /// Time at which the complete head had arrived, even if earlier requests on the connection
    /// were still to be processed.
    pub received_at: Instant,
}

/// Handler of the requests that a [`CallServer`] accepts.
pub trait CallHandler: Send + Sync + 'static {
    /// Whether clients may pipeline requests, so that the server reads ahead.
    const ACCEPTS_PIPELINING: bool = false;

    /// Returns whether the read with this head may run before its turn on the connection. An
    /// earlier response may close the connection, and the caller then sends the read again.
    fn may_start_early(&self, _head: &Parts) -> bool {
        false
    }

    /// Processes one request; the future is dropped when the client disconnects.
    fn handle(
        self: Arc<Self>,
        arrival: Arrival,
        request: Request<CallBody>,
    ) -> impl Future<Output = Response<CallBody>> + Send;
}

/// HTTP/1.1 server for one listener.
///
/// Uses hyper's server rather than xitca-web's, which runs each handler to its end. A disconnect of
/// the caller has to cancel its call, which would otherwise keep holding a slot of the target.
#[derive(Debug)]
pub struct CallServer {
    listener: TcpListener,
    connections: Connections,
}

/// State shared by the connections of a listener.
///
/// It doesn't include the listener. Otherwise connections that end slowly would keep the port of a
/// stopping process open: callers would connect, wait, and be disconnected at its exit without
/// knowing whether their requests ran. A closed port refuses them, which confirms that they did
/// not.
#[derive(Debug)]
struct Connections {
    head_max_bytes: usize,
    counters: Counters,
    counter_group: &'static str,
}

impl CallServer {
    /// Creates a server that counts connection errors under `counter_group`.
    pub fn new(
        listener: TcpListener,
        head_max_bytes: usize,
        counters: Counters,
        counter_group: &'static str,
    ) -> Self {
        Self { listener, connections: Connections { head_max_bytes, counters, counter_group } }
    }

    /// Serves until `stop`, then closes the port and lets requests in flight finish. Connections
    /// run under `tracker`. The handler announces the close in its last responses.
    pub async fn run<H: CallHandler>(
        self,
        handler: Arc<H>,
        tracker: TaskTracker,
        stop: CancellationToken,
    ) {
        let Self { listener, connections } = self;
        let connections = Arc::new(connections);
        let serve = |(stream, peer): (TcpStream, SocketAddr)| {
            let (connections, handler) = (Arc::clone(&connections), Arc::clone(&handler));
            let (tasks, stop) = (tracker.clone(), stop.clone());
            tracker.spawn(async move {
                connections.serve(stream, peer, handler, tasks, stop).await;
            });
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok(accepted) => serve(accepted),
                Err(_) => {
                    connections.counters.add_reason(connections.counter_group, "accept_failed");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        // Connections in the kernel's accept queue would be reset when the port closes.
        while let Some(Ok(accepted)) = listener.accept().now_or_never() {
            serve(accepted);
        }
    }
}

impl Connections {
    async fn serve<H: CallHandler>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        handler: Arc<H>,
        tracker: TaskTracker,
        stop: CancellationToken,
    ) {
        // Nagle's algorithm would delay a response until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let pipeline = Arc::new(Pipeline::new());
        let service = {
            let (handler, pipeline) = (Arc::clone(&handler), Arc::clone(&pipeline));
            let (tracker, counters) = (tracker.clone(), self.counters.clone());
            service_fn(move |request: Request<Incoming>| {
                let expects_continue = request.headers().contains_key(header::EXPECT);
                let request = request.map(|body| {
                    DiscardOnDropBody::new(body, tracker.clone())
                        .with_expect_continue(expects_continue)
                        .boxed_unsync()
                });
                let call = Call::new(&handler, &pipeline, &counters, request);
                async move { Ok::<_, std::convert::Infallible>(call.respond(peer).await) }
            })
        };
        let early_calls =
            EarlyCalls::new(handler, peer, tracker, stop.clone(), Arc::clone(&pipeline));
        let stream =
            PipelinedStream::new(stream, self.head_max_bytes, Arc::clone(&pipeline), early_calls);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(self.head_max_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = stop.cancelled() => tokio::select! {
                result = connection.as_mut() => result,
                () = linger(&pipeline) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            },
        };
        if let Err(error) = result {
            self.count_error(&error);
        }
    }

    /// Counts a connection error. hyper has already responded to an invalid head with 400 or 431
    /// and closed the connection.
    fn count_error(&self, error: &hyper::Error) {
        let reason = if error.is_parse_too_large() {
            "head_too_large"
        } else if error.is_parse() {
            "bad_head"
        } else if error.is_timeout() {
            "head_timeout"
        } else {
            "caller_hung_up"
        };
        self.counters.add_reason(self.counter_group, reason);
    }
}

/// Waits until a connection of a stopping server may close: after [`STOP_LINGER`] and the end of
/// all early reads, which an earlier close would abort.
async fn linger(pipeline: &Pipeline) {
    tokio::time::sleep(STOP_LINGER).await;
    pipeline.wait_none_early().await;
}

/// Request whose turn on its connection has come.
struct Call<H> {
    handler: Arc<H>,
    pipeline: Arc<Pipeline>,
    counters: Counters,
    turn: Turn,
    request: Request<CallBody>,
}

impl<H: CallHandler> Call<H> {
    fn new(
        handler: &Arc<H>,
        pipeline: &Arc<Pipeline>,
        counters: &Counters,
        request: Request<CallBody>,
    ) -> Self {
        let (head, body) = request.into_parts();
        let turn = pipeline.take_turn(is_pipelinable_read(handler.as_ref(), &head, &body));
        Self {
            handler: Arc::clone(handler),
            pipeline: Arc::clone(pipeline),
            counters: counters.clone(),
            turn,
            request: Request::from_parts(head, body),
        }
    }

    async fn respond(self, peer: SocketAddr) -> Response<CallBody> {
        let Self { handler, pipeline, counters, turn, request } = self;
        let Turn { received_at, early, guard } = turn;
        let (head, body) = request.into_parts();
        let early = match early {
            Some(early) if early.matches(&head) => early.response().await,
            _ => None,
        };
        let mut response = match early {
            Some(response) => {
                counters.add("entry.started_early");
                response
            }
            None => {
                let request = Request::from_parts(head, body);
                handler.handle(Arrival { peer, received_at }, request).await
            }
        };
        if pipeline.has_early() {
            // The connection stays open until the early reads on it have been responded to.
            response.headers_mut().remove(header::CONNECTION);
        }
        response.map(|body| guard.hold_until_sent(body).boxed_unsync())
    }
}

/// Returns whether other reads may run concurrently with this request, which HTTP allows for safe
/// methods.
fn is_pipelinable_read<H: CallHandler>(handler: &H, head: &Parts, body: &CallBody) -> bool {
    let is_read_method = matches!(head.method, Method::GET | Method::HEAD);
    H::ACCEPTS_PIPELINING && is_read_method && body.is_end_stream() && handler.may_start_early(head)
}
