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
pub use self::gate::{GateLoad, TryEnd};

new_key_type! {
    /// A gate at one entry.
    pub struct GateKey;
}

/// Gates that are compared for one try; a few are enough to miss the slow ones, and with all of
/// them every entry would pick the same one.
pub const COMPARED: usize = 4;

/// Tries that ask for a slot at once only, before one may wait.
pub const TRIES_WITHOUT_WAIT: usize = 2;

/// Most gates that one request is offered to: each costs a round trip, and after as many the whole
/// service is full or away.
pub const TRIES_MAX: usize = 4;

/// What a gate of another failure domain has to gain, in ms of time until its answer.
///
/// A round trip between domains takes 1 to 3 ms, and bytes between them are paid for: 5 kB cost as
/// much as 6 % of an answer in time. The table in docs/POLICY.md has the values that were tried.
pub const FAR_COST: Duration = Duration::from_millis(150);

/// How much longer a gate counts as taking that fails always; one in ten costs as much as a work
/// time of a fifth.
const FAILURE_COST: f64 = 2.0;

/// What a gate said to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It has no slot at once.
    NoSlot,
    /// It has no place to wait either.
    NoPlace,
    /// It takes no work, or its target failed.
    NotHere,
}

/// Gates that one request was offered to.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    all: Vec<GateKey>,
    /// Those that need not be asked again.
    done: Vec<GateKey>,
    /// Whether one of them takes work, though not this request now.
    is_served: bool,
    /// Those that may not get the request, however free they are.
    barred: Vec<GateKey>,
}

impl Asked {
    /// Gates that were asked, each as often as it was.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Names those that may not get the request, in place of those named before.
    pub fn bar(&mut self, barred: Vec<GateKey>) {
        self.barred = barred;
    }

    /// Notes what a gate said.
    pub fn note(&mut self, gate: GateKey, said: Said) {
        self.all.push(gate);
        match said {
            Said::NoSlot => self.is_served = true,
            Said::NoPlace => {
                self.is_served = true;
                self.done.push(gate);
            }
            Said::NotHere => self.done.push(gate),
        }
    }
}

/// Part by which gates may differ and count as alike, so that a hundred entries that know the same
/// of two gates don't all take the first.
const BLUR: f64 = 0.1;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed {
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
    pub fn add(&mut self, is_near: bool) -> GateKey {
        self.gates.insert(Gate::new(is_near))
    }

    /// Leaves a gate out for good.
    pub fn remove(&mut self, key: GateKey) {
        self.gates.remove(key);
    }

    /// Forgets that a gate was away.
    pub fn renewed(&mut self, key: GateKey) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.back();
        }
    }

    /// Chooses a gate for a request that was `asked` for elsewhere before; none when there is no
    /// other one.
    pub fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        asked: &Asked,
        mean_work: Duration,
    ) -> Option<Placed> {
        let allowed = || self.gates.iter().filter(|(key, _)| !asked.barred.contains(key));
        let here = || allowed().filter(|(_, gate)| !gate.is_away(now));
        let unasked = || here().filter(|(key, _)| !asked.all.contains(key));
        if asked.all.len() < TRIES_WITHOUT_WAIT
            && let Some(gate) = self.best(now, unasked(), rng, mean_work)
        {
            let may_wait = here().count() == 1 || self.is_full(now, gate);
            return Some(Placed { gate, may_wait });
        }
        if asked.all.len() >= TRIES_MAX {
            return None;
        }
        let unwaited = here().filter(|(key, _)| !asked.done.contains(key));
        if let Some(gate) = self.best(now, unwaited, rng, mean_work) {
            return Some(Placed { gate, may_wait: true });
        }
        if asked.is_served {
            // Those that are away would cost time, and what is known is final.
            return None;
        }
        // All that is left may be away; asking one of them is how it is found out, those that can
        // be reached first.
        let away = allowed().filter(|(key, gate)| gate.is_away(now) && !asked.all.contains(key));
        let reached = away.clone().filter(|(_, gate)| !gate.is_unreachable);
        let gate = self.best(now, reached, rng, mean_work);
        let gate = gate.or_else(|| self.best(now, away, rng, mean_work))?;
        Some(Placed { gate, may_wait: true })
    }

    /// The best of a few gates drawn from `candidates`.
    fn best<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = (GateKey, &'a Gate)>,
        rng: &mut impl Rng,
        mean_work: Duration,
    ) -> Option<GateKey> {
        let drawn = candidates.choose_multiple(rng, COMPARED);
        let mut blurred = |gate: &Gate| {
            self.cost(gate, now, mean_work).mul_f64(rng.random_range(1.0..1.0 + BLUR))
        };
        let costs = drawn.into_iter().map(|(key, gate)| (blurred(gate), key));
        costs.min_by_key(|(cost, _)| *cost).map(|(_, key)| key)
    }

    /// Gates to which no connection could be made.
    pub fn unreachable(&self) -> impl Iterator<Item = GateKey> {
        self.gates.iter().filter(|(_, gate)| gate.is_unreachable).map(|(key, _)| key)
    }

    /// Notes that a request goes out.
    pub fn sent(&mut self, key: GateKey) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.sent();
        }
    }

    /// Notes how a try ended, once for each [`Placement::sent`].
    pub fn ended(&mut self, now: Instant, key: GateKey, end: TryEnd) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.ended(now, end);
        }
    }

    /// Notes what a gate tells of its load.
    pub fn told(&mut self, now: Instant, key: GateKey, load: GateLoad) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.told(now, load);
        }
    }

    /// Whether the best gate is known to have no slot: then none has, and asking without leave to
    /// wait would cost a round trip for nothing.
    fn is_full(&self, now: Instant, key: GateKey) -> bool {
        self.gates.get(key).is_some_and(|gate| gate.is_known(now) && gate.excess(now) > 0.0)
    }

    fn cost(&self, gate: &Gate, now: Instant, mean_work: Duration) -> Duration {
        let expected = gate.expected(now, mean_work).mul_f64(1.0 + FAILURE_COST * gate.failures());
        if gate.is_near || !self.decisions.home_first { expected } else { expected + FAR_COST }
    }
}
