//! Whether a routed request that got no good answer goes to another gate.
//!
//! The pattern is a service of which a part fails: each failure that is tried again adds load to
//! the targets that are left, and with every daemon of a fleet doing so the second wave is as large
//! as the first. So all daemons share one allowance: each earns a share of its own requests and keeps
//! a small part of the common reserve. A gate's refusal never reached a target and costs nothing.

use std::time::Duration;

use crate::budget::EarnedBudget;

/// Part of the operators' share that is spent, in percent.
///
/// The rest is left for what a daemon can't see: the calls that a request makes when it runs again
/// are extra arrivals too, at the services that it calls.
const USABLE_PERCENT: u32 = 60;

/// Share of tries that end badly after they may have run, above which none of those is made again.
///
/// A few failures are mended by another target. Many have a cause that another target shares, such
/// as a service that they all call: each request that runs again calls it again, and 150 of them
/// put 214 extra arrivals on a service that was failing already (counted over 10 s).
const FAILURE_SHARE_MAX: f64 = 0.1;

/// Weight of one try in that share; fifty tries make it up.
const FAILURE_WEIGHT: f64 = 0.02;

/// Shortest time left in which a further try is of use: two network round trips between domains.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// How a try ended that brought no good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GateAttemptFailure {
    /// A gate turned it away; no target saw it.
    Refused,
    /// The target turned it away; it did not run.
    Shed,
    /// It may have run, and its answer is lost.
    Unknown,
    /// The target answered that it failed.
    Failed,
}

/// A try that brought no good answer.
#[derive(Clone, Copy, Debug)]
pub struct FailedGateAttempt {
    /// How it ended.
    pub kind: GateAttemptFailure,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Targets that may have run it so far.
    pub targets_run: u8,
    /// Most targets that may run it.
    pub targets_max: u8,
    /// Time that its caller still waits.
    pub time_left: Duration,
}

/// Why no further try is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoExtraAttemptReason {
    /// It may have run and must not run twice.
    NotRepeatable,
    /// It has been on as many targets as it may.
    TargetsUsedUp,
    /// Too many end badly for another target to help.
    TooManyFail,
    /// The deadline is too close.
    DeadlineClose,
    /// The allowance is used up.
    AllowanceUsedUp,
}

impl NoExtraAttemptReason {
    /// The reason's name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::TargetsUsedUp => "targets_used_up",
            Self::TooManyFail => "too_many_fail",
            Self::DeadlineClose => "deadline_close",
            Self::AllowanceUsedUp => "allowance_used_up",
        }
    }
}

/// The allowance of one service at one entry.
#[derive(Clone, Debug)]
pub struct ExtraAttempts {
    allowance: EarnedBudget,
    reserve: u32,
    failure_share: f64,
}

impl ExtraAttempts {
    /// An allowance of `percent` of the requests and this entry's part of `reserve`, which
    /// `entries` share.
    pub fn new(percent: u8, reserve: u32, entries: usize) -> Self {
        let spent = u32::from(percent) * USABLE_PERCENT / 100;
        let spent = u8::try_from(spent).unwrap_or(100);
        let allowance = EarnedBudget::new(spent, entry_reserve(reserve, entries));
        Self { allowance, reserve, failure_share: 0.0 }
    }

    /// Takes this entry's part anew, now that `entries` share the reserve.
    ///
    /// Failure: an entry starts when it knows few others, keeps a large part for good, and all of
    /// them together send several times the further tries that operators allow.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.allowance.set_reserve(entry_reserve(self.reserve, entries));
    }

    /// Notes a request, which earns its share.
    pub fn earn(&mut self) {
        self.allowance.earn();
    }

    /// Notes a try that brought a good answer.
    pub fn record_success(&mut self) {
        self.failure_share -= FAILURE_WEIGHT * self.failure_share;
    }

    /// Pays for one arrival at a target beyond the first.
    pub fn spend(&mut self) -> bool {
        self.allowance.spend()
    }

    /// Decides on a further try, and pays for it.
    ///
    /// # Errors
    ///
    /// Why none is made.
    pub fn decide(&mut self, bad: FailedGateAttempt) -> Result<(), NoExtraAttemptReason> {
        let may_have_run =
            matches!(bad.kind, GateAttemptFailure::Unknown | GateAttemptFailure::Failed);
        if may_have_run {
            self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        }
        if may_have_run && !bad.is_repeatable {
            return Err(NoExtraAttemptReason::NotRepeatable);
        }
        if may_have_run && bad.targets_run >= bad.targets_max {
            return Err(NoExtraAttemptReason::TargetsUsedUp);
        }
        if may_have_run && self.failure_share > FAILURE_SHARE_MAX {
            return Err(NoExtraAttemptReason::TooManyFail);
        }
        if bad.time_left < TIME_LEFT_MIN {
            return Err(NoExtraAttemptReason::DeadlineClose);
        }
        let is_free = bad.kind == GateAttemptFailure::Refused;
        if !is_free && !self.spend() {
            return Err(NoExtraAttemptReason::AllowanceUsedUp);
        }
        Ok(())
    }
}

/// One entry's part of the reserve, in tries; each may make one now and then.
fn entry_reserve(reserve: u32, entries: usize) -> u16 {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
    let part = reserve * USABLE_PERCENT / 100 / entries;
    u16::try_from(part).unwrap_or(u16::MAX).max(1)
}
