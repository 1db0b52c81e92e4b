//! When the callers of requests that the target shed return.

use std::time::Duration;

use http::HeaderMap;
use parking_lot::Mutex;
use yuccarack_policy::{placement::GateLoad, shed_returns::ShedReturns};

use super::{UNAVAILABLE_RETRY_AFTER, exchange::Exchange};
use crate::protocol::refusal::retry_after_from_headers;

/// Tracks the share of requests that the target sheds.
#[derive(Debug, Default)]
pub struct ShedTracker {
    returns: Mutex<ShedReturns>,
}

impl ShedTracker {
    /// Records a response of the target and whether it shed the request.
    pub fn record(&self, is_shed: bool) {
        self.returns.lock().record(is_shed);
    }

    fn retry_after(&self, load: &GateLoad) -> Option<Duration> {
        let is_limited = load.rate_limit.is_some() || !load.admits_in.is_zero();
        let has_free_slots = load.running < load.limit && load.waiting == 0;
        self.returns.lock().retry_after(has_free_slots && !is_limited)
    }
}

impl Exchange<'_> {
    /// Returns when the caller of a request that the target shed is asked to return.
    pub(super) fn shed_retry_after(&self, headers: &HeaderMap) -> Duration {
        if let Some(named) = retry_after_from_headers(headers) {
            return named;
        }
        let routing = self.gate.parts.routing.current();
        let is_used = routing.is_some_and(|it| it.has_organisations_or_downloads());
        let at_random = match is_used {
            true => self.active.sheds.retry_after(&self.active.slots.load()),
            false => None,
        };
        if at_random.is_some() {
            self.gate.parts.counters.add("gate.shed_with_capacity");
        }
        at_random.unwrap_or(UNAVAILABLE_RETRY_AFTER)
    }
}
