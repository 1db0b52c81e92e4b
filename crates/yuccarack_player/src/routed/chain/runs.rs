//! Gates and targets: queueing, runs and their service times.

use std::time::Duration;

use rand::Rng;
use yuccarack_policy::{
    placement::{AttemptHistory, GateAttemptOutcome},
    work_queue::{WorkOutcome, WorkRequest},
};

use super::{
    COLD_FACTOR, Chain, Event, OVERLOAD_FILL, OVERLOAD_SLOWDOWN, Request, SERVICE_TIME_SPREAD,
};
use crate::routed::{
    load::{REQUEST_KINDS, SLOTS},
    queue::{RequestDecision, RequestId},
};

impl Chain {
    pub(super) fn reach_gate(&mut self, request_id: RequestId) {
        let request = &self.requests[request_id];
        let Some((gate, _)) = request.gate else { return };
        if request.has_ended {
            return self.record_gate_outcome(request_id, GateAttemptOutcome::Cancelled);
        }
        if self.gates[gate].is_down {
            let link_delay = self.link_delay(self.requests[request_id].entry, gate);
            return self.clock.schedule_after(link_delay, Event::Refusal(request_id));
        }
        let kind = &REQUEST_KINDS[request.kind];
        let work = WorkRequest {
            kind: request.kind as u64,
            rank: kind.rank,
            organisation: None,
            soft_deadline: request.arrived_at + kind.soft_deadline,
            deadline: request.deadline,
            may_wait: request.may_wait,
        };
        let decisions = self.gates[gate].queue.offer(self.clock.now(), request_id, work);
        self.apply_decisions(gate, decisions);
    }

    pub(super) fn apply_decisions(&mut self, gate: usize, decisions: Vec<RequestDecision>) {
        for verdict in decisions {
            match verdict {
                RequestDecision::Run(request_id) => self.start_run(request_id),
                RequestDecision::Refused(request_id) => {
                    let link_delay = self.link_delay(self.requests[request_id].entry, gate);
                    self.clock.schedule_after(link_delay, Event::Refusal(request_id));
                }
            }
        }
        if let Some(at) = self.gates[gate].queue.next_wake(self.clock.now()) {
            self.clock.schedule(at, Event::Wake(gate));
        }
    }

    /// Starts a run in its slot: it makes its call first, and does its own work after the response.
    pub(super) fn start_run(&mut self, request_id: RequestId) {
        let Some((gate, _)) = self.requests[request_id].gate else { return };
        self.requests[request_id].is_running = true;
        self.gates[gate].running += 1;
        self.earned_value.runs += 1;
        if self.record_cold_run(gate) {
            return self.crash(gate);
        }
        let Request { kind, deadline, .. } = self.requests[request_id];
        let call = REQUEST_KINDS[kind].calls.filter(|(_, share)| self.rng.random_bool(*share));
        let Some((kind, _)) = call else {
            return self.clock.schedule_after(Duration::ZERO, Event::StartWork(request_id));
        };
        let now = self.clock.now();
        self.start_request(Request {
            kind,
            entry: gate,
            arrived_at: now,
            deadline: deadline.min(now + REQUEST_KINDS[kind].deadline),
            history: AttemptHistory::default(),
            gate: None,
            may_wait: true,
            is_running: false,
            has_ended: false,
            parent: Some(request_id),
            retries_left: 0,
            has_immediate_retries: false,
        });
    }

    pub(super) fn start_work(&mut self, request_id: RequestId) {
        let Some((gate, _)) = self.requests[request_id].gate else { return };
        let now = self.clock.now();
        let gate = &self.gates[gate];
        let spread = self.rng.random_range(SERVICE_TIME_SPREAD.0..SERVICE_TIME_SPREAD.1);
        let mut factor = gate.slowdown * spread;
        if gate.running as f64 > OVERLOAD_FILL * f64::from(SLOTS) {
            factor *= OVERLOAD_SLOWDOWN;
        }
        if gate.cold_until.is_some_and(|until| until > now) {
            factor *= COLD_FACTOR;
        }
        let service_time =
            REQUEST_KINDS[self.requests[request_id].kind].service_time.mul_f64(factor);
        self.clock.schedule_after(service_time, Event::RunEnd(request_id));
    }

    pub(super) fn handle_run_end(&mut self, request_id: RequestId, is_success: bool) {
        if self.requests[request_id].has_ended || !self.requests[request_id].is_running {
            return;
        }
        self.release_slot(
            request_id,
            if is_success { WorkOutcome::Completed } else { WorkOutcome::Aborted },
        );
        let request = &self.requests[request_id];
        let Some((gate, _)) = request.gate else { return };
        let link_delay = self.link_delay(request.entry, gate);
        self.clock.schedule_after(link_delay, Event::Response(request_id, is_success));
    }

    /// Releases the slot of a run and starts the requests that can run now.
    pub(super) fn release_slot(&mut self, request_id: RequestId, outcome: WorkOutcome) {
        let now = self.clock.now();
        self.requests[request_id].is_running = false;
        let Some((gate_index, _)) = self.requests[request_id].gate else { return };
        let gate = &mut self.gates[gate_index];
        gate.running -= 1;
        gate.queue.record_slowdown(now, gate.slowdown);
        let decisions = gate.queue.release(now, request_id, outcome);
        self.apply_decisions(gate_index, decisions);
    }
}
