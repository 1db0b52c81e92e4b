//! Record of a walk, from which the checks find violations.

use std::time::Instant;

use yuccarack_platform_standin::{
    instance::Links,
    target::{AnnouncedLimit, Run},
};

use super::{
    callers::{CallRecord, RouteVersion},
    organisations::{Quota, RemovedKey},
    plan::Fault,
    violations::Violation,
};

/// A fault and the time for which it lasted.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Kind and place of the fault.
    pub fault: Fault,
    /// Time at which it was injected.
    pub from: Instant,
    /// Time at which it was cleared; none while it lasts.
    pub until: Option<Instant>,
}

/// A target whose announcement that it drains was confirmed by its daemon.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Instance of the target.
    pub instance: usize,
    /// Time at which the target received the confirmation.
    pub confirmed_at: Instant,
    /// Time at which it was ready again; none while it drains.
    pub until: Option<Instant>,
}

/// Time for which a target announced with its responses that it leaves.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// First time at which it announced that.
    pub from: Instant,
    /// Time at which it exited.
    pub until: Instant,
}

/// Requests that the targets of one instance received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequests {
    /// Requests that began to run.
    pub runs: Vec<Run>,
    /// Arrival times of all requests, whether they ran or not.
    pub arrivals: Vec<Instant>,
    /// Number of `authorization` headers.
    pub keys: usize,
    /// Rate limits that the targets announced.
    pub rate_limits: Vec<AnnouncedLimit>,
    /// Times for which targets announced with their responses that they leave.
    pub departures: Vec<Departure>,
}

/// Everything recorded in a walk.
#[derive(Debug, Default)]
pub struct WalkRecord {
    /// Number of failure domains; the instances are spread over them round robin.
    pub domains: usize,
    /// Requests per second that a cold target may get; 0 for no limit.
    pub cold_per_s: usize,
    /// Links with a proxy, by instance.
    pub links: Vec<Links>,
    /// All calls with their outcomes.
    pub calls: Vec<CallRecord>,
    /// Requests that targets received, by instance.
    pub received: Vec<ReceivedRequests>,
    /// Faults with their times.
    pub spans: Vec<Span>,
    /// Targets that drained.
    pub drains: Vec<Drain>,
    /// Start times of daemons, by instance.
    pub daemon_starts: Vec<Vec<Instant>>,
    /// Versions of the routing table.
    pub versions: Vec<RouteVersion>,
    /// Keys that operators removed.
    pub removed_keys: Vec<RemovedKey>,
    /// Quotas that operators set, in their order.
    pub quotas: Vec<Quota>,
    /// Violations detected while the walk ran.
    pub violations: Vec<Violation>,
}
