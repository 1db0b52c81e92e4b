//! One log line of a daemon, as far as it speaks of requests.

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

/// What a line is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A call got its target's answer.
    CallAnswered,
    /// A call got an answer of the daemon's own, or its target's failure.
    CallFailed,
    /// A try ended without a good answer.
    #[serde(rename = "try_ended")]
    AttemptEnded,
    /// A gate turned a request away or got no whole answer of its target.
    GateRefused,
    /// Lines of a kind were left out.
    LinesLeftOut,
    /// Anything that is not about one request.
    #[serde(other)]
    Other,
}

/// One line; what it doesn't tell is unset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// When it was written, by the clock of its instance.
    #[serde(with = "time::serde::rfc3339")]
    pub ts: OffsetDateTime,
    /// Who wrote it.
    #[serde(default)]
    pub instance: String,
    /// What it is about.
    #[serde(default)]
    pub event: Option<EventKind>,
    /// Its text.
    #[serde(default)]
    pub msg: String,
    /// The caller's name of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Service that was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Why a daemon gave an answer of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// What is proved of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// The target's status.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Gates that the call was offered to, each with what it said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gates: Option<String>,
    /// The gate of a try.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gate: Option<String>,
    /// How a try ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub how: Option<String>,
    /// What came after a try.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
    /// Time since the call came, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<u64>,
    /// Time that it spent at a gate, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub here_ms: Option<u64>,
    /// Time of that until it was handed over, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queued_ms: Option<u64>,
    /// Time that was left at a gate, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
    /// Requests that ran at a gate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
    /// Requests that waited at a gate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<u64>,
    /// Most requests that a gate let run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u64>,
    /// How much longer work took at a target than usual.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowness: Option<f64>,
    /// When a caller was told to come back, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The routing table that the entry went by.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing_version: Option<u64>,
    /// Lines that were left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
}

impl Event {
    /// Whether it tells of lines that were left out, and of how many.
    pub fn omitted_lines(&self) -> Option<u64> {
        self.count.filter(|_| self.event == Some(EventKind::LinesLeftOut))
    }

    /// Whether it tells how a call ended.
    pub fn is_call_end(&self) -> bool {
        matches!(self.event, Some(EventKind::CallAnswered | EventKind::CallFailed))
    }
}
