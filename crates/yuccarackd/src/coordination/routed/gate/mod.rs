//! The gate of one target for routed requests: the only way in.

mod cold;
mod crashes;
mod door;
mod exchange;
mod kept;
mod looks;
mod work;
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
    crashes::{Crashes, CrashesParts},
    door::GateDoor,
    work::GateWork,
};
use self::{exchange::Exchange, kept::KeptConnections, work_slots::WorkSlots};
use super::{
    events::EventLog,
    lines::{GateRefused, TargetLost, TargetRegained, TargetTakenIn},
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
const AWAY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// When it is worth coming back with a request of which targets die; it is refused for a minute.
const BARRED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time between two looks at a target that can't be reached; its process needs longer to come back.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest look at such a target, which is on the same machine.
const LOOK_TIMEOUT: Duration = Duration::from_millis(200);

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
    pub crashes: Crashes,
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
    look_upstream: Upstream,
    started_at: Instant,
    open: RwLock<Option<Arc<OpenTarget>>>,
}

/// A target with its slots.
struct OpenTarget {
    view: Arc<TargetView>,
    slots: WorkSlots,
    stop: CancellationToken,
    is_unreachable: AtomicBool,
    kept: KeptConnections,
}

impl Gate {
    /// Makes a gate that knows no target yet.
    pub fn new(parts: GateParts) -> Self {
        let look_upstream = Upstream::new(parts.background.clone());
        Self { parts, look_upstream, started_at: Instant::now(), open: RwLock::new(None) }
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
            if let Some(open) = self.take(view) {
                self.parts.background.spawn(looks::run(Arc::clone(&self), open));
            }
            self.follow_cold_bound();
            tokio::select! {
                () = stop.cancelled() => break,
                () = self.parts.leaving.cancelled() => break,
                changed = changes.changed() => if changed.is_err() { break },
                changed = evacuations.changed() => if changed.is_err() { break },
                changed = routing.changed() => if changed.is_err() { break },
            }
        }
        // Whatever waits goes elsewhere; what runs ends by itself.
        self.take(None);
        stop.cancelled().await;
        if let Some(open) = self.open.read().as_ref() {
            open.stop.cancel();
        }
    }

    /// Requests running on the target.
    pub fn running(&self) -> usize {
        self.open.read().as_ref().map_or(0, |open| open.slots.running())
    }

    /// Answers one request: the target's answer, or a refusal with what is proved.
    pub async fn handle(&self, mut work: GateWork) -> Result<Response<CallBody>, Refusal> {
        let result = self.run(&mut work).await;
        if let Err(refusal) = &result {
            self.note(&work, refusal);
        }
        result
    }

    /// What this gate tells of itself with each answer.
    pub fn word(&self) -> GateWord {
        let load = self.open.read().as_ref().map(|open| open.slots.load());
        let idle =
            GateLoad { running: 0, waiting: 0, limit: 1, mean_work: Duration::ZERO, slowness: 1.0 };
        GateWord { load: load.unwrap_or(idle), routing_version: self.parts.routing.version() }
    }

    /// Puts what this gate tells of itself into an answer for another daemon.
    pub fn stamp(&self, answer: &mut Response<CallBody>) {
        forwarding::set(answer.headers_mut(), GATE_WORD, &self.word().to_string());
    }

    async fn run(&self, work: &mut GateWork) -> Result<Response<CallBody>, Refusal> {
        let open = self.open_for(work)?;
        let fingerprint = work.fingerprint();
        if self.parts.crashes.is_barred(fingerprint) {
            return Err(Refusal::not_run(Reason::Quarantined).with_retry_after(BARRED_RETRY_AFTER));
        }
        let offered_at = Instant::now();
        let lease = open.slots.admit(work.work()).await.map_err(refused)?;
        let queued = offered_at.elapsed();
        work.queued = Some(queued);
        self.parts.metrics.queued(queued);
        // The target may have said meanwhile that it leaves, or operators that it is to get nothing.
        self.check_open(&open)?;
        let handed_over_at = Instant::now();
        let answer = Exchange { gate: self, open: &open, lease }.run(work).await;
        match &answer {
            Ok(_) => self.parts.crashes.answered(fingerprint),
            Err(refusal) if refusal.reason == Reason::Broken => {
                self.parts.crashes.look(Arc::clone(&open.view), fingerprint);
            }
            Err(_) => {}
        }
        self.parts.metrics.target_took(handed_over_at.elapsed());
        answer
    }

    fn open_for(&self, work: &GateWork) -> Result<Arc<OpenTarget>, Refusal> {
        let away = |reason| Refusal::not_run(reason).with_retry_after(AWAY_RETRY_AFTER);
        if self.parts.leaving.is_cancelled() {
            return Err(away(Reason::Draining));
        }
        let open = self.open.read().clone().ok_or_else(|| away(Reason::NotReady))?;
        self.check_open(&open)?;
        if self.is_evacuated() {
            return Err(away(Reason::Evacuated));
        }
        if open.view.service != work.hop.service {
            return Err(away(Reason::OtherService));
        }
        Ok(open)
    }

    fn check_open(&self, open: &OpenTarget) -> Result<(), Refusal> {
        let away = |reason| Err(Refusal::not_run(reason).with_retry_after(AWAY_RETRY_AFTER));
        let current = self.parts.target.current();
        match current {
            None => return away(Reason::Draining),
            Some(view) if !view.is_same_life(&open.view) => return away(Reason::NotReady),
            Some(view) if view.phase == TargetPhase::Draining => return away(Reason::Draining),
            Some(_) => {}
        }
        if self.is_evacuated() {
            return away(Reason::Evacuated);
        }
        if open.is_unreachable.load(Ordering::Acquire) {
            return away(Reason::Unreachable);
        }
        Ok(())
    }

    /// Keeps requests from a target that can't be reached, until a connection can be made again.
    ///
    /// Failure: a target's process hangs with its port open, and each request that finds it so waits
    /// for a connection in vain.
    fn lost(&self, open: &Arc<OpenTarget>) {
        if open.is_unreachable.swap(true, Ordering::AcqRel) {
            return;
        }
        self.parts.counters.add("gate.target_unreachable");
        self.parts.events.write(|| TargetLost {
            target: open.view.target.clone(),
            address: open.view.address.to_string(),
        });
        let (open, events) = (Arc::clone(open), self.parts.events.clone());
        self.parts.background.spawn(async move {
            tokio::select! {
                () = open.stop.cancelled() => {}
                () = open.until_reached() => {
                    open.is_unreachable.store(false, Ordering::Release);
                    events.write(|| TargetRegained { target: open.view.target.clone() });
                }
            }
        });
    }

    /// Takes in what the target says; returns a target that is new.
    fn take(&self, view: Option<Arc<TargetView>>) -> Option<Arc<OpenTarget>> {
        let mut open = self.open.write();
        let takes_work =
            |view: &Arc<TargetView>| view.phase == TargetPhase::Ready && !self.is_evacuated();
        let Some(view) = view.filter(takes_work) else {
            if let Some(old) = open.as_ref() {
                old.slots.change(|queue, now| queue.leave(now));
            }
            return None;
        };
        if let Some(old) = open.as_ref().filter(|old| old.view.is_same_life(&view)) {
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
        if let Some(old) = open.take() {
            old.slots.change(|queue, now| queue.leave(now));
            // A target that starts again at the same address is the same one to the operators' bound.
            cold_rate = old.slots.read(|queue| queue.cold_rate().clone());
            old.stop.cancel();
        }
        if view.is_cold {
            cold_rate.extend_cold_until(view.cold_until);
        }
        self.parts.events.write(|| TargetTakenIn {
            target: view.target.clone(),
            service: view.service.clone(),
            life: view.life,
            slots: view.slots,
        });
        let taken_in = Arc::new(self.open_target(view, cold_rate));
        *open = Some(Arc::clone(&taken_in));
        Some(taken_in)
    }

    /// Path on which the target tells its load, by the routing table.
    fn load_path(&self, open: &OpenTarget) -> Option<String> {
        let routing = self.parts.routing.current()?;
        routing.service(&open.view.service).map(|service| service.load_path.clone())
    }

    /// Whether operators want the targets of this failure domain to get nothing.
    fn is_evacuated(&self) -> bool {
        self.parts.evacuations.is_evacuated(&self.parts.settings.current().failure_domain)
    }

    fn open_target(&self, view: Arc<TargetView>, cold_rate: ColdRate) -> OpenTarget {
        let slots = WorkSlots::new(view.slots, cold_rate, self.parts.decisions);
        let stop = CancellationToken::new();
        self.parts.background.spawn(slots.clone().run_clock(stop.clone()));
        OpenTarget {
            view,
            slots,
            stop,
            is_unreachable: AtomicBool::new(false),
            kept: KeptConnections::default(),
        }
    }

    fn note(&self, work: &GateWork, refusal: &Refusal) {
        self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
        self.parts.events.write(|| {
            let load = self.word().load;
            GateRefused {
                request: text(work.request_id()),
                attempt: format!("{:032x}", work.hop.attempt),
                service: work.hop.service.clone(),
                rank: work.hop.rank,
                reason: refusal.reason.as_str(),
                outcome: refusal.outcome.as_str(),
                left_ms: whole_ms(work.deadline.left(Instant::now())),
                here_ms: whole_ms(work.came_at.elapsed()),
                queued_ms: work.queued.map(whole_ms),
                running: load.running,
                waiting: load.waiting,
                limit: load.limit,
                slowness: load.slowness,
            }
        });
    }
}

impl OpenTarget {
    async fn until_reached(&self) {
        loop {
            sleep(LOOK_INTERVAL).await;
            if is_listening(self.view.address, LOOK_TIMEOUT).await {
                return;
            }
        }
    }
}

fn refused(refused: Refused) -> Refusal {
    Refusal::not_run(Reason::Admission(refused.reason.as_str()))
        .with_retry_after(refused.retry_after)
}

/// A time for a log line.
fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A header's value for a log line.
fn text(value: Option<&http::HeaderValue>) -> String {
    value.map_or_else(String::new, |value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Whether an answer's body is in a form that no target was asked for.
fn is_encoded(answer: &Response<CallBody>) -> bool {
    answer.headers().contains_key(header::CONTENT_ENCODING)
}
