//! Members of a service and outcomes of attempts, as given to a chooser.

use std::time::Duration;

use yuccarack_config::{
    ids::{DomainName, Incarnation, InstanceId},
    rules::EjectionRules,
};

/// Configuration of a chooser.
#[derive(Clone, Copy, Debug)]
pub struct ChooserConfig {
    /// Share of the ready targets that may be ejected at once, in percent.
    pub ejected_max_percent: u8,
    /// Failures in a row after which a target is ejected.
    pub failures_in_row: u8,
    /// Additional time of a call to another failure domain.
    pub remote_penalty: Duration,
}

/// Lifecycle state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It runs but takes no requests yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It completes its requests and takes no more.
    Draining,
}

/// A target of the service as known from the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its instance.
    pub instance: InstanceId,
    /// The instance's incarnation; what is known of an earlier one is discarded.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Its lifecycle state.
    pub state: MemberState,
}

/// Outcome of an attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAttemptOutcome {
    /// The target responded.
    Answered {
        /// Time from the start of the attempt to the head of the response.
        response_time: Duration,
    },
    /// The target responded with a failure.
    TargetFailed {
        /// Time from the start of the attempt to the head of the response.
        response_time: Duration,
    },
    /// The gate rejected the request.
    Refused,
    /// The connection broke or timed out.
    Broken,
    /// The entry cancelled the attempt, which says nothing about the target.
    Cancelled,
}

impl ChooserConfig {
    /// Additional time of a call to another failure domain: a round trip between the two farthest
    /// apart.
    pub const REMOTE_PENALTY: Duration = Duration::from_millis(3);

    /// Creates the configuration from the operators' rules.
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
