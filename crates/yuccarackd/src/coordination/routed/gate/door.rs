//! Where other daemons reach the gate: routed requests and questions for news.

use std::{sync::Arc, time::Instant};

use http::{HeaderValue, Request, Response, header, request::Parts};

use super::{Gate, GateWork};
use crate::{
    coordination::routed::peers::Peers,
    protocol::{
        body::{CallBody, SendableBody},
        hop::{HOP, Hop},
        peer_news::{CRASHED, NewsQuestion},
        refusal::{Reason, Refusal},
    },
    transport::call_server::{Arrival, CallHandler},
};

/// Largest body that is read before its request is offered to the target.
pub const KEPT_MAX_BYTES: usize = 64 * 1024;

/// Where other daemons reach the gate.
pub struct GateDoor {
    gate: Arc<Gate>,
    peers: Peers,
}

impl GateDoor {
    /// Opens `gate` to other daemons and answers their questions from `peers`.
    pub fn new(gate: Arc<Gate>, peers: Peers) -> Self {
        Self { gate, peers }
    }

    async fn run(&self, parts: Parts, body: CallBody) -> Result<Response<CallBody>, Refusal> {
        let now = Instant::now();
        let hop = hop(&parts).ok_or(Refusal::not_run(Reason::BadRequest))?;
        self.peers.heard_version(hop.sender, hop.routing_version);
        self.peers.heard_sender(hop.sender);
        let read = SendableBody::read(&parts, body, KEPT_MAX_BYTES).await;
        let body = read.map_err(|_| Refusal::not_run(Reason::CallerBodyCut))?;
        self.gate.handle(GateWork::new(now, hop, parts, body)).await
    }
}

impl CallHandler for GateDoor {
    async fn handle(
        self: Arc<Self>,
        _arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        if let Some(question) = NewsQuestion::from_headers(request.headers()) {
            return self.peers.answer(question);
        }
        if let Some(word) = request.headers().get(CRASHED) {
            self.gate.parts.crashes.heard(word);
            return Response::new(crate::protocol::body::empty());
        }
        let (parts, body) = request.into_parts();
        let answer = self.run(parts, body).await;
        let mut answer = answer.unwrap_or_else(Refusal::into_routed_answer);
        self.gate.stamp(&mut answer);
        if self.gate.parts.leaving.is_cancelled() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }
}

fn hop(parts: &Parts) -> Option<Hop> {
    parts.headers.get(HOP)?.to_str().ok()?.parse().ok()
}
