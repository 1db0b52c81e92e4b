//! Loss of a failure domain.

use super::{Event, LOST_RESPONSE_TIMEOUT, Player};
use crate::{entry::AttemptResult, gate::AttemptState};

impl Player<'_> {
    /// Cuts off the first failure domain: attempts at its targets break, calls of its entries fail.
    pub(super) fn lose_domain(&mut self) {
        self.is_domain_lost = true;
        let targets = &self.targets;
        for (key, attempt) in &mut self.attempts {
            if targets[attempt.target].domain == 0 && attempt.state != AttemptState::Returning {
                attempt.state = AttemptState::Returning;
                let event = Event::ReturnToEntry(key, AttemptResult::BrokenUnknown, None);
                self.clock.schedule_after(LOST_RESPONSE_TIMEOUT, event);
            }
        }
        let lost_calls: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| self.entries[call.entry].domain == 0)
            .map(|(key, _)| key)
            .collect();
        for call in lost_calls {
            self.tally.failed += 1;
            self.end_call(call);
        }
    }

    pub(super) fn remove_lost_targets(&mut self) {
        let now = self.clock.now();
        let remaining: Vec<_> =
            (0..self.targets.len()).filter(|&target| !self.targets[target].is_lost(now)).collect();
        for entry in &mut self.entries {
            entry.set_targets(now, &remaining, self.scenario);
        }
    }
}
