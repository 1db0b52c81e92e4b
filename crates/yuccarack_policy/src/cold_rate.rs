//! How many requests a target gets while it may be cold.
//!
//! The pattern is a small service whose targets bear far fewer requests a second while they are cold
//! than their usual share of the load. After a loss of power that load meets all of them at once, they
//! crash, come back cold, and meet it again, for as long as it lasts. A target may also become cold at
//! any moment, which its gate learns only later. So what counts is every request that was handed
//! over since the target was last known to be warm: if these keep the bound, they keep it whenever the
//! target became cold.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Longest time from the decision on a request to its arrival at the target, which is on the same machine.
///
/// Failure: a daemon that gets a tenth of a core stands still for most of 100 ms, and what it let through
/// before arrives together with what it lets through after.
pub const DISPATCH_DELAY_MAX: Duration = Duration::from_millis(150);

/// The same while the processor isn't starved. A request that was let through as long before a look had
/// arrived by then; one that stands still with its daemon goes before the look that the daemon sends later.
const DISPATCH_DELAY_USUAL: Duration = Duration::from_millis(20);

/// Span in which the bound holds: the second of the rule, and the time on the way.
pub const WINDOW: Duration = Duration::from_millis(1_000).saturating_add(DISPATCH_DELAY_MAX);

/// Requests that a cold target may get at once before they are spread over the window.
const BURST: usize = 4;

/// Share of the bound from which the target is asked whether it is warm, so that the answer is there before
/// the bound holds anything up.
const HEALTH_CHECK_SHARE: f64 = 0.7;

/// Least time between two such questions.
const HEALTH_CHECK_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Most requests that a target which may be cold gets in any second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBound(usize);

impl ColdBound {
    /// The bound of a target that bears `rate_per_1000_s` requests in 1,000 seconds, as operators allow
    /// `excess_percent` of that and `slack` requests more; none without a rate.
    ///
    /// A target that gets nothing at all would never become warm, so the least bound is one request.
    pub fn new(rate_per_1000_s: u32, excess_percent: u32, slack: u32) -> Option<Self> {
        if rate_per_1000_s == 0 {
            return None;
        }
        let allowed = u64::from(rate_per_1000_s) * u64::from(excess_percent) / 100_000;
        let most = allowed.saturating_add(slack.into()).max(1);
        Some(Self(usize::try_from(most).unwrap_or(usize::MAX)))
    }

    /// Most requests in any second.
    pub fn requests(self) -> usize {
        self.0
    }

    /// Mean time between two requests at the bound.
    pub fn interval(self) -> Duration {
        WINDOW.div_f64(self.0 as f64)
    }
}

/// A request that a target may have got while it was cold.
#[derive(Clone, Copy, Debug)]
struct Dispatch {
    dispatched_at: Instant,
    /// Whether the target had said that it was cold, and no look had proved it warm since.
    is_cold: bool,
}

/// Limits the requests of one target that may be cold.
#[derive(Clone, Debug, Default)]
pub struct ColdRate {
    bound: Option<ColdBound>,
    /// Requests of the last window that the target may have got while it was cold, the latest last.
    dispatches: VecDeque<Dispatch>,
    /// Start of this process; an earlier one may have handed requests over until then.
    started_at: Option<Instant>,
    /// Start of the target's cold time, at the earliest; unset where that isn't known.
    cold_from: Option<Instant>,
    /// Latest moment at which the target is known to have been warm.
    warm_as_of: Option<Instant>,
    cold_until: Option<Instant>,
    health_checked_at: Option<Instant>,
    is_spread: bool,
}

impl ColdRate {
    /// Limits the target of a process that started at `started_at`, without a bound yet.
    pub fn new(started_at: Instant) -> Self {
        Self { started_at: Some(started_at), ..Self::default() }
    }

    /// Spreads requests over the window while the target is cold, or lets them go as they come.
    pub fn with_spread(mut self, is_spread: bool) -> Self {
        self.is_spread = is_spread;
        self
    }

    /// Follows the operators' bound; none lifts it.
    pub fn set_bound(&mut self, bound: Option<ColdBound>) {
        self.bound = bound;
    }

    /// Notes that the target's cold time started no earlier than `cold_from`.
    pub fn set_cold_from(&mut self, cold_from: Instant) {
        self.cold_from = Some(cold_from);
    }

    /// Notes that the target, asked just now, says that it is cold until `cold_until`.
    pub fn set_cold_until(&mut self, cold_until: Instant) {
        self.cold_until = Some(cold_until);
        // It may have been cold since it was last known to be warm.
        self.dispatches.iter_mut().for_each(|request| request.is_cold = true);
    }

    /// Notes that a heartbeat says so. It may have been long on its way, so it never ends a cold time.
    pub fn extend_cold_until(&mut self, cold_until: Instant) {
        self.cold_until = self.cold_until.max(Some(cold_until));
    }

