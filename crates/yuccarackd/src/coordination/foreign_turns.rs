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
const TURNS_MISSED: u32 = 3;

/// When a foreign service is compared next, and when it last was.
#[derive(Clone, Copy)]
struct Turn {
    due: Instant,
    synced_at: Option<Instant>,
    /// Time between two turns that its members ask for.
    pace: Duration,
}

/// Turns of all foreign services.
#[derive(Default)]
pub(super) struct ForeignTurns {
    turns: Mutex<HashMap<ServiceName, Turn>>,
}

impl ForeignTurns {
    /// Those of `foreign` whose turn it is, the one that has waited longest first; so each gets its
    /// turn also when the budget is short of them. Services that aren't named are forgotten.
    pub(super) fn due(&self, mut foreign: Vec<ServiceName>, now: Instant) -> Vec<ServiceName> {
        let mut turns = self.turns.lock();
        turns.retain(|service, _| foreign.contains(service));
        let due = |name: &ServiceName| turns.get(name).map(|turn| turn.due);
        foreign.retain(|name| due(name).is_none_or(|due| due <= now));
        foreign.sort_by_key(due);
        foreign
    }

    /// A turn of `service` has begun; the next one is set already, so that services that don't
    /// answer don't take all turns.
    pub(super) fn began(&self, service: &str, now: Instant) {
        let mut turns = self.turns.lock();
        let before = turns.get(service).copied();
        let synced_at = before.and_then(|turn| turn.synced_at);
        let pace = before.map_or(EXCHANGE_INTERVAL_MIN, |turn| turn.pace);
        turns.insert(
            service.to_owned(),
            Turn { due: next(EXCHANGE_INTERVAL_MIN, now), synced_at, pace },
        );
    }

    /// A member of `service` answered and asks for `pace` between two turns.
    pub(super) fn ended_well(&self, service: &str, pace: Duration, now: Instant) {
        let turn = Turn {
            due: next(pace, now),
            synced_at: Some(now),
            pace: pace.max(EXCHANGE_INTERVAL_MIN),
        };
        self.turns.lock().insert(service.to_owned(), turn);
    }

    /// Whether exchanges about `service` go well.
    pub(super) fn is_in_touch(&self, service: &str, now: Instant) -> bool {
        let turns = self.turns.lock();
        let Some(turn) = turns.get(service) else { return false };
        let kept = (turn.pace + EXCHANGE_INTERVAL_MIN) * TURNS_MISSED;
        turn.synced_at.is_some_and(|at| now.saturating_duration_since(at) < kept)
    }
}

fn next(pace: Duration, now: Instant) -> Instant {
    // Jitter takes a quarter away on average.
    now + jittered(pace.max(EXCHANGE_INTERVAL_MIN) * 4 / 3)
}
