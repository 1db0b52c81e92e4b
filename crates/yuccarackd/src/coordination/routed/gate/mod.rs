//! The gate of one target for routed requests: the only way in.

mod cold;
mod crash_tracker;
mod exchange;
mod health_checks;
mod pooled_connections;
mod request;
mod server;
mod work_slots;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http::{Response, header};
use parking_lot::RwLock;
use tokio::time::sleep;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::{decisions::Decisions, heartbeat::TargetPhase};
use yuccarack_policy::{cold_rate::ColdRate, placement::GateLoad, work_queue::Refused};

pub use self::{
    crash_tracker::{CrashTracker, CrashTrackerParts},
    request::GateRequest,
    server::GateServer,
};
use self::{exchange::Exchange, pooled_connections::PooledConnections, work_slots::WorkSlots};
use super::{
    events::EventLog,
    log_lines::{GateRefused, TargetAdmitted, TargetReachable, TargetUnreachable},
};
use crate::{
    protocol::{
        body::CallBody,
        forwarding,
        gate_word::{GATE_WORD, GateWord},
        refusal::{Reason, Refusal},
    },
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations,
            live_settings::LiveSettings,
            metrics::Metrics,
            routing_state::RoutingState,
            target::{RoutedTarget, TargetView},
        },
    },
    transport::{look::is_listening, upstream::Upstream},
};

/// When it is worth asking a service again whose target here takes no work.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// When it is worth coming back with a request of which targets die; it is refused for a minute.
const QUARANTINED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time between two looks at a target that can't be reached; its process needs longer to come back.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest look at such a target, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Group of the gate's refusal counters.
const REFUSED: &str = "gate.refused";

/// What a gate works with.
pub struct GateParts {
    /// The target, by what it says of itself.
    pub target: RoutedTarget,
    /// The routing table in force.
    pub routing: RoutingState,
    /// Failure domains that are evacuated.
    pub evacuations: Evacuations,
    /// The settings.
    pub settings: LiveSettings,
    /// Deaths of targets.
    pub crashes: CrashTracker,
    /// Connections to the target.
    pub upstream: Upstream,
    /// Counters.
    pub counters: Counters,
    /// Histograms.
    pub metrics: Metrics,
    /// Log lines.
    pub events: EventLog,
    /// Parent of what runs as long as the gate.
    pub background: TaskTracker,
    /// Cancelled when this daemon leaves.
    pub leaving: CancellationToken,
    /// Decisions in use.
    pub decisions: Decisions,
}

/// The gate of one target.
pub struct Gate {
    parts: GateParts,
    /// Connections for looks alone: what a target sends too much on those of requests, or in answer
    /// to a look, reaches no other one.
    health_check_upstream: Upstream,
    started_at: Instant,
    active: RwLock<Option<Arc<ActiveTarget>>>,
}

/// A target with its slots.
struct ActiveTarget {
    view: Arc<TargetView>,
    slots: WorkSlots,
    stop: CancellationToken,
    is_unreachable: AtomicBool,
    pooled: PooledConnections,
}

impl Gate {
    /// Makes a gate that knows no target yet.
    pub fn new(parts: GateParts) -> Self {
        let health_check_upstream = Upstream::new(parts.background.clone());
        Self { parts, health_check_upstream, started_at: Instant::now(), active: RwLock::new(None) }
    }

    /// Follows what the target says until `stop`.
    pub async fn follow(self: Arc<Self>, stop: CancellationToken) {
        let mut changes = self.parts.target.subscribe();
        let mut evacuations = self.parts.evacuations.subscribe();
        let mut routing = self.parts.routing.subscribe();
        loop {
            let view = changes.borrow_and_update().clone();
            evacuations.borrow_and_update();
            routing.borrow_and_update();
            if let Some(active) = self.update_target(view) {
                self.parts.background.spawn(health_checks::run(Arc::clone(&self), active));
            }
            self.update_cold_bound();
            tokio::select! {
                () = stop.cancelled() => break,
                () = self.parts.leaving.cancelled() => break,
                changed = changes.changed() => if changed.is_err() { break },
                changed = evacuations.changed() => if changed.is_err() { break },
                changed = routing.changed() => if changed.is_err() { break },
            }
        }
        // Whatever waits goes elsewhere; what runs ends by itself.
        self.update_target(None);
        stop.cancelled().await;
        if let Some(active) = self.active.read().as_ref() {
            active.stop.cancel();
        }
    }

