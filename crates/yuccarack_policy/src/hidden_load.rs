//! Estimate of the slots of a target that are in use without its gate's knowledge.
//!
//! Used for calls by service.
//!
//! Other load on shared hardware, or work of the target's own, may use slots that the gate believes
//! are free. Requests dispatched then wait inside the target, where they can no longer be rejected.
//! Such load is the difference between the target's load report and what the gate has dispatched.
//!
//! Reports are late and may be wrong, so they only ever lower the number of slots, never below half
//! of the announced ones, and only by the smallest hidden load in several reports in a row.

use std::collections::VecDeque;

/// Number of latest reports of which the one with the smallest hidden load counts.
///
/// A report that lags shows requests that have just completed as hidden load. Three reports taken a
/// second apart are unlikely to all lag, so a load that appears in all of them persists.
pub const REPORTS_COMPARED: usize = 3;

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
        if self.samples.len() == REPORTS_COMPARED {
            self.samples.pop_front();
        }
        self.samples.push_back(reported.saturating_sub(dispatched));
    }

    /// Discards all reports, as after a failed measurement: old reports must not lower the slots
    /// for good.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Returns how many of `slots` are not taken by hidden load.
    pub fn slots_without_hidden_load(&self, slots: u16) -> u16 {
        if self.samples.len() < REPORTS_COMPARED {
            return slots;
        }
        let persistent = self.samples.iter().copied().min().unwrap_or(0);
        slots - persistent.min(slots / 2)
    }
}
