//! The targets of a service and how tries at them end, as told to a chooser.

use std::time::Duration;

use yuccarack_config::{
    ids::{DomainName, Incarnation, InstanceId},
    rules::EjectionRules,
};

/// What the chooser is set to.
#[derive(Clone, Copy, Debug)]
pub struct ChooserConfig {
    /// Share of the ready targets that may be ejected at once, in percent.
    pub ejected_max_percent: u8,
    /// Failures in a row that eject a target.
    pub failures_in_row: u8,
    /// What a call to another failure domain costs more than one in the own.
    pub remote_penalty: Duration,
}

/// Where a member is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It runs but takes no work yet.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes what it has and takes no more.
    Draining,
}

/// One target of the service, as the membership knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its instance.
    pub instance: InstanceId,
    /// The instance's life; a later one starts as unknown.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Where it is in its life.
    pub state: MemberState,
}

/// How a try at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAttemptOutcome {
    /// The target answered.
    Answered {
        /// Time from the start of the try to the answer's head.
        response_time: Duration,
    },
    /// The target answered that it failed.
    TargetFailed {
        /// Time from the start of the try to the answer's head.
        response_time: Duration,
    },
    /// The gate refused.
    Refused,
    /// The link broke or timed out.
    Broken,
    /// The entry gave the try up, which says nothing of the target.
    Cancelled,
}

impl ChooserConfig {
    /// Extra time of a call to another failure domain: a round trip between the farthest two.
    pub const REMOTE_PENALTY: Duration = Duration::from_millis(3);

    /// Creates the config from the operators' rules.
    pub fn new(rules: &EjectionRules) -> Self {
        Self {
            ejected_max_percent: rules.share_max_percent.min(100),
            failures_in_row: rules.failures_in_row.max(1),
            remote_penalty: Self::REMOTE_PENALTY,
        }
    }
}

impl Default for ChooserConfig {
    fn default() -> Self {
        Self::new(&EjectionRules::default())
    }
}
