//! Estimate of the slots of a target that are in use without its gate's knowledge.
//!
//! Other load on shared hardware, or work of the target's own, may use slots that the gate believes
//! are free. Requests dispatched then wait inside the target, where they can no longer be rejected.
//! Such load is the difference between the target's load report and what the gate has dispatched.
//!
//! Reports are late and may be wrong, so they only ever lower the number of slots, never below half
//! of the announced ones, and only by what several reports in a row agree on.

use std::collections::VecDeque;

/// Number of reports in a row that have to agree.
///
/// A report that lags shows requests that have just completed as hidden load. Three reports a
/// second apart all meet such a moment only under a load that persists.
pub const AGREEING_REPORTS: usize = 3;

/// Load of a target that its gate did not dispatch.
#[derive(Clone, Debug, Default)]
pub struct HiddenLoad {
    samples: VecDeque<u16>,
}

impl HiddenLoad {
    /// Creates an estimate without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a load report and the most requests that the gate had dispatched meanwhile.
    pub fn record(&mut self, reported: u16, dispatched: u16) {
        if self.samples.len() == AGREEING_REPORTS {
            self.samples.pop_front();
        }
        self.samples.push_back(reported.saturating_sub(dispatched));
    }

    /// Discards all reports, as after a failed measurement: old reports must not lower the slots
    /// for good.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Returns how many of `slots` are usable.
    pub fn usable_slots(&self, slots: u16) -> u16 {
        if self.samples.len() < AGREEING_REPORTS {
            return slots;
        }
        let agreed = self.samples.iter().copied().min().unwrap_or(0);
        slots - agreed.min(slots / 2)
    }
}
