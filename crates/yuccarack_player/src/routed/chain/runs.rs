//! What gates and targets do.

use std::time::Duration;

use rand::Rng;
use yuccarack_policy::{
    placement::{AttemptHistory, GateAttemptOutcome},
    work_queue::{WorkOutcome, WorkRequest},
};

use super::{COLD_FACTOR, Chain, Event, FULL_FACTOR, FULL_SHARE, Request, WORK_SPREAD};
use crate::routed::{
    load::{KINDS, SLOTS},
    queue::{Ticket, Verdict},
};

impl Chain {
    pub(super) fn at_gate(&mut self, ticket: Ticket) {
        let request = &self.requests[ticket];
        let Some((gate, _)) = request.gate else { return };
        if request.has_ended {
            return self.told(ticket, GateAttemptOutcome::Cancelled);
        }
        if self.gates[gate].is_lost {
            let way = self.way(self.requests[ticket].entry, gate);
            return self.clock.plan_after(way, Event::Refused(ticket));
        }
        let kind = &KINDS[request.kind];
        let work = WorkRequest {
            kind: request.kind as u64,
            rank: kind.rank,
            soft_deadline: request.came_at + kind.aim,
            deadline: request.deadline,
            may_wait: request.may_wait,
        };
        let verdicts = self.gates[gate].queue.offer(self.clock.now(), ticket, work);
        self.follow(gate, verdicts);
    }

    pub(super) fn follow(&mut self, gate: usize, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Run(ticket) => self.run(ticket),
                Verdict::Refused(ticket) => {
                    let way = self.way(self.requests[ticket].entry, gate);
                    self.clock.plan_after(way, Event::Refused(ticket));
                }
            }
        }
        if let Some(at) = self.gates[gate].queue.next_wake(self.clock.now()) {
            self.clock.plan(at, Event::Wake(gate));
        }
    }

    /// A request has a slot: it makes its call first, and works when that is answered.
    pub(super) fn run(&mut self, ticket: Ticket) {
        let Some((gate, _)) = self.requests[ticket].gate else { return };
        self.requests[ticket].is_running = true;
        self.gates[gate].running += 1;
        self.credit.runs += 1;
        if self.crashes(gate) {
            return self.crash(gate);
        }
        let Request { kind, deadline, .. } = self.requests[ticket];
        let call = KINDS[kind].calls.filter(|(_, share)| self.rng.random_bool(*share));
        let Some((kind, _)) = call else {
            return self.clock.plan_after(Duration::ZERO, Event::OwnWork(ticket));
        };
        let now = self.clock.now();
        self.start(Request {
            kind,
            entry: gate,
            came_at: now,
            deadline: deadline.min(now + KINDS[kind].deadline),
            asked: AttemptHistory::default(),
            gate: None,
            may_wait: true,
            is_running: false,
            has_ended: false,
            parent: Some(ticket),
            returns_left: 0,
            is_early: false,
        });
    }

    pub(super) fn own_work(&mut self, ticket: Ticket) {
        let Some((gate, _)) = self.requests[ticket].gate else { return };
        let now = self.clock.now();
        let gate = &self.gates[gate];
        let spread = self.rng.random_range(WORK_SPREAD.0..WORK_SPREAD.1);
        let mut factor = gate.pace * spread;
        if gate.running as f64 > FULL_SHARE * f64::from(SLOTS) {
            factor *= FULL_FACTOR;
        }
        if gate.cold_until.is_some_and(|until| until > now) {
            factor *= COLD_FACTOR;
        }
        let work = KINDS[self.requests[ticket].kind].work.mul_f64(factor);
        self.clock.plan_after(work, Event::RunEnds(ticket));
    }

    pub(super) fn run_ends(&mut self, ticket: Ticket, is_good: bool) {
        if self.requests[ticket].has_ended || !self.requests[ticket].is_running {
            return;
        }
        self.free(ticket, if is_good { WorkOutcome::Completed } else { WorkOutcome::Aborted });
        let request = &self.requests[ticket];
        let Some((gate, _)) = request.gate else { return };
        let way = self.way(request.entry, gate);
        self.clock.plan_after(way, Event::Back(ticket, is_good));
    }

    /// Gives the slot of a run back.
    pub(super) fn free(&mut self, ticket: Ticket, end: WorkOutcome) {
        let now = self.clock.now();
        self.requests[ticket].is_running = false;
        let Some((at, _)) = self.requests[ticket].gate else { return };
        let gate = &mut self.gates[at];
        gate.running -= 1;
        gate.queue.pace_reported(now, gate.pace);
        let verdicts = gate.queue.release(now, ticket, end);
        self.follow(at, verdicts);
    }
}
