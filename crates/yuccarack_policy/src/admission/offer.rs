//! What is asked of a gate and what it answers.

use std::time::{Duration, Instant};

use yuccarack_config::rules::LimitRules;

use super::{RunKey, WaitKey};

/// What the gate is set to.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Slots that the target announced.
    pub slots: u16,
    /// The operators' limits.
    pub limits: LimitRules,
    /// Shares of the service's routes, in the order of its rules.
    pub routes: Vec<RouteShare>,
}

/// Share of the slots that a route may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// Share of the slots, in percent.
    pub slot_share_percent: u8,
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Hash of the caller's name.
    pub caller: u64,
    /// Number of the route in the service's rules.
    pub route: usize,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Whether it may only run with nothing else in flight on the target.
    pub alone: bool,
}

/// Answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run(RunKey),
    /// It waits; `poll` tells how it goes on.
    Wait(WaitKey),
    /// It was turned away and did not run.
    Refused(Refusal),
}

/// A refusal and when to come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which there should be room, from the rate at which the queue drains.
    pub retry_after: Duration,
}

/// Why a gate turned a request away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The target is leaving.
    Draining,
    /// The caller's deadline has passed already.
    DeadlinePassed,
    /// It would have waited past its deadline.
    DeadlineClose,
    /// It would have waited longer than the rules allow.
    WaitTooLong,
    /// The queue is full.
    QueueFull,
    /// The caller has its share of the queue.
    CallerShare,
    /// The route has its share of the queue.
    RouteShare,
    /// The target has stopped answering what it runs.
    Stalled,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered.
    Completed {
        /// Time from hand-over to the answer's end.
        service_time: Duration,
    },
    /// The target failed.
    Failed {
        /// Time from hand-over to the failure.
        service_time: Duration,
    },
    /// The target shed it without running it.
    Shed,
    /// The caller gave it up.
    Cancelled,
}

/// How a waiting request goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It runs now.
    Run(WaitKey, RunKey),
    /// It was turned away and did not run.
    Refused(WaitKey, Refusal),
}

impl WaitOutcome {
    /// The waiting request that is settled.
    pub fn wait_key(self) -> WaitKey {
        match self {
            Self::Run(key, _) | Self::Refused(key, _) => key,
        }
    }
}

impl RefusalReason {
    /// The reason's name in counters and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::DeadlinePassed => "deadline_passed",
            Self::DeadlineClose => "deadline_close",
            Self::WaitTooLong => "wait_too_long",
            Self::QueueFull => "queue_full",
            Self::CallerShare => "caller_share",
            Self::RouteShare => "route_share",
            Self::Stalled => "stalled",
        }
    }
}
