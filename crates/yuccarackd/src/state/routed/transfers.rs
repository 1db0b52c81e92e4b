//! Transfers of the routing table in progress, and whether they advance.

use std::{sync::Arc, time::Instant};

use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use yuccarack_platform::transfer::{PROGRESS_INTERVAL, PROGRESS_MIN_BYTES};

new_key_type! {
    struct TransferKey;
}

/// Transfers in progress; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    inner: Arc<Mutex<SlotMap<TransferKey, Progress>>>,
}

/// A transfer, which ends when this is dropped.
#[derive(Debug)]
pub struct Transfer {
    transfers: Transfers,
    key: TransferKey,
}

/// Bytes received in the current and the previous interval.
#[derive(Clone, Copy, Debug)]
struct Progress {
    interval_started_at: Instant,
    bytes: usize,
    bytes_before: usize,
}

impl Transfers {
    /// Starts without transfers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a transfer that begins.
    pub fn begin(&self) -> Transfer {
        let progress = Progress { interval_started_at: Instant::now(), bytes: 0, bytes_before: 0 };
        let key = self.inner.lock().insert(progress);
        Transfer { transfers: self.clone(), key }
    }

    /// Returns whether a transfer makes progress. A second one would only compete for its
    /// bandwidth.
    pub fn is_any_progressing(&self) -> bool {
        let now = Instant::now();
        self.inner.lock().values_mut().any(|progress| {
            progress.advance(now);
            progress.bytes + progress.bytes_before >= PROGRESS_MIN_BYTES
        })
    }
}

impl Transfer {
    /// Records that `bytes` more have arrived.
    pub fn record_bytes(&self, bytes: usize) {
        let now = Instant::now();
        if let Some(progress) = self.transfers.inner.lock().get_mut(self.key) {
            progress.advance(now);
            progress.bytes += bytes;
        }
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.transfers.inner.lock().remove(self.key);
    }
}

impl Progress {
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.interval_started_at);
        if passed < PROGRESS_INTERVAL {
            return;
        }
        self.bytes_before = if passed < PROGRESS_INTERVAL * 2 { self.bytes } else { 0 };
        self.bytes = 0;
        self.interval_started_at = now;
    }
}
