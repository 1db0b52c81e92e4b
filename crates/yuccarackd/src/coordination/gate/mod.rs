//! The gate: the only way to the target beside this daemon.
//!
//! It counts the target's slots exactly and refuses before anything is handed over, so its refusal
//! is proof that a request did not run.

pub mod call;
pub mod dispatch;
pub mod guarded_body;
pub mod in_flight;
mod prerequisites;
pub mod server;
pub mod slots;
pub mod target;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderValue, Response};
use parking_lot::{Mutex, RwLock};
use slog::{Logger, info};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use xxhash_rust::xxh3::xxh3_64;
use yuccarack_config::{headers, ids::Fingerprint};
use yuccarack_platform::rows::{MemberRow, TargetState};
use yuccarack_policy::admission::Offer;

use self::{
    call::GateCall,
    dispatch::Dispatch,
    in_flight::InFlightRequests,
    prerequisites::{ClaimResult, claim_request, release_claim},
    slots::SlotLease,
    target::GateTarget,
};
use crate::{
    coordination::{
        claims::{Claim, ClaimKeeper},
        suspects::{SuspectKeeper, Trial},
    },
    protocol::{
        body::CallBody,
        forwarding,
        refusal::{Outcome, Reason, Refusal},
    },
    state::{counters::Counters, directory::Directory, own_target::OwnTarget},
    transport::upstream::Upstream,
};

/// What a refused caller of a draining or unready target is told to wait; by then its entry knows.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Group of the gate's refusal counters.
const REFUSED: &str = "gate.refused";

/// What the gate works with.
pub struct GateParts {
    /// Name of this instance.
    pub instance: String,
    /// The target's announcements.
    pub own_target: OwnTarget,
    /// The rules in force.
    pub directory: Directory,
    /// Claims of requests that must not repeat.
    pub claims: ClaimKeeper,
    /// Requests that may crash targets.
    pub suspects: SuspectKeeper,
    /// Connections to the target.
    pub upstream: Upstream,
    /// Counters.
    pub counters: Counters,
    /// Log of state changes.
    pub logger: Logger,
    /// Parent of claimed requests, which may outlive their callers.
    pub requests: TaskTracker,
    /// Parent of what runs as long as the gate.
    pub background: TaskTracker,
}

/// The gate of one target.
pub struct Gate {
    parts: GateParts,
    in_flight: InFlightRequests,
    target: RwLock<Option<Arc<GateTarget>>>,
    draining: CancellationToken,
    /// Boot id of the last life whose death was laid to its requests.
    blamed_boot_id: Mutex<Option<u64>>,
}

impl Gate {
    /// Makes a gate that knows no target yet.
    pub fn new(parts: GateParts) -> Self {
        Self {
            parts,
            in_flight: InFlightRequests::new(),
            target: RwLock::new(None),
            draining: CancellationToken::new(),
            blamed_boot_id: Mutex::new(None),
        }
    }

    /// Answers one request: the target's answer, or a refusal with what is proved.
    pub async fn handle(self: &Arc<Self>, call: GateCall) -> Response<CallBody> {
        let mut response = match self.run(call).await {
            Ok(response) => response,
            Err(refusal) => {
                self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
                refusal.into_response()
            }
        };
        self.add_status_headers(&mut response);
        response
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.draining.cancel();
        if let Some(target) = self.target.read().as_ref() {
            target.slots.drain();
        }
    }

    /// Requests running on the target.
    pub fn in_flight(&self) -> usize {
        self.target.read().as_ref().map_or(0, |target| target.slots.in_flight())
    }

    /// The target as it is now.
    pub fn target(&self) -> Option<Arc<GateTarget>> {
        self.target.read().clone()
    }

    /// Follows announcements and rules until `stop`.
    pub async fn follow(self: Arc<Self>, stop: CancellationToken) {
        let mut announcements = self.parts.own_target.subscribe();
        let mut rules = self.parts.directory.subscribe();
        loop {
            self.apply_changes(&stop).await;
            tokio::select! {
                changed = announcements.changed() => if changed.is_err() { return },
                changed = rules.changed() => if changed.is_err() { return },
                () = stop.cancelled() => return,
            }
        }
    }

    async fn apply_changes(&self, stop: &CancellationToken) {
        let Some(view) = self.parts.own_target.current() else {
            return;
        };
        let service = view.announcement.service.as_str();
        self.parts.suspects.follow(service.to_owned());
        let service_view = self.parts.directory.view(service);
        let Some(rules) = service_view.as_ref().and_then(|service_view| service_view.rules.clone())
        else {
            *self.target.write() = None;
            return;
        };
        let has_alternatives = service_view
            .is_some_and(|service_view| self.has_other_ready_target(&service_view.members));
        let old = self.target();
        let same_process = old.filter(|old| old.is_same_process(&view));
        if let Some(old) = same_process {
            let target = old.with_changes(view, rules);
            target.slots.set_alternatives(has_alternatives);
            *self.target.write() = Some(Arc::new(target));
            return;
        }
        if let Some(previous) = self.target() {
            self.blame_in_flight(&previous).await;
        }
        info!(self.parts.logger, "target taken in";
            "service" => service, "boot_id" => view.announcement.boot_id,
            "slots" => view.announcement.slots);
        let target = GateTarget::new(view, rules);
        target.slots.set_alternatives(has_alternatives);
        let clock = target.slots.clone();
        let stop = stop.clone();
        self.parts.background.spawn(async move { clock.run_clock(stop).await });
        *self.target.write() = Some(Arc::new(target));
    }

