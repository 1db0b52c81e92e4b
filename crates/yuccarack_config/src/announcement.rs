//! What a target announces about itself with each of its responses, independent of the wire format.

use std::time::Duration;

wire_kind! {
    /// Requests per 1,000 seconds, so that rates below one a second are whole numbers.
    pub struct RequestRate(u32);

    /// Whether a response announces a rate limit.
    pub enum LimitReport {
        /// The target announces no limit.
        Unlimited,
        /// The target takes this many requests from all callers together.
        Limited(RequestRate),
        /// The announcement can't be read.
        Malformed,
    }

    /// What a target announces with one response.
    pub struct Announcement {
        /// Rate limit of the target.
        pub limit: LimitReport,
        /// Whether the target leaves: it completes the requests that it has and then exits.
        pub is_leaving: bool,
    }
}

impl RequestRate {
    /// Returns the rate of `per_1000_s` requests in 1,000 seconds.
    pub const fn new(per_1000_s: u32) -> Self {
        Self(per_1000_s)
    }

    /// Returns the number of requests in 1,000 seconds.
    pub const fn per_1000_s(self) -> u32 {
        self.0
    }

    /// Returns the mean time between two requests; `None` for a rate of zero.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_secs(1_000).div_f64(f64::from(self.0)))
    }
}
