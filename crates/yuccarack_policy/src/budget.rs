//! Budget that is earned by first tries and spent on extra ones.
//!
//! Answers the pattern of a storm: when everything fails at once, extra tries must stay a fixed
//! share of the work that callers really asked for, whatever the number of failures.

/// Cost of one extra try, in hundredths.
const COST_HUNDREDTHS: u32 = 100;

/// Extra tries bought by first tries, with a small reserve.
///
/// Over any window the number spent is at most the reserve plus the share of the first tries
/// made in that window.
#[derive(Clone, Debug)]
pub struct EarnedBudget {
    earned_per_attempt_percent: u32,
    level_hundredths: u32,
    level_max_hundredths: u32,
}

impl EarnedBudget {
    /// Creates a full budget that earns `percent` hundredths a first try and keeps at most
    /// `reserve` extra tries.
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

    /// Keeps at most `reserve` extra tries from now on.
    pub fn set_reserve(&mut self, reserve: u16) {
        if !self.is_off() {
            self.level_max_hundredths = u32::from(reserve) * COST_HUNDREDTHS;
            self.level_hundredths = self.level_hundredths.min(self.level_max_hundredths);
        }
    }

    /// Earns the share of one first try.
    pub fn earn(&mut self) {
        let level = self.level_hundredths + self.earned_per_attempt_percent;
        self.level_hundredths = level.min(self.level_max_hundredths);
    }

    /// Whether one extra try could be paid for.
    pub fn can_spend(&self) -> bool {
        self.level_hundredths >= COST_HUNDREDTHS
    }

    /// Whether the budget never pays for anything.
    pub fn is_off(&self) -> bool {
        self.level_max_hundredths == 0
    }

    /// How full the budget is, from 0 to 1.
    pub fn level(&self) -> f64 {
        f64::from(self.level_hundredths) / f64::from(self.level_max_hundredths.max(1))
    }

    /// Pays for one extra try; `false` when the budget doesn't suffice.
    pub fn spend(&mut self) -> bool {
        if !self.can_spend() {
            return false;
        }
        self.level_hundredths -= COST_HUNDREDTHS;
        true
    }
}
