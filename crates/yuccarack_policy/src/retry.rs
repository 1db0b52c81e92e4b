//! Decides whether a request without a response is retried.
//!
//! Used for calls by service.
//!
//! In a retry storm a service that fails for a moment gets its failed load again on top of the new
//! one, multiplied by each layer of callers, up to 9 deep. Without a bound the second wave keeps
//! the service down after the cause is gone.
//!
//! Two budgets bound it. A request that was rejected at a gate or whose connection broke before
//! dispatch did not run, so another attempt costs one message and is allowed at any depth. A
//! failure after dispatch has cost a target's time and perhaps a whole chain below it, so only the
//! outermost entry repeats it. With that rule a chain of any depth runs at most
//! `1 + budget_percent / 100` times as often as it was requested, rather than that number to the
//! power of its depth.

use std::time::{Duration, Instant};

use yuccarack_config::rules::RetryRules;

use crate::budget::EarnedBudget;

/// Retries after dispatch that an idle entry may make at once.
///
/// Small services send a call every few seconds; without a reserve their first failure would always
/// reach the caller. Ten is below one target's number of slots, so the reserve can't flood it.
pub const FAILURE_RESERVE: u16 = 10;

/// Retries of requests that did not run that an idle entry may make at once.
pub const NOT_RUN_RESERVE: u16 = 20;

/// How many times more often a request that did not run may be retried than one that may have run.
///
/// At 10 % for failures, half of all requests may be rejected once and still be served elsewhere; a
/// service that rejects more than that has no capacity left.
pub const NOT_RUN_FACTOR: u8 = 5;

/// Depth of a call whose caller is not a target itself.
const OUTERMOST_DEPTH: u8 = 1;

/// Shortest remaining time in which another attempt is of use.
const TIME_LEFT_MIN: Duration = Duration::from_millis(2);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// A gate rejected the request; it did not run.
    RefusedNotRun,
    /// The connection broke before a byte was sent to a target; the request did not run.
    BrokenNotRun,
    /// The connection broke after dispatch; the request may have run.
    BrokenUnknown,
    /// The target responded with a failure.
    TargetError,
}

/// A request whose attempt ended without a usable response.
#[derive(Clone, Copy, Debug)]
pub struct RetryCandidate {
    /// Number of the attempt; the first is 1.
    pub number: u8,
    /// When the caller gives up.
    pub deadline: Instant,
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Number of services that the call has passed through; 1 for the first call.
    pub depth: u8,
}

/// Decision on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is sent to another target.
    Again {
        /// Why a retry makes sense.
        reason: RetryReason,
    },
    /// The outcome of the attempt is that of the request.
    GiveUp {
        /// Why no further attempt is made.
        reason: GiveUpReason,
    },
}

/// Why a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// A gate rejected it.
    RefusedNotRun,
    /// The connection broke before dispatch.
    BrokenNotRun,
    /// The connection broke after dispatch and the request is repeatable.
    BrokenUnknown,
    /// The target failed and the request is repeatable.
    TargetError,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// The request has had all the attempts that the rules allow.
    AttemptsUsedUp,
    /// The deadline is too close.
    DeadlineClose,
    /// The budget for retries after dispatch is spent.
    FailureBudgetSpent,
    /// The budget for retries of requests that did not run is spent.
    NotRunBudgetSpent,
    /// Only the outermost entry repeats a request that has run.
    NotOutermost,
}

/// Decides on retries for one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    attempts_max: u8,
    failure_budget: EarnedBudget,
    not_run_budget: EarnedBudget,
}

impl RetryPolicy {
    /// Creates the policy with full reserves.
    pub fn new(rules: &RetryRules) -> Self {
        let not_run_percent = rules.budget_percent.saturating_mul(NOT_RUN_FACTOR).min(100);
        Self {
            attempts_max: rules.tries_max,
            failure_budget: EarnedBudget::new(rules.budget_percent, FAILURE_RESERVE),
            not_run_budget: EarnedBudget::new(not_run_percent, NOT_RUN_RESERVE),
        }
    }

    /// Records a first attempt, which earns its share of both budgets.
    pub fn record_first_attempt(&mut self, _now: Instant) {
        self.failure_budget.earn();
        self.not_run_budget.earn();
    }

    /// Decides on an attempt that ended without a usable response, and spends the budget of a
    /// retry.
    pub fn decide(&mut self, now: Instant, candidate: RetryCandidate) -> RetryDecision {
        match self.evaluate(now, &candidate) {
            Ok(reason) => RetryDecision::Again { reason },
            Err(reason) => RetryDecision::GiveUp { reason },
        }
    }

    fn evaluate(
        &mut self,
        now: Instant,
        candidate: &RetryCandidate,
    ) -> Result<RetryReason, GiveUpReason> {
        if candidate.failure.may_have_run() && !candidate.is_repeatable {
            return Err(GiveUpReason::NotRepeatable);
        }
        if candidate.failure.may_have_run() && candidate.depth > OUTERMOST_DEPTH {
            return Err(GiveUpReason::NotOutermost);
        }
        if candidate.number >= self.attempts_max {
            return Err(GiveUpReason::AttemptsUsedUp);
        }
        if candidate.deadline.saturating_duration_since(now) < TIME_LEFT_MIN {
            return Err(GiveUpReason::DeadlineClose);
        }
        self.charge(candidate.failure)
    }

    fn charge(&mut self, failure: AttemptFailure) -> Result<RetryReason, GiveUpReason> {
        if failure.may_have_run() && !self.failure_budget.spend() {
            return Err(GiveUpReason::FailureBudgetSpent);
        }
        if !failure.may_have_run() && !self.not_run_budget.spend() {
            return Err(GiveUpReason::NotRunBudgetSpent);
        }
        Ok(failure.retry_reason())
    }
}

impl AttemptFailure {
    /// Returns whether a target may have worked on the request.
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
    /// Returns the reason's name in counters and headers.
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
    /// Returns the reason's name in counters and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::AttemptsUsedUp => "tries_used_up",
            Self::DeadlineClose => "deadline_close",
            Self::FailureBudgetSpent => "failure_budget_spent",
            Self::NotRunBudgetSpent => "refusal_budget_spent",
            Self::NotOutermost => "not_outermost",
        }
    }
}
