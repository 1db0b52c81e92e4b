//! To which of a service's gates a request goes.
//!
//! The pattern is load that shifts in milliseconds while news of it is a request old: everybody who
//! sends to the gate that looked best fills it, and a target that its neighbours slow down looks
//! idle until its answers are late. So an entry compares a few gates drawn at random by the time in
//! which they should answer, with what it sent itself counted in, and asks the first ones for a slot
//! at once only: a gate that has none says so within a network round trip, with its load, and the
//! request goes on. Only the last one asked may let it wait.

mod gate;

use std::time::{Duration, Instant};

use rand::{Rng, seq::IteratorRandom};
use slotmap::{SlotMap, new_key_type};
use yuccarack_config::decisions::Decisions;

use self::gate::Gate;
pub use self::gate::{GateAttemptOutcome, GateLoad};

new_key_type! {
    /// A gate at one entry.
    pub struct GateKey;
}

/// Gates that are compared for one try; a few are enough to miss the slow ones, and with all of
/// them every entry would pick the same one.
pub const CANDIDATES_COMPARED: usize = 4;

/// Tries that ask for a slot at once only, before one may wait.
pub const ATTEMPTS_WITHOUT_WAIT: usize = 2;

/// Most gates that one request is offered to: each costs a round trip, and after as many the whole
/// service is full or away.
pub const ATTEMPTS_MAX: usize = 4;

/// What a gate of another failure domain has to gain, in ms of time until its answer.
///
/// A round trip between domains takes 1 to 3 ms, and bytes between them are paid for: 5 kB cost as
/// much as 6 % of an answer in time. The table in docs/POLICY.md has the values that were tried.
pub const REMOTE_DOMAIN_COST: Duration = Duration::from_millis(150);

/// How much longer a gate counts as taking that fails always; one in ten costs as much as a work
/// time of a fifth.
const FAILURE_COST: f64 = 2.0;

/// What a gate said to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateReply {
    /// It has no slot at once.
    NoFreeSlot,
    /// It has no place to wait either.
    NoQueueSpace,
    /// It takes no work, or its target failed.
    Unavailable,
}

/// Gates that one request was offered to.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    attempted: Vec<GateKey>,
    /// Those that need not be asked again.
    exhausted: Vec<GateKey>,
    /// Whether one of them takes work, though not this request now.
    has_serving_gate: bool,
    /// Those that may not get the request, however free they are.
    excluded: Vec<GateKey>,
}

impl AttemptHistory {
    /// Gates that were asked, each as often as it was.
    pub fn count(&self) -> usize {
        self.attempted.len()
    }

    /// Names those that may not get the request, in place of those named before.
    pub fn set_excluded(&mut self, barred: Vec<GateKey>) {
        self.excluded = barred;
    }

    /// Notes what a gate said.
    pub fn record(&mut self, gate: GateKey, said: GateReply) {
        self.attempted.push(gate);
        match said {
            GateReply::NoFreeSlot => self.has_serving_gate = true,
            GateReply::NoQueueSpace => {
                self.has_serving_gate = true;
                self.exhausted.push(gate);
            }
            GateReply::Unavailable => self.exhausted.push(gate),
        }
    }
}

/// Part by which gates may differ and count as alike, so that a hundred entries that know the same
/// of two gates don't all take the first.
const COST_JITTER: f64 = 0.1;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The gate.
    pub gate: GateKey,
    /// Whether it may wait there.
    pub may_wait: bool,
}

/// Chooses for one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    gates: SlotMap<GateKey, Gate>,
    decisions: Decisions,
}

impl Placement {
    /// Starts without gates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides by these.
    pub fn with_decisions(mut self, decisions: Decisions) -> Self {
        self.decisions = decisions;
        self
    }

    /// Takes a gate in.
    pub fn add(&mut self, is_local: bool) -> GateKey {
        self.gates.insert(Gate::new(is_local))
    }

    /// Leaves a gate out for good.
    pub fn remove(&mut self, key: GateKey) {
        self.gates.remove(key);
    }

