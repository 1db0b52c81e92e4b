//! A request for a slot and the outcome of its run.

use std::time::Instant;

use yuccarack_config::organisations::OrganisationId;

/// Organisation that a request belongs to, as far as a queue considers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganisationShare {
    /// Id of the organisation.
    pub id: OrganisationId,
    /// Priority of the organisation; 0 is the most urgent.
    pub rank: u8,
}

/// A request that needs a slot of the target.
#[derive(Clone, Copy, Debug)]
pub struct WorkRequest {
    /// Kind of the request; requests of one kind have similar service times.
    pub kind: u64,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Organisation of the request; `None` for a call of a target and without organisations.
    pub organisation: Option<OrganisationShare>,
    /// Time until which the response is of full use.
    pub soft_deadline: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Whether the request may wait at this gate. Otherwise it is rejected and goes to another gate
    /// unless it can run at once: a slot is free, the cold rate limit allows it and, with
    /// `Decisions::slow_passed_over`, the slowdown is below
    /// [`PASS_ON_SLOWDOWN`](super::PASS_ON_SLOWDOWN).
    pub may_wait: bool,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The target sent a complete response.
    Completed,
    /// The run ended without a complete response or was abandoned.
    Aborted,
}
