//! Serves requests from the entries of other daemons.

use std::sync::Arc;

use http::{Request, Response};
use rand::Rng;

use super::{Gate, call::GateCall};
use crate::{
    protocol::{
        body::CallBody,
        call::CallHead,
        refusal::{Reason, Refusal},
    },
    transport::call_server::{Arrival, CallHandler},
};

/// Server side of a gate for other daemons.
pub struct GateServer {
    gate: Arc<Gate>,
}

impl GateServer {
    /// Creates a server that passes requests to `gate`.
    pub fn new(gate: Arc<Gate>) -> Self {
        Self { gate }
    }
}

impl CallHandler for GateServer {
    async fn handle(
        self: Arc<Self>,
        arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let Arrival { peer, came_at: now } = arrival;
        let (parts, body) = request.into_parts();
        let head = CallHead::parse(&parts, peer.ip(), now, &mut rand::rng());
        let Ok(head) = head else {
            return Refusal::not_run(Reason::BadRequest).into_response();
        };
        // Entries always send a deadline, so a request without one doesn't come from an entry.
        let Some(deadline) = head.deadline else {
            return Refusal::not_run(Reason::BadRequest).into_response();
        };
        let attempt = head.attempt.unwrap_or_else(|| rand::rng().random());
        self.gate.handle(GateCall { head, attempt, deadline, parts, body }).await
    }
}
