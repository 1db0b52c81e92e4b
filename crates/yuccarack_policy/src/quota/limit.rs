//! Quota of one organisation.

use std::time::Duration;

use yuccarack_config::organisations::Organisation;

/// Part of the tolerance that buckets may hold on top of the burst.
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
    /// Requests per second of all daemons together.
    pub rate_per_s: f64,
    /// Requests that are accepted at once after a time without any.
    pub burst: f64,
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

    /// Creates a quota of `rate_per_s` and `burst`.
    pub fn from_rate(rate_per_s: f64, burst: f64, tolerance: QuotaTolerance) -> Self {
        let in_window = rate_per_s * tolerance.window.as_secs_f64() + burst;
        let tolerated =
            in_window * f64::from(tolerance.excess_percent) / 100.0 + f64::from(tolerance.slack);
        let tokens_max = burst + BUCKET_TOLERANCE_SHARE * tolerated;
        Self { rate_per_s, burst, tokens_max, overdraft_max: OVERDRAFT_TOLERANCE_SHARE * tolerated }
    }
}
