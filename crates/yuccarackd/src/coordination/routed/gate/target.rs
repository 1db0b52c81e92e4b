//! Changes of the target that a gate serves.

use std::sync::{Arc, atomic::AtomicBool};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use yuccarack_config::heartbeat::TargetPhase;
use yuccarack_policy::{cold_rate::ColdRate, health_checks::HealthCheckSchedule};

use super::{
    ActiveTarget, Gate, idle_drop_tracker::IdleDropTracker, shed::ShedTracker,
    work_slots::WorkSlots,
};
use crate::{
    coordination::routed::log_lines::TargetAdmitted, state::routed::target::RoutedTargetView,
};

impl Gate {
    /// Applies the target's reported state and returns the target if it is new or restarted.
    ///
    /// A target that isn't ready or whose failure domain is evacuated stops getting requests, and
    /// those in the queue are refused.
    pub(super) fn update_target(
        &self,
        view: Option<Arc<RoutedTargetView>>,
    ) -> Option<Arc<ActiveTarget>> {
        let mut active = self.active.write();
        let is_accepting =
            |view: &Arc<RoutedTargetView>| view.phase == TargetPhase::Ready && !self.is_evacuated();
        let Some(view) = view.filter(is_accepting) else {
            if let Some(old) = active.as_ref() {
                old.slots.change(|queue, now| queue.start_draining(now));
            }
            return None;
        };
        if let Some(old) = active.as_ref().filter(|old| old.view.is_same_process(&view)) {
            old.slots.change(|queue, now| {
                queue.stop_draining();
                queue.set_slots(now, view.slots);
                if view.is_cold {
                    queue.cold_rate_mut().extend_cold_until(view.cold_until);
                }
            });
            return None;
        }
        let mut cold_rate = ColdRate::new(self.started_at);
        if let Some(old) = active.take() {
            old.slots.change(|queue, now| queue.start_draining(now));
            // The operators' bound on cold targets counts across restarts of the target.
            cold_rate = old.slots.read(|queue| queue.cold_rate().clone());
            old.stop.cancel();
        }
        if view.is_cold {
            cold_rate.extend_cold_until(view.cold_until);
        }
        self.parts.events.write(|| TargetAdmitted {
            target: view.target.clone(),
            service: view.service.clone(),
            life: view.incarnation,
            slots: view.slots,
        });
        let added = Arc::new(self.activate_target(view, cold_rate));
        *active = Some(Arc::clone(&added));
        Some(added)
    }

    /// Returns the path of the target's health checks from the routing table.
    pub(super) fn health_check_path(&self, active: &ActiveTarget) -> Option<String> {
        let routing = self.parts.routing.current()?;
        routing.service(&active.view.service).map(|service| service.load_path.clone())
    }

    pub(super) fn activate_target(
        &self,
        view: Arc<RoutedTargetView>,
        cold_rate: ColdRate,
    ) -> ActiveTarget {
        let slots = WorkSlots::new(view.slots, cold_rate, self.parts.decisions);
        let stop = CancellationToken::new();
        self.parts.background.spawn(slots.clone().run_timer(stop.clone()));
        ActiveTarget {
            view,
            slots,
            stop,
            is_unreachable: AtomicBool::new(false),
            health_check_schedule: Mutex::new(HealthCheckSchedule::new()),
            arrival_check_lock: tokio::sync::Mutex::default(),
            idle_drops: IdleDropTracker::default(),
            sheds: ShedTracker::default(),
        }
    }
}
