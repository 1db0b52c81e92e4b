//! What happens to an attempt at its target.

use yuccarack_config::load::LoadReport;
use yuccarack_policy::admission::{Offer, RunOutcome};

use super::{AttemptKey, Event, Player, link};
use crate::{
    entry::Back,
    gate::{Place, Step},
    outcome::REPORT_BYTES,
    target::Run,
};

impl Player<'_> {
    pub(super) fn reach_gate(&mut self, key: AttemptKey) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if attempt.place != Place::OnTheWay {
            return;
        }
        let target = attempt.target;
        // The call may have ended meanwhile; then the news of it is still under way.
        let offer = match self.calls.get(attempt.call) {
            Some(call) => Offer {
                caller: call.caller,
                route: usize::from(call.is_long),
                deadline: call.deadline,
                alone: false,
            },
            None => Offer { caller: 0, route: 0, deadline: now, alone: false },
        };
        match self.gates[target].offer(now, key, offer) {
            Some(Place::Running(run)) => self.start(key, Place::Running(run)),
            Some(place) => self.attempts[key].place = place,
            None => self.return_to_entry(key, Back::Refused),
        }
        self.poll_gate(target);
    }

    fn start(&mut self, key: AttemptKey, place: Place) {
        let now = self.clock.now();
        let attempt = &mut self.attempts[key];
        attempt.place = place;
        attempt.started_at = now;
        self.tally.runs += 1;
        let mut work = self.scenario.work.mean;
        if let Some(call) = self.calls.get_mut(attempt.call) {
            call.runs += 1;
            self.tally.duplicates += u64::from(call.runs > 1);
            work = call.work;
        }
        match self.targets[attempt.target].start(now, work) {
            Run::Answers { at } => self.clock.plan(at, Event::RunEnds(key, Back::Answered)),
            Run::Fails { at } => self.clock.plan(at, Event::RunEnds(key, Back::Failed)),
        }
    }

    pub(super) fn run_ends(&mut self, key: AttemptKey, back: Back) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if !matches!(attempt.place, Place::Running(_)) {
            return;
        }
        let (target, service_time) = (attempt.target, now - attempt.started_at);
        let end = match back {
            Back::Answered => RunOutcome::Completed { service_time },
            _ => RunOutcome::Failed { service_time },
        };
        self.gates[target].remove(now, key, attempt.place, end);
        self.targets[target].ended();
        self.return_to_entry(key, back);
        self.poll_gate(target);
    }

    pub(super) fn poll_gate(&mut self, target: usize) {
        let now = self.clock.now();
        if self.targets[target].is_gone(now) {
            return;
        }
        for step in self.gates[target].poll(now) {
            match step {
                Step::Runs(attempt, run) => self.start(attempt, Place::Running(run)),
                Step::Refused(attempt) => self.return_to_entry(attempt, Back::Refused),
            }
        }
        let Some(wake) = self.gates[target].next_wake() else { return };
        if self.wakes[target].is_none_or(|planned| wake < planned) {
            self.wakes[target] = Some(wake);
            self.clock.plan(wake, Event::Wake(target));
        }
    }

    fn return_to_entry(&mut self, key: AttemptKey, back: Back) {
        let attempt = &mut self.attempts[key];
        attempt.place = Place::Returning;
        let target = &self.targets[attempt.target];
        let mut report = self.gates[attempt.target].report();
        if report.is_some() {
            self.tally.measuring_bytes += REPORT_BYTES;
        }
        if target.lies {
            report = report.map(|honest| LoadReport {
                in_flight: 0,
                queued: 0,
                limit: honest.limit,
                service_us: 1,
            });
        }
        let link = link(self.scenario, self.entries[attempt.entry].domain, target.domain);
        self.clock.plan_after(link, Event::Return(key, back, report));
    }

    pub(super) fn cancel_at_gate(&mut self, key: AttemptKey) {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get(key) else { return };
        if attempt.place == Place::Returning {
            return;
        }
        let (target, place) = (attempt.target, attempt.place);
        self.attempts.remove(key);
        self.gates[target].remove(now, key, place, RunOutcome::Cancelled);
        if matches!(place, Place::Running(_)) {
            self.targets[target].ended();
        }
        self.poll_gate(target);
    }
}
