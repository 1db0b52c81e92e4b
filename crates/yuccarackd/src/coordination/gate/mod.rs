//! The gate: the only way to the target beside this daemon.
//!
//! It counts the target's slots exactly and refuses before anything is handed over, so its refusal
//! is proof that a request did not run.

pub mod call;
pub mod door;
pub mod guarded_body;
pub mod hand_over;
pub mod in_flight;
mod permits;
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
    hand_over::HandOver,
    in_flight::InFlight,
    permits::{Claimed, claim_request, release},
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
    in_flight: InFlight,
    target: RwLock<Option<Arc<GateTarget>>>,
    draining: CancellationToken,
    /// Boot id of the last life whose death was laid to its requests.
    blamed_life: Mutex<Option<u64>>,
}

impl Gate {
    /// Makes a gate that knows no target yet.
    pub fn new(parts: GateParts) -> Self {
        Self {
            parts,
            in_flight: InFlight::new(),
            target: RwLock::new(None),
            draining: CancellationToken::new(),
            blamed_life: Mutex::new(None),
        }
    }

    /// Answers one request: the target's answer, or a refusal with what is proved.
    pub async fn handle(self: &Arc<Self>, call: GateCall) -> Response<CallBody> {
        let mut answer = match self.run(call).await {
            Ok(answer) => answer,
            Err(refusal) => {
                self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
                refusal.into_response()
            }
        };
        self.stamp(&mut answer);
        answer
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
        let mut announced = self.parts.own_target.subscribe();
        let mut rules = self.parts.directory.subscribe();
        loop {
            self.take_changes(&stop).await;
            tokio::select! {
                changed = announced.changed() => if changed.is_err() { return },
                changed = rules.changed() => if changed.is_err() { return },
                () = stop.cancelled() => return,
            }
        }
    }

    async fn take_changes(&self, stop: &CancellationToken) {
        let Some(view) = self.parts.own_target.current() else {
            return;
        };
        let service = view.announcement.service.as_str();
        self.parts.suspects.follow(service.to_owned());
        let known = self.parts.directory.view(service);
        let Some(rules) = known.as_ref().and_then(|known| known.rules.clone()) else {
            *self.target.write() = None;
            return;
        };
        let has_alternatives = known.is_some_and(|known| self.has_others_ready(&known.members));
        let old = self.target();
        let same_life = old.filter(|old| old.is_same_process(&view));
        if let Some(old) = same_life {
            let target = old.with_changes(view, rules);
            target.slots.set_alternatives(has_alternatives);
            *self.target.write() = Some(Arc::new(target));
            return;
        }
        if let Some(dead) = self.target() {
            self.blame_dead(&dead).await;
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

    fn has_others_ready(&self, members: &[MemberRow]) -> bool {
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
    async fn blame_dead(&self, target: &GateTarget) {
        if target.view.state() != TargetState::Ready {
            // It said that it would leave, so its closed port is no death.
            return;
        }
        let life = target.view.announcement.boot_id;
        if self.blamed_life.lock().replace(life) == Some(life) {
            return;
        }
        let dead = self.in_flight.take_dead(Instant::now());
        if !dead.is_empty() {
            self.target_died(dead).await;
        }
    }

    async fn run(self: &Arc<Self>, mut call: GateCall) -> Result<Response<CallBody>, Refusal> {
        let target = self.ready_target(&call)?;
        let (number, route) = target.route(call.method(), call.path())?;
        // Failure: a file by which orders must not repeat any more is in force, one gate hasn't heard
        // of it, and a resend that lands there runs without a claim. So the stricter word counts, the
        // entry's or the gate's.
        let repeatable = route.is_repeatable(call.method().as_str()) && !call.is_once();
        let fingerprint = call.fingerprint().await?;
        let is_suspect = self.is_suspect(&call.head.service, fingerprint).await?;
        let claim = match claim_request(&call, repeatable, fingerprint)? {
            None => None,
            Some(request) => match self.claim(request).await? {
                Claimed::Recorded(answer) => return Ok(answer),
                Claimed::Mine(claim) => Some(claim),
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
            route: number,
            deadline: call.deadline,
            alone: trial.is_some(),
        };
        let slot = match target.slots.admit(offer).await {
            Ok(slot) => slot,
            Err(refusal) => {
                release(claim).await;
                return Err(Refusal::not_run(Reason::Admission(refusal.reason.as_str()))
                    .with_retry_after(refusal.retry_after));
            }
        };
        self.hand_over(target.clone(), call, fingerprint, slot, trial, claim).await
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

    async fn hand_over(
        self: &Arc<Self>,
        target: Arc<GateTarget>,
        call: GateCall,
        fingerprint: Fingerprint,
        slot: SlotLease,
        trial: Option<Trial>,
        claim: Option<Claim>,
    ) -> Result<Response<CallBody>, Refusal> {
        let hand_over = HandOver {
            gate: Arc::clone(self),
            target,
            flight: in_flight::Flight { fingerprint, alone: trial.is_some() },
            slot,
            trial,
        };
        match claim {
            None => hand_over.run(call).await,
            Some(claim) => hand_over.run_claimed(call, claim).await,
        }
    }

    /// Tells all members of the service which requests were on the target when it died.
    async fn target_died(&self, dead: Vec<in_flight::Flight>) {
        let Some(service) = self.parts.directory.own_service() else {
            return;
        };
        self.parts.counters.add("gate.target_died");
        info!(self.parts.logger, "target died"; "service" => &service, "in_flight" => dead.len());
        let flights = dead.into_iter().map(|flight| (flight.fingerprint, flight.alone)).collect();
        self.parts.suspects.target_died(&service, flights).await;
    }

    /// Load and rules revision travel with every answer, so that they cost no message of their own.
    fn stamp(&self, answer: &mut Response<CallBody>) {
        let map = answer.headers_mut();
        forwarding::set_header(map, headers::INSTANCE, &self.parts.instance);
        if let Some(target) = self.target() {
            forwarding::set_header(map, headers::LOAD, &target.slots.load().to_string());
        }
        let revision = self.parts.directory.own_rules_revision();
        map.insert(headers::RULES_REVISION, HeaderValue::from(revision));
    }
}

/// Says of a failure on the way to the target what is proved.
fn unsent(reason: Reason, is_not_sent: bool) -> Refusal {
    let outcome = if is_not_sent { Outcome::NotRun } else { Outcome::Unknown };
    Refusal { reason, outcome, retry_after: None }
}
