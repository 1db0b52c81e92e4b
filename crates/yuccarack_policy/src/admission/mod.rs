//! What a gate lets in, lets wait and turns away.
//!
//! The pattern is saturation: more work arrives than the target can do. Letting all in makes every
//! answer late (the target works on requests whose callers have left); a long queue does the same
//! one step earlier; first come first served lets a few callers or one slow route take everything.
//! So the gate runs at most as many as the target answers well, lets wait only what can still be
//! answered in time, serves callers in turn, keeps slots free from long routes, and refuses the
//! rest at once with the time after which there is room.

mod limit;
mod offer;
mod queue;
mod service_time;
mod stall;
mod waiting;

use std::{collections::HashMap, time::Instant};

use slotmap::{SlotMap, new_key_type};
use yuccarack_config::load::LoadReport;

use self::{
    limit::ConcurrencyLimit,
    queue::Queue,
    service_time::ServiceTimes,
    stall::{MISSING_RESPONSES_MAX, MISSING_RESPONSES_TO_EVICT, Progress},
};
pub use self::{
    offer::{
        AdmissionConfig, AdmissionDecision, Offer, Refusal, RefusalReason, RouteShare, RunOutcome,
        WaitOutcome,
    },
    waiting::{RETRY_AFTER_MAX, STANDING_AFTER, STANDING_WAIT_SERVICES},
};

new_key_type! {
    /// Key of a running request; it must be released exactly once.
    pub struct RunKey;
    /// Key of a waiting request; it is settled by `poll` or taken back by `cancel_wait`.
    pub struct WaitKey;
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    caller: u64,
    route: usize,
    alone: bool,
    started_at: Instant,
    was_quiet: bool,
    /// Whether a long request or answer of it is on its way, so that no answer is due.
    is_streaming: bool,
}

/// Decides at one gate.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    limit: ConcurrencyLimit,
    running: SlotMap<RunKey, RunningRequest>,
    running_by_caller: HashMap<u64, u16>,
    running_by_route: Vec<u16>,
    alone_running: bool,
    queue: Queue,
    service_times: ServiceTimes,
    progress: Progress,
    finished_waits: Vec<WaitOutcome>,
    is_draining: bool,
    has_alternatives: bool,
}

impl Admission {
    /// Creates an idle gate.
    pub fn new(now: Instant, config: AdmissionConfig) -> Self {
        let mut admission = Self {
            limit: ConcurrencyLimit::new(now, config.slots),
            running: SlotMap::with_key(),
            running_by_caller: HashMap::new(),
            running_by_route: Vec::new(),
            alone_running: false,
            queue: Queue::new(),
            service_times: ServiceTimes::new(),
            progress: Progress::new(now),
            finished_waits: Vec::new(),
            is_draining: false,
            has_alternatives: true,
            config,
        };
        admission.running_by_route.resize(admission.config.routes.len(), 0);
        admission
    }

    /// Puts changed rules or slots in force; running and waiting requests stay.
    pub fn configure(&mut self, now: Instant, config: AdmissionConfig) {
        let routes = config.routes.len().max(self.running_by_route.len());
        self.running_by_route.resize(routes, 0);
        self.limit.set_slots(now, config.slots);
        self.config = config;
        self.start_waiting(now);
    }

    /// Says whether other targets of the service take work.
    ///
    /// Failure: the only target of a service is held up for a moment, its gate refuses what could
    /// only be answered here, and the caller gets a refusal where a short wait would have done.
    pub fn set_alternatives(&mut self, has_alternatives: bool) {
        self.has_alternatives = has_alternatives;
    }

    /// Decides on a request that arrives.
    pub fn offer(&mut self, now: Instant, offer: Offer) -> AdmissionDecision {
        if self.is_draining {
            return self.refuse(RefusalReason::Draining, offer.route);
        }
        if offer.deadline <= now {
            return self.refuse(RefusalReason::DeadlinePassed, offer.route);
        }
        self.refuse_overdue(now);
        let missing = self.missing_responses(now);
        if missing >= MISSING_RESPONSES_TO_EVICT {
            self.refuse_waiting(RefusalReason::Stalled);
        }
        if missing > MISSING_RESPONSES_MAX {
            return self.refuse(RefusalReason::Stalled, offer.route);
        }
        if self.can_start(&offer) && !self.queue.has_alone() {
            return AdmissionDecision::Run(self.start(now, offer));
        }
        match self.give_up_at(now, &offer) {
            Ok(give_up) => AdmissionDecision::Wait(self.enqueue(now, offer, give_up)),
            Err(reason) => self.refuse(reason, offer.route),
        }
    }

    /// Ends a run, which may let waiting requests run; `poll` tells which.
    pub fn release(&mut self, now: Instant, key: RunKey, end: RunOutcome) {
        let Some(run) = self.running.remove(key) else { return };
        let was_in_flight = self.running.len() + 1;
        self.remove_run(run);
        if end != RunOutcome::Cancelled {
            self.progress.record(now);
        }
        match end {
            RunOutcome::Completed { service_time } => {
                let slowdown =
                    self.service_times.record(now, run.route, service_time, run.was_quiet);
                self.limit.record_response(now, slowdown, was_in_flight);
            }
            RunOutcome::Failed { service_time } => self.limit.record_failure(now, service_time),
            RunOutcome::Shed => self.limit.record_shed(now, was_in_flight),
            RunOutcome::Cancelled => {}
        }
        self.start_waiting(now);
    }

