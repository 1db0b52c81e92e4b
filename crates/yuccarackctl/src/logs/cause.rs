//! Causes of failed calls, derived from log lines.

use std::fmt;

use serde::Serialize;

use super::{Event, EventKind};

/// Refusal reasons of gates that have no capacity for a request.
const NO_CAPACITY_REASONS: [&str; 5] =
    ["full", "slow", "too_late", "cannot_end_in_time", "link_full"];

/// Refusal reason of gates whose target rejected the request.
const SHED: &str = "shed";

/// Refusal reason of gates whose target announces a rate limit.
const RATE_LIMITED: &str = "rate_limited";

/// Cause of a failed call, by which calls are counted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The call was answered successfully.
    None,
    /// The service had no capacity before the deadline of the caller.
    #[serde(rename = "load")]
    NoCapacity,
    /// The targets announce rate limits that leave no room for the request.
    TargetLimited,
    /// The target responded with a failure.
    TargetFailed,
    /// The target closed the connection or sent no complete response.
    #[serde(rename = "target_broke")]
    TargetDisconnected,
    /// The target rejected the request without running it.
    TargetShed,
    /// No response arrived before the deadline. A call that was answered slowly isn't a failure;
    /// the report counts it as `slow`.
    #[serde(rename = "too_slow")]
    DeadlinePassed,
    /// The targets are draining or not ready yet.
    #[serde(rename = "target_away")]
    TargetUnavailable,
    /// Daemons or targets are unreachable.
    Unreachable,
    /// No instance of the service is known.
    NoTarget,
    /// The daemon has no routing table, or no route for the call.
    NoRoute,
    /// The request is quarantined because it crashed targets before.
    CrashesTargets,
    /// The caller sent an invalid request.
    Caller,
    /// The cause can't be determined from the log lines.
    #[serde(rename = "untold")]
    Undetermined,
}

impl Cause {
    /// Returns the cause given by a line about the end of a call or of an attempt.
    pub fn from_end(end: &Event) -> Self {
        if end.event == Some(EventKind::CallAnswered) {
            return Self::None;
        }
        let is_not_run = end.outcome.as_deref() == Some("not_run");
        match (end.reason.as_deref(), end.status) {
            // The gate had a slot, so the target decides, even if other gates were full.
            (Some(SHED), _) if is_not_run => Self::TargetShed,
            // One gate without capacity decides, even if others were unreachable.
            (Some(_), _) if is_not_run && has_gate_with(end, &NO_CAPACITY_REASONS) => {
                Self::NoCapacity
            }
            (Some(_), _) if is_not_run && has_gate_with(end, &[RATE_LIMITED]) => {
                Self::TargetLimited
            }
            (Some(reason), _) => Self::from_reason(reason),
            (None, Some(_)) => Self::TargetFailed,
            (None, None) => Self::Undetermined,
        }
    }

    fn from_reason(reason: &str) -> Self {
        match reason {
            reason if NO_CAPACITY_REASONS.contains(&reason) => Self::NoCapacity,
            RATE_LIMITED => Self::TargetLimited,
            "broken" | "target_died" => Self::TargetDisconnected,
            SHED => Self::TargetShed,
            "deadline_passed" => Self::DeadlinePassed,
            "draining" | "leaving" | "not_ready" | "other_service" => Self::TargetUnavailable,
            "no_connection" | "unreachable" => Self::Unreachable,
            "no_target" => Self::NoTarget,
            "no_routing" | "unknown_route" => Self::NoRoute,
            "quarantined" => Self::CrashesTargets,
            "bad_request" | "body_too_large" | "caller_body_cut" => Self::Caller,
            _ => Self::Undetermined,
        }
    }

    /// Returns an explanation of the cause for operators, with what to check next.
    pub fn explanation(self) -> &'static str {
        match self {
            Self::None => "the target answered the call.",
            Self::NoCapacity => {
                "the service had no capacity before the deadline: check running, limit and \
                 slowness of the gates, and whether targets were lost at that time."
            }
            Self::TargetLimited => {
                "the targets announce rate limits: check target_limit_changed of their instances, \
                 and whether the service has enough targets."
            }
            Self::TargetFailed => {
                "the target responded with a failure: check the target, and the calls that it made \
                 at that time."
            }
            Self::TargetDisconnected => {
                "the connection to the target ended without a complete response: check the \
                 target's own records for whether the request ran."
            }
            Self::TargetShed => {
                "the target rejected the request without running it: check the target."
            }
            Self::DeadlinePassed => {
                "no response arrived before the deadline: the line of the gate has the time in its \
                 queue (queued_ms) and the total time at it (here_ms); if there is none, check the \
                 network and the daemon."
            }
            Self::TargetUnavailable => {
                "the targets were draining, or had not yet announced that they are ready."
            }
            Self::Unreachable => {
                "the daemons or targets that the call was sent to were unreachable: check the logs \
                 for instances that stopped, were lost or started at that time."
            }
            Self::NoTarget => "no instance of the service was known: check the members.",
            Self::NoRoute => {
                "the daemon had no route for the call: compare routing_version with the lines \
                 `routing table in force` of that instance, and search for `store lost`."
            }
            Self::CrashesTargets => {
                "targets crashed while running the request, so it is quarantined."
            }
            Self::Caller => "the caller sent an invalid request.",
            Self::Undetermined => {
                "the cause is not in these log lines: search for `lines left out`."
            }
        }
    }
}

/// Returns whether one of the attempted gates replied with one of `reasons`.
fn has_gate_with(end: &Event, reasons: &[&str]) -> bool {
    let gates = end.gates.as_deref().unwrap_or_default();
    let replies = gates.split(' ').filter_map(|gate| gate.split_once('='));
    replies.into_iter().any(|(_, reply)| reasons.contains(&reply))
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::None => "none",
            Self::NoCapacity => "load",
            Self::TargetLimited => "target_limited",
            Self::TargetFailed => "target_failed",
            Self::TargetDisconnected => "target_broke",
            Self::TargetShed => "target_shed",
            Self::DeadlinePassed => "too_slow",
            Self::TargetUnavailable => "target_away",
            Self::Unreachable => "unreachable",
            Self::NoTarget => "no_target",
            Self::NoRoute => "no_route",
            Self::CrashesTargets => "crashes_targets",
            Self::Caller => "caller",
            Self::Undetermined => "untold",
        };
        write!(f, "{name}")
    }
}
