//! Bandwidth limit of a link that several transfers share.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, sleep_until};

/// Bandwidth of a link; unlimited until it is set.
#[derive(Debug, Default)]
pub struct LinkRate {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    bytes_per_s: Option<u64>,
    /// When all bytes queued so far have been transmitted.
    idle_at: Option<Instant>,
}

impl LinkRate {
    /// Sets the bandwidth; `None` lifts the limit.
    pub fn set(&self, bytes_per_s: Option<u64>) {
        *self.state.lock() = State { bytes_per_s, idle_at: None };
    }

    /// Returns the largest chunk to transmit at once, so that transfers share the link fairly;
    /// `None` without a limit.
    pub fn chunk_bytes(&self) -> Option<usize> {
        const TURNS_PER_S: u64 = 100;
        let bytes_per_s = self.state.lock().bytes_per_s?;
        Some(usize::try_from((bytes_per_s / TURNS_PER_S).max(1)).unwrap_or(usize::MAX))
    }

    /// Waits until `bytes` have been transmitted, after all bytes queued before.
    pub async fn transmit(&self, bytes: usize) {
        let Some(passed_at) = self.passed_at(bytes) else { return };
        sleep_until(passed_at).await;
    }

    fn passed_at(&self, bytes: usize) -> Option<Instant> {
        let mut state = self.state.lock();
        let bytes_per_s = state.bytes_per_s?;
        let now = Instant::now();
        let begins_at = state.idle_at.map_or(now, |idle_at| idle_at.max(now));
        let passed_at = begins_at + Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
        state.idle_at = Some(passed_at);
        Some(passed_at)
    }
}