    /// Notes that a piece of a long request or answer has passed.
    ///
    /// Failure: a dozen long uploads run, no answer is due for seconds, and the gate takes their
    /// target for stalled and refuses what comes. So a run that moves owes no answer, and what
    /// moves shows that the target lives.
    pub fn record_progress(&mut self, now: Instant, key: RunKey) {
        if let Some(run) = self.running.get_mut(key) {
            run.is_streaming = true;
        }
        self.progress.record(now);
    }

    /// Takes back a waiting request whose caller has left.
    ///
    /// The failure is a caller that leaves between the decision that its request runs and the
    /// `poll` that tells it: nobody would know of the run, and its slot would be lost for good.
    pub fn cancel_wait(&mut self, now: Instant, key: WaitKey) {
        self.queue.remove(key);
        let settled = self.finished_waits.iter().position(|settled| settled.wait_key() == key);
        if let Some(index) = settled
            && let WaitOutcome::Run(_, run) = self.finished_waits.remove(index)
        {
            self.release(now, run, RunOutcome::Cancelled);
            return;
        }
        self.start_waiting(now);
    }

    /// Settles what has become due; each waiting request is told once.
    pub fn poll(&mut self, now: Instant) -> Vec<WaitOutcome> {
        self.refuse_overdue(now);
        self.start_waiting(now);
        std::mem::take(&mut self.finished_waits)
    }

    /// When `poll` must be called next, if nothing else happens before.
    pub fn next_wake(&self) -> Option<Instant> {
        self.queue.next_give_up()
    }

    /// Refuses all that waits and all that comes from now on; what runs goes on.
    pub fn drain(&mut self) {
        self.is_draining = true;
        self.refuse_waiting(RefusalReason::Draining);
    }

    /// The gate's load, as it travels with answers.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: saturate(self.running.len()),
            queued: saturate(self.queue.len()),
            limit: saturate(self.limit.get()),
            service_us: u32::try_from(self.service_times.mean().as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Requests that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    fn refuse_waiting(&mut self, reason: RefusalReason) {
        for (key, waiting) in self.queue.take_all() {
            let refusal = self.refusal(reason, waiting.offer.route);
            self.finished_waits.push(WaitOutcome::Refused(key, refusal));
        }
    }

    fn can_start(&self, offer: &Offer) -> bool {
        if self.alone_running || (offer.alone && !self.running.is_empty()) {
            return false;
        }
        let route_running = self.running_by_route.get(offer.route).copied().unwrap_or(0);
        self.running.len() < self.limit.get()
            && usize::from(route_running) < self.route_slots(offer.route)
    }

    /// How many answers the target owes, which tells whether it has stopped; none count while
    /// there is no other target to go to.
    ///
    /// The failure is a target that freezes or slows tenfold: its slots still look free, and each
    /// request handed over now is stuck with it. Refused, it did not run and goes elsewhere.
    fn missing_responses(&self, now: Instant) -> f64 {
        if !self.has_alternatives {
            return 0.0;
        }
        let owing = self.running.values().filter(|run| !run.is_streaming);
        let running = owing.map(|run| (run.started_at, self.service_times.usual(run.route)));
        self.progress.missing_responses(now, running)
    }

    fn start(&mut self, now: Instant, offer: Offer) -> RunKey {
        let Offer { caller, route, alone, .. } = offer;
        let was_quiet = self.limit.is_quiet(self.running.len() + 1);
        let run = RunningRequest {
            caller,
            route,
            alone,
            started_at: now,
            was_quiet,
            is_streaming: false,
        };
        *self.running_by_caller.entry(run.caller).or_default() += 1;
        if let Some(route_running) = self.running_by_route.get_mut(run.route) {
            *route_running += 1;
        }
        self.alone_running |= run.alone;
        self.running.insert(run)
    }

    fn remove_run(&mut self, run: RunningRequest) {
        if let Some(caller_running) = self.running_by_caller.get_mut(&run.caller) {
            *caller_running -= 1;
            if *caller_running == 0 {
                self.running_by_caller.remove(&run.caller);
            }
        }
        if let Some(route_running) = self.running_by_route.get_mut(run.route) {
            *route_running = route_running.saturating_sub(1);
        }
        if run.alone {
            self.alone_running = false;
        }
    }

    /// Starts waiting requests while there is room.
    fn start_waiting(&mut self, now: Instant) {
        self.refuse_overdue(now);
        while self.running.len() < self.limit.get() && !self.alone_running {
            let Some(key) = self.next_to_start() else { return };
            let Some(waiting) = self.queue.remove(key) else { return };
            let run = self.start(now, waiting.offer);
            self.finished_waits.push(WaitOutcome::Run(key, run));
        }
    }

    /// Callers with the fewest running go first, then whose turn has come.
    fn next_to_start(&self) -> Option<WaitKey> {
        if let Some((key, waiting)) = self.queue.first_alone() {
            return self.can_start(&waiting.offer).then_some(key);
        }
        let startable = self.queue.iter().filter(|(_, waiting)| self.can_start(&waiting.offer));
        let rank = |(key, waiting): &(WaitKey, &queue::Waiting)| {
            let running = self.running_by_caller.get(&waiting.offer.caller).copied();
            (running.unwrap_or(0), self.queue.turn_at(*key))
        };
        startable.min_by_key(rank).map(|(key, _)| key)
    }

    fn refuse(&self, reason: RefusalReason, route: usize) -> AdmissionDecision {
        AdmissionDecision::Refused(self.refusal(reason, route))
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
