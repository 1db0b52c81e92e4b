//! Admission control of a gate: which requests run, wait or are rejected.
//!
//! Used for calls by service.
//!
//! It is made for saturation, when more work arrives than the target can do. Admitting everything
//! makes every response late, as the target works on requests whose callers have given up; a long
//! queue does the same one step earlier; and in order of arrival a few callers or one slow route
//! take everything. So the gate runs at most as many requests as the target answers well, queues
//! only what can still be answered in time, serves callers in turn, keeps slots free from long
//! routes, and rejects the rest at once with the time after which there is room.

mod limit;
mod offer;
mod queue;
mod service_time;
mod stall;
mod waiting;

use std::{collections::HashMap, time::Instant};

use slotmap::{SlotMap, new_key_type};
use yuccarack_config::load::GateLoadReport;

use self::{
    limit::ConcurrencyLimit,
    queue::Queue,
    service_time::ServiceTimes,
    stall::{EVICTION_THRESHOLD, Progress, STALL_THRESHOLD},
};
pub use self::{
    offer::{
        AdmissionConfig, AdmissionDecision, Offer, Refusal, RefusalReason, RouteLimits, RunOutcome,
        WaitOutcome,
    },
    waiting::{RETRY_AFTER_MAX, STANDING_AFTER, STANDING_WAIT_SERVICES},
};

new_key_type! {
    /// Key of a running request; it must be released exactly once.
    pub struct RunKey;
    /// Key of a waiting request; its wait is ended by `poll` or `cancel_wait`.
    pub struct WaitKey;
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    caller: u64,
    route: usize,
    is_isolated: bool,
    started_at: Instant,
    was_lightly_loaded: bool,
    /// Whether a long request or response body is being transferred, so that no response is due.
    is_streaming: bool,
}

/// Admission control of one gate and its target.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    limit: ConcurrencyLimit,
    running: SlotMap<RunKey, RunningRequest>,
    running_by_caller: HashMap<u64, u16>,
    running_by_route: Vec<u16>,
    is_isolated_request_running: bool,
    queue: Queue,
    service_times: ServiceTimes,
    progress: Progress,
    finished_waits: Vec<WaitOutcome>,
    is_draining: bool,
    has_alternatives: bool,
}

