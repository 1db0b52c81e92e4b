//! Interval at which callers of a service exchange updates with one of its members.
//!
//! Used for calls by service.
//!
//! Most of the fleet may call one service, and each caller requests updates from one of a few
//! members every few seconds, so the members' cost grows with the fleet rather than with the
//! service. With 2,400 callers and 11 members, a request every 3 s makes 73 a second at each
//! member, about 20 KB a second where 2 KB are allowed. So a member counts the requests and tells
//! all callers the interval after which they may come again. Active callers receive new rules with
//! each response anyway.

use std::time::{Duration, Instant};

/// Shortest time between two requests of one caller.
///
/// New rules have to be in force at idle callers within 9 s. With jitter a request comes at most 4
/// s after the last one, which leaves 5 s for a member to poll the table. Polls come once a second
/// on average, and a gap of 5 s has a probability of 0.7 % (e^-5).
pub const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_secs(3);
/// Longest time between two requests of one caller, after which its updates are too old to be of
/// use.
pub const EXCHANGE_INTERVAL_MAX: Duration = Duration::from_secs(300);
/// Requests of callers that a member serves in a second. At about 280 bytes each with their
/// responses, they take two fifths of the 2 KB a second. As much is left for its own service and
/// for the requests that it makes to others.
pub const EXCHANGES_PER_S_MAX: f64 = 3.0;

/// Shortest time over which requests are counted.
const WINDOW_MIN: Duration = Duration::from_secs(10);
/// Factor by which the requests of a window may exceed the expected number before it's ended early.
const SURGE_FACTOR: f64 = 2.0;

/// Interval of a member's callers, computed from the number of their requests.
#[derive(Clone, Debug)]
pub struct ExchangeInterval {
    window_started_at: Instant,
    request_count: u32,
    interval: Duration,
}

impl ExchangeInterval {
    /// Starts with the shortest interval.
    pub fn new(now: Instant) -> Self {
        Self { window_started_at: now, request_count: 0, interval: EXCHANGE_INTERVAL_MIN }
    }

    /// Counts a request and returns the time after which its caller may come again.
    ///
    /// A window lasts at least as long as the interval, so that each caller is counted in it. After
    /// a shorter one the callers that were told to come later would seem to be gone, and all would
    /// be allowed back at once.
    pub fn record_request(&mut self, now: Instant) -> Duration {
        self.request_count = self.request_count.saturating_add(1);
        let elapsed = now.saturating_duration_since(self.window_started_at);
        if elapsed >= self.interval.max(WINDOW_MIN) || self.is_surge(elapsed) {
            self.end_window(elapsed);
            self.window_started_at = now;
        }
        self.interval
    }

    fn is_surge(&self, elapsed: Duration) -> bool {
        let expected = EXCHANGES_PER_S_MAX * self.interval.max(WINDOW_MIN).as_secs_f64();
        elapsed >= WINDOW_MIN && f64::from(self.request_count) > SURGE_FACTOR * expected
    }

    fn end_window(&mut self, elapsed: Duration) {
        let intervals_passed = elapsed.as_secs_f64() / self.interval.as_secs_f64();
        let callers = f64::from(self.request_count) / intervals_passed;
        let interval_s = callers / EXCHANGES_PER_S_MAX;
        let bounded_s = interval_s
            .clamp(EXCHANGE_INTERVAL_MIN.as_secs_f64(), EXCHANGE_INTERVAL_MAX.as_secs_f64());
        self.interval = Duration::from_secs_f64(bounded_s);
        self.request_count = 0;
    }
}
