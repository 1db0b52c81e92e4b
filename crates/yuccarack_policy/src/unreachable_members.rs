//! Detection of members that have been unreachable long enough to be removed.
//!
//! Used for routed calls.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_config::ids::InstanceId;

/// Unreachable members, and since when they are.
///
/// Instances are lost without signing off, about eight a day in a fleet of 2,500. Each leaves a row
/// that would stay for good: every daemon knows it, probes it now and then, and counts it among
/// those that share the reserve of extra attempts. A network partition of some minutes looks the
/// same at first, so a member is removed only after a long time. A daemon that reaches nobody at
/// all is cut off itself and reports none.
#[derive(Clone, Debug)]
pub struct UnreachableMembers {
    remove_after: Duration,
    unreachable_since: HashMap<InstanceId, Instant>,
}

impl UnreachableMembers {
    /// Creates an empty record; a member counts as lost when unreachable for `remove_after`.
    pub fn new(remove_after: Duration) -> Self {
        Self { remove_after, unreachable_since: HashMap::new() }
    }

    /// Records a round of probes, each with whether the member was reached, and returns the members
    /// that count as lost by now.
    pub fn record_probes(
        &mut self,
        now: Instant,
        probes: &[(InstanceId, bool)],
    ) -> Vec<InstanceId> {
        if !probes.iter().any(|(_, is_reached)| *is_reached) {
            self.unreachable_since.clear();
            return Vec::new();
        }
        let is_unreachable = |member: &InstanceId| {
            probes.iter().any(|(probed, reached)| probed == member && !reached)
        };
        self.unreachable_since.retain(|member, _| is_unreachable(member));
        let unreachable = probes.iter().filter(|(_, is_reached)| !is_reached);
        let is_lost = |member: &&InstanceId| {
            let since = *self.unreachable_since.entry((*member).clone()).or_insert(now);
            now.saturating_duration_since(since) >= self.remove_after
        };
        unreachable.map(|(member, _)| member).filter(is_lost).cloned().collect()
    }
}
