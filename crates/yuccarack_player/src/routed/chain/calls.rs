//! Callers and entries: arrivals, choice of a gate, responses, retries.

use std::time::Duration;

use rand::Rng;
use yuccarack_policy::placement::{AttemptHistory, GateAttemptOutcome, GateKey, GateReply};
use yuccarack_policy::work_queue::WorkOutcome;

use super::{Chain, DELAYED_RETRIES, Event, IMMEDIATE_RETRIES, RETRY_DELAY, Request};
use crate::routed::{Policy, credit::RequestOutcome, load::REQUEST_KINDS, queue::RequestId};

impl Chain {
    pub(super) fn arrive(&mut self, kind: usize) {
        let elapsed = self.clock.elapsed();
        if elapsed >= self.scenario.duration {
            return;
        }
        let factor = match self.scenario.burst {
            Some((factor, from, until)) => {
                let offset = Duration::from_micros((elapsed.as_micros() % 10_000_000) as u64);
                if (from..until).contains(&offset) { factor } else { 1.0 }
            }
            None => 1.0,
        };
        let mean = 1.0 / (REQUEST_KINDS[kind].rate_per_s * factor);
        let gap = -mean * (1.0 - self.rng.random::<f64>()).ln();
        self.clock.schedule_after(Duration::from_secs_f64(gap), Event::Arrive(kind));
        let now = self.clock.now();
        let entry = self.rng.random_range(0..self.entries.len());
        let has_immediate_retries = self.rng.random_bool(self.scenario.immediate_retry_share);
        let retries_left = if has_immediate_retries { IMMEDIATE_RETRIES } else { DELAYED_RETRIES };
        let deadline = now + REQUEST_KINDS[kind].deadline;
        self.start_request(Request {
            kind,
            entry,
            arrived_at: now,
            deadline,
            history: AttemptHistory::default(),
            gate: None,
            may_wait: true,
            is_running: false,
            has_ended: false,
            parent: None,
            retries_left,
            has_immediate_retries,
        });
    }

    pub(super) fn start_request(&mut self, request: Request) {
        let request_id = self.requests.len();
        self.clock.schedule(request.deadline, Event::Deadline(request_id));
        self.requests.push(request);
        self.clock.schedule_after(Duration::ZERO, Event::Attempt(request_id));
    }

    pub(super) fn start_attempt(&mut self, request_id: RequestId) {
        if self.requests[request_id].has_ended {
            return;
        }
        let Some((gate, key)) = self.choose(request_id) else {
            return self.finish_request(request_id, RequestOutcome::Refused);
        };
        self.requests[request_id].gate = Some((gate, key));
        let link_delay = self.link_delay(self.requests[request_id].entry, gate);
        self.clock.schedule_after(link_delay, Event::ReachGate(request_id));
    }

    pub(super) fn choose(&mut self, request_id: RequestId) -> Option<(usize, Option<GateKey>)> {
        let request = &self.requests[request_id];
        let service = REQUEST_KINDS[request.kind].service;
        let available =
            || self.gates_by_service[service].iter().copied().filter(|&at| !self.gates[at].is_down);
        if self.policy == Policy::Yuccarack {
            let entry = &mut self.entries[request.entry];
            let (now, service_time) = (self.clock.now(), REQUEST_KINDS[request.kind].service_time);
            let placement = &mut entry.placements[service];
            let choice = placement.choose(now, &mut self.rng, &request.history, service_time)?;
            placement.record_attempt(choice.gate);
            let gate = *entry.gates[service].get(choice.gate)?;
            self.requests[request_id].may_wait = choice.may_wait;
            return Some((gate, Some(choice.gate)));
        }
        let gates: Vec<usize> = available().collect();
        if request.history.count() > 0 || gates.is_empty() {
            return None;
        }
        let first = gates[self.rng.random_range(0..gates.len())];
        let second = gates[self.rng.random_range(0..gates.len())];
        let is_second_shorter =
            self.gates[second].queue.length() < self.gates[first].queue.length();
        let takes_second = self.policy == Policy::FifoShortest && is_second_shorter;
        Some((if takes_second { second } else { first }, None))
    }

