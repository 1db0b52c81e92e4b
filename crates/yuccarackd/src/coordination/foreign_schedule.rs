//! When which foreign service is compared.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use yuccarack_config::ids::ServiceName;
use yuccarack_policy::exchange_interval::EXCHANGE_INTERVAL_MIN;

use crate::coordination::jitter::jittered;

/// Turns that may fail before a service counts as out of touch.
const MISSED_EXCHANGES_MAX: u32 = 3;

/// When a foreign service is compared next, and when it last was.
#[derive(Clone, Copy)]
struct ScheduledExchange {
    due_at: Instant,
    synced_at: Option<Instant>,
    /// Time between two turns that its members ask for.
    interval: Duration,
}

/// Turns of all foreign services.
#[derive(Default)]
pub(super) struct ForeignSchedule {
    schedule: Mutex<HashMap<ServiceName, ScheduledExchange>>,
}

impl ForeignSchedule {
    /// Those of `foreign` whose turn it is, the one that has waited longest first; so each gets its
    /// turn also when the budget is short of them. Services that aren't named are forgotten.
    pub(super) fn due(&self, mut foreign: Vec<ServiceName>, now: Instant) -> Vec<ServiceName> {
        let mut schedule = self.schedule.lock();
        schedule.retain(|service, _| foreign.contains(service));
        let due = |name: &ServiceName| schedule.get(name).map(|exchange| exchange.due_at);
        foreign.retain(|name| due(name).is_none_or(|due| due <= now));
        foreign.sort_by_key(due);
        foreign
    }

    /// A turn of `service` has begun; the next one is set already, so that services that don't
    /// answer don't take all turns.
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

    /// A member of `service` answered and asks for `pace` between two turns.
    pub(super) fn record_success(&self, service: &str, interval: Duration, now: Instant) {
        let exchange = ScheduledExchange {
            due_at: next_due_at(interval, now),
            synced_at: Some(now),
            interval: interval.max(EXCHANGE_INTERVAL_MIN),
        };
        self.schedule.lock().insert(service.to_owned(), exchange);
    }

    /// Whether exchanges about `service` go well.
    pub(super) fn has_recent_exchange(&self, service: &str, now: Instant) -> bool {
        let schedule = self.schedule.lock();
        let Some(exchange) = schedule.get(service) else { return false };
        let max_age = (exchange.interval + EXCHANGE_INTERVAL_MIN) * MISSED_EXCHANGES_MAX;
        exchange.synced_at.is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }
}

fn next_due_at(interval: Duration, now: Instant) -> Instant {
    // Jitter takes a quarter away on average.
    now + jittered(interval.max(EXCHANGE_INTERVAL_MIN) * 4 / 3)
}
