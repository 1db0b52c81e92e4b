//! Rate limit for a target while it may be cold.
//!
//! Used for routed calls.
//!
//! A target is cold for some time after its start, in which it is slower; it reports for how long.
//! The targets of a small service may bear far fewer requests a second while they are cold than
//! their usual share of the load. After a power loss that load meets all of them at once: they
//! crash, restart cold and meet it again, as long as the load lasts. A target may also become cold
//! at any time, and its gate learns of it only later. So the limit counts every request dispatched
//! since the target was last known to be warm. If these stay within the bound, they do so whenever
//! the target became cold.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Longest time from the decision on a request to its arrival at the target on the same machine.
///
/// A daemon limited to a tenth of a core is stopped for most of 100 ms at a time; requests that it
/// dispatched before such a stop arrive together with those dispatched after it.
pub const DISPATCH_DELAY_MAX: Duration = Duration::from_millis(150);

/// The same while the daemon isn't short of processor time. A request dispatched that long before a
/// health check has arrived by the time the target answers the check; if the daemon is stopped
/// meanwhile, both are delayed and the request is still sent first.
const DISPATCH_DELAY_USUAL: Duration = Duration::from_millis(20);

/// Time window in which the bound holds: the second of the operators' rule plus the dispatch delay.
pub const WINDOW: Duration = Duration::from_millis(1_000).saturating_add(DISPATCH_DELAY_MAX);

/// Requests that a cold target may get at once before they are spread over the window.
const BURST: usize = 4;

/// Share of the bound from which the target is asked whether it is warm, so that the response is
/// there before the bound delays any request.
const HEALTH_CHECK_SHARE: f64 = 0.7;

/// Shortest time between two health checks for this reason.
const HEALTH_CHECK_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Most requests in any second to a target that may be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBound(usize);

impl ColdBound {
    /// Returns the bound of a target that bears `rate_per_1000_s` requests in 1,000 seconds when
    /// cold. Operators allow `excess_percent` of that and `slack` further requests. Returns `None`
    /// without a rate.
    ///
    /// A target that gets no request would never become warm, so the bound is at least one.
    pub fn new(rate_per_1000_s: u32, excess_percent: u32, slack: u32) -> Option<Self> {
        if rate_per_1000_s == 0 {
            return None;
        }
        let allowed = u64::from(rate_per_1000_s) * u64::from(excess_percent) / 100_000;
        let requests = allowed.saturating_add(slack.into()).max(1);
        Some(Self(usize::try_from(requests).unwrap_or(usize::MAX)))
    }

    /// Returns the largest number of requests in any second.
    pub fn requests(self) -> usize {
        self.0
    }

    /// Returns the mean time between two requests at the bound.
    pub fn interval(self) -> Duration {
        WINDOW.div_f64(self.0 as f64)
    }
}

/// A request that the target may have received while it was cold.
#[derive(Clone, Copy, Debug)]
struct Dispatch {
    dispatched_at: Instant,
    /// Whether the target may have been cold at the time by an earlier or later report of it. Such
    /// a dispatch counts for the whole window, even after a health check shows the target warm.
    is_cold_reported: bool,
}

/// Limits the requests to one target that may be cold.
#[derive(Clone, Debug, Default)]
pub struct ColdRate {
    bound: Option<ColdBound>,
    /// Dispatches of the last window that the target may have received while it was cold, the
    /// latest last.
    dispatches: VecDeque<Dispatch>,
    /// Start of this process; a previous one may have dispatched requests until then.
    started_at: Option<Instant>,
    /// Earliest possible start of the target's cold time; `None` if unknown.
    cold_from: Option<Instant>,
    /// Latest time at which the target is known to have been warm.
    warm_as_of: Option<Instant>,
    cold_until: Option<Instant>,
    health_checked_at: Option<Instant>,
    is_spread: bool,
}

impl ColdRate {
    /// Creates the limit of a process that started at `started_at`, without a bound yet.
    pub fn new(started_at: Instant) -> Self {
        Self { started_at: Some(started_at), ..Self::default() }
    }

    /// Sets whether requests to a cold target are spread over the window or go as they come.
    pub fn with_spread(mut self, is_spread: bool) -> Self {
        self.is_spread = is_spread;
        self
    }

    /// Sets the operators' bound; `None` lifts the limit.
    pub fn set_bound(&mut self, bound: Option<ColdBound>) {
        self.bound = bound;
    }

    /// Notes that the target's cold time started no earlier than `cold_from`.
    pub fn set_cold_from(&mut self, cold_from: Instant) {
        self.cold_from = Some(cold_from);
    }

    /// Notes that the target has just answered a health check and is cold until `cold_until`.
    pub fn set_cold_until(&mut self, cold_until: Instant) {
        self.cold_until = Some(cold_until);
        // It may have been cold since it was last known to be warm.
        self.dispatches.iter_mut().for_each(|request| request.is_cold_reported = true);
    }

    /// Notes a cold time reported by a heartbeat. A heartbeat may be old, so it never ends a cold
    /// time.
    pub fn extend_cold_until(&mut self, cold_until: Instant) {
        self.cold_until = self.cold_until.max(Some(cold_until));
    }

