//! Takes calls over HTTP/1.1 and drops a call whose caller hangs up.

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
    drained_body::DrainedBody,
    pipelining::{EarlyCalls, Pipeline, PipelinedStream, Turn},
};
use crate::{protocol::body::CallBody, state::counters::Counters};

/// Longest wait for a whole request head; a caller that trickles it must not hold a connection.
///
/// The wait runs on idle connections too. Failure: it is shorter than the time for which callers
/// keep theirs, the connection is closed just as a call comes on it, and the call is lost. So it is
/// longer than most clients keep an idle connection, and than the 4 s of our own.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// Wait before accepting again after the system refused, as it does when descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time for which the connections of a stopping server still take a request.
///
/// Failure: a request is on its way when its connection is closed, nobody reads it, and its sender
/// can't tell whether it ran. A way takes some 3 ms at most; the rest is for a starved processor.
const STOP_LINGER: Duration = Duration::from_millis(100);

/// Whom a call comes from, and since when it waits.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The caller's address.
    pub peer: SocketAddr,
    /// When its head had come, though others on its connection went first.
    pub received_at: Instant,
}

/// What answers calls.
pub trait CallHandler: Send + Sync + 'static {
    /// Whether callers send requests before their earlier ones are answered.
    const ACCEPTS_PIPELINING: bool = false;

    /// Whether the read with this head may run before its turn on its connection, though an answer
    /// before it may close that and its caller then sends it again.
    fn may_start_early(&self, _head: &Parts) -> bool {
        false
    }

    /// Answers one call; dropped when the caller hangs up.
    fn handle(
        self: Arc<Self>,
        arrival: Arrival,
        request: Request<CallBody>,
    ) -> impl Future<Output = Response<CallBody>> + Send;
}

/// A listener with the calls on its connections.
///
/// Served by hyper's server and not by xitca-web: a caller's hang-up has to cancel its call, else
/// the call goes on holding a slot of the target, and xitca-web's server runs a handler to its end.
#[derive(Debug)]
pub struct CallServer {
    listener: TcpListener,
    connections: Connections,
}

/// What the connections of a listener share.
///
/// The listener isn't part of it. Failure: connections that end slowly keep the port of a stopping
/// process open with nobody behind it; callers connect, wait, and are cut off when it ends, none the
/// wiser whether their requests ran. Closed at once, the port refuses them, which is proof.
#[derive(Debug)]
struct Connections {
    head_max_bytes: usize,
    counters: Counters,
    counter_group: &'static str,
}

impl CallServer {
    /// Makes a server that counts refused heads under `counter_group`.
    pub fn new(
        listener: TcpListener,
        head_max_bytes: usize,
        counters: Counters,
        counter_group: &'static str,
    ) -> Self {
        Self { listener, connections: Connections { head_max_bytes, counters, counter_group } }
    }

    /// Serves until `stop`, then closes the port and lets calls in flight finish; connections run
    /// under `tracker`. The handler says with its last answers that connections close.
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
        // Those that the kernel has taken for this port would be cut off with it.
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
        // An answer must not wait for the caller's acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let pipeline = Arc::new(Pipeline::new());
        let service = {
            let (handler, pipeline) = (Arc::clone(&handler), Arc::clone(&pipeline));
            let (tracker, counters) = (tracker.clone(), self.counters.clone());
            service_fn(move |request: Request<Incoming>| {
                let expects_continue = request.headers().contains_key(header::EXPECT);
                let request = request.map(|body| {
                    DrainedBody::new(body, tracker.clone())
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

    /// hyper has answered a bad head with 400 or 431 by itself and closed the connection.
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

/// The time for which a stopping server's connection goes on: closed earlier, it would cut off reads
/// that run already.
async fn linger(pipeline: &Pipeline) {
    tokio::time::sleep(STOP_LINGER).await;
    pipeline.wait_none_early().await;
}

/// One call whose turn has come.
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
            // The connection stays until what runs on it already is answered.
            response.headers_mut().remove(header::CONNECTION);
        }
        response.map(|body| guard.hold_until_sent(body).boxed_unsync())
    }
}

/// Whether others may run beside this one, as HTTP allows for requests that only read.
fn is_pipelinable_read<H: CallHandler>(handler: &H, head: &Parts, body: &CallBody) -> bool {
    let is_read_method = matches!(head.method, Method::GET | Method::HEAD);
    H::ACCEPTS_PIPELINING && is_read_method && body.is_end_stream() && handler.may_start_early(head)
}
