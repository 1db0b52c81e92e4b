//! Whether a request that got no answer is tried again.
//!
//! The pattern is a retry storm: a service that fails for a moment gets its failed load again on
//! top of the new one, and each layer of callers multiplies it, up to 9 deep. Without a bound the
//! second wave keeps the service down after its cause is gone.
//!
//! Two budgets hold it. A refusal at a gate ran nothing, so trying elsewhere costs one message
//! and is allowed at any depth; a failure after hand-over has cost a target's time and perhaps a
//! whole chain below it, so only the outermost entry repeats it. With that rule a chain of any
//! depth runs at most `1 + budget_percent / 100` times as often as it was asked for, not that
//! number to the power of its depth.

use std::time::{Duration, Instant};

use yuccarack_config::rules::RetryRules;

use crate::budget::EarnedBudget;

/// Retries after hand-over that a quiet entry may make at once.
///
/// Small services send a call every few seconds; without a reserve their first failure would
/// always reach the caller. Ten is below one target's slots, so a reserve can't flood it.
pub const FAILURE_RESERVE: u16 = 10;

/// Retries after refusals that a quiet entry may make at once.
pub const REFUSAL_RESERVE: u16 = 20;

/// How much more often a refused request may go elsewhere than a failed one.
///
/// At 10 % for failures half of all requests may be refused once and still find room elsewhere;
/// a service that refuses more than that has no room to find.
pub const REFUSAL_FACTOR: u8 = 5;

/// Outermost depth: the call of a caller that is no target itself.
const OUTERMOST_DEPTH: u8 = 1;

/// Shortest time left in which a further try is of use.
const TIME_LEFT_MIN: Duration = Duration::from_millis(2);

/// What became of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// A gate refused it; it did not run.
    RefusedNotRun,
    /// The link broke before a byte was handed to a target; it did not run.
    BrokenNotRun,
    /// The link broke after hand-over; it may have run.
    BrokenUnknown,
    /// The target answered that it failed.
    TargetError,
}

/// A try that ended without a usable answer.
#[derive(Clone, Copy, Debug)]
pub struct RetryCandidate {
    /// Number of the try, the first is 1.
    pub number: u8,
    /// When the caller gives up.
    pub deadline: Instant,
    /// How the try ended.
    pub failure: AttemptFailure,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How many services the call has come through, the first call is 1.
    pub depth: u8,
}

/// Whether to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again, at another target.
    Again {
        /// Why it is worth it.
        reason: RetryReason,
    },
    /// The try's end is the request's end.
    GiveUp {
        /// Why no further try is made.
        reason: GiveUpReason,
    },
}

/// Why a request is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// A gate refused it.
    RefusedNotRun,
    /// The link broke before hand-over.
    BrokenNotRun,
    /// The link broke after hand-over and the request is repeatable.
    BrokenUnknown,
    /// The target failed and the request is repeatable.
    TargetError,
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// It may have run and must not run twice.
    NotRepeatable,
    /// It had all the tries that the rules allow.
    AttemptsUsedUp,
    /// The deadline is too close.
    DeadlineClose,
    /// The budget for retries after hand-over is spent.
    FailureBudgetSpent,
    /// The budget for retries after refusals is spent.
    RefusalBudgetSpent,
    /// Only the outermost entry repeats work that has run.
    NotOutermost,
}

/// Decides on retries for one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    attempts_max: u8,
    failure_budget: EarnedBudget,
    refusal_budget: EarnedBudget,
}

impl RetryPolicy {
    /// Creates the policy with full reserves.
    pub fn new(rules: &RetryRules) -> Self {
        let refusal_percent = rules.budget_percent.saturating_mul(REFUSAL_FACTOR).min(100);
        Self {
            attempts_max: rules.tries_max,
            failure_budget: EarnedBudget::new(rules.budget_percent, FAILURE_RESERVE),
            refusal_budget: EarnedBudget::new(refusal_percent, REFUSAL_RESERVE),
        }
    }

    /// Notes a first try, which earns the budgets' shares.
    pub fn record_first_attempt(&mut self, _now: Instant) {
        self.failure_budget.earn();
        self.refusal_budget.earn();
    }

    /// Decides on a try that ended without a usable answer, and pays if it is made again.
    pub fn decide(&mut self, now: Instant, ended: RetryCandidate) -> RetryDecision {
        match self.evaluate(now, &ended) {
            Ok(reason) => RetryDecision::Again { reason },
            Err(reason) => RetryDecision::GiveUp { reason },
        }
    }

    fn evaluate(
        &mut self,
        now: Instant,
        ended: &RetryCandidate,
    ) -> Result<RetryReason, GiveUpReason> {
        if ended.failure.may_have_run() && !ended.repeatable {
            return Err(GiveUpReason::NotRepeatable);
        }
        if ended.failure.may_have_run() && ended.depth > OUTERMOST_DEPTH {
            return Err(GiveUpReason::NotOutermost);
        }
        if ended.number >= self.attempts_max {
            return Err(GiveUpReason::AttemptsUsedUp);
        }
        if ended.deadline.saturating_duration_since(now) < TIME_LEFT_MIN {
            return Err(GiveUpReason::DeadlineClose);
        }
        self.charge(ended.failure)
    }

    fn charge(&mut self, failure: AttemptFailure) -> Result<RetryReason, GiveUpReason> {
        if failure.may_have_run() && !self.failure_budget.spend() {
            return Err(GiveUpReason::FailureBudgetSpent);
        }
        if !failure.may_have_run() && !self.refusal_budget.spend() {
            return Err(GiveUpReason::RefusalBudgetSpent);
        }
        Ok(failure.retry_reason())
    }
}

impl AttemptFailure {
    /// Whether a target may have worked on the request.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::RefusedNotRun | Self::BrokenNotRun => false,
            Self::BrokenUnknown | Self::TargetError => true,
        }
    }

    fn retry_reason(self) -> RetryReason {
        match self {
            Self::RefusedNotRun => RetryReason::RefusedNotRun,
            Self::BrokenNotRun => RetryReason::BrokenNotRun,
            Self::BrokenUnknown => RetryReason::BrokenUnknown,
            Self::TargetError => RetryReason::TargetError,
        }
    }
}

impl RetryReason {
    /// The reason's name in counters and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RefusedNotRun => "refused_not_run",
            Self::BrokenNotRun => "broken_not_run",
            Self::BrokenUnknown => "broken_unknown",
            Self::TargetError => "target_error",
        }
    }
}

impl GiveUpReason {
    /// The reason's name in counters and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::AttemptsUsedUp => "tries_used_up",
            Self::DeadlineClose => "deadline_close",
            Self::FailureBudgetSpent => "failure_budget_spent",
            Self::RefusalBudgetSpent => "refusal_budget_spent",
            Self::NotOutermost => "not_outermost",
        }
    }
}
