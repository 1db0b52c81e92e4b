//! Decides whether a routed request without a successful response is sent to another gate.
//!
//! Used for routed calls.
//!
//! When a part of a service fails, each repeated request adds load to the remaining targets, and
//! with all daemons of a fleet repeating theirs the second wave is as large as the first. So all
//! daemons share one allowance: each earns a share of its own requests and holds a small part of
//! the common reserve. A request rejected by a gate never reached a target and costs nothing.

use std::time::Duration;

use rand::Rng;

use crate::budget::EarnedBudget;

/// Part of the allowance set by the operators that is used, in percent.
///
/// The rest is left for what a daemon can't see: when a request runs again, the calls that it makes
/// are extra requests too, at the services that it calls.
const ALLOWANCE_USED_PERCENT: u32 = 60;

/// Failure share of the attempts above which requests that may have run are not repeated.
///
/// Isolated failures usually don't occur again at another target. Frequent ones have a cause that
/// the targets share, such as a failing service that they all call. Each repeated request calls it
/// again: 150 repeated requests added 214 requests to the failing service, counted over 10 s.
const FAILURE_SHARE_MAX: f64 = 0.1;

/// Weight of one attempt in that share, which covers about fifty attempts.
const FAILURE_WEIGHT: f64 = 0.02;

/// Shortest remaining time in which another attempt is of use: two network round trips between
/// failure domains.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// Cost of one extra attempt in hundredths, the smallest part of the reserve that is of use.
const ATTEMPT_HUNDREDTHS: u32 = 100;

/// How an attempt at a gate failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GateAttemptFailure {
    /// A gate rejected the request; no target received it.
    Refused,
    /// The target shed the request without running it.
    Shed,
    /// The request may have run; its response is lost.
    Unknown,
    /// The target responded with a failure.
    Failed,
}

/// An attempt without a successful response.
#[derive(Clone, Copy, Debug)]
pub struct FailedGateAttempt {
    /// How the attempt failed.
    pub kind: GateAttemptFailure,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Number of targets that may have run the request so far.
    pub targets_run: u8,
    /// Most targets that may run the request.
    pub targets_max: u8,
    /// Time for which the caller still waits.
    pub time_left: Duration,
    /// Whether the caller of a shed request can return in time, which costs no allowance.
    pub can_return: bool,
}

/// Why no extra attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoExtraAttemptReason {
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The request has run on as many targets as it may.
    TargetsUsedUp,
    /// Too many attempts fail for another target to help.
    TooManyFail,
    /// The deadline is too close.
    DeadlineClose,
    /// The allowance is used up.
    AllowanceUsedUp,
}

impl NoExtraAttemptReason {
    /// Returns the reason's name in logs and counters.
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

/// Allowance of extra attempts for one service at one entry.
#[derive(Clone, Debug)]
pub struct ExtraAttempts {
    allowance: EarnedBudget,
    reserve: u32,
    entries: usize,
    has_exact_reserve: bool,
    /// Share of the extra attempts covered by the allowance that are made.
    made_share: f64,
    failure_share: f64,
}

impl ExtraAttempts {
    /// Creates an allowance of `percent` of the requests, with this entry's part of the `reserve`
    /// that `entries` share.
    pub fn new(percent: u8, reserve: u32, entries: usize) -> Self {
        let percent = u32::from(percent) * ALLOWANCE_USED_PERCENT / 100;
        let percent = u8::try_from(percent).unwrap_or(100);
        let allowance = EarnedBudget::new(percent, entry_reserve(reserve, entries));
        let made_share = made_share(reserve, entries);
        let has_exact_reserve = false;
        Self { allowance, reserve, entries, has_exact_reserve, made_share, failure_share: 0.0 }
    }

