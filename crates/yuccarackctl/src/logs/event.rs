//! Log lines of daemons, limited to the fields about requests.

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

/// Kind of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A call received its target's response.
    CallAnswered,
    /// A call received a refusal or a target's failure.
    CallFailed,
    /// An attempt ended without a successful response of a target.
    #[serde(rename = "try_ended")]
    AttemptEnded,
    /// A gate refused a request or received no complete response.
    GateRefused,
    /// The rate limit that a target announces changed.
    TargetLimitChanged,
    /// A target announced with a response that it leaves.
    TargetAnnouncedLeaving,
    /// Lines of one kind were dropped by the rate limit.
    LinesLeftOut,
    /// Any other line; it is not about one request.
    #[serde(other)]
    Other,
}

/// A log line; fields that it doesn't have are `None`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// Time of the line, by the clock of its instance.
    #[serde(with = "time::serde::rfc3339")]
    pub ts: OffsetDateTime,
    /// Instance whose daemon wrote the line.
    #[serde(default)]
    pub instance: String,
    /// Kind of the line; `None` if the line has no `event`.
    #[serde(default)]
    pub event: Option<EventKind>,
    /// Message text.
    #[serde(default)]
    pub msg: String,
    /// Request id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Service that was called.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Reason of a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// What is known about the execution of the request, such as `not_run`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// HTTP status of the target's response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Attempted gates with their replies, as `gate=reply` separated by spaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gates: Option<String>,
    /// Gate of an attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gate: Option<String>,
    /// Outcome of an attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub how: Option<String>,
    /// What followed an attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
    /// Time since the call arrived, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<u64>,
    /// Time that the request spent at a gate, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub here_ms: Option<u64>,
    /// Part of that time before the request was dispatched, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queued_ms: Option<u64>,
    /// Time left until the deadline when the request reached the gate, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
    /// Number of running requests at a gate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
    /// Number of waiting requests at a gate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u64>,
    /// Concurrency limit of a gate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u64>,
    /// Slowdown of a target: its service times as a multiple of the usual ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowness: Option<f64>,
    /// Delay after which the caller may retry, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Version of the routing table that the entry used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing_version: Option<u64>,
    /// Target of an announcement.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Announced rate limit in requests per 1,000 s; `None` if it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_per_1000_s: Option<u32>,
    /// Number of dropped lines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
}

impl Event {
    /// Returns the number of dropped lines if this line reports any.
    pub fn omitted_lines(&self) -> Option<u64> {
        self.count.filter(|_| self.event == Some(EventKind::LinesLeftOut))
    }

    /// Returns whether the line reports the end of a call.
    pub fn is_call_end(&self) -> bool {
        matches!(self.event, Some(EventKind::CallAnswered | EventKind::CallFailed))
    }
}