    fn has_other_ready_target(&self, members: &[MemberRow]) -> bool {
        let mut others = members.iter().filter(|member| member.instance != self.parts.instance);
        others.any(|member| member.state == TargetState::Ready)
    }

    /// Lays the death of a target's life to what was on it.
    ///
    /// A new boot id after broken connections is a crash that nobody saw: the target was back
    /// before its port could be found closed.
    ///
    /// Failure: each request that meets the dead port, and the new life's first announcement, find
    /// others that are only connecting or run on the new life already, and a bystander's trial
    /// among them is quarantined. So each life dies once.
    async fn blame_in_flight(&self, target: &GateTarget) {
        if target.view.state() != TargetState::Ready {
            // It said that it would leave, so its closed port is no death.
            return;
        }
        let boot_id = target.view.announcement.boot_id;
        if self.blamed_boot_id.lock().replace(boot_id) == Some(boot_id) {
            return;
        }
        let suspects = self.in_flight.take_crash_suspects(Instant::now());
        if !suspects.is_empty() {
            self.report_crash(suspects).await;
        }
    }

    async fn run(self: &Arc<Self>, mut call: GateCall) -> Result<Response<CallBody>, Refusal> {
        let target = self.ready_target(&call)?;
        let (route_index, route) = target.find_route(call.method(), call.path())?;
        // Failure: a file by which orders must not repeat any more is in force, one gate hasn't heard
        // of it, and a resend that lands there runs without a claim. So the stricter word counts, the
        // entry's or the gate's.
        let is_repeatable = route.is_repeatable(call.method().as_str()) && !call.is_once();
        let fingerprint = call.fingerprint().await?;
        let is_suspect = self.is_suspect(&call.head.service, fingerprint).await?;
        let claim = match claim_request(&call, is_repeatable, fingerprint)? {
            None => None,
            Some(request) => match self.claim(request).await? {
                ClaimResult::Recorded(response) => return Ok(response),
                ClaimResult::Granted(claim) => Some(claim),
            },
        };
        // After the claim: a key that is taken needs no trial, and a claim that gets none is
        // released when it is dropped.
        let trial = match is_suspect {
            true => Some(self.trial(&call.head.service, fingerprint).await?),
            false => None,
        };
        let offer = Offer {
            caller: xxh3_64(call.head.caller.as_bytes()),
            route: route_index,
            deadline: call.deadline,
            alone: trial.is_some(),
        };
        let slot = match target.slots.admit(offer).await {
            Ok(slot) => slot,
            Err(refusal) => {
                release_claim(claim).await;
                return Err(Refusal::not_run(Reason::Admission(refusal.reason.as_str()))
                    .with_retry_after(refusal.retry_after));
            }
        };
        self.dispatch(target.clone(), call, fingerprint, slot, trial, claim).await
    }

    fn ready_target(&self, call: &GateCall) -> Result<Arc<GateTarget>, Refusal> {
        if self.draining.is_cancelled() {
            return Err(Refusal::not_run(Reason::Draining).with_retry_after(NOT_READY_RETRY_AFTER));
        }
        let not_ready =
            || Refusal::not_run(Reason::NotReady).with_retry_after(NOT_READY_RETRY_AFTER);
        let target = self.target().ok_or_else(not_ready)?;
        target
            .check_ready(&call.head.service)
            .map_err(|refusal| refusal.with_retry_after(NOT_READY_RETRY_AFTER))?;
        Ok(target)
    }

    async fn dispatch(
        self: &Arc<Self>,
        target: Arc<GateTarget>,
        call: GateCall,
        fingerprint: Fingerprint,
        slot: SlotLease,
        trial: Option<Trial>,
        claim: Option<Claim>,
    ) -> Result<Response<CallBody>, Refusal> {
        let dispatch = Dispatch {
            gate: Arc::clone(self),
            target,
            in_flight_request: in_flight::InFlightRequest {
                fingerprint,
                is_alone: trial.is_some(),
            },
            slot,
            trial,
        };
        match claim {
            None => dispatch.run(call).await,
            Some(claim) => dispatch.run_claimed(call, claim).await,
        }
    }

    /// Tells all members of the service which requests were on the target when it died.
    async fn report_crash(&self, suspects: Vec<in_flight::InFlightRequest>) {
        let Some(service) = self.parts.directory.own_service() else {
            return;
        };
        self.parts.counters.add("gate.target_died");
        info!(self.parts.logger, "target died"; "service" => &service, "in_flight" => suspects.len());
        let fingerprints =
            suspects.into_iter().map(|suspect| (suspect.fingerprint, suspect.is_alone)).collect();
        self.parts.suspects.target_died(&service, fingerprints).await;
    }

    /// Load and rules revision travel with every answer, so that they cost no message of their own.
    fn add_status_headers(&self, response: &mut Response<CallBody>) {
        let map = response.headers_mut();
        forwarding::set_header(map, headers::INSTANCE, &self.parts.instance);
        if let Some(target) = self.target() {
            forwarding::set_header(map, headers::LOAD, &target.slots.load().to_string());
        }
        let revision = self.parts.directory.own_rules_revision();
        map.insert(headers::RULES_REVISION, HeaderValue::from(revision));
    }
}

/// Says of a failure on the way to the target what is proved.
fn send_error_refusal(reason: Reason, is_not_sent: bool) -> Refusal {
    let outcome = if is_not_sent { Outcome::NotRun } else { Outcome::Unknown };
    Refusal { reason, outcome, retry_after: None }
}
