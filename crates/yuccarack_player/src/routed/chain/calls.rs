//! What callers and entries do.

use std::time::Duration;

use rand::Rng;
use yuccarack_policy::placement::{AttemptHistory, GateAttemptOutcome, GateKey, GateReply};
use yuccarack_policy::work_queue::WorkOutcome;

use super::{Chain, EARLY_RETURNS, Event, RETURN_AFTER, RETURNS, Request};
use crate::routed::{Policy, credit::End, load::KINDS, queue::Ticket};

impl Chain {
    pub(super) fn arrive(&mut self, kind: usize) {
        let elapsed = self.clock.elapsed();
        if elapsed >= self.load.lasts {
            return;
        }
        let factor = match self.load.burst {
            Some((factor, from, until)) => {
                let into = Duration::from_micros((elapsed.as_micros() % 10_000_000) as u64);
                if (from..until).contains(&into) { factor } else { 1.0 }
            }
            None => 1.0,
        };
        let mean = 1.0 / (KINDS[kind].rate_per_s * factor);
        let gap = -mean * (1.0 - self.rng.random::<f64>()).ln();
        self.clock.plan_after(Duration::from_secs_f64(gap), Event::Arrive(kind));
        let now = self.clock.now();
        let entry = self.rng.random_range(0..self.entries.len());
        let is_early = self.rng.random_bool(self.load.early_share);
        let returns_left = if is_early { EARLY_RETURNS } else { RETURNS };
        let deadline = now + KINDS[kind].deadline;
        self.start(Request {
            kind,
            entry,
            came_at: now,
            deadline,
            asked: AttemptHistory::default(),
            gate: None,
            may_wait: true,
            is_running: false,
            has_ended: false,
            parent: None,
            returns_left,
            is_early,
        });
    }

    pub(super) fn start(&mut self, request: Request) {
        let ticket = self.requests.len();
        self.clock.plan(request.deadline, Event::Deadline(ticket));
        self.requests.push(request);
        self.clock.plan_after(Duration::ZERO, Event::Try(ticket));
    }

    pub(super) fn try_next(&mut self, ticket: Ticket) {
        if self.requests[ticket].has_ended {
            return;
        }
        let Some((gate, key)) = self.choose(ticket) else {
            return self.end(ticket, End::Refused);
        };
        self.requests[ticket].gate = Some((gate, key));
        let way = self.way(self.requests[ticket].entry, gate);
        self.clock.plan_after(way, Event::AtGate(ticket));
    }

    pub(super) fn choose(&mut self, ticket: Ticket) -> Option<(usize, Option<GateKey>)> {
        let request = &self.requests[ticket];
        let service = KINDS[request.kind].service;
        let there =
            || self.of_service[service].iter().copied().filter(|&at| !self.gates[at].is_lost);
        if self.policy == Policy::Decided {
            let entry = &mut self.entries[request.entry];
            let (now, work) = (self.clock.now(), KINDS[request.kind].work);
            let placement = &mut entry.placements[service];
            let placed = placement.choose(now, &mut self.rng, &request.asked, work)?;
            placement.record_attempt(placed.gate);
            let gate = *entry.gates[service].get(placed.gate)?;
            self.requests[ticket].may_wait = placed.may_wait;
            return Some((gate, Some(placed.gate)));
        }
        let all: Vec<usize> = there().collect();
        if request.asked.count() > 0 || all.is_empty() {
            return None;
        }
        let one = all[self.rng.random_range(0..all.len())];
        let other = all[self.rng.random_range(0..all.len())];
        let is_shorter = self.gates[other].queue.length() < self.gates[one].queue.length();
        let is_other = self.policy == Policy::FifoShortest && is_shorter;
        Some((if is_other { other } else { one }, None))
    }

    pub(super) fn back(&mut self, ticket: Ticket, is_good: bool) {
        if self.requests[ticket].has_ended {
            return;
        }
        self.told(
            ticket,
            if is_good { GateAttemptOutcome::Answered } else { GateAttemptOutcome::Failed },
        );
        let took = self.clock.now() - self.requests[ticket].came_at;
        self.end(ticket, if is_good { End::Answered(took) } else { End::Failed });
    }

    pub(super) fn refused(&mut self, ticket: Ticket) {
        if self.requests[ticket].has_ended {
            return;
        }
        self.told(ticket, GateAttemptOutcome::Refused);
        let request = &mut self.requests[ticket];
        match request.gate.take() {
            Some((gate, Some(key))) => {
                let said = match (self.gates[gate].is_lost, request.may_wait) {
                    (true, _) => GateReply::Unavailable,
                    (false, true) => GateReply::NoQueueSpace,
                    (false, false) => GateReply::NoFreeSlot,
                };
                request.asked.record(key, said);
            }
            _ => return self.end(ticket, End::Refused),
        }
        self.try_next(ticket);
    }

    /// What the entry learns from an answer of the gate.
    pub(super) fn told(&mut self, ticket: Ticket, end: GateAttemptOutcome) {
        let now = self.clock.now();
        let request = &self.requests[ticket];
        let Some((gate, Some(key))) = request.gate else { return };
        let service = KINDS[request.kind].service;
        let is_lost = self.gates[gate].is_lost;
        let load = self.gates[gate].queue.load(now);
        let placement = &mut self.entries[request.entry].placements[service];
        placement.record_outcome(
            now,
            key,
            if is_lost { GateAttemptOutcome::Unreachable } else { end },
        );
        if let Some(load) = load.filter(|_| !is_lost) {
            placement.record_load(now, key, load);
        }
    }

    pub(super) fn deadline(&mut self, ticket: Ticket) {
        if self.requests[ticket].has_ended {
            return;
        }
        let now = self.clock.now();
        if self.requests[ticket].is_running {
            self.credit.wasted_runs += 1;
            self.free(ticket, WorkOutcome::Aborted);
        } else if let Some((gate, _)) = self.requests[ticket].gate {
            let verdicts = self.gates[gate].queue.cancel(now, ticket);
            self.follow(gate, verdicts);
        }
        self.told(ticket, GateAttemptOutcome::Cancelled);
        self.requests[ticket].returns_left = 0;
        self.end(ticket, End::Failed);
    }

    /// An attempt has ended: its caller comes back, or that was all; a run goes on or fails.
    pub(super) fn end(&mut self, ticket: Ticket, end: End) {
        let now = self.clock.now();
        let request = &mut self.requests[ticket];
        request.has_ended = true;
        if let Some(parent) = request.parent {
            if self.requests[parent].has_ended {
                return;
            }
            match end {
                End::Answered(_) => self.clock.plan_after(Duration::ZERO, Event::OwnWork(parent)),
                End::Refused | End::Failed => {
                    self.credit.wasted_runs += 1;
                    self.run_ends(parent, false);
                }
            }
            return;
        }
        if end == End::Refused && request.returns_left > 0 {
            let wait = match request.is_early {
                true => Duration::ZERO,
                false => RETURN_AFTER.min((request.deadline - now) / 3),
            };
            let again = Request {
                asked: AttemptHistory::default(),
                gate: None,
                is_running: false,
                has_ended: false,
                returns_left: request.returns_left - 1,
                ..*request
            };
            let ticket = self.requests.len();
            self.clock.plan(again.deadline, Event::Deadline(ticket));
            self.requests.push(again);
            return self.clock.plan_after(wait, Event::Try(ticket));
        }
        let (kind, came_at) = (request.kind, request.came_at);
        self.credit.note(kind, came_at - self.started_at, end);
    }
}