    /// Requests running on the target.
    pub fn running(&self) -> usize {
        self.active.read().as_ref().map_or(0, |active| active.slots.running())
    }

    /// Answers one request: the target's answer, or a refusal with what is proved.
    pub async fn handle(&self, mut request: GateRequest) -> Result<Response<CallBody>, Refusal> {
        let result = self.run(&mut request).await;
        if let Err(refusal) = &result {
            self.log_refusal(&request, refusal);
        }
        result
    }

    /// What this gate tells of itself with each answer.
    pub fn status(&self) -> GateWord {
        let load = self.active.read().as_ref().map(|active| active.slots.load());
        let idle =
            GateLoad { running: 0, waiting: 0, limit: 1, mean_work: Duration::ZERO, slowness: 1.0 };
        GateWord { load: load.unwrap_or(idle), routing_version: self.parts.routing.version() }
    }

    /// Puts what this gate tells of itself into an answer for another daemon.
    pub fn add_status_header(&self, response: &mut Response<CallBody>) {
        forwarding::set(response.headers_mut(), GATE_WORD, &self.status().to_string());
    }

    async fn run(&self, request: &mut GateRequest) -> Result<Response<CallBody>, Refusal> {
        let active = self.active_target_for(request)?;
        let fingerprint = request.fingerprint();
        if self.parts.crashes.is_barred(fingerprint) {
            return Err(
                Refusal::not_run(Reason::Quarantined).with_retry_after(QUARANTINED_RETRY_AFTER)
            );
        }
        let offered_at = Instant::now();
        let lease = active.slots.admit(request.work()).await.map_err(admission_refusal)?;
        let queued = offered_at.elapsed();
        request.queued = Some(queued);
        self.parts.metrics.queued(queued);
        // The target may have said meanwhile that it leaves, or operators that it is to get nothing.
        self.check_available(&active)?;
        let dispatched_at = Instant::now();
        let response = Exchange { gate: self, active: &active, lease }.run(request).await;
        match &response {
            Ok(_) => self.parts.crashes.record_response(fingerprint),
            Err(refusal) if refusal.reason == Reason::Broken => {
                self.parts.crashes.check_target(Arc::clone(&active.view), fingerprint);
            }
            Err(_) => {}
        }
        self.parts.metrics.target_took(dispatched_at.elapsed());
        response
    }

    fn active_target_for(&self, request: &GateRequest) -> Result<Arc<ActiveTarget>, Refusal> {
        let reject = |reason| Refusal::not_run(reason).with_retry_after(UNAVAILABLE_RETRY_AFTER);
        if self.parts.leaving.is_cancelled() {
            return Err(reject(Reason::Draining));
        }
        let active = self.active.read().clone().ok_or_else(|| reject(Reason::NotReady))?;
        self.check_available(&active)?;
        if self.is_evacuated() {
            return Err(reject(Reason::Evacuated));
        }
        if active.view.service != request.hop.service {
            return Err(reject(Reason::OtherService));
        }
        Ok(active)
    }

    fn check_available(&self, active: &ActiveTarget) -> Result<(), Refusal> {
        let reject =
            |reason| Err(Refusal::not_run(reason).with_retry_after(UNAVAILABLE_RETRY_AFTER));
        let current = self.parts.target.current();
        match current {
            None => return reject(Reason::Draining),
            Some(view) if !view.is_same_life(&active.view) => return reject(Reason::NotReady),
            Some(view) if view.phase == TargetPhase::Draining => return reject(Reason::Draining),
            Some(_) => {}
        }
        if self.is_evacuated() {
            return reject(Reason::Evacuated);
        }
        if active.is_unreachable.load(Ordering::Acquire) {
            return reject(Reason::Unreachable);
        }
        Ok(())
    }

