//! Quota of one organisation.

use std::time::Duration;

use yuccarack_config::organisations::Organisation;

/// Part of the tolerance that buckets may hold.
const BUCKET_TOLERANCE_SHARE: f64 = 0.4;

/// Part of the tolerance for requests that are admitted before the keeper learns of a surge.
const OVERDRAFT_TOLERANCE_SHARE: f64 = 0.5;

/// Bounds within which a quota may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Window in which requests are counted.
    pub window: Duration,
    /// Requests above the quota, in percent of it.
    pub excess_percent: u32,
    /// Requests above the quota on top of the percentage.
    pub slack: u32,
}

/// Quota of one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second of all daemons together by which the quota of a window, which includes a
    /// burst, is used evenly. With the rate alone, steady requests that the quota allows in each window
    /// would be refused.
    pub rate_per_s: f64,
    /// Tokens that all buckets together may hold.
    pub tokens_max: f64,
    /// Requests that may be admitted before a keeper learns that nothing is left.
    pub overdraft_max: f64,
}

impl QuotaLimit {
    /// Returns the quota of `organisation`; `None` without one.
    pub fn new(organisation: &Organisation, tolerance: QuotaTolerance) -> Option<Self> {
        organisation.has_quota().then(|| {
            let rate_per_s = organisation.rate_per_1000_s as f64 / 1000.0;
            Self::from_rate(rate_per_s, organisation.burst.into(), tolerance)
        })
    }

    /// Creates a quota of `rate_per_s` and `burst`, of which each window allows the sum.
    pub fn from_rate(rate_per_s: f64, burst: f64, tolerance: QuotaTolerance) -> Self {
        let in_window = rate_per_s * tolerance.window.as_secs_f64() + burst;
        let tolerated =
            in_window * f64::from(tolerance.excess_percent) / 100.0 + f64::from(tolerance.slack);
        Self {
            rate_per_s: in_window / tolerance.window.as_secs_f64().max(0.001),
            tokens_max: BUCKET_TOLERANCE_SHARE * tolerated,
            overdraft_max: OVERDRAFT_TOLERANCE_SHARE * tolerated,
        }
    }
}
