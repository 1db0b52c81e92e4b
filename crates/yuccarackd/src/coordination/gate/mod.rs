//! The gate of one target, which all requests to the target pass through.
//!
//! It counts the target's slots exactly and refuses requests before their dispatch, so a request
//! that it refuses is confirmed not to have run.

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
        claims::{Claim, ClaimTracker},
        suspects::{SuspectTracker, Trial},
    },
    protocol::{
        body::CallBody,
        forwarding,
        refusal::{Outcome, Reason, Refusal},
    },
    state::{counters::Counters, directory::Directory, own_target::OwnTarget},
    transport::upstream::Upstream,
};

/// `Retry-After` of a draining or unready target. By then the caller's entry knows of that state.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Prefix of the gate's refusal counters; the reason follows.
const REFUSED: &str = "gate.refused";

/// Dependencies of a [`Gate`].
pub struct GateParts {
    /// Instance that this daemon runs on; responses carry it in a header.
    pub instance: String,
    /// The target as reported by its own announcements.
    pub own_target: OwnTarget,
    /// Services with the rules in force and their members.
    pub directory: Directory,
    /// Claims of the idempotency keys of requests that must not repeat.
    pub claims: ClaimTracker,
    /// Suspects, which are requests that may crash targets.
    pub suspects: SuspectTracker,
    /// Connection pool for requests to the target.
    pub upstream: Upstream,
    /// Counters of refusals and crashes.
    pub counters: Counters,
    /// Log for changes of the target's state.
    pub logger: Logger,
    /// Tracker of the tasks that run claimed requests, which may outlive their callers.
    pub requests: TaskTracker,
    /// Tracker of tasks that run as long as the gate.
    pub background: TaskTracker,
}

/// The gate of one target: admits and dispatches its requests.
pub struct Gate {
    parts: GateParts,
    in_flight: InFlightRequests,
    target: RwLock<Option<Arc<GateTarget>>>,
    draining: CancellationToken,
    /// Boot ID of the last target process whose crash was blamed on its requests.
    blamed_boot_id: Mutex<Option<u64>>,
}

impl Gate {
    /// Creates a gate without a target.
    pub fn new(parts: GateParts) -> Self {
        Self {
            parts,
            in_flight: InFlightRequests::new(),
            target: RwLock::new(None),
            draining: CancellationToken::new(),
            blamed_boot_id: Mutex::new(None),
        }
    }

    /// Runs one request and returns the target's response, or a refusal that says whether the
    /// request is confirmed not to have run.
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

    /// Refuses all queued and new requests from now on; running ones finish.
    pub fn drain(&self) {
        self.draining.cancel();
        if let Some(target) = self.target.read().as_ref() {
            target.slots.drain();
        }
    }

    /// Returns the number of requests that run on the target.
    pub fn in_flight(&self) -> usize {
        self.target.read().as_ref().map_or(0, |target| target.slots.in_flight())
    }

    /// Returns the current target; `None` before its announcement or without rules of its service.
    pub fn target(&self) -> Option<Arc<GateTarget>> {
        self.target.read().clone()
    }

    /// Applies changes of the target's announcements and of the rules until `stop`.
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
        self.parts.suspects.watch_service(service.to_owned());
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
        info!(self.parts.logger, "target admitted";
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

    /// Reports the requests that were in flight as suspects after their target has crashed.
    ///
    /// A new boot ID after broken connections is a crash too: the target restarted before its port
    /// could be found closed.
    ///
    /// Each process is blamed at most once. Every request that finds the port closed and the first
    /// announcement of the new process come here, and by then requests may be in flight that only
    /// connect or already run on the new process; a trial among them would be quarantined.
    async fn blame_in_flight(&self, target: &GateTarget) {
        if target.view.state() != TargetState::Ready {
            // It announced that it would leave, so its closed port is no crash.
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
        // The stricter of the entry's and the gate's rules applies. Otherwise a gate that hasn't
        // received the latest rules, by which requests must not repeat any more, would run a resend
        // without a claim.
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
        // The trial comes after the claim: a request whose key is already claimed needs no trial,
        // and a claim whose request gets no trial is released when it is dropped.
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

    /// Reports to all members of the service which requests were in flight when the target crashed.
    async fn report_crash(&self, suspects: Vec<in_flight::InFlightRequest>) {
        let Some(service) = self.parts.directory.own_service() else {
            return;
        };
        self.parts.counters.add("gate.target_died");
        info!(self.parts.logger, "target crashed";
            "service" => &service, "in_flight" => suspects.len());
        let fingerprints =
            suspects.into_iter().map(|suspect| (suspect.fingerprint, suspect.is_alone)).collect();
        self.parts.suspects.record_target_crash(&service, fingerprints).await;
    }

    /// Adds load and rules revision to a response, so that they need no message of their own.
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

/// Returns the refusal for a request that failed on the way to the target; it is confirmed as not
/// run if nothing of it was sent.
fn send_error_refusal(reason: Reason, is_not_sent: bool) -> Refusal {
    let outcome = if is_not_sent { Outcome::NotRun } else { Outcome::Unknown };
    Refusal { reason, outcome, retry_after: None }
}
