//! What is told of a call at its end: its log line and counters.

use std::{net::SocketAddr, time::Instant};

use http::Response;
use yuccarack_config::ids::ServiceName;

use super::{REFUSED, RoutedEntry, asked_gates::AskedGates};
use crate::{
    coordination::routed::log_lines::{CallAnswered, CallFailed},
    protocol::{body::CallBody, refusal::Refusal},
};

/// What is known of a call, for its log line.
pub struct Story {
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
    pub gates: AskedGates,
}

impl Story {
    /// Starts with who called and when.
    pub fn new(came_at: Instant, peer: SocketAddr) -> Self {
        Self {
            came_at,
            peer,
            request: String::new(),
            route: String::new(),
            service: String::new(),
            routing_version: 0,
            gates: AskedGates::default(),
        }
    }

    /// The line of its failure, without what tells why.
    fn failed(&self, took_ms: u64) -> CallFailed {
        CallFailed {
            request: self.request.clone(),
            peer: self.peer.to_string(),
            route: self.route.clone(),
            service: self.service.clone(),
            status: None,
            reason: None,
            outcome: None,
            retry_after_ms: None,
            gates: self.gates.text(),
            routing_version: self.routing_version,
            took_ms,
        }
    }
}

impl RoutedEntry {
    /// Writes the line of an answer that its target gave.
    pub(super) fn note_answered(&self, answer: &Response<CallBody>, story: &Story, took_ms: u64) {
        let status = answer.status().as_u16();
        if !answer.status().is_success() {
            let status = Some(status);
            return self.parts.events.write(|| CallFailed { status, ..story.failed(took_ms) });
        }
        self.parts.events.write(|| CallAnswered {
            request: story.request.clone(),
            peer: story.peer.to_string(),
            route: story.route.clone(),
            service: story.service.clone(),
            status,
            gates: story.gates.text(),
            routing_version: story.routing_version,
            took_ms,
        });
    }

    /// Counts a refusal and writes its line.
    pub(super) fn note_refused(&self, refusal: &Refusal, story: &Story, took_ms: u64) {
        self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
        self.parts.events.write(|| CallFailed {
            reason: Some(refusal.reason.as_str()),
            outcome: Some(refusal.outcome.as_str()),
            retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis() as u64),
            ..story.failed(took_ms)
        });
    }
}

/// How a call ended, for its histogram.
pub fn end_of(result: &Result<Response<CallBody>, Refusal>) -> &'static str {
    match result {
        Ok(answer) if answer.status().is_server_error() => "target_failed",
        Ok(_) => "answered",
        Err(refusal) => refusal.outcome.as_str(),
    }
}
