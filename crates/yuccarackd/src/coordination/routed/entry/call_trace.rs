//! What is told of a call at its end: its log line and counters.

use std::{net::SocketAddr, time::Instant};

use http::Response;
use yuccarack_config::ids::ServiceName;

use super::{REFUSED, RoutedEntry, attempted_gates::AttemptedGates};
use crate::{
    coordination::routed::log_lines::{CallAnswered, CallFailed},
    protocol::{body::CallBody, refusal::Refusal},
};

/// What is known of a call, for its log line.
pub struct CallTrace {
    /// When it came.
    pub came_at: Instant,
    /// Who sent it.
    pub peer: SocketAddr,
    /// Its caller's name of it.
    pub request: String,
    /// Its route.
    pub route: String,
    /// Service that had to run it.
    pub service: ServiceName,
    /// The routing table by which it went.
    pub routing_version: u64,
    /// Gates that were asked.
    pub gates: AttemptedGates,
}

impl CallTrace {
    /// Starts with who called and when.
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

    /// The line of its failure, without what tells why.
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
    /// Writes the line of an answer that its target gave.
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

    /// Counts a refusal and writes its line.
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

/// How a call ended, for its histogram.
pub fn end_label(result: &Result<Response<CallBody>, Refusal>) -> &'static str {
    match result {
        Ok(response) if response.status().is_server_error() => "target_failed",
        Ok(_) => "answered",
        Err(refusal) => refusal.outcome.as_str(),
    }
}
