//! Exponential backoff between requests to the platform.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Delay before the first retry.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);

/// Maximum delay before a retry.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// A delay that doubles up to [`RETRY_DELAY_MAX`], until a deadline.
#[derive(Debug)]
pub(super) struct Backoff {
    deadline: Instant,
    delay: Duration,
}

impl Backoff {
    /// Creates a backoff that ends at `deadline`.
    pub(super) fn new(deadline: Instant) -> Self {
        Self { deadline, delay: RETRY_DELAY_MIN }
    }

    /// Waits for the next delay; returns `false` at once if the deadline has passed.
    pub(super) async fn wait(&mut self) -> bool {
        if Instant::now() >= self.deadline {
            return false;
        }
        sleep_until(self.deadline.min(Instant::now() + self.delay)).await;
        self.delay = RETRY_DELAY_MAX.min(self.delay * 2);
        true
    }
}
