//! Rate limit that a target announces for the requests of all callers together.
//!
//! Used for routed calls.
//!
//! A target that is short of capacity announces with each response how many requests per second it
//! takes, for as long as that holds. All requests to a target pass its gate, so the gate's count is
//! the sum over all callers. Requests are spaced evenly (the generic cell rate algorithm), since a
//! target in need would get a second's worth at once from a count per second.
//!
//! A target that gets no requests reports nothing. So its gate queries a limited one by health
//! checks while responses are rare, and where those don't report the limit, an occasional request
//! shows whether it has ended.

use std::time::{Duration, Instant};

use yuccarack_config::announcement::{LimitReport, RequestRate};

/// Time by which a request may be ahead of an even spacing, so that a request which finds a free
/// slot a little early need not wait.
const BURST: Duration = Duration::from_millis(250);

/// Time without a report after which a limited target is queried, and shortest time between two
/// health checks of it.
pub const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two requests to a target whose health checks don't report the limit.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Kind of the response that reports a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// The response to a request.
    Request,
    /// The response to a health check.
    HealthCheck,
}

/// The rate limit of one target, as its gate knows it.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    rate: Option<RequestRate>,
    /// When the latest response that announced a limit arrived.
    reported_at: Option<Instant>,
    /// Whether health checks announce the limit too, so that one without it ends the limit.
    is_in_health_checks: bool,
    /// Whether the target may be limited without any response having said so.
    is_unreported: bool,
    /// When the next request is due by an even spacing.
    due_at: Option<Instant>,
    health_checked_at: Option<Instant>,
    /// When the gate found the target, until the first health check of it has ended.
    unchecked_since: Option<Instant>,
}

impl RateLimit {
    /// Creates the state of a target that has announced no limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the state of a target that the gate has found at `now`. It may have announced a limit
    /// to another process, so it is queried at once.
    pub fn unreported(now: Instant) -> Self {
        Self { is_unreported: true, unchecked_since: Some(now), ..Self::default() }
    }

    /// Returns the rate in force; `None` without a limit.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns whether the target may be limited without any response having said so.
    pub fn is_unreported(&self) -> bool {
        self.is_unreported
    }

    /// Returns whether the target is still to be queried, which takes a few ms. All slots filled
    /// before would be too many requests for a limited target.
    pub fn is_unchecked(&self) -> bool {
        self.unchecked_since.is_some()
    }

    /// Records what a response that arrived at `now` reports; its request was sent at `sent_at`.
    /// Returns whether the limit changed.
    ///
    /// Responses that arrive together may be read in any order. So a limit ends only with the
    /// response to a request that was sent after the limit was last announced. A malformed report
    /// changes nothing.
    pub fn record(
        &mut self,
        now: Instant,
        sent_at: Instant,
        source: ReportSource,
        report: LimitReport,
    ) -> bool {
        let is_first_report = self.is_unreported && self.rate.is_none();
        if source == ReportSource::Request {
            self.is_unreported = false;
            self.unchecked_since = None;
        }
        let rate = match report {
            LimitReport::Limited(rate) => {
                self.is_in_health_checks |= source == ReportSource::HealthCheck;
                // What an entry knows from an earlier process is older. Otherwise a limit that ends
                // before the first response would be adopted again.
                self.is_unreported = false;
                self.reported_at = Some(now);
                Some(rate)
            }
            LimitReport::Unlimited if self.ends_limit(sent_at, source) => None,
            LimitReport::Unlimited | LimitReport::Malformed => return false,
        };
        if self.rate == rate {
            return false;
        }
        self.rate = rate;
        match source {
            // Another process may have dispatched a request just now.
            ReportSource::HealthCheck if is_first_report => self.start_interval(now),
            ReportSource::HealthCheck | ReportSource::Request => self.reschedule(now),
        }
        true
    }