    /// Sets whether this entry's part of the reserve may contain a fraction of an attempt.
    ///
    /// Rounded down to whole attempts, the parts of 90 entries of a reserve of 220 hold 90 of the
    /// 132 attempts that are used. The fractions add up to no more than these 132. A part below one
    /// attempt is rounded up in either case, as no attempt would ever be covered otherwise.
    pub fn set_exact_reserve(&mut self, is_exact: bool) {
        self.has_exact_reserve = is_exact;
        self.update_reserve();
    }

    /// Recomputes this entry's part of the reserve, which `entries` now share.
    ///
    /// An entry that starts while it knows few others must not keep its large part for good, or all
    /// entries together would make several times the extra attempts that operators allow.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entries = entries;
        self.update_reserve();
    }

    fn update_reserve(&mut self) {
        let whole = u32::from(entry_reserve(self.reserve, self.entries)) * ATTEMPT_HUNDREDTHS;
        let entries = u32::try_from(self.entries).unwrap_or(u32::MAX).max(1);
        // In hundredths of an attempt, the used percentage is a factor.
        let exact = self.reserve.saturating_mul(ALLOWANCE_USED_PERCENT) / entries;
        let part = if self.has_exact_reserve { exact.max(ATTEMPT_HUNDREDTHS) } else { whole };
        self.allowance.set_reserve_hundredths(part);
        self.made_share = made_share(self.reserve, self.entries);
    }

    /// Earns the share of one request.
    pub fn earn(&mut self) {
        self.allowance.earn();
    }

    /// Records an attempt with a successful response.
    pub fn record_success(&mut self) {
        self.failure_share -= FAILURE_WEIGHT * self.failure_share;
    }

    /// Spends one extra request to a target; returns `false` if the allowance doesn't cover it.
    ///
    /// Where more entries than attempts share the reserve, each entry still holds a whole attempt,
    /// and gives it up in so many cases that all together make no more than the reserve.
    fn spend(&mut self, rng: &mut impl Rng) -> bool {
        self.allowance.spend() && (self.made_share >= 1.0 || rng.random_bool(self.made_share))
    }

    /// Decides on another attempt and spends it from the allowance.
    ///
    /// # Errors
    ///
    /// Returns why no attempt is made.
    pub fn decide(
        &mut self,
        rng: &mut impl Rng,
        failed: FailedGateAttempt,
    ) -> Result<(), NoExtraAttemptReason> {
        let may_have_run =
            matches!(failed.kind, GateAttemptFailure::Unknown | GateAttemptFailure::Failed);
        if may_have_run {
            self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        }
        if may_have_run && !failed.is_repeatable {
            return Err(NoExtraAttemptReason::NotRepeatable);
        }
        if may_have_run && failed.targets_run >= failed.targets_max {
            return Err(NoExtraAttemptReason::TargetsUsedUp);
        }
        if may_have_run && self.failure_share > FAILURE_SHARE_MAX {
            return Err(NoExtraAttemptReason::TooManyFail);
        }
        if failed.time_left < TIME_LEFT_MIN {
            return Err(NoExtraAttemptReason::DeadlineClose);
        }
        let is_free = failed.kind == GateAttemptFailure::Refused;
        // Where most requests are shed, the allowance is left to those whose callers can't return.
        let yields = failed.kind == GateAttemptFailure::Shed && failed.can_return;
        if yields && !self.allowance.has_spare() {
            return Err(NoExtraAttemptReason::AllowanceUsedUp);
        }
        if !is_free && !self.spend(rng) {
            return Err(NoExtraAttemptReason::AllowanceUsedUp);
        }
        Ok(())
    }
}

/// Returns the share of attempts that `entries` with one attempt each may make of `reserve`.
fn made_share(reserve: u32, entries: usize) -> f64 {
    (f64::from(reserve) / entries.max(1) as f64).min(1.0)
}

/// Returns one entry's part of the reserve, in attempts; it is at least one.
fn entry_reserve(reserve: u32, entries: usize) -> u16 {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
    let part = reserve * ALLOWANCE_USED_PERCENT / 100 / entries;
    u16::try_from(part).unwrap_or(u16::MAX).max(1)
}
