//! Trace of a call, from which its log line and counters are written when it ends.

use std::{net::SocketAddr, time::Instant};

use http::Response;
use yuccarack_config::ids::ServiceName;

use super::{REFUSED, RoutedEntry, attempted_gates::AttemptedGates};
use crate::{
    coordination::routed::log_lines::{CallAnswered, CallFailed},
    protocol::{body::CallBody, refusal::Refusal},
};

/// Attributes of a call for its log line, filled in as they become known.
pub struct CallTrace {
    /// When the call arrived at the entry.
    pub came_at: Instant,
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Request ID; empty if the head can't be parsed.
    pub request: String,
    /// Name of the route; empty if none matches.
    pub route: String,
    /// Service that the call was sent to; empty before one is chosen.
    pub service: ServiceName,
    /// Version of the routing table that the call was routed by.
    pub routing_version: u64,
    /// Gates that the call was sent to.
    pub gates: AttemptedGates,
}

impl CallTrace {
    /// Creates a trace of a call from `peer` that arrived at `came_at`.
    pub fn new(came_at: Instant, peer: SocketAddr) -> Self {
        Self {
            came_at,
            peer,
            request: String::new(),
            route: String::new(),
            service: String::new(),
            routing_version: 0,
            gates: AttemptedGates::default(),
        }
    }

    /// Returns the log line of a failed call without status, reason and outcome.
    fn failure_line(&self, took_ms: u64) -> CallFailed {
        CallFailed {
            request: self.request.clone(),
            peer: self.peer.to_string(),
            route: self.route.clone(),
            service: self.service.clone(),
            status: None,
            reason: None,
            outcome: None,
            retry_after_ms: None,
            gates: self.gates.to_log_text(),
            routing_version: self.routing_version,
            took_ms,
        }
    }
}

impl RoutedEntry {
    /// Writes the log line of a call that a target responded to.
    pub(super) fn log_response(
        &self,
        response: &Response<CallBody>,
        trace: &CallTrace,
        took_ms: u64,
    ) {
        let status = response.status().as_u16();
        if !response.status().is_success() {
            let status = Some(status);
            return self
                .parts
                .events
                .write(|| CallFailed { status, ..trace.failure_line(took_ms) });
        }
        self.parts.events.write(|| CallAnswered {
            request: trace.request.clone(),
            peer: trace.peer.to_string(),
            route: trace.route.clone(),
            service: trace.service.clone(),
            status,
            gates: trace.gates.to_log_text(),
            routing_version: trace.routing_version,
            took_ms,
        });
    }

    /// Counts a refusal and writes its log line.
    pub(super) fn log_refusal(&self, refusal: &Refusal, trace: &CallTrace, took_ms: u64) {
        self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
        self.parts.events.write(|| CallFailed {
            reason: Some(refusal.reason.as_str()),
            outcome: Some(refusal.outcome.as_str()),
            retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis() as u64),
            ..trace.failure_line(took_ms)
        });
    }
}

/// Returns the histogram label for the end of a call.
pub fn end_label(result: &Result<Response<CallBody>, Refusal>) -> &'static str {
    match result {
        Ok(response) if response.status().is_server_error() => "target_failed",
        Ok(_) => "answered",
        Err(refusal) => refusal.outcome.as_str(),
    }
}
