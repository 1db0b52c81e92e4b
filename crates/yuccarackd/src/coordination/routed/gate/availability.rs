//! Whether a gate serves a request: its target, its failure domain and the keys of organisations.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::sleep;
use yuccarack_config::heartbeat::TargetPhase;

use super::{ActiveTarget, Gate, GateRequest, UNAVAILABLE_RETRY_AFTER};
use crate::{
    coordination::routed::log_lines::{TargetReachable, TargetUnreachable},
    protocol::refusal::{Reason, Refusal},
    transport::tcp_probe::is_listening,
};

/// Time between two connection attempts to an unreachable target. Its process takes longer to
/// restart.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a connection attempt to an unreachable target, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

impl Gate {
    pub(super) fn active_target_for(
        &self,
        request: &GateRequest,
    ) -> Result<Arc<ActiveTarget>, Refusal> {
        let reject = |reason| Refusal::not_run(reason).with_retry_after(UNAVAILABLE_RETRY_AFTER);
        if self.parts.leaving.is_cancelled() {
            return Err(reject(Reason::Draining));
        }
        let active = self.active.read().clone().ok_or_else(|| reject(Reason::NotReady))?;
        if let Some(known) = request.hop.announcement {
            self.record_known_announcement(&active, known);
        }
        self.check_available(&active)?;
        if self.is_evacuated() {
            return Err(reject(Reason::Evacuated));
        }
        if active.view.service != request.hop.service {
            return Err(reject(Reason::OtherService));
        }
        Ok(active)
    }

    pub(super) fn check_available(&self, active: &ActiveTarget) -> Result<(), Refusal> {
        self.check_accepting(active)?;
        if active.is_unreachable.load(Ordering::Acquire) {
            // The target is meant here; `NoConnection` is the reason for an unreachable gate.
            return Err(
                Refusal::not_run(Reason::Unreachable).with_retry_after(UNAVAILABLE_RETRY_AFTER)
            );
        }
        Ok(())
    }

    /// Checks that the target's process is the same, doesn't drain and isn't evacuated.
    pub(super) fn check_accepting(&self, active: &ActiveTarget) -> Result<(), Refusal> {
        let reject =
            |reason| Err(Refusal::not_run(reason).with_retry_after(UNAVAILABLE_RETRY_AFTER));
        let current = self.parts.target.current();
        match current {
            None => return reject(Reason::Draining),
            Some(view) if !view.is_same_process(&active.view) => return reject(Reason::NotReady),
            Some(view) if view.phase == TargetPhase::Draining => return reject(Reason::Draining),
            Some(_) => {}
        }
        if self.is_evacuated() {
            return reject(Reason::Evacuated);
        }
        Ok(())
    }

    /// Checks that the organisation of a request still has a key, by which its entry admitted it.
    pub(super) fn check_organisation(&self, request: &GateRequest) -> Result<(), Refusal> {
        let Some(organisation) = request.hop.organisation else { return Ok(()) };
        let Some(routing) = self.parts.routing.current() else { return Ok(()) };
        // An entry with a newer table may know an organisation that this gate doesn't.
        let is_newer = request.hop.routing_version > routing.version();
        match is_newer || routing.has_key_of(organisation.id) {
            true => Ok(()),
            false => Err(Refusal::not_run(Reason::Unauthorized)),
        }
    }

    /// Refuses requests to an unreachable target until a connection succeeds again.
    ///
    /// A process that hangs with its port open accepts no connections, and without this each
    /// request would wait for the full connection timeout.
    pub(super) fn mark_unreachable(&self, active: &Arc<ActiveTarget>) {
        if active.is_unreachable.swap(true, Ordering::AcqRel) {
            return;
        }
        self.parts.counters.add("gate.target_unreachable");
        self.parts.events.write(|| TargetUnreachable {
            target: active.view.target.clone(),
            address: active.view.address.to_string(),
        });
        let (active, events) = (Arc::clone(active), self.parts.events.clone());
        self.parts.background.spawn(async move {
            tokio::select! {
                () = active.stop.cancelled() => {}
                () = active.wait_until_reachable() => {
                    active.is_unreachable.store(false, Ordering::Release);
                    events.write(|| TargetReachable { target: active.view.target.clone() });
                }
            }
        });
    }

    /// Returns whether operators have evacuated the failure domain of this gate.
    pub(super) fn is_evacuated(&self) -> bool {
        self.parts.evacuations.is_evacuated(&self.parts.settings.current().failure_domain)
    }
}

impl ActiveTarget {
    async fn wait_until_reachable(&self) {
        loop {
            sleep(RECONNECT_INTERVAL).await;
            if is_listening(self.view.address, CONNECT_TIMEOUT).await {
                return;
            }
        }
    }
}
