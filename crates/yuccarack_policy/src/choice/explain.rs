//! Views of the members and compared candidates of a chooser, for operators and logs.

use std::time::{Duration, Instant};

use yuccarack_config::{ids::InstanceId, load::GateLoadReport};

use super::{
    MemberState, TargetKey,
    target::{ServiceMeans, Target},
};

/// What is known of a member, and how old that is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The target's key at this chooser.
    pub key: TargetKey,
    /// The target's instance.
    pub instance: InstanceId,
    /// Whether the target is in the entry's own failure domain.
    pub is_local: bool,
    /// Lifecycle state of the target.
    pub state: MemberState,
    /// Attempts of this entry that are in flight there.
    pub outstanding: u32,
    /// The latest load report.
    pub report: Option<GateLoadReport>,
    /// Age of the latest load report.
    pub report_age: Option<Duration>,
    /// Expected response time of a request sent now, plus the remote penalty if the target is in
    /// another failure domain.
    pub expected_with_remote_penalty: Duration,
    /// Failures since the last successful response.
    pub failures_in_row: u8,
    /// Remaining time until an ejected target may be probed; `None` when it isn't ejected.
    pub probe_due_in: Option<Duration>,
    /// Share of its slots that the target is given, in percent; below 100 during its slow start.
    pub slow_start_percent: u8,
}

impl MemberView {
    pub(super) fn new(
        now: Instant,
        key: TargetKey,
        target: &Target,
        mean: &ServiceMeans,
        remote_penalty: Duration,
    ) -> Self {
        let penalty = if target.is_local { Duration::ZERO } else { remote_penalty };
        let expected_with_remote_penalty =
            Duration::from_micros(target.expected_us(now, mean) as u64) + penalty;
        Self {
            key,
            instance: target.instance.clone(),
            is_local: target.is_local,
            state: target.state,
            outstanding: target.outstanding,
            report: target.reported_at.map(|_| target.report),
            report_age: target.reported_at.map(|at| now.saturating_duration_since(at)),
            expected_with_remote_penalty,
            failures_in_row: target.failures_in_row,
            probe_due_in: target.ejected_until.map(|until| until.saturating_duration_since(now)),
            slow_start_percent: (target.slow_start_share(now) * 100.0) as u8,
        }
    }
}

/// A candidate that a choice compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ComparedCandidateView {
    /// Its instance.
    pub instance: InstanceId,
    /// Expected response time at the choice, without the remote penalty.
    pub expected: Duration,
    /// Age of the latest load report about it.
    pub report_age: Option<Duration>,
}

impl ComparedCandidateView {
    pub(super) fn new(now: Instant, target: &Target, expected_us: f32) -> Self {
        Self {
            instance: target.instance.clone(),
            expected: Duration::from_micros(expected_us as u64),
            report_age: target.reported_at.map(|at| now.saturating_duration_since(at)),
        }
    }
}
