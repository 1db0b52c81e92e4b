//! All that is known of a walk at its end.

use std::time::Instant;

use yuccarack_platform_standin::{instance::Links, target::Run};

use super::{
    callers::{CallRecord, RouteVersion},
    plan::Fault,
    violations::Violation,
};

/// A fault, while it lasted.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// What it was.
    pub fault: Fault,
    /// When it struck.
    pub from: Instant,
    /// When it was over; not yet without.
    pub until: Option<Instant>,
}

/// A target that said that it leaves, and was heard.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Its instance.
    pub instance: usize,
    /// When it knew that it was heard.
    pub confirmed_at: Instant,
    /// When it took work again.
    pub until: Option<Instant>,
}

/// What the targets of one instance got.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequests {
    /// Requests that began to run.
    pub runs: Vec<Run>,
    /// When requests came, run or not.
    pub arrivals: Vec<Instant>,
}

/// All that is known of a walk at its end.
#[derive(Debug, Default)]
pub struct WalkRecord {
    /// Failure domains in which the instances stand by turns.
    pub domains: usize,
    /// Requests a second that a cold target may get; 0 for no bound.
    pub cold_per_s: usize,
    /// Where proxies stand, by instance.
    pub links: Vec<Links>,
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// What targets got, by instance.
    pub received: Vec<ReceivedRequests>,
    /// Faults.
    pub spans: Vec<Span>,
    /// Targets that left.
    pub drains: Vec<Drain>,
    /// When daemons started, by instance.
    pub daemon_starts: Vec<Vec<Instant>>,
    /// Versions of the routes.
    pub versions: Vec<RouteVersion>,
    /// What was seen to be wrong while it ran.
    pub violations: Vec<Violation>,
}
