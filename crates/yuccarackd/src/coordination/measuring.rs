//! Looks at the own target's load, within the budget that its rules allow.
//!
//! Only the gate beside a target asks it, one look at a time; all others hear of the load with the
//! answers, which costs the target nothing.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio_util::sync::CancellationToken;
use yuccarack_config::rules::MeasuringRules;
use yuccarack_policy::{
    hidden_load::HiddenLoad,
    measuring::{MeasurementPermit, MeasuringBudget, WINDOW},
};

use super::gate::{Gate, target::GateTarget};
use crate::{
    state::counters::Counters,
    transport::load_look::{Look, look},
};

/// Wait for a target that can be asked.
const NO_TARGET_WAIT: Duration = Duration::from_secs(1);

/// Measures one target.
pub struct Measuring {
    gate: Arc<Gate>,
    counters: Counters,
    rules: MeasuringRules,
    budget: MeasuringBudget,
    hidden: HiddenLoad,
}

impl Measuring {
    /// Starts with an unspent budget.
    pub fn new(gate: Arc<Gate>, counters: Counters) -> Self {
        let rules = MeasuringRules::default();
        let budget = MeasuringBudget::new(&rules);
        Self { gate, counters, rules, budget, hidden: HiddenLoad::new() }
    }

    /// Looks again and again until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = self.step() => {}
                () = stop.cancelled() => return,
            }
        }
    }

    async fn step(&mut self) {
        let Some(target) = self.gate.target() else {
            tokio::time::sleep(NO_TARGET_WAIT).await;
            return;
        };
        self.follow_rules(&target).await;
        let Some(path) = target.view.announcement.load_path.clone() else {
            tokio::time::sleep(NO_TARGET_WAIT).await;
            return;
        };
        let now = Instant::now();
        match self.budget.try_start(now) {
            Some(permit) => self.look(&target, &path, permit).await,
            None => {
                let next_at = self.budget.next_at(now).max(now + Duration::from_millis(1));
                tokio::time::sleep_until(next_at.into()).await;
            }
        }
    }

    /// A changed budget starts unspent, so what the old one allowed has to leave the window first.
    async fn follow_rules(&mut self, target: &GateTarget) {
        if self.rules == target.rules.measuring {
            return;
        }
        self.rules = target.rules.measuring.clone();
        self.budget = MeasuringBudget::new(&self.rules);
        tokio::time::sleep(WINDOW).await;
    }

    async fn look(&mut self, target: &GateTarget, path: &str, permit: MeasurementPermit) {
        let before = self.budget.total_cost();
        let handed_over_before = target.slots.in_flight();
        let seen = look(target.address(), path, permit.bytes_max, permit.give_up_at).await;
        self.budget.record_end(Instant::now(), seen.bytes);
        let handed_over = handed_over_before.max(target.slots.in_flight());
        self.note(target, &seen, handed_over);
        let spent = self.budget.total_cost();
        self.counters.add("measuring.requests");
        self.counters.add_many("measuring.bytes", u64::from(seen.bytes));
        self.counters.add_many("measuring.time_us", spent.time_us - before.time_us);
    }

    fn note(&mut self, target: &GateTarget, seen: &Look, handed_over: usize) {
        match seen.load {
            Some(load) => {
                let handed_over = u16::try_from(handed_over).unwrap_or(u16::MAX);
                self.hidden.record(load.in_flight, handed_over);
            }
            None => {
                self.counters.add("measuring.no_answer");
                self.hidden.clear();
            }
        }
        let slots = target.view.announcement.slots;
        let usable = self.hidden.usable_slots(slots);
        if usable < slots {
            self.counters.add("measuring.slots_lowered");
        }
        target.limit_slots(usable);
    }
}