    /// Forgets that a gate was away.
    pub fn mark_reachable(&mut self, key: GateKey) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.mark_reachable();
        }
    }

    /// Chooses a gate for a request that was `asked` for elsewhere before; none when there is no
    /// other one.
    pub fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        asked: &AttemptHistory,
        mean_work: Duration,
    ) -> Option<PlacementChoice> {
        let allowed = || self.gates.iter().filter(|(key, _)| !asked.excluded.contains(key));
        let here = || allowed().filter(|(_, gate)| !gate.is_unavailable(now));
        let unasked = || here().filter(|(key, _)| !asked.attempted.contains(key));
        if asked.attempted.len() < ATTEMPTS_WITHOUT_WAIT
            && let Some(gate) = self.best_candidate(now, unasked(), rng, mean_work)
        {
            let may_wait = here().count() == 1 || self.is_known_full(now, gate);
            return Some(PlacementChoice { gate, may_wait });
        }
        if asked.attempted.len() >= ATTEMPTS_MAX {
            return None;
        }
        let unwaited = here().filter(|(key, _)| !asked.exhausted.contains(key));
        if let Some(gate) = self.best_candidate(now, unwaited, rng, mean_work) {
            return Some(PlacementChoice { gate, may_wait: true });
        }
        if asked.has_serving_gate {
            // Those that are away would cost time, and what is known is final.
            return None;
        }
        // All that is left may be away; asking one of them is how it is found out, those that can
        // be reached first.
        let away = allowed()
            .filter(|(key, gate)| gate.is_unavailable(now) && !asked.attempted.contains(key));
        let reached = away.clone().filter(|(_, gate)| !gate.is_unreachable);
        let gate = self.best_candidate(now, reached, rng, mean_work);
        let gate = gate.or_else(|| self.best_candidate(now, away, rng, mean_work))?;
        Some(PlacementChoice { gate, may_wait: true })
    }

    /// The best of a few gates drawn from `candidates`.
    fn best_candidate<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = (GateKey, &'a Gate)>,
        rng: &mut impl Rng,
        mean_work: Duration,
    ) -> Option<GateKey> {
        let drawn = candidates.choose_multiple(rng, CANDIDATES_COMPARED);
        let mut blurred = |gate: &Gate| {
            self.cost(gate, now, mean_work).mul_f64(rng.random_range(1.0..1.0 + COST_JITTER))
        };
        let costs = drawn.into_iter().map(|(key, gate)| (blurred(gate), key));
        costs.min_by_key(|(cost, _)| *cost).map(|(_, key)| key)
    }

    /// Gates to which no connection could be made.
    pub fn unreachable_gates(&self) -> impl Iterator<Item = GateKey> {
        self.gates.iter().filter(|(_, gate)| gate.is_unreachable).map(|(key, _)| key)
    }

    /// Notes that a request goes out.
    pub fn record_attempt(&mut self, key: GateKey) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_attempt();
        }
    }

    /// Notes how a try ended, once for each [`Placement::sent`].
    pub fn record_outcome(&mut self, now: Instant, key: GateKey, end: GateAttemptOutcome) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_outcome(now, end);
        }
    }

    /// Notes what a gate tells of its load.
    pub fn record_load(&mut self, now: Instant, key: GateKey, load: GateLoad) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.record_load(now, load);
        }
    }

    /// Whether the best gate is known to have no slot: then none has, and asking without leave to
    /// wait would cost a round trip for nothing.
    fn is_known_full(&self, now: Instant, key: GateKey) -> bool {
        self.gates.get(key).is_some_and(|gate| gate.is_load_fresh(now) && gate.excess(now) > 0.0)
    }

    fn cost(&self, gate: &Gate, now: Instant, mean_work: Duration) -> Duration {
        let expected = gate
            .expected_response_time(now, mean_work)
            .mul_f64(1.0 + FAILURE_COST * gate.failure_share());
        if gate.is_local || !self.decisions.home_first {
            expected
        } else {
            expected + REMOTE_DOMAIN_COST
        }
    }
}
