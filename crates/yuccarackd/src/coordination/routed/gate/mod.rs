//! The gate of one target, which all routed requests to the target pass through.

mod announcements;
mod availability;
mod cold;
mod crash_tracker;
mod exchange;
mod health_checks;
mod idle_drop_tracker;
mod link;
mod paced_body;
mod request;
mod server;
mod shed;
mod target;
mod work_slots;

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, Instant},
};

use http::{Response, header};
use parking_lot::{Mutex, RwLock};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::decisions::FeatureSwitches;
use yuccarack_policy::{
    health_checks::HealthCheckSchedule, placement::GateLoad, work_queue::QueueRefusal,
};

pub use self::{
    crash_tracker::{CrashTracker, CrashTrackerParts},
    link::GateLink,
    request::GateRequest,
    server::GateServer,
};
use self::{
    exchange::Exchange, idle_drop_tracker::IdleDropTracker, shed::ShedTracker,
    work_slots::WorkSlots,
};
use super::{
    events::EventLog,
    log_lines::{GateRefused, TargetResponseRejected},
    return_margin::return_margin,
};
use crate::{
    protocol::{
        body::CallBody,
        forwarding,
        gate_capacity::{GATE_CAPACITY, GateCapacity},
        gate_status::{GATE_STATUS, GateStatus},
        refusal::{Reason, Refusal},
    },
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations,
            live_settings::LiveSettings,
            metrics::Metrics,
            routing_state::RoutingState,
            target::{RoutedTarget, RoutedTargetView},
        },
    },
    transport::upstream::Upstream,
};

/// `Retry-After` of a refusal because the target of this gate accepts no requests now.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of a quarantined request. The quarantine itself lasts for a minute.
const QUARANTINED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Prefix of the gate's refusal counters; the reason follows.
const REFUSED: &str = "gate.refused";

/// Dependencies of a [`Gate`].
pub struct GateParts {
    /// The target as reported by its own heartbeats.
    pub target: RoutedTarget,
    /// The routing table in force, which has the bounds of cold targets and the health check paths.
    pub routing: RoutingState,
    /// Evacuated failure domains, whose targets get no requests.
    pub evacuations: Evacuations,
    /// The settings in force.
    pub settings: LiveSettings,
    /// Crashes of targets, for the quarantine of requests that cause them.
    pub crashes: CrashTracker,
    /// Connection pool for requests to the target.
    pub upstream: Upstream,
    /// Link that the responses to other instances share.
    pub link: GateLink,
    /// Counters of refusals, health checks and lost connections.
    pub counters: Counters,
    /// Histograms of the queue time and the target's response times.
    pub metrics: Metrics,
    /// Log for refusals and changes of the target's state.
    pub events: EventLog,
    /// Tracker of tasks that run as long as the gate.
    pub background: TaskTracker,
    /// Cancelled when this daemon starts to leave.
    pub leaving: CancellationToken,
    /// Feature switches from the settings.
    pub decisions: FeatureSwitches,
}

/// The gate of one target: queues, admits and dispatches its requests.
pub struct Gate {
    parts: GateParts,
    /// Separate connection pool for health checks, so that surplus bytes on a connection can't be
    /// taken for a response across requests and health checks.
    health_check_upstream: Upstream,
    started_at: Instant,
    active: RwLock<Option<Arc<ActiveTarget>>>,
}

/// A target that the gate serves, with its queue and connection state.
struct ActiveTarget {
    view: Arc<RoutedTargetView>,
    slots: WorkSlots,
    stop: CancellationToken,
    is_unreachable: AtomicBool,
    health_check_schedule: Mutex<HealthCheckSchedule>,
    /// Held during a health check before an admission, so that there is one at a time.
    arrival_check_lock: tokio::sync::Mutex<()>,
    idle_drops: IdleDropTracker,
    sheds: ShedTracker,
}

impl Gate {
    /// Creates a gate without a target.
    pub fn new(parts: GateParts) -> Self {
        let health_check_upstream = Upstream::new(parts.background.clone());
        Self { parts, health_check_upstream, started_at: Instant::now(), active: RwLock::new(None) }
    }

