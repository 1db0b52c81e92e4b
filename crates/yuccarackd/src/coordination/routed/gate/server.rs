//! Serves other daemons: routed requests, crash reports, quota reports, registrations and queries for
//! updates.

use std::{sync::Arc, time::Instant};

use http::{HeaderValue, Request, Response, header, request::Parts};
use tokio_util::sync::CancellationToken;

use super::{Gate, GateRequest, link::SentResponse};
use crate::{
    coordination::routed::{peers::Peers, quota::Quotas, registrar::Registrar},
    protocol::{
        body::{CallBody, SendableBody},
        hop::{HOP, Hop},
        peer_update::{CRASH_SUSPECTS, STORE_WARNING, UpdateRequest},
        quota,
        refusal::{Reason, Refusal},
        registration,
    },
    transport::call_server::{Arrival, CallHandler},
};

/// Largest request body that is buffered before the request is queued; a larger one is streamed.
pub const BUFFERED_BODY_MAX_BYTES: usize = 64 * 1024;

/// Server side of a gate for other daemons.
pub struct GateServer {
    gate: Arc<Gate>,
    peers: Peers,
    quotas: Quotas,
    registrar: Registrar,
    /// Cancelled when connections close.
    closing: CancellationToken,
}

impl GateServer {
    /// Creates a server that passes requests to `gate`, responds to queries from `peers`, grants
    /// `quotas` and registers instances at `registrar`. Its responses announce the close of their
    /// connections once `closing` is cancelled.
    pub fn new(
        gate: Arc<Gate>,
        peers: Peers,
        quotas: Quotas,
        registrar: Registrar,
        closing: CancellationToken,
    ) -> Self {
        Self { gate, peers, quotas, registrar, closing }
    }

    async fn forward(&self, parts: Parts, body: CallBody) -> Result<Response<CallBody>, Refusal> {
        let now = Instant::now();
        let hop = parse_hop(&parts).ok_or(Refusal::not_run(Reason::BadRequest))?;
        self.peers.note_version(hop.sender, hop.routing_version);
        self.peers.note_sender(hop.sender);
        let read = SendableBody::read(&parts, body, BUFFERED_BODY_MAX_BYTES).await;
        let body = read.map_err(|_| Refusal::not_run(Reason::CallerBodyCut))?;
        let request = GateRequest::new(now, hop, parts, body);
        let link = &self.gate.parts.link;
        let share = link.reserve(&request).inspect_err(|refusal| {
            self.gate.log_refusal(&request, refusal);
        })?;
        let (route_hash, soft_deadline) = (request.hop.route_hash, request.soft_deadline);
        let sent = SentResponse { route_hash, soft_deadline, share };
        let response = self.gate.handle(request).await?;
        Ok(link.send(response, sent))
    }
}

impl CallHandler for GateServer {
    async fn handle(
        self: Arc<Self>,
        _arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        if let Some(query) = UpdateRequest::from_headers(request.headers()) {
            return self.peers.respond(query);
        }
        if request.headers().contains_key(STORE_WARNING) {
            return self.peers.receive_store_warning();
        }
        if let Some(report) = request.headers().get(CRASH_SUSPECTS) {
            self.gate.parts.crashes.receive_report(report);
            return Response::new(crate::protocol::body::empty());
        }
        if registration::is_registration(request.headers()) {
            return self.registrar.respond(request.into_body()).await;
        }
        if quota::is_report(request.headers()) {
            return self.quotas.respond(request.into_body()).await;
        }
        let (parts, body) = request.into_parts();
        let response = self.forward(parts, body).await;
        let mut response = response.unwrap_or_else(Refusal::into_routed_response);
        self.gate.add_status_header(&mut response);
        // Not as soon as the gate refuses requests: the next request would need a new connection,
        // which is reset if the port closes before it is accepted.
        if self.closing.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

fn parse_hop(parts: &Parts) -> Option<Hop> {
    parts.headers.get(HOP)?.to_str().ok()?.parse().ok()
}
