//! Budget that is earned by first attempts and spent on extra ones.
//!
//! Used for calls by service and for routed calls.
//!
//! It bounds retry storms: when everything fails at once, extra attempts stay a fixed share of the
//! requests that callers made, whatever the number of failures.

/// Cost of one extra attempt, in hundredths.
const COST_HUNDREDTHS: u32 = 100;

/// Budget of extra attempts, earned by first attempts, with a small reserve.
///
/// Over any window the number spent is at most the reserve plus the share of the first attempts
/// made in that window.
#[derive(Clone, Debug)]
pub struct EarnedBudget {
    earned_per_attempt_percent: u32,
    level_hundredths: u32,
    level_max_hundredths: u32,
}

impl EarnedBudget {
    /// Creates a full budget that earns `percent` hundredths of an extra attempt for each first
    /// attempt and holds at most `reserve` extra attempts.
    pub fn new(percent: u8, reserve: u16) -> Self {
        let level_max_hundredths = match percent {
            0 => 0,
            _ => u32::from(reserve) * COST_HUNDREDTHS,
        };
        Self {
            earned_per_attempt_percent: u32::from(percent),
            level_hundredths: level_max_hundredths,
            level_max_hundredths,
        }
    }

    /// Sets the most extra attempts that the budget holds.
    pub fn set_reserve(&mut self, reserve: u16) {
        self.set_reserve_hundredths(u32::from(reserve) * COST_HUNDREDTHS);
    }

    /// Sets the most extra attempts that the budget holds, in hundredths of one.
    pub fn set_reserve_hundredths(&mut self, reserve_hundredths: u32) {
        if !self.is_off() {
            self.level_max_hundredths = reserve_hundredths;
            self.level_hundredths = self.level_hundredths.min(self.level_max_hundredths);
        }
    }

    /// Earns the share of one first attempt.
    pub fn earn(&mut self) {
        let level = self.level_hundredths + self.earned_per_attempt_percent;
        self.level_hundredths = level.min(self.level_max_hundredths);
    }

    /// Returns whether the budget covers one extra attempt.
    pub fn can_spend(&self) -> bool {
        self.level_hundredths >= COST_HUNDREDTHS
    }

    /// Returns whether the budget never covers an extra attempt.
    pub fn is_off(&self) -> bool {
        self.level_max_hundredths == 0
    }

    /// Returns whether the budget covers more than one extra attempt: half of what it can hold
    /// beyond the first, and at most two.
    ///
    /// A budget that had to be full would earn nothing until the next spending, and lose 16 of 100.
    pub fn has_spare(&self) -> bool {
        let beyond_first = self.level_max_hundredths.saturating_sub(COST_HUNDREDTHS) / 2;
        self.level_hundredths >= COST_HUNDREDTHS + beyond_first.min(COST_HUNDREDTHS)
    }

    /// Returns how full the budget is, from 0 to 1.
    pub fn level(&self) -> f64 {
        f64::from(self.level_hundredths) / f64::from(self.level_max_hundredths.max(1))
    }

    /// Spends one extra attempt; returns `false` if the budget doesn't cover it.
    pub fn spend(&mut self) -> bool {
        if !self.can_spend() {
            return false;
        }
        self.level_hundredths -= COST_HUNDREDTHS;
        true
    }
}