    /// Keeps requests from a target that can't be reached, until a connection can be made again.
    ///
    /// Failure: a target's process hangs with its port open, and each request that finds it so waits
    /// for a connection in vain.
    fn mark_unreachable(&self, active: &Arc<ActiveTarget>) {
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

    /// Takes in what the target says; returns a target that is new.
    fn update_target(&self, view: Option<Arc<TargetView>>) -> Option<Arc<ActiveTarget>> {
        let mut active = self.active.write();
        let is_accepting =
            |view: &Arc<TargetView>| view.phase == TargetPhase::Ready && !self.is_evacuated();
        let Some(view) = view.filter(is_accepting) else {
            if let Some(old) = active.as_ref() {
                old.slots.change(|queue, now| queue.leave(now));
            }
            return None;
        };
        if let Some(old) = active.as_ref().filter(|old| old.view.is_same_life(&view)) {
            old.slots.change(|queue, now| {
                queue.stay();
                queue.set_slots(now, view.slots);
                if view.is_cold {
                    queue.cold_rate_mut().extend_cold_until(view.cold_until);
                }
            });
            return None;
        }
        let mut cold_rate = ColdRate::new(self.started_at);
        if let Some(old) = active.take() {
            old.slots.change(|queue, now| queue.leave(now));
            // A target that starts again at the same address is the same one to the operators' bound.
            cold_rate = old.slots.read(|queue| queue.cold_rate().clone());
            old.stop.cancel();
        }
        if view.is_cold {
            cold_rate.extend_cold_until(view.cold_until);
        }
        self.parts.events.write(|| TargetAdmitted {
            target: view.target.clone(),
            service: view.service.clone(),
            life: view.life,
            slots: view.slots,
        });
        let added = Arc::new(self.activate_target(view, cold_rate));
        *active = Some(Arc::clone(&added));
        Some(added)
    }

    /// Path on which the target tells its load, by the routing table.
    fn load_path(&self, active: &ActiveTarget) -> Option<String> {
        let routing = self.parts.routing.current()?;
        routing.service(&active.view.service).map(|service| service.load_path.clone())
    }

    /// Whether operators want the targets of this failure domain to get nothing.
    fn is_evacuated(&self) -> bool {
        self.parts.evacuations.is_evacuated(&self.parts.settings.current().failure_domain)
    }

    fn activate_target(&self, view: Arc<TargetView>, cold_rate: ColdRate) -> ActiveTarget {
        let slots = WorkSlots::new(view.slots, cold_rate, self.parts.decisions);
        let stop = CancellationToken::new();
        self.parts.background.spawn(slots.clone().run_clock(stop.clone()));
        ActiveTarget {
            view,
            slots,
            stop,
            is_unreachable: AtomicBool::new(false),
            pooled: PooledConnections::default(),
        }
    }

    fn log_refusal(&self, request: &GateRequest, refusal: &Refusal) {
        self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
        self.parts.events.write(|| {
            let load = self.status().load;
            GateRefused {
                request: header_text(request.request_id()),
                attempt: format!("{:032x}", request.hop.attempt),
                service: request.hop.service.clone(),
                rank: request.hop.rank,
                reason: refusal.reason.as_str(),
                outcome: refusal.outcome.as_str(),
                left_ms: millis(request.deadline.remaining(Instant::now())),
                here_ms: millis(request.came_at.elapsed()),
                queued_ms: request.queued.map(millis),
                running: load.running,
                waiting: load.waiting,
                limit: load.limit,
                slowness: load.slowness,
            }
        });
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

fn admission_refusal(refused: Refused) -> Refusal {
    Refusal::not_run(Reason::Admission(refused.reason.as_str()))
        .with_retry_after(refused.retry_after)
}

/// A time for a log line.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A header's value for a log line.
fn header_text(value: Option<&http::HeaderValue>) -> String {
    value.map_or_else(String::new, |value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Whether an answer's body is in a form that no target was asked for.
fn is_encoded(response: &Response<CallBody>) -> bool {
    response.headers().contains_key(header::CONTENT_ENCODING)
}
