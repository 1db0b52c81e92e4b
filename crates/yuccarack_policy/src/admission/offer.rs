//! Requests offered to admission control and its decisions.

use std::time::{Duration, Instant};

use yuccarack_config::rules::LimitRules;

use super::{RunKey, WaitKey};

/// Configuration of admission control.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Slots that the target announced.
    pub slots: u16,
    /// Limits set by the operators.
    pub limits: LimitRules,
    /// Limits of the service's routes, in the order of its rules.
    pub routes: Vec<RouteLimits>,
}

/// What the requests of one route may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteLimits {
    /// Largest share of the slots and, if below 100, of the queue, in percent.
    pub slot_share_percent: u8,
}

/// A request offered for admission.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Hash of the caller's name.
    pub caller: u64,
    /// Index of the route in the service's rules.
    pub route: usize,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Whether the request needs an isolated run, with nothing else in flight on the target.
    pub is_isolated: bool,
}

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run(RunKey),
    /// The request waits until `poll` returns its [`WaitOutcome`].
    Wait(WaitKey),
    /// The request is rejected and has not run.
    Refused(Refusal),
}

/// A rejection with its reason and the time after which a retry makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the rejection.
    pub reason: RefusalReason,
    /// Time after which a slot is expected to be free, from the rate at which the queue drains.
    pub retry_after: Duration,
}

/// Why a gate rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The target is draining.
    Draining,
    /// The caller's deadline has already passed.
    DeadlinePassed,
    /// The request would wait past its deadline.
    DeadlineClose,
    /// The request would wait longer than the rules allow.
    WaitTooLong,
    /// The queue is full.
    QueueFull,
    /// The caller has used its share of the queue.
    CallerShare,
    /// The route has used its share of the queue.
    RouteShare,
    /// The target has stopped responding to the requests that it runs.
    Stalled,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target responded.
    Completed {
        /// Time from dispatch to the end of the response.
        service_time: Duration,
    },
    /// The target failed.
    Failed {
        /// Time from dispatch to the failure.
        service_time: Duration,
    },
    /// The target shed the request without running it.
    Shed,
    /// The caller gave up.
    Cancelled,
}

/// Outcome of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The request runs now.
    Run(WaitKey, RunKey),
    /// The request is rejected and has not run.
    Refused(WaitKey, Refusal),
}

impl WaitOutcome {
    /// Returns the key of the waiting request.
    pub fn wait_key(self) -> WaitKey {
        match self {
            Self::Run(key, _) | Self::Refused(key, _) => key,
        }
    }
}

impl RefusalReason {
    /// Returns the reason's name in counters and headers.
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
