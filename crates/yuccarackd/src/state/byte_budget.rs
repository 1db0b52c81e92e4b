//! Bandwidth budget for control messages between daemons.

use std::{sync::Arc, time::Instant};

use parking_lot::Mutex;

use super::counters::Counters;

/// Average rate at which a daemon may send and receive control messages, in bytes a second.
pub const BYTES_PER_S: f64 = 2_048.0;
/// Largest unspent budget, which covers the bursts at a start or after a change.
const BURST_MAX_BYTES: f64 = 30.0 * BYTES_PER_S;

struct Balance {
    available_bytes: f64,
    updated_at: Instant,
}

/// Remaining budget for control messages, a token bucket; clones share it.
#[derive(Clone)]
pub struct ByteBudget {
    balance: Arc<Mutex<Balance>>,
    counters: Counters,
}

impl ByteBudget {
    /// Starts with the largest unspent budget.
    pub fn new(counters: Counters, now: Instant) -> Self {
        let balance = Balance { available_bytes: BURST_MAX_BYTES, updated_at: now };
        Self { balance: Arc::new(Mutex::new(balance)), counters }
    }

    /// Charges a message that was sent.
    pub fn record_sent(&self, bytes: usize) {
        self.counters.add("control.sent_messages");
        self.spend("control.sent_bytes", bytes);
    }

    /// Charges a message that was received.
    pub fn record_received(&self, bytes: usize) {
        self.counters.add("control.received_messages");
        self.spend("control.received_bytes", bytes);
    }

    /// Returns whether more than `reserve_bytes` are left. Messages that can't wait are sent
    /// regardless, so the budget may be negative.
    pub fn has_more_than(&self, reserve_bytes: u32, now: Instant) -> bool {
        let mut balance = self.balance.lock();
        let passed_s = now.saturating_duration_since(balance.updated_at).as_secs_f64();
        balance.available_bytes =
            (balance.available_bytes + passed_s * BYTES_PER_S).min(BURST_MAX_BYTES);
        balance.updated_at = balance.updated_at.max(now);
        balance.available_bytes > f64::from(reserve_bytes)
    }

    fn spend(&self, counter: &str, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.balance.lock().available_bytes -= f64::from(bytes);
        self.counters.add_many(counter, u64::from(bytes));
    }
}
