//! Probes the load of the own target within the budget that its rules allow.
//!
//! Only the gate beside a target probes it, one probe at a time. All others get the load with the
//! responses, which costs the target nothing.

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
    transport::load_probe::{LoadProbe, probe_load},
};

/// Delay before the next check while there is no target that can be probed.
const NO_TARGET_WAIT: Duration = Duration::from_secs(1);

/// Probes the load of one target.
pub struct LoadProber {
    gate: Arc<Gate>,
    counters: Counters,
    rules: MeasuringRules,
    budget: MeasuringBudget,
    /// Load that didn't come through this gate: running requests that the target reports beyond
    /// those dispatched here. It lowers the usable slots.
    hidden: HiddenLoad,
}

impl LoadProber {
    /// Creates a prober with an unspent budget.
    pub fn new(gate: Arc<Gate>, counters: Counters) -> Self {
        let rules = MeasuringRules::default();
        let budget = MeasuringBudget::new(&rules);
        Self { gate, counters, rules, budget, hidden: HiddenLoad::new() }
    }

    /// Probes the target until `stop`.
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
        self.apply_rules(&target).await;
        let Some(path) = target.view.announcement.load_path.clone() else {
            tokio::time::sleep(NO_TARGET_WAIT).await;
            return;
        };
        let now = Instant::now();
        match self.budget.try_start(now) {
            Some(permit) => self.probe(&target, &path, permit).await,
            None => {
                let next_at = self.budget.next_at(now).max(now + Duration::from_millis(1));
                tokio::time::sleep_until(next_at.into()).await;
            }
        }
    }

    /// Adopts changed rules. A new budget starts unspent, so the cost under the old one must leave
    /// the window first.
    async fn apply_rules(&mut self, target: &GateTarget) {
        if self.rules == target.rules.measuring {
            return;
        }
        self.rules = target.rules.measuring.clone();
        self.budget = MeasuringBudget::new(&self.rules);
        tokio::time::sleep(WINDOW).await;
    }

    async fn probe(&mut self, target: &GateTarget, path: &str, permit: MeasurementPermit) {
        let before = self.budget.total_cost();
        let dispatched_before = target.slots.in_flight();
        let probe = probe_load(target.address(), path, permit.bytes_max, permit.give_up_at).await;
        self.budget.record_end(Instant::now(), probe.bytes);
        let dispatched = dispatched_before.max(target.slots.in_flight());
        self.record(target, &probe, dispatched);
        let spent = self.budget.total_cost();
        self.counters.add("measuring.requests");
        self.counters.add_many("measuring.bytes", u64::from(probe.bytes));
        self.counters.add_many("measuring.time_us", spent.time_us - before.time_us);
    }

    fn record(&mut self, target: &GateTarget, probe: &LoadProbe, dispatched: usize) {
        match probe.load {
            Some(load) => {
                let dispatched = u16::try_from(dispatched).unwrap_or(u16::MAX);
                self.hidden.record(load.in_flight, dispatched);
            }
            None => {
                self.counters.add("measuring.no_answer");
                self.hidden.clear();
            }
        }
        let slots = target.view.announcement.slots;
        let usable = self.hidden.slots_without_hidden_load(slots);
        if usable < slots {
            self.counters.add("measuring.slots_lowered");
        }
        target.limit_slots(usable);
    }
}