    /// Notes that the target was warm at `as_of` or later.
    pub fn set_warm(&mut self, as_of: Instant) {
        self.warm_as_of = self.warm_as_of.max(Some(as_of));
        self.cold_until = None;
        self.dispatches.retain(|request| {
            request.is_cold_reported || request.dispatched_at + DISPATCH_DELAY_USUAL >= as_of
        });
    }

    /// Returns whether the target has reported that it is cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Returns for how long the target will be cold by its own report.
    pub fn cold_time_left(&self, now: Instant) -> Duration {
        self.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the mean time between two requests while the target is cold; `None` without a limit.
    pub fn interval(&self, now: Instant) -> Option<Duration> {
        self.bound.filter(|_| self.is_cold(now)).map(ColdBound::interval)
    }

    /// Returns when the next request may be dispatched; `None` if at once.
    pub fn next_dispatch_at(&self, now: Instant) -> Option<Instant> {
        let bound = self.bound?;
        let next_at = self.window_allows_at(bound).max(self.restart_allows_at(bound, now));
        let is_spread = self.is_spread && self.is_cold(now);
        let spread_at = if is_spread { self.spread_allows_at(bound) } else { None };
        next_at.max(spread_at).filter(|next_at| *next_at > now)
    }

    /// Records a dispatch.
    pub fn record_dispatch(&mut self, now: Instant) {
        if self.bound.is_none() {
            return;
        }
        while self.dispatches.front().is_some_and(|oldest| oldest.dispatched_at + WINDOW <= now) {
            self.dispatches.pop_front();
        }
        // After the reported end of a cold time the target may still be cold until a check shows it
        // warm.
        let is_cold_reported = self.cold_until.is_some();
        self.dispatches.push_back(Dispatch { dispatched_at: now, is_cold_reported });
    }

    /// Returns when to ask the target whether it is warm: at the reported end of its cold time, or
    /// otherwise once the bound is near. Returns `None` while the bound is far off.
    pub fn health_check_due_at(&self, now: Instant) -> Option<Instant> {
        let bound = self.bound?;
        let interval_ends_at =
            self.health_checked_at.map(|checked_at| checked_at + HEALTH_CHECK_INTERVAL_MIN);
        let due_at = match self.cold_until.filter(|until| *until > now) {
            Some(until) => until,
            None if self.dispatches_in_window(now) >= self.health_check_threshold(bound) => now,
            None if self.next_dispatch_at(now).is_some() => now,
            None => return None,
        };
        Some(interval_ends_at.map_or(due_at, |ends_at| ends_at.max(due_at)))
    }

    /// Records that the target was asked.
    pub fn record_health_check(&mut self, now: Instant) {
        self.health_checked_at = Some(now);
    }

    fn health_check_threshold(&self, bound: ColdBound) -> usize {
        (bound.requests() as f64 * HEALTH_CHECK_SHARE) as usize
    }

    /// Returns the number of dispatches within the last window.
    fn dispatches_in_window(&self, now: Instant) -> usize {
        self.dispatches.iter().filter(|request| request.dispatched_at + WINDOW > now).count()
    }

    fn window_allows_at(&self, bound: ColdBound) -> Option<Instant> {
        let first = self.dispatches.len().checked_sub(bound.requests())?;
        self.dispatches.get(first).map(|request| request.dispatched_at + WINDOW)
    }

    /// Returns when a request may be dispatched after a restart of the daemon.
    ///
    /// A daemon that is killed and restarts at once must not let its target get the requests of two
    /// processes within one second.
    fn restart_allows_at(&self, bound: ColdBound, now: Instant) -> Option<Instant> {
        let started_at = self.started_at?;
        if self.warm_as_of.is_some_and(|warm_as_of| warm_as_of > started_at) {
            return None;
        }
        let earlier = self.earlier_process_dispatches(bound, started_at);
        let has_room = self.dispatches_in_window(now) + earlier < bound.requests();
        (!has_room).then(|| started_at + WINDOW)
    }

    /// Returns how many requests a previous process may have dispatched since the target became
    /// cold.
    ///
    /// After a power loss target and daemon start together and there was no previous process.
    /// Holding requests back for a whole window would leave every target of the fleet idle while
    /// callers wait.
    fn earlier_process_dispatches(&self, bound: ColdBound, started_at: Instant) -> usize {
        let Some(cold_from) = self.cold_from.filter(|_| self.is_spread) else {
            return bound.requests();
        };
        match started_at.saturating_duration_since(cold_from) {
            Duration::ZERO => 0,
            cold_time => BURST + cold_time.div_duration_f64(bound.interval()).ceil() as usize,
        }
    }

    /// Returns when the next request may be dispatched if requests are spread over the window.
    ///
    /// Otherwise a cold target's requests would all be dispatched within the first tenths of a
    /// second, and a more urgent one that comes later would wait for the rest of it.
    fn spread_allows_at(&self, bound: ColdBound) -> Option<Instant> {
        let burst = BURST.min(bound.requests());
        let first = self.dispatches.len().checked_sub(burst)?;
        self.dispatches
            .get(first)
            .map(|request| request.dispatched_at + bound.interval() * burst as u32)
    }
}
