//! Choice of the gate that a request is sent to.
//!
//! Used for routed calls.
//!
//! Load shifts within milliseconds, while a report of it is as old as a request. If every entry
//! sent to the gate that last looked best, that gate would fill up, and a target slowed down by
//! other load on its machine looks idle until its responses are late. So an entry compares a few
//! gates drawn at random by their expected response time, including what it sent itself. The first
//! attempts ask for a free slot only: a gate without one says so within a network round trip,
//! together with its load, and the request moves on. Later attempts may be queued, and so may the
//! first ones when no other gate is available or the chosen gate is known to be full.

mod gate;
mod link;
mod request;

use std::time::{Duration, Instant};

use rand::{Rng, seq::IteratorRandom};
use slotmap::{SlotMap, new_key_type};
use yuccarack_config::decisions::FeatureSwitches;

use self::gate::Gate;
pub use self::{
    gate::{GateAttemptOutcome, GateLoad},
    link::LinkReport,
    request::{ExpectedRequest, REMOTE_PENALTY},
};

new_key_type! {
    /// Key of a gate at one entry.
    pub struct GateKey;
}

/// Gates compared for one attempt. A few are enough to avoid the slow ones; with all of them every
/// entry would choose the same gate.
pub const CANDIDATES_COMPARED: usize = 4;

/// Attempts that ask for a free slot only, before a gate may queue the request.
pub const ATTEMPTS_WITHOUT_WAIT: usize = 2;

/// Most gates that one request is offered to. Each costs a round trip, and after as many the whole
/// service is full or unavailable.
pub const ATTEMPTS_MAX: usize = 4;

/// Factor on the share of failures in a gate's cost; one failure in ten counts as much as a fifth
/// of a service time.
const FAILURE_COST: f64 = 2.0;

/// A gate's reply to a request that it doesn't answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateReply {
    /// No slot is free.
    NoFreeSlot,
    /// No slot is free, and the request can't be queued either.
    NoQueueSpace,
    /// The gate takes no requests, or its target failed.
    Unavailable,
}

/// Gates that one request has been offered to.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    attempted: Vec<GateKey>,
    /// Gates that need not be tried again.
    exhausted: Vec<GateKey>,
    /// Whether one of the gates takes requests, though not this one now.
    has_serving_gate: bool,
    /// Gates that must not get the request, whatever their load.
    excluded: Vec<GateKey>,
}

impl AttemptHistory {
    /// Returns the number of attempts; a gate counts as often as it was tried.
    pub fn count(&self) -> usize {
        self.attempted.len()
    }

    /// Replaces the set of gates that must not get the request.
    pub fn set_excluded(&mut self, excluded: Vec<GateKey>) {
        self.excluded = excluded;
    }

    /// Records a gate's reply.
    pub fn record(&mut self, gate: GateKey, reply: GateReply) {
        self.attempted.push(gate);
        match reply {
            GateReply::NoFreeSlot => self.has_serving_gate = true,
            GateReply::NoQueueSpace => {
                self.has_serving_gate = true;
                self.exhausted.push(gate);
            }
            GateReply::Unavailable => self.exhausted.push(gate),
        }
    }
}

/// Share by which costs may differ and still count as equal, so that a hundred entries with the
/// same information on two gates don't all choose the first.
const COST_JITTER: f64 = 0.1;

/// Gate chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The gate.
    pub gate: GateKey,
    /// Whether the gate may queue the request.
    pub may_wait: bool,
}

/// Chooses gates for the requests to one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    gates: SlotMap<GateKey, Gate>,
    decisions: FeatureSwitches,
}

impl Placement {
    /// Creates a placement without gates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets which of the optional decisions are in use.
    pub fn with_decisions(mut self, decisions: FeatureSwitches) -> Self {
        self.decisions = decisions;
        self
    }

    /// Adds a gate; `is_local` tells whether it is in the entry's own failure domain.
    pub fn add(&mut self, is_local: bool) -> GateKey {
        self.gates.insert(Gate::new(is_local))
    }

    /// Removes a gate for good.
    pub fn remove(&mut self, key: GateKey) {
        self.gates.remove(key);
    }