    pub(super) fn handle_response(&mut self, request_id: RequestId, is_success: bool) {
        if self.requests[request_id].has_ended {
            return;
        }
        self.record_gate_outcome(
            request_id,
            if is_success { GateAttemptOutcome::Answered } else { GateAttemptOutcome::Failed },
        );
        let response_time = self.clock.now() - self.requests[request_id].arrived_at;
        self.finish_request(
            request_id,
            if is_success {
                RequestOutcome::Answered(response_time)
            } else {
                RequestOutcome::Failed
            },
        );
    }

    pub(super) fn handle_refusal(&mut self, request_id: RequestId) {
        if self.requests[request_id].has_ended {
            return;
        }
        self.record_gate_outcome(request_id, GateAttemptOutcome::Refused);
        let request = &mut self.requests[request_id];
        match request.gate.take() {
            Some((gate, Some(key))) => {
                let reply = match (self.gates[gate].is_down, request.may_wait) {
                    (true, _) => GateReply::Unavailable,
                    (false, true) => GateReply::NoQueueSpace,
                    (false, false) => GateReply::NoFreeSlot,
                };
                request.history.record(key, reply);
            }
            _ => return self.finish_request(request_id, RequestOutcome::Refused),
        }
        self.start_attempt(request_id);
    }

    /// Records at the entry the outcome of an attempt and the load that the gate reports with it.
    pub(super) fn record_gate_outcome(
        &mut self,
        request_id: RequestId,
        outcome: GateAttemptOutcome,
    ) {
        let now = self.clock.now();
        let request = &self.requests[request_id];
        let Some((gate, Some(key))) = request.gate else { return };
        let service = REQUEST_KINDS[request.kind].service;
        let is_down = self.gates[gate].is_down;
        let load = self.gates[gate].queue.load(now);
        let placement = &mut self.entries[request.entry].placements[service];
        placement.record_outcome(
            now,
            key,
            if is_down { GateAttemptOutcome::Unreachable } else { outcome },
        );
        if let Some(load) = load.filter(|_| !is_down) {
            placement.record_load(now, key, load);
        }
    }

    pub(super) fn handle_deadline(&mut self, request_id: RequestId) {
        if self.requests[request_id].has_ended {
            return;
        }
        let now = self.clock.now();
        if self.requests[request_id].is_running {
            self.earned_value.wasted_runs += 1;
            self.release_slot(request_id, WorkOutcome::Aborted);
        } else if let Some((gate, _)) = self.requests[request_id].gate {
            let decisions = self.gates[gate].queue.cancel(now, request_id);
            self.apply_decisions(gate, decisions);
        }
        self.record_gate_outcome(request_id, GateAttemptOutcome::Cancelled);
        self.requests[request_id].retries_left = 0;
        self.finish_request(request_id, RequestOutcome::Failed);
    }

    /// Ends a request after its attempts at gates.
    ///
    /// A caller retries a refused request while it has retries left, as a new request, and records
    /// the outcome otherwise. A run that made the request as a call continues after a response and
    /// fails otherwise.
    pub(super) fn finish_request(&mut self, request_id: RequestId, outcome: RequestOutcome) {
        let now = self.clock.now();
        let request = &mut self.requests[request_id];
        request.has_ended = true;
        if let Some(parent) = request.parent {
            if self.requests[parent].has_ended {
                return;
            }
            match outcome {
                RequestOutcome::Answered(_) => {
                    self.clock.schedule_after(Duration::ZERO, Event::StartWork(parent))
                }
                RequestOutcome::Refused | RequestOutcome::Failed => {
                    self.earned_value.wasted_runs += 1;
                    self.handle_run_end(parent, false);
                }
            }
            return;
        }
        if outcome == RequestOutcome::Refused && request.retries_left > 0 {
            let wait = match request.has_immediate_retries {
                true => Duration::ZERO,
                false => RETRY_DELAY.min((request.deadline - now) / 3),
            };
            let retry = Request {
                history: AttemptHistory::default(),
                gate: None,
                is_running: false,
                has_ended: false,
                retries_left: request.retries_left - 1,
                ..*request
            };
            let request_id = self.requests.len();
            self.clock.schedule(retry.deadline, Event::Deadline(request_id));
            self.requests.push(retry);
            return self.clock.schedule_after(wait, Event::Attempt(request_id));
        }
        let (kind, arrived_at) = (request.kind, request.arrived_at);
        self.earned_value.record(kind, arrived_at - self.started_at, outcome);
    }
}