    /// Notes that the target was warm at `as_of`, or later.
    pub fn set_warm(&mut self, as_of: Instant) {
        self.warm_as_of = self.warm_as_of.max(Some(as_of));
        self.cold_until = None;
        self.dispatches.retain(|request| {
            request.is_cold || request.dispatched_at + DISPATCH_DELAY_USUAL >= as_of
        });
    }

    /// Whether the target says that it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Time for which it will be cold by its own word.
    pub fn cold_time_left(&self, now: Instant) -> Duration {
        self.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Mean time between two requests while the target is cold; none where nothing bounds them.
    pub fn interval(&self, now: Instant) -> Option<Duration> {
        self.bound.filter(|_| self.is_cold(now)).map(ColdBound::interval)
    }

    /// When the next request may be handed over; none if at once.
    pub fn next_dispatch_at(&self, now: Instant) -> Option<Instant> {
        let bound = self.bound?;
        let free_at = self.window_allows_at(bound).max(self.restart_allows_at(bound, now));
        let is_spread = self.is_spread && self.is_cold(now);
        let spread_at = if is_spread { self.spread_allows_at(bound) } else { None };
        free_at.max(spread_at).filter(|free_at| *free_at > now)
    }

    /// Notes that a request is handed over.
    pub fn record_dispatch(&mut self, now: Instant) {
        if self.bound.is_none() {
            return;
        }
        while self.dispatches.front().is_some_and(|oldest| oldest.dispatched_at + WINDOW <= now) {
            self.dispatches.pop_front();
        }
        // Between the reported end of a cold time and the proof that it is warm it may still be cold.
        let is_cold = self.cold_until.is_some();
        self.dispatches.push_back(Dispatch { dispatched_at: now, is_cold });
    }

    /// When the target is to be asked whether it is warm; none while the bound is far or it is cold.
    pub fn health_check_due_at(&self, now: Instant) -> Option<Instant> {
        let bound = self.bound?;
        let pause_ends_at =
            self.health_checked_at.map(|looked_at| looked_at + HEALTH_CHECK_INTERVAL_MIN);
        let due_at = match self.cold_until.filter(|until| *until > now) {
            Some(until) => until,
            None if self.dispatches_in_window(now) >= self.health_check_threshold(bound) => now,
            None if self.next_dispatch_at(now).is_some() => now,
            None => return None,
        };
        Some(pause_ends_at.map_or(due_at, |ends_at| ends_at.max(due_at)))
    }

    /// Notes that the target was asked.
    pub fn record_health_check(&mut self, now: Instant) {
        self.health_checked_at = Some(now);
    }

    fn health_check_threshold(&self, bound: ColdBound) -> usize {
        (bound.requests() as f64 * HEALTH_CHECK_SHARE) as usize
    }

    /// Requests of the last window that count.
    fn dispatches_in_window(&self, now: Instant) -> usize {
        self.dispatches.iter().filter(|request| request.dispatched_at + WINDOW > now).count()
    }

    fn window_allows_at(&self, bound: ColdBound) -> Option<Instant> {
        let first = self.dispatches.len().checked_sub(bound.requests())?;
        self.dispatches.get(first).map(|request| request.dispatched_at + WINDOW)
    }

    /// Failure: a daemon is killed and starts again at once, and its target gets the requests of two
    /// processes within one second.
    fn restart_allows_at(&self, bound: ColdBound, now: Instant) -> Option<Instant> {
        let started_at = self.started_at?;
        if self.warm_as_of.is_some_and(|warm_as_of| warm_as_of > started_at) {
            return None;
        }
        let earlier = self.earlier_process_dispatches(bound, started_at);
        let is_free = self.dispatches_in_window(now) + earlier < bound.requests();
        (!is_free).then(|| started_at + WINDOW)
    }

    /// Requests that an earlier process may have handed over since the target became cold.
    ///
    /// After a loss of power target and daemon start together, and there was no earlier process: held back for
    /// a whole window, every target of the fleet would idle while callers wait.
    fn earlier_process_dispatches(&self, bound: ColdBound, started_at: Instant) -> usize {
        let Some(cold_from) = self.cold_from.filter(|_| self.is_spread) else {
            return bound.requests();
        };
        match started_at.saturating_duration_since(cold_from) {
            Duration::ZERO => 0,
            cold_for => BURST + cold_for.div_duration_f64(bound.interval()).ceil() as usize,
        }
    }

    /// Failure: all that a cold target may get in a second goes in the first tenths of it, and what is urgent
    /// and comes after that waits for the rest of the second.
    fn spread_allows_at(&self, bound: ColdBound) -> Option<Instant> {
        let burst = BURST.min(bound.requests());
        let first = self.dispatches.len().checked_sub(burst)?;
        self.dispatches
            .get(first)
            .map(|request| request.dispatched_at + bound.interval() * burst as u32)
    }
}