    /// Follows changes of the target, evacuations and the routing table until `stop`.
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
            self.update_early_refusals();
            tokio::select! {
                () = stop.cancelled() => break,
                () = self.parts.leaving.cancelled() => break,
                changed = changes.changed() => if changed.is_err() { break },
                changed = evacuations.changed() => if changed.is_err() { break },
                changed = routing.changed() => if changed.is_err() { break },
            }
        }
        // Queued requests are refused so that other gates take them; running ones finish.
        self.update_target(None);
        stop.cancelled().await;
        if let Some(active) = self.active.read().as_ref() {
            active.stop.cancel();
        }
    }

    /// Returns the number of requests that run on the target.
    pub fn running(&self) -> usize {
        self.active.read().as_ref().map_or(0, |active| active.slots.running())
    }

    /// Runs one request on the target and returns the target's response.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose outcome says whether the request is known not to have run.
    pub async fn handle(&self, mut request: GateRequest) -> Result<Response<CallBody>, Refusal> {
        let result = self.run(&mut request).await;
        if let Err(refusal) = &result {
            self.log_refusal(&request, refusal);
        }
        result
    }

    /// Returns the gate status that goes out with each response: load and routing version.
    pub fn status(&self) -> GateStatus {
        let load = self.active.read().as_ref().map(|active| active.slots.load());
        let idle = GateLoad {
            running: 0,
            waiting: 0,
            limit: 1,
            mean_service_time: Duration::ZERO,
            slowdown: 1.0,
            rate_limit: None,
            admits_in: Duration::ZERO,
        };
        GateStatus {
            load: load.unwrap_or(idle),
            routing_version: self.parts.routing.version(),
            announcement: self.announcement(),
        }
    }

    /// Sets the gate status header of a response to another daemon.
    pub fn add_status_header(&self, response: &mut Response<CallBody>) {
        forwarding::set_header(response.headers_mut(), GATE_STATUS, &self.status().to_string());
        let capacity = self.capacity();
        if !capacity.is_empty() {
            forwarding::set_header(response.headers_mut(), GATE_CAPACITY, &capacity.to_string());
        }
    }

    /// Returns the capacity that goes out with each response, as far as the deployment uses it.
    pub fn capacity(&self) -> GateCapacity {
        self.parts.link.capacity(Instant::now())
    }

    async fn run(&self, request: &mut GateRequest) -> Result<Response<CallBody>, Refusal> {
        let active = self.active_target_for(request)?;
        let fingerprint = request.fingerprint();
        if self.parts.crashes.is_quarantined(fingerprint) {
            return Err(
                Refusal::not_run(Reason::Quarantined).with_retry_after(QUARANTINED_RETRY_AFTER)
            );
        }
        health_checks::check_before_admission(self, &active, request.hop.may_wait).await;
        let queued_at = Instant::now();
        let work_request = request.to_work_request(return_margin(&self.parts.routing));
        let lease = active.slots.admit(work_request).await.map_err(admission_refusal)?;
        let queued = queued_at.elapsed();
        request.queued = Some(queued);
        self.parts.metrics.observe_queue_time(queued);
        // The target may have started to leave, its failure domain been evacuated or the keys of the
        // organisation been removed during the wait.
        self.check_available(&active)?;
        self.check_organisation(request)?;
        let dispatched_at = Instant::now();
        let response = Exchange { gate: self, active: &active, lease }.run(request).await;
        match &response {
            Ok(_) => self.parts.crashes.record_response(fingerprint),
            Err(refusal) if refusal.reason == Reason::Broken => {
                self.parts.crashes.check_target(Arc::clone(&active.view), fingerprint);
            }
            Err(_) => {}
        }
        self.parts.metrics.observe_target_duration(dispatched_at.elapsed());
        response
    }

    /// Applies to the queue whether the deployment ends the wait of requests before their deadline.
    fn update_early_refusals(&self) {
        let Some(active) = self.active.read().clone() else { return };
        let is_used = !return_margin(&self.parts.routing).is_zero();
        active.slots.change(|queue, _| queue.set_refuses_behind_overdue(is_used));
    }

    /// Logs that bytes of the target are no response. `of` is what was requested.
    fn log_rejected_response(
        &self,
        active: &ActiveTarget,
        of: &'static str,
        cause: &dyn std::error::Error,
    ) {
        self.parts.events.write(|| {
            let (target, cause) = (active.view.target.clone(), cause.to_string());
            TargetResponseRejected { target, of, cause }
        });
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
                here_ms: millis(request.received_at.elapsed()),
                queued_ms: request.queued.map(millis),
                running: load.running,
                waiting: load.waiting,
                limit: load.limit,
                slowness: load.slowdown,
            }
        });
    }
}

fn admission_refusal(refusal: QueueRefusal) -> Refusal {
    Refusal::not_run(Reason::Admission(refusal.reason.as_str()))
        .with_retry_after(refusal.retry_after)
}

/// Rounds down to milliseconds for a log line.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Formats a header value for a log line; a missing one is empty.
fn header_text(value: Option<&http::HeaderValue>) -> String {
    value.map_or_else(String::new, |value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Returns whether the body is content-encoded, which no request asks a target for.
fn is_encoded(response: &Response<CallBody>) -> bool {
    response.headers().contains_key(header::CONTENT_ENCODING)
}
