//! How often callers of a service may compare notes with one of its members.
//!
//! The pattern of load is a service that most of the fleet calls: each caller asks one of a few
//! members for news every few seconds, so the members' cost rises with the fleet and not with the
//! service. With 2,400 callers and 11 members a question each 3 s makes 73 a second at each member,
//! some 20 KB a second where 2 KB are allowed. So a member counts who asks and tells all the pace at
//! which they may come again; callers that are active hear of new rules with each answer anyhow.

use std::time::{Duration, Instant};

/// Shortest time between two questions of one caller.
///
/// New rules have to be in force at idle callers within 9 s. With jitter a question comes 4 s after
/// the last at most, which leaves 5 s for a member to look at the table; looks come once a second
/// on average, and a gap of 5 s has a chance of 0.7 % (e^-5).
pub const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_secs(3);
/// Longest time between two questions of one caller, after which the news it has are of no use.
pub const EXCHANGE_INTERVAL_MAX: Duration = Duration::from_secs(300);
/// Questions of callers that a member bears in a second: at about 280 bytes each with their
/// answers, two fifths of the 2 KB a second. As much is left for its own service and for the
/// questions that it asks of others.
pub const EXCHANGES_PER_S_MAX: f64 = 3.0;

/// Shortest time over which questions are counted.
const WINDOW_MIN: Duration = Duration::from_secs(10);
/// Times that a window may exceed what was expected of it before it's cut short.
const SURGE_FACTOR: f64 = 2.0;

/// Pace of a member's callers, worked out from the questions they ask.
#[derive(Clone, Debug)]
pub struct ExchangeInterval {
    window_started_at: Instant,
    request_count: u32,
    interval: Duration,
}

impl ExchangeInterval {
    /// Starts with the shortest pace.
    pub fn new(now: Instant) -> Self {
        Self { window_started_at: now, request_count: 0, interval: EXCHANGE_INTERVAL_MIN }
    }

    /// Counts a question, and gives back after what time its asker may come again.
    ///
    /// A window lasts as long as the pace at least, so that each caller shows in it: after a shorter
    /// one the callers that were sent away would look gone, and all be let back at once.
    pub fn record_request(&mut self, now: Instant) -> Duration {
        self.request_count = self.request_count.saturating_add(1);
        let passed = now.saturating_duration_since(self.window_started_at);
        if passed >= self.interval.max(WINDOW_MIN) || self.is_surge(passed) {
            self.end_window(passed);
            self.window_started_at = now;
        }
        self.interval
    }

    fn is_surge(&self, passed: Duration) -> bool {
        let expected = EXCHANGES_PER_S_MAX * self.interval.max(WINDOW_MIN).as_secs_f64();
        passed >= WINDOW_MIN && f64::from(self.request_count) > SURGE_FACTOR * expected
    }

    fn end_window(&mut self, passed: Duration) {
        let paces_passed = passed.as_secs_f64() / self.interval.as_secs_f64();
        let callers = f64::from(self.request_count) / paces_passed;
        let pace_s = callers / EXCHANGES_PER_S_MAX;
        let bounded_s =
            pace_s.clamp(EXCHANGE_INTERVAL_MIN.as_secs_f64(), EXCHANGE_INTERVAL_MAX.as_secs_f64());
        self.interval = Duration::from_secs_f64(bounded_s);
        self.request_count = 0;
    }
}
