//! How many of its announced slots a target really has for its gate.
//!
//! The pattern is a neighbour on shared hardware, or work of the target's own, that fills slots
//! which the gate believes are free: requests handed over then wait inside the target, where they
//! can't be refused any more. The target's load report shows such work as the difference between
//! what it says and what the gate has handed over.
//!
//! Reports are late and may lie, so they only ever lower the slots, never below half of what was
//! announced, and only by what several looks in a row agree on.

use std::collections::VecDeque;

/// Looks that have to agree.
///
/// A report that lags shows requests that have just ended as hidden load; three looks a second
/// apart don't meet three such moments but under a load that really stands.
pub const AGREEING_REPORTS: usize = 3;

/// The load of a target that its gate didn't hand over.
#[derive(Clone, Debug, Default)]
pub struct HiddenLoad {
    samples: VecDeque<u16>,
}

impl HiddenLoad {
    /// Starts without a look.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a look: what the target said, and the most that the gate had handed over meanwhile.
    pub fn record(&mut self, reported: u16, handed_over: u16) {
        if self.samples.len() == AGREEING_REPORTS {
            self.samples.pop_front();
        }
        self.samples.push_back(reported.saturating_sub(handed_over));
    }

    /// Forgets all looks, as after one that failed: old news may not lower the slots for good.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// The slots that are left of `slots`.
    pub fn usable_slots(&self, slots: u16) -> u16 {
        if self.samples.len() < AGREEING_REPORTS {
            return slots;
        }
        let agreed = self.samples.iter().copied().min().unwrap_or(0);
        slots - agreed.min(slots / 2)
    }
}
