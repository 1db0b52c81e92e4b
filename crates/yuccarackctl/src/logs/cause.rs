//! Why a call failed, as far as its lines tell.

use std::fmt;

use serde::Serialize;

use super::{Event, EventKind};

/// Words of gates whose targets have no room for a request.
const NO_CAPACITY_REASONS: [&str; 4] = ["full", "slow", "too_late", "cannot_end_in_time"];

/// Kinds of causes, for tables over many calls.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was answered well.
    None,
    /// Its service had no room in the time that the caller gave.
    Load,
    /// Its target answered that it failed.
    TargetFailed,
    /// Its target ended the connection or sent no whole answer of its own.
    TargetBroke,
    /// Its target turned it away.
    TargetShed,
    /// It was not answered before its time was over.
    TooSlow,
    /// Its target leaves, or has not come yet.
    TargetAway,
    /// Daemons or targets could not be reached.
    Unreachable,
    /// No instance was known to serve its service.
    NoTarget,
    /// The daemon knew no routes, or none for it.
    NoRoute,
    /// It had crashed targets before.
    CrashesTargets,
    /// The caller sent what can't be taken.
    Caller,
    /// The lines don't tell.
    Untold,
}

impl Cause {
    /// Of a line that tells how a call ended.
    pub fn from_end(end: &Event) -> Self {
        if end.event == Some(EventKind::CallAnswered) {
            return Self::None;
        }
        let is_not_run = end.outcome.as_deref() == Some("not_run");
        match (end.reason.as_deref(), end.status) {
            // One gate without room is enough, whatever those said that were away.
            (Some(_), _) if is_not_run && has_gate_without_capacity(end) => Self::Load,
            (Some(reason), _) => Self::from_reason(reason),
            (None, Some(_)) => Self::TargetFailed,
            (None, None) => Self::Untold,
        }
    }

    fn from_reason(reason: &str) -> Self {
        match reason {
            reason if NO_CAPACITY_REASONS.contains(&reason) => Self::Load,
            "broken" | "target_died" => Self::TargetBroke,
            "shed" => Self::TargetShed,
            "deadline_passed" => Self::TooSlow,
            "draining" | "leaving" | "not_ready" | "other_service" => Self::TargetAway,
            "no_connection" | "unreachable" => Self::Unreachable,
            "no_target" => Self::NoTarget,
            "no_routing" | "unknown_route" => Self::NoRoute,
            "quarantined" => Self::CrashesTargets,
            "bad_request" | "body_too_large" | "caller_body_cut" => Self::Caller,
            _ => Self::Untold,
        }
    }

    /// One sentence, with what an engineer does next.
    pub fn explanation(self) -> &'static str {
        match self {
            Self::None => "its target answered it.",
            Self::Load => {
                "its service had no room for it in time: see running, limit and slowness of the \
                 gates, and whether targets were lost at that time."
            }
            Self::TargetFailed => {
                "its target answered that it failed: look at the target, and at calls that it made \
                 at that time."
            }
            Self::TargetBroke => {
                "its target, or the way to it, ended the connection without a whole answer: whether \
                 it ran is in the target's own records."
            }
            Self::TargetShed => "its target turned it away without running it: look at the target.",
            Self::TooSlow => {
                "no answer came before its time was over: a gate's line tells how long it waited \
                 there (queued_ms) and was there in all (here_ms); without one, a link or a daemon \
                 was silent."
            }
            Self::TargetAway => {
                "its targets were leaving, or had not said yet that they are ready."
            }
            Self::Unreachable => {
                "the daemons or targets that it was offered to could not be reached: look for their \
                 stops, losses and starts."
            }
            Self::NoTarget => "no instance was known to serve its service: look at the members.",
            Self::NoRoute => {
                "the daemon knew no route for it: compare routing_version with the lines `routing \
                 table in force` of that instance, and look for `store lost`."
            }
            Self::CrashesTargets => "targets died with it on them, so it was held back.",
            Self::Caller => "its caller sent what can't be taken.",
            Self::Untold => "the lines at hand don't tell: look for `lines left out`.",
        }
    }
}

/// Whether one of the gates that were asked had no room.
fn has_gate_without_capacity(end: &Event) -> bool {
    let gates = end.gates.as_deref().unwrap_or_default();
    let replies = gates.split(' ').filter_map(|gate| gate.split_once('='));
    replies.into_iter().any(|(_, reply)| NO_CAPACITY_REASONS.contains(&reply))
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::None => "none",
            Self::Load => "load",
            Self::TargetFailed => "target_failed",
            Self::TargetBroke => "target_broke",
            Self::TargetShed => "target_shed",
            Self::TooSlow => "too_slow",
            Self::TargetAway => "target_away",
            Self::Unreachable => "unreachable",
            Self::NoTarget => "no_target",
            Self::NoRoute => "no_route",
            Self::CrashesTargets => "crashes_targets",
            Self::Caller => "caller",
            Self::Untold => "untold",
        };
        write!(f, "{name}")
    }
}