    /// Clears the unavailable and unreachable states of a gate after a successful connection or a
    /// changed row of its daemon.
    pub fn mark_reachable(&mut self, key: GateKey) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.mark_reachable();
        }
    }

    /// Chooses a gate for the next attempt of a request, given its `history`. Returns `None` when
    /// no other gate is worth an attempt. `request` is what is expected of it, or just its mean service
    /// time.
    pub fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        history: &AttemptHistory,
        request: impl Into<ExpectedRequest>,
    ) -> Option<PlacementChoice> {
        let request = request.into();
        let allowed = || self.gates.iter().filter(|(key, _)| !history.excluded.contains(key));
        let available = || allowed().filter(|(_, gate)| !gate.is_unavailable(now));
        let untried = || available().filter(|(key, _)| !history.attempted.contains(key));
        // A gate whose rate limit has no room now would only refuse a request that may not wait.
        let open = untried().filter(|(_, gate)| gate.rate_limit_wait(now).is_zero());
        if history.attempted.len() < ATTEMPTS_WITHOUT_WAIT
            && let Some(gate) = self.best_candidate(now, open, rng, request)
        {
            let attempted = available().filter(|(key, _)| {
                history.attempted.contains(key) && !history.exhausted.contains(key)
            });
            if request.has_long_response()
                && let Some(waiting) = self.best_candidate(now, attempted, rng, request)
                && self.cost_of(waiting, now, request) < self.cost_of(gate, now, request)
            {
                // The only other gates are in other failure domains, which costs more than a wait.
                return Some(PlacementChoice { gate: waiting, may_wait: true });
            }
            let may_wait = available().count() == 1 || self.is_known_full(now, gate);
            return Some(PlacementChoice { gate, may_wait });
        }
        if history.attempted.len() >= ATTEMPTS_MAX {
            return None;
        }
        let unexhausted = available().filter(|(key, _)| !history.exhausted.contains(key));
        if let Some(gate) = self.best_candidate(now, unexhausted, rng, request) {
            return Some(PlacementChoice { gate, may_wait: true });
        }
        if history.has_serving_gate {
            // Unavailable gates would cost time, and the replies of the others won't change.
            return None;
        }
        // All untried gates are marked as unavailable; only an attempt can show whether they still
        // are. Those that could be connected to go first.
        let unavailable = allowed()
            .filter(|(key, gate)| gate.is_unavailable(now) && !history.attempted.contains(key));
        let reachable = unavailable.clone().filter(|(_, gate)| !gate.is_unreachable);
        let gate = self.best_candidate(now, reachable, rng, request);
        let gate = gate.or_else(|| self.best_candidate(now, unavailable, rng, request))?;
        Some(PlacementChoice { gate, may_wait: true })
    }

    /// Returns the gate of least cost among a few drawn from `candidates`.
    fn best_candidate<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = (GateKey, &'a Gate)>,
        rng: &mut impl Rng,
        request: ExpectedRequest,
    ) -> Option<GateKey> {
        let drawn = candidates.choose_multiple(rng, CANDIDATES_COMPARED);
        let mut jittered_cost = |gate: &Gate| {
            self.cost(gate, now, request).mul_f64(rng.random_range(1.0..1.0 + COST_JITTER))
        };
        let costs = drawn.into_iter().map(|(key, gate)| (jittered_cost(gate), key));
        costs.min_by_key(|(cost, _)| *cost).map(|(_, key)| key)
    }

    /// Returns the gates to which no connection could be made.
    pub fn unreachable_gates(&self) -> impl Iterator<Item = GateKey> {
        self.gates.iter().filter(|(_, gate)| gate.is_unreachable).map(|(key, _)| key)
    }

    /// Records that a request is sent to a gate.
    pub fn record_attempt(&mut self, key: GateKey) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_attempt();
        }
    }

    /// Records that the response to a request sent to a gate is expected to have `bytes`.
    pub fn record_expected_response(&mut self, key: GateKey, bytes: u64) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_expected_response(bytes);
        }
    }

    /// Records the outcome of an attempt, once for each [`Placement::record_attempt`].
    pub fn record_outcome(&mut self, now: Instant, key: GateKey, outcome: GateAttemptOutcome) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_outcome(now, outcome);
        }
    }

    /// Records a gate's load report.
    pub fn record_load(&mut self, now: Instant, key: GateKey, load: GateLoad) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_load(now, load);
        }
    }

    /// Records the state of its link that a gate reports; `None` if it doesn't pace its responses.
    pub fn record_link(&mut self, now: Instant, key: GateKey, report: Option<LinkReport>) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_link(now, report);
        }
    }

    /// Returns whether the chosen gate is known to have no free slot. It is the best of a few
    /// random ones, so the others are probably full too, and an attempt that may not wait would
    /// probably cost a round trip without result.
    fn is_known_full(&self, now: Instant, key: GateKey) -> bool {
        self.gates.get(key).is_some_and(|gate| gate.is_load_fresh(now) && gate.excess(now) > 0.0)
    }

    fn cost_of(&self, key: GateKey, now: Instant, request: ExpectedRequest) -> Option<Duration> {
        self.gates.get(key).map(|gate| self.cost(gate, now, request))
    }

    fn cost(&self, gate: &Gate, now: Instant, request: ExpectedRequest) -> Duration {
        let served = gate
            .expected_response_time(now, request.mean_service_time)
            .mul_f64(1.0 + FAILURE_COST * gate.failure_share());
        let link_delay =
            request.response_bytes.map_or(Duration::ZERO, |bytes| gate.link_delay(now, bytes));
        let expected = served + link_delay;
        if gate.is_local || !self.decisions.home_first {
            expected
        } else {
            expected + request.remote_penalty()
        }
    }
}
