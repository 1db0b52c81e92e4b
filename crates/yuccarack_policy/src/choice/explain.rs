//! What a chooser knows of one candidate, for operators.

use std::time::{Duration, Instant};

use yuccarack_config::{ids::InstanceId, load::LoadReport};

use super::{
    MemberState, TargetKey,
    target::{ServiceMeans, Target},
};

/// What is known of one candidate and how old it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateView {
    /// The target's key at this chooser.
    pub key: TargetKey,
    /// The target's instance.
    pub instance: InstanceId,
    /// Whether it is in the entry's own failure domain.
    pub is_local: bool,
    /// Where it is in its life.
    pub state: MemberState,
    /// Tries that this entry has out there.
    pub outstanding: u32,
    /// The latest load report.
    pub report: Option<LoadReport>,
    /// Age of the latest load report.
    pub report_age: Option<Duration>,
    /// Time in which it is expected to answer a request sent now, link included.
    pub expected: Duration,
    /// Failures since the last answer.
    pub failures_in_row: u8,
    /// Time until an ejected target is tried again; `None` when it isn't ejected.
    pub ejected_for: Option<Duration>,
    /// How far its slow start has come, in percent.
    pub warm_percent: u8,
}

impl CandidateView {
    pub(super) fn new(
        now: Instant,
        key: TargetKey,
        target: &Target,
        mean: &ServiceMeans,
        away_penalty: Duration,
    ) -> Self {
        let link = if target.is_local { Duration::ZERO } else { away_penalty };
        let expected = Duration::from_micros(target.expected_us(now, mean) as u64) + link;
        Self {
            key,
            instance: target.instance.clone(),
            is_local: target.is_local,
            state: target.state,
            outstanding: target.outstanding,
            report: target.reported_at.map(|_| target.report),
            report_age: target.reported_at.map(|at| now.saturating_duration_since(at)),
            expected,
            failures_in_row: target.failures_in_row,
            ejected_for: target.ejected_until.map(|until| until.saturating_duration_since(now)),
            warm_percent: (target.warmth(now) * 100.0) as u8,
        }
    }
}

/// A candidate that a choice compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ComparedCandidateView {
    /// Its instance.
    pub instance: InstanceId,
    /// Time in which it was expected to answer, link left out.
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
