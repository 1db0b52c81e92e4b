//! Rate limit that a target announces for the requests of all callers together.
//!
//! Used for routed calls.
//!
//! A target that is short of capacity announces with each response how many requests per second it
//! takes, for as long as that holds. All requests to a target pass its gate, so the gate's count is
//! the sum over all callers.

use std::time::Instant;

use yuccarack_config::announcement::{LimitReport, RequestRate};

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
}

impl RateLimit {
    /// Creates the state of a target that has announced no limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the rate in force; `None` without a limit.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
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
        let rate = match report {
            LimitReport::Limited(rate) => {
                self.is_in_health_checks |= source == ReportSource::HealthCheck;
                self.reported_at = Some(now);
                Some(rate)
            }
            LimitReport::Unlimited if self.ends_limit(sent_at, source) => None,
            LimitReport::Unlimited | LimitReport::Malformed => return false,
        };
        let is_changed = self.rate != rate;
        self.rate = rate;
        is_changed
    }

    fn ends_limit(&self, sent_at: Instant, source: ReportSource) -> bool {
        let is_later = self.reported_at.is_some_and(|reported_at| sent_at >= reported_at);
        is_later && (source == ReportSource::Request || self.is_in_health_checks)
    }
}
