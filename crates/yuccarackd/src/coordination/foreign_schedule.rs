//! Schedule of exchanges about foreign services: those known to this daemon, as callers use them,
//! other than the service that its own target serves.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use yuccarack_config::ids::ServiceName;
use yuccarack_policy::exchange_interval::EXCHANGE_INTERVAL_MIN;

use crate::coordination::jitter::jittered;

/// Exchanges that may be missed before a service no longer counts as recently exchanged.
const MISSED_EXCHANGES_MAX: u32 = 3;

/// Next exchange about a foreign service, and the last successful one.
#[derive(Clone, Copy)]
struct ScheduledExchange {
    due_at: Instant,
    synced_at: Option<Instant>,
    /// Time between two exchanges that the service's members request.
    interval: Duration,
}

/// Scheduled exchanges about all foreign services.
#[derive(Default)]
pub(super) struct ForeignSchedule {
    schedule: Mutex<HashMap<ServiceName, ScheduledExchange>>,
}

impl ForeignSchedule {
    /// Returns those services of `foreign` whose exchange is due, the longest overdue first, so
    /// that none starves when the budget is low. Services that `foreign` doesn't contain are
    /// removed from the schedule.
    pub(super) fn due(&self, mut foreign: Vec<ServiceName>, now: Instant) -> Vec<ServiceName> {
        let mut schedule = self.schedule.lock();
        schedule.retain(|service, _| foreign.contains(service));
        let due = |name: &ServiceName| schedule.get(name).map(|exchange| exchange.due_at);
        foreign.retain(|name| due(name).is_none_or(|due| due <= now));
        foreign.sort_by_key(due);
        foreign
    }

    /// Records that an exchange about `service` starts. The next one is scheduled already here, so
    /// that services that don't respond don't take up all exchanges.
    pub(super) fn record_start(&self, service: &str, now: Instant) {
        let mut schedule = self.schedule.lock();
        let before = schedule.get(service).copied();
        let synced_at = before.and_then(|exchange| exchange.synced_at);
        let interval = before.map_or(EXCHANGE_INTERVAL_MIN, |exchange| exchange.interval);
        schedule.insert(
            service.to_owned(),
            ScheduledExchange {
                due_at: next_due_at(EXCHANGE_INTERVAL_MIN, now),
                synced_at,
                interval,
            },
        );
    }

    /// Records that a member of `service` responded and requests `interval` between two exchanges.
    pub(super) fn record_success(&self, service: &str, interval: Duration, now: Instant) {
        let exchange = ScheduledExchange {
            due_at: next_due_at(interval, now),
            synced_at: Some(now),
            interval: interval.max(EXCHANGE_INTERVAL_MIN),
        };
        self.schedule.lock().insert(service.to_owned(), exchange);
    }

    /// Returns whether an exchange about `service` succeeded recently.
    pub(super) fn has_recent_exchange(&self, service: &str, now: Instant) -> bool {
        let schedule = self.schedule.lock();
        let Some(exchange) = schedule.get(service) else { return false };
        let max_age = (exchange.interval + EXCHANGE_INTERVAL_MIN) * MISSED_EXCHANGES_MAX;
        exchange.synced_at.is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }
}

fn next_due_at(interval: Duration, now: Instant) -> Instant {
    // Jitter shortens the interval by a quarter on average.
    now + jittered(interval.max(EXCHANGE_INTERVAL_MIN) * 4 / 3)
}
