//! Clock of the store, as its responses report it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

/// The store's steady clock; clones share it.
#[derive(Clone, Debug)]
pub struct StoreClock {
    /// The latest reported time, and when it was received.
    reported: Arc<Mutex<(Duration, Instant)>>,
}

impl StoreClock {
    /// Starts at 0, for stores that report no time.
    pub fn new() -> Self {
        Self { reported: Arc::new(Mutex::new((Duration::ZERO, Instant::now()))) }
    }

    /// Returns the store's time.
    pub fn now(&self) -> Duration {
        let (time, received_at) = *self.reported.lock();
        time + received_at.elapsed()
    }

    /// Records the time of a response, in ms; 0 if it reported none.
    pub fn record(&self, time_ms: u64) {
        if time_ms > 0 {
            *self.reported.lock() = (Duration::from_millis(time_ms), Instant::now());
        }
    }
}

impl Default for StoreClock {
    fn default() -> Self {
        Self::new()
    }
}