impl Admission {
    /// Creates the admission control of an idle target.
    pub fn new(now: Instant, config: AdmissionConfig) -> Self {
        let mut admission = Self {
            limit: ConcurrencyLimit::new(now, config.slots),
            running: SlotMap::with_key(),
            running_by_caller: HashMap::new(),
            running_by_route: Vec::new(),
            is_isolated_request_running: false,
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

    /// Applies changed rules or slots; running and waiting requests stay.
    pub fn configure(&mut self, now: Instant, config: AdmissionConfig) {
        let routes = config.routes.len().max(self.running_by_route.len());
        self.running_by_route.resize(routes, 0);
        self.limit.set_slots(now, config.slots);
        self.config = config;
        self.start_waiting(now);
    }

    /// Sets whether other targets of the service take requests.
    ///
    /// When the only target of a service stalls for a moment, its gate must not reject requests
    /// that only it can serve; a short wait is enough.
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
        self.refuse_expired(now);
        let overdue = self.overdue_responses(now);
        if overdue >= EVICTION_THRESHOLD {
            self.refuse_waiting(RefusalReason::Stalled);
        }
        if overdue > STALL_THRESHOLD {
            return self.refuse(RefusalReason::Stalled, offer.route);
        }
        if self.can_start(&offer) && !self.queue.has_isolated_request() {
            return AdmissionDecision::Run(self.start(now, offer));
        }
        match self.wait_limit(now, &offer) {
            Ok(wait_limit) => AdmissionDecision::Wait(self.enqueue(now, offer, wait_limit)),
            Err(reason) => self.refuse(reason, offer.route),
        }
    }

    /// Ends a run, which may start waiting requests; `poll` returns these.
    pub fn release(&mut self, now: Instant, key: RunKey, outcome: RunOutcome) {
        let Some(run) = self.running.remove(key) else { return };
        let was_in_flight = self.running.len() + 1;
        self.remove_run(run);
        if outcome != RunOutcome::Cancelled {
            self.progress.record(now);
        }
        match outcome {
            RunOutcome::Completed { service_time } => {
                let slowdown =
                    self.service_times.record(now, run.route, service_time, run.was_lightly_loaded);
                self.limit.record_response(now, slowdown, was_in_flight);
            }
            RunOutcome::Failed { service_time } => self.limit.record_failure(now, service_time),
            RunOutcome::Shed => self.limit.record_shed(now, was_in_flight),
            RunOutcome::Cancelled => {}
        }
        self.start_waiting(now);
    }

    /// Records that a part of a long request or response body has been transferred.
    ///
    /// While a dozen long uploads run, no response is due for seconds, and the gate must not take
    /// their target for stalled and reject new requests. So a streaming run owes no response, and
    /// its progress shows that the target is alive.
    pub fn record_progress(&mut self, now: Instant, key: RunKey) {
        if let Some(run) = self.running.get_mut(key) {
            run.is_streaming = true;
        }
        self.progress.record(now);
    }

    /// Withdraws a waiting request whose caller has disconnected.
    ///
    /// The caller may disconnect between the decision to run the request and the `poll` that
    /// returns it. The run is then released here, since nobody else knows of it and its slot would
    /// be lost for good.
    pub fn cancel_wait(&mut self, now: Instant, key: WaitKey) {
        self.queue.remove(key);
        let position = self.finished_waits.iter().position(|result| result.wait_key() == key);
        if let Some(index) = position
            && let WaitOutcome::Run(_, run) = self.finished_waits.remove(index)
        {
            self.release(now, run, RunOutcome::Cancelled);
            return;
        }
        self.start_waiting(now);
    }

    /// Updates the queue and returns the waits that have ended; each is returned once.
    pub fn poll(&mut self, now: Instant) -> Vec<WaitOutcome> {
        self.refuse_expired(now);
        self.start_waiting(now);
        std::mem::take(&mut self.finished_waits)
    }

    /// Returns when `poll` must be called next if nothing else happens before.
    pub fn next_wake(&self) -> Option<Instant> {
        self.queue.next_expiry()
    }

    /// Rejects all waiting and all new requests; running ones continue.
    pub fn drain(&mut self) {
        self.is_draining = true;
        self.refuse_waiting(RefusalReason::Draining);
    }

    /// Returns the gate's load, as reported with each response.
    pub fn load(&self) -> GateLoadReport {
        GateLoadReport {
            in_flight: saturate(self.running.len()),
            queued: saturate(self.queue.len()),
            limit: saturate(self.limit.get()),
            service_us: u32::try_from(self.service_times.mean().as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the number of running requests.
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
        if self.is_isolated_request_running || (offer.is_isolated && !self.running.is_empty()) {
            return false;
        }
        let route_running = self.running_by_route.get(offer.route).copied().unwrap_or(0);
        self.running.len() < self.limit.get()
            && usize::from(route_running) < self.route_slots(offer.route)
    }

    /// Returns how many responses were to be expected since the target's last progress, which tells
    /// whether it has stalled. Returns 0 while no other target could take the requests.
    ///
    /// When a target freezes or becomes ten times slower, its slots still look free and each
    /// request dispatched to it is stuck. A rejected request hasn't run and can go to another
    /// target.
    fn overdue_responses(&self, now: Instant) -> f64 {
        if !self.has_alternatives {
            return 0.0;
        }
        let awaiting_response = self.running.values().filter(|run| !run.is_streaming);
        let running =
            awaiting_response.map(|run| (run.started_at, self.service_times.usual(run.route)));
        self.progress.overdue_responses(now, running)
    }

    fn start(&mut self, now: Instant, offer: Offer) -> RunKey {
        let Offer { caller, route, is_isolated, .. } = offer;
        let was_lightly_loaded = self.limit.is_lightly_loaded(self.running.len() + 1);
        let run = RunningRequest {
            caller,
            route,
            is_isolated,
            started_at: now,
            was_lightly_loaded,
            is_streaming: false,
        };
        *self.running_by_caller.entry(run.caller).or_default() += 1;
        if let Some(route_running) = self.running_by_route.get_mut(run.route) {
            *route_running += 1;
        }
        self.is_isolated_request_running |= run.is_isolated;
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
        if run.is_isolated {
            self.is_isolated_request_running = false;
        }
    }

    /// Starts waiting requests while there is room.
    fn start_waiting(&mut self, now: Instant) {
        self.refuse_expired(now);
        while self.running.len() < self.limit.get() && !self.is_isolated_request_running {
            let Some(key) = self.next_to_start() else { return };
            let Some(waiting) = self.queue.remove(key) else { return };
            let run = self.start(now, waiting.offer);
            self.finished_waits.push(WaitOutcome::Run(key, run));
        }
    }

    /// Returns the waiting request to start next: callers with the fewest running requests go
    /// first, then the earliest virtual start time.
    fn next_to_start(&self) -> Option<WaitKey> {
        if let Some((key, waiting)) = self.queue.first_isolated_request() {
            return self.can_start(&waiting.offer).then_some(key);
        }
        let startable = self.queue.iter().filter(|(_, waiting)| self.can_start(&waiting.offer));
        let rank = |(key, waiting): &(WaitKey, &queue::Waiting)| {
            let running = self.running_by_caller.get(&waiting.offer.caller).copied();
            (running.unwrap_or(0), self.queue.virtual_start(*key))
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
