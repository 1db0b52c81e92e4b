//! Limits the request rate of a cold target by the routing table's bound.

use std::time::{Duration, Instant};

use yuccarack_policy::cold_rate::ColdBound;

use super::Gate;
use crate::{
    coordination::routed::{control_server::unix_ms, log_lines::ClockUnusable},
    state::routed::target::TargetView,
};

impl Gate {
    /// Applies the service's bound for cold targets from the routing table and the settings to the
    /// queue.
    pub(super) fn update_cold_bound(&self) {
        let Some(active) = self.active.read().clone() else { return };
        let Some(routing) = self.parts.routing.current() else { return };
        let Some(service) = routing.service(&active.view.service) else { return };
        let bounds = &self.parts.settings.current().bounds;
        let rate = service.cold_rate_per_1000_s;
        let bound = ColdBound::new(rate, bounds.cold_excess_percent, bounds.cold_slack);
        let cold_start = Duration::from_millis(service.cold_start_ms.into());
        let cold_from = self.first_cold_from(&active.view, cold_start);
        active.slots.change(|queue, _| {
            queue.cold_rate_mut().set_bound(bound);
            cold_from.into_iter().for_each(|from| queue.cold_rate_mut().set_cold_from(from));
        });
    }

    /// Returns the earliest possible start of the current cold period of `view`.
    ///
    /// Takes the earlier of two estimates: the end of the cold period minus the usual cold start
    /// time, and the start of the target's process. The cold period may last longer than usual, and
    /// the clock behind the start time may have been set back.
    fn first_cold_from(&self, view: &TargetView, cold_start: Duration) -> Option<Instant> {
        if !view.is_cold || cold_start.is_zero() {
            return None;
        }
        let age = match unix_ms() {
            Ok(now_ms) => Duration::from_millis(now_ms.saturating_sub(view.incarnation)),
            Err(error) => {
                self.parts.events.write(|| ClockUnusable { cause: error.to_string() });
                return None;
            }
        };
        let started_at = Instant::now().checked_sub(age)?;
        Some(started_at.min(view.cold_until.checked_sub(cold_start)?))
    }
}