    /// Adopts a limit that the target announced to another process, unless it has announced one to
    /// this process. Holds until the first response. Returns whether that changed anything.
    ///
    /// The other process may have dispatched a request just now.
    pub fn adopt(&mut self, now: Instant, rate: RequestRate) -> bool {
        if !self.is_unreported || self.rate.is_some() {
            return false;
        }
        self.rate = Some(rate);
        self.reported_at = Some(now);
        self.start_interval(now);
        true
    }

    /// Returns when the next request may be dispatched; `None` if at once.
    ///
    /// While the target takes no requests at all, this is the time at which its next report is due.
    pub fn next_dispatch_at(&self, now: Instant) -> Option<Instant> {
        self.rate?;
        if self.interval().is_none() {
            return Some(now + HEALTH_CHECK_INTERVAL);
        }
        let due_at = self.due_at?;
        Some(due_at.checked_sub(BURST).unwrap_or(due_at)).filter(|at| *at > now)
    }

    /// Returns the time between two requests; `None` without a limit, and while the target takes no
    /// requests at all.
    pub fn interval(&self) -> Option<Duration> {
        let interval = self.rate?.interval();
        if self.is_in_health_checks {
            return interval;
        }
        Some(interval.map_or(TRIAL_INTERVAL, |interval| interval.min(TRIAL_INTERVAL)))
    }

    /// Returns when a request is dispatched that `ahead` others precede; `None` if that is unknown
    /// because the target takes no requests.
    pub fn turn_at(&self, now: Instant, ahead: usize) -> Option<Instant> {
        if self.rate.is_none() {
            return Some(now);
        }
        let interval = self.interval()?;
        let next_at = self.next_dispatch_at(now).unwrap_or(now);
        next_at.checked_add(interval.checked_mul(u32::try_from(ahead).ok()?)?)
    }

    /// Records a dispatch.
    pub fn record_dispatch(&mut self, now: Instant) {
        let Some(interval) = self.interval() else { return };
        self.due_at = Some(self.due_at.map_or(now, |due_at| due_at.max(now)) + interval);
    }

    /// Returns the earliest time of the next health check of a limited target; `None` without a
    /// limit.
    pub fn health_check_allowed_at(&self) -> Option<Instant> {
        self.rate?;
        self.health_checked_at
            .map_or(self.reported_at, |checked_at| Some(checked_at + HEALTH_CHECK_INTERVAL))
    }

    /// Returns when the target is to be queried: at once if it has never been, and if it is limited,
    /// when no response has reported its limit for a while. `None` without a limit.
    pub fn health_check_due_at(&self) -> Option<Instant> {
        if self.unchecked_since.is_some() {
            return self.unchecked_since;
        }
        let due_at = self.reported_at? + HEALTH_CHECK_INTERVAL;
        Some(due_at.max(self.health_check_allowed_at()?))
    }

    /// Records that the target was queried.
    pub fn record_health_check(&mut self, now: Instant) {
        self.health_checked_at = Some(now);
    }

    /// Records that a health check has ended, with or without a response.
    pub fn record_health_check_end(&mut self) {
        self.unchecked_since = None;
    }

    /// Holds back the next request for a full interval.
    fn start_interval(&mut self, now: Instant) {
        self.due_at = self.interval().map(|interval| now + interval + BURST);
    }

    fn ends_limit(&self, sent_at: Instant, source: ReportSource) -> bool {
        let is_later = self.reported_at.is_some_and(|reported_at| sent_at >= reported_at);
        is_later && (source == ReportSource::Request || self.is_in_health_checks)
    }

    /// Adapts the time of the next request to a changed rate: with a higher one it is due earlier.
    fn reschedule(&mut self, now: Instant) {
        let is_none_taken = self.rate.is_some_and(|rate| rate.interval().is_none());
        self.due_at = match self.interval() {
            None => None,
            Some(interval) if is_none_taken => Some(now + interval + BURST),
            Some(interval) => Some(self.due_at.map_or(now, |due_at| due_at.min(now + interval))),
        };
    }
}
