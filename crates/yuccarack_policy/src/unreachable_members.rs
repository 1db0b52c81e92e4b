//! Which members have been out of reach for so long that they are taken for gone.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_config::ids::InstanceId;

/// Members that can't be reached, and since when.
///
/// The pattern is instances that are lost without a word, some eight a day at 2,500. Each leaves a row
/// that stands for good: every daemon knows it, tries it now and then, and takes it for one of those
/// that share the further tries. A link that is cut for minutes looks the same at first, so it takes
/// long until one counts as gone; and who reaches nobody at all is cut off itself and says nothing.
#[derive(Clone, Debug)]
pub struct UnreachableMembers {
    removal_delay: Duration,
    unreachable_since: HashMap<InstanceId, Instant>,
}

impl UnreachableMembers {
    /// Starts with none; a member counts as gone after `removal_delay` without being reached.
    pub fn new(removal_delay: Duration) -> Self {
        Self { removal_delay, unreachable_since: HashMap::new() }
    }

    /// Takes in a look at members, each with whether it was reached; those that are gone by now.
    pub fn record_probes(&mut self, now: Instant, look: &[(InstanceId, bool)]) -> Vec<InstanceId> {
        if !look.iter().any(|(_, is_reached)| *is_reached) {
            self.unreachable_since.clear();
            return Vec::new();
        }
        let is_away =
            |member: &InstanceId| look.iter().any(|(one, reached)| one == member && !reached);
        self.unreachable_since.retain(|member, _| is_away(member));
        let away = look.iter().filter(|(_, is_reached)| !is_reached);
        let is_gone = |member: &&InstanceId| {
            let since = *self.unreachable_since.entry((*member).clone()).or_insert(now);
            now.saturating_duration_since(since) >= self.removal_delay
        };
        away.map(|(member, _)| member).filter(is_gone).cloned().collect()
    }
}
