//! Log lines of calls and their attempts.

use yuccarack_config::routing::RoutingVersion;

use crate::coordination::routed::events::EventKind;

log_lines! {
    /// A call received a successful response.
    CallAnswered = "call_answered", "call succeeded", Info,
        Some(EventKind::CallAnswered);
    {
        /// Request id that the caller set.
        request: String,
        /// Address of the caller.
        peer: String,
        /// Id of the route.
        route: String,
        /// Service of the route.
        service: String,
        /// Status of the target's response.
        status: u16,
        /// Gates tried, each with the result of its attempt.
        gates: String,
        /// Version of the routing table used for the call.
        routing_version: RoutingVersion,
        /// Time since the call arrived, in ms.
        took_ms: u64,
    }

    /// A call received a target's failure, or a refusal by this daemon.
    CallFailed = "call_failed", "call failed", Info, Some(EventKind::CallFailed);
    {
        /// Request id that the caller set.
        request: String,
        /// Address of the caller.
        peer: String,
        /// Id of the route; empty if none matched.
        route: String,
        /// Service of the route; empty if none matched.
        service: String,
        /// Status of the target's response; unset if this daemon refused the call.
        status: Option<u16>,
        /// Reason of the refusal; unset if a target responded.
        reason: Option<&'static str>,
        /// What is certain about the execution of the refused request.
        outcome: Option<&'static str>,
        /// Time after which the caller may retry, in ms.
        retry_after_ms: Option<u64>,
        /// Gates tried, each with the result of its attempt.
        gates: String,
        /// Version of the routing table used for the call.
        routing_version: RoutingVersion,
        /// Time since the call arrived, in ms.
        took_ms: u64,
    }

    /// An attempt that may have executed brought no successful response.
    AttemptEnded = "try_ended", "attempt failed", Info, Some(EventKind::AttemptEnded);
    {
        /// Request id that the caller set.
        request: String,
        /// Instance of the gate that was tried.
        gate: String,
        /// What is known of the attempt.
        ended: String,
        /// Status of the target's response, or the reason of a refusal.
        how: String,
        /// Time since the call arrived, in ms.
        took_ms: u64,
        /// Next step of the call.
        next: &'static str,
    }

    /// A gate refused a request, or its target sent no complete response.
    GateRefused = "gate_refused", "gate refused a request or got no complete response", Info,
        Some(EventKind::GateRefused);
    {
        /// Request id that the caller set.
        request: String,
        /// Id of the attempt.
        attempt: String,
        /// Service that was requested.
        service: String,
        /// Priority of the request.
        rank: u8,
        /// Reason of the refusal.
        reason: &'static str,
        /// What is certain about the execution of the request.
        outcome: &'static str,
        /// Time left until the deadline, in ms.
        left_ms: u64,
        /// Time that the request spent at the gate, in ms.
        here_ms: u64,
        /// Part of it until the request was dispatched, in ms; unset if it was not.
        queued_ms: Option<u64>,
        /// Requests running on the target.
        running: u16,
        /// Requests waiting at the gate.
        waiting: u16,
        /// Most requests that run at once.
        limit: u16,
        /// Current service time relative to the usual one.
        slowness: f64,
    }
}
