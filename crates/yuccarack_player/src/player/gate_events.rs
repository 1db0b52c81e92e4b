//! Handling of attempts at the gate and the target.

use yuccarack_config::load::GateLoadReport;
use yuccarack_policy::admission::{Offer, RunOutcome};

use super::{AttemptKey, Event, Player, link_delay};
use crate::{
    entry::AttemptResult,
    gate::{AttemptState, WaitEnd},
    tally::REPORT_BYTES,
    target::PlannedEnd,
};

impl Player<'_> {
    pub(super) fn reach_gate(&mut self, key: AttemptKey) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if attempt.state != AttemptState::InTransit {
            return;
        }
        let target = attempt.target;
        // The call may have ended meanwhile; then its cancellation is still on the way.
        let offer = match self.calls.get(attempt.call) {
            Some(call) => Offer {
                caller: call.caller,
                route: usize::from(call.is_long),
                deadline: call.deadline,
                is_isolated: false,
            },
            None => Offer { caller: 0, route: 0, deadline: now, is_isolated: false },
        };
        match self.gates[target].offer(now, key, offer) {
            Some(AttemptState::Running(run)) => self.start_run(key, AttemptState::Running(run)),
            Some(state) => self.attempts[key].state = state,
            None => self.return_to_entry(key, AttemptResult::Refused),
        }
        self.poll_gate(target);
    }

    fn start_run(&mut self, key: AttemptKey, state: AttemptState) {
        let now = self.clock.now();
        let attempt = &mut self.attempts[key];
        attempt.state = state;
        attempt.started_at = now;
        self.tally.runs += 1;
        let mut service_time = self.scenario.workload.mean;
        if let Some(call) = self.calls.get_mut(attempt.call) {
            call.runs += 1;
            self.tally.duplicates += u64::from(call.runs > 1);
            service_time = call.service_time;
        }
        match self.targets[attempt.target].start(now, service_time) {
            PlannedEnd::Response { at } => {
                self.clock.schedule(at, Event::RunEnd(key, AttemptResult::Answered))
            }
            PlannedEnd::Failure { at } => {
                self.clock.schedule(at, Event::RunEnd(key, AttemptResult::Failed))
            }
        }
    }

    pub(super) fn handle_run_end(&mut self, key: AttemptKey, result: AttemptResult) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if !matches!(attempt.state, AttemptState::Running(_)) {
            return;
        }
        let (target, service_time) = (attempt.target, now - attempt.started_at);
        let outcome = match result {
            AttemptResult::Answered => RunOutcome::Completed { service_time },
            _ => RunOutcome::Failed { service_time },
        };
        self.gates[target].remove(now, key, attempt.state, outcome);
        self.targets[target].finish_run();
        self.return_to_entry(key, result);
        self.poll_gate(target);
    }

    pub(super) fn poll_gate(&mut self, target: usize) {
        let now = self.clock.now();
        if self.targets[target].is_lost(now) {
            return;
        }
        for end in self.gates[target].poll(now) {
            match end {
                WaitEnd::Started(attempt, run) => {
                    self.start_run(attempt, AttemptState::Running(run))
                }
                WaitEnd::Refused(attempt) => self.return_to_entry(attempt, AttemptResult::Refused),
            }
        }
        let Some(wake) = self.gates[target].next_wake() else { return };
        if self.scheduled_wakes[target].is_none_or(|scheduled| wake < scheduled) {
            self.scheduled_wakes[target] = Some(wake);
            self.clock.schedule(wake, Event::Wake(target));
        }
    }

    fn return_to_entry(&mut self, key: AttemptKey, result: AttemptResult) {
        let attempt = &mut self.attempts[key];
        attempt.state = AttemptState::Returning;
        let target = &self.targets[attempt.target];
        let mut report = self.gates[attempt.target].load_report();
        if report.is_some() {
            self.tally.measuring_bytes += REPORT_BYTES;
        }
        if target.has_false_reports {
            report = report.map(|actual| GateLoadReport {
                in_flight: 0,
                queued: 0,
                limit: actual.limit,
                service_us: 1,
            });
        }
        let link_delay =
            link_delay(self.scenario, self.entries[attempt.entry].domain, target.domain);
        self.clock.schedule_after(link_delay, Event::ReturnToEntry(key, result, report));
    }

    pub(super) fn cancel_at_gate(&mut self, key: AttemptKey) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if attempt.state == AttemptState::Returning {
            return;
        }
        let (target, state) = (attempt.target, attempt.state);
        self.attempts.remove(key);
        self.gates[target].remove(now, key, state, RunOutcome::Cancelled);
        if matches!(state, AttemptState::Running(_)) {
            self.targets[target].finish_run();
        }
        self.poll_gate(target);
    }
}
