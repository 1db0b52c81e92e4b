//! Lines of calls and their tries.

use yuccarack_config::routing::RoutingVersion;

use crate::coordination::routed::events::EventKind;

log_lines! {
    /// A call was answered well.
    CallAnswered = "call_answered", "call answered by its target", Info,
        Some(EventKind::CallAnswered);
    {
        /// The caller's name of the request.
        request: String,
        /// Who called.
        peer: String,
        /// The route.
        route: String,
        /// The service.
        service: String,
        /// The target's status.
        status: u16,
        /// Gates that were asked, each with its word.
        gates: String,
        /// The routing table that it went by.
        routing_version: RoutingVersion,
        /// Time since it came, in ms.
        took_ms: u64,
    }

    /// A call was answered by a target's failure, or by none.
    CallFailed = "call_failed", "call failed", Info, Some(EventKind::CallFailed);
    {
        /// The caller's name of the request.
        request: String,
        /// Who called.
        peer: String,
        /// The route.
        route: String,
        /// The service.
        service: String,
        /// The target's status, where one answered.
        status: Option<u16>,
        /// Why the answer is ours, where it is.
        reason: Option<&'static str>,
        /// What is proved of the request then.
        outcome: Option<&'static str>,
        /// When its caller was told to come back, in ms.
        retry_after_ms: Option<u64>,
        /// Gates that were asked, each with its word.
        gates: String,
        /// The routing table that it went by.
        routing_version: RoutingVersion,
        /// Time since it came, in ms.
        took_ms: u64,
    }

    /// A try that may have run brought no good answer.
    AttemptEnded = "try_ended", "try ended badly", Info, Some(EventKind::AttemptEnded);
    {
        /// The caller's name of the request.
        request: String,
        /// Where it was tried.
        gate: String,
        /// What is known of it.
        ended: String,
        /// The target's status, or the reason of a refusal.
        how: String,
        /// Time since the call came, in ms.
        took_ms: u64,
        /// What comes next.
        next: &'static str,
    }

    /// A gate turned a request away, or its target gave no whole answer.
    GateRefused = "gate_refused", "request not answered by the target", Info,
        Some(EventKind::GateRefused);
    {
        /// The caller's name of the request.
        request: String,
        /// The try's name.
        attempt: String,
        /// The service.
        service: String,
        /// How urgent it is.
        rank: u8,
        /// Why.
        reason: &'static str,
        /// What is proved of the request.
        outcome: &'static str,
        /// Time that is left, in ms.
        left_ms: u64,
        /// Time that it spent at the gate, in ms.
        here_ms: u64,
        /// Time of that until it was handed over, in ms; unset if it was not.
        queued_ms: Option<u64>,
        /// Requests that run.
        running: u16,
        /// Requests that wait.
        waiting: u16,
        /// Most that run at once.
        limit: u16,
        /// How much longer work takes at this moment than usual.
        slowness: f64,
    }
}
