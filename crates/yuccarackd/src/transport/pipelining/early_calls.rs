//! Reads that run before their turn on the connection has come.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use http::{Request, Response, request::Parts};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle, task::TaskTracker};

use super::pipeline::{EarlyGuard, Pipeline};
use crate::{
    protocol::body::{self, CallBody},
    transport::call_server::{Arrival, CallHandler},
};

/// Most reads of one connection that run, or wait answered, before their turn.
///
/// One caller could take all slots of a target by sending ahead, and make a daemon hold an answer
/// for each of them; what comes behind these waits for its turn.
const EARLY_MAX: usize = 8;

/// Starts reads of one connection early.
pub struct EarlyCalls<H> {
    handler: Arc<H>,
    peer: SocketAddr,
    tracker: TaskTracker,
    stop: CancellationToken,
    pipeline: Arc<Pipeline>,
}

/// A read that was started early; dropped, its call is cancelled.
pub struct EarlyCall {
    head: Parts,
    call: AbortOnDropHandle<Response<CallBody>>,
    _guard: EarlyGuard,
}

impl<H: CallHandler> EarlyCalls<H> {
    /// Starts reads for `peer` under `tracker`, none after `stop`.
    pub fn new(
        handler: Arc<H>,
        peer: SocketAddr,
        tracker: TaskTracker,
        stop: CancellationToken,
        pipeline: Arc<Pipeline>,
    ) -> Self {
        Self { handler, peer, tracker, stop, pipeline }
    }

    /// Whether another one may start.
    pub(super) fn has_room(&self) -> bool {
        self.pipeline.early_count() < EARLY_MAX && !self.stop.is_cancelled()
    }

    /// Starts the read with this head, if its handler lets it run before its turn.
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
    /// Whether this is the request that hyper has read by now.
    pub fn matches(&self, head: &Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.version == head.version
            && self.head.headers == head.headers
    }

    /// Its answer; none when its task has failed, which has told why by itself, and it has to run anew.
    pub async fn response(self) -> Option<Response<CallBody>> {
        self.call.await.ok()
    }
}
