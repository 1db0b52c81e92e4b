//! Reads (GET and HEAD requests) that are started before their turn on the connection.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use http::{Request, Response, request::Parts};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle, task::TaskTracker};

use super::pipeline::{EarlyGuard, Pipeline};
use crate::{
    protocol::body::{self, CallBody},
    transport::call_server::{Arrival, CallHandler},
};

/// Most early reads of one connection, whether running or completed and waiting for their turn.
///
/// Without a limit, one caller could occupy all slots of a target by pipelining and make the daemon
/// buffer a response for each read. Reads beyond the limit wait for their turn.
const EARLY_MAX: usize = 8;

/// Starts reads of one connection before their turn.
pub struct EarlyCalls<H> {
    handler: Arc<H>,
    peer: SocketAddr,
    tracker: TaskTracker,
    stop: CancellationToken,
    pipeline: Arc<Pipeline>,
}

/// Early read, running or completed; dropping it cancels the call.
pub struct EarlyCall {
    head: Parts,
    call: AbortOnDropHandle<Response<CallBody>>,
    _guard: EarlyGuard,
}

impl<H: CallHandler> EarlyCalls<H> {
    /// Creates a starter for reads of `peer`, which run under `tracker`; none starts after `stop`.
    pub fn new(
        handler: Arc<H>,
        peer: SocketAddr,
        tracker: TaskTracker,
        stop: CancellationToken,
        pipeline: Arc<Pipeline>,
    ) -> Self {
        Self { handler, peer, tracker, stop, pipeline }
    }

    /// Returns whether another read may start.
    pub(super) fn has_room(&self) -> bool {
        self.pipeline.early_count() < EARLY_MAX && !self.stop.is_cancelled()
    }

    /// Starts the read with this head if the handler allows it before its turn.
    pub(super) fn start(&self, head: Parts, received_at: Instant) -> Option<EarlyCall> {
        if !self.handler.may_start_early(&head) {
            return None;
        }
        let arrival = Arrival { peer: self.peer, received_at };
        let request = Request::from_parts(head.clone(), body::empty());
        let call = Arc::clone(&self.handler).handle(arrival, request);
        let call = AbortOnDropHandle::new(self.tracker.spawn(call));
        Some(EarlyCall { head, call, _guard: self.pipeline.begin_early() })
    }
}

impl EarlyCall {
    /// Returns whether `head`, as read by hyper, is the head of this request.
    pub fn matches(&self, head: &Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.version == head.version
            && self.head.headers == head.headers
    }

    /// Waits for the response; none if the task panicked, which the panic hook has reported. The
    /// call then has to run again.
    pub async fn response(self) -> Option<Response<CallBody>> {
        self.call.await.ok()
    }
}
