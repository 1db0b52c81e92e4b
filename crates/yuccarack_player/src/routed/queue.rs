//! Queue of one gate under each policy.

use std::{collections::VecDeque, time::Instant};

use yuccarack_policy::{
    cold_rate::ColdBound,
    placement::GateLoad,
    work_queue::{
        QueueDecision, RunningKey, WaitResult, WaitingKey, WorkOutcome, WorkQueue, WorkRequest,
    },
};

use super::Policy;

/// Index of a request in the simulation.
pub type RequestId = usize;

/// Decision of a queue on one request, under any policy: a `QueueDecision` or `WaitResult` of the
/// work queue with the request in place of its key.
#[derive(Clone, Copy, Debug)]
pub enum RequestDecision {
    /// The request starts to run.
    Run(RequestId),
    /// The request is refused at this gate.
    Refused(RequestId),
}

/// Queue of one gate.
pub enum Queue {
    /// The work queue of `yuccarack_policy`.
    Yuccarack {
        queue: Box<WorkQueue>,
        waiting: Vec<(WaitingKey, RequestId)>,
        running: Vec<(RunningKey, RequestId)>,
    },
    /// FIFO over all slots; a request past its deadline is dropped when it reaches the head.
    Fifo { slots: usize, running: usize, waiting: VecDeque<(RequestId, Instant)> },
}

impl Queue {
    pub fn new(policy: Policy, slots: u16) -> Self {
        match policy {
            Policy::Yuccarack => Self::Yuccarack {
                queue: Box::new(WorkQueue::new(slots)),
                waiting: Vec::new(),
                running: Vec::new(),
            },
            Policy::FifoRandom | Policy::FifoShortest => {
                Self::Fifo { slots: slots.into(), running: 0, waiting: VecDeque::new() }
            }
        }
    }

    pub fn offer(
        &mut self,
        now: Instant,
        request_id: RequestId,
        work: WorkRequest,
    ) -> Vec<RequestDecision> {
        match self {
            Self::Yuccarack { queue, waiting, running } => {
                match queue.offer(now, work) {
                    QueueDecision::Run(key) => {
                        running.push((key, request_id));
                        return vec![RequestDecision::Run(request_id)];
                    }
                    QueueDecision::Wait(key) => waiting.push((key, request_id)),
                    QueueDecision::Refused(_) => return vec![RequestDecision::Refused(request_id)],
                }
                self.poll(now)
            }
            Self::Fifo { waiting, .. } => {
                waiting.push_back((request_id, work.deadline));
                self.poll(now)
            }
        }
    }

    /// Sets the end of the target's cold phase and the rate limit during it.
    pub fn set_cold_until(&mut self, cold_until: Instant, bound: Option<ColdBound>) {
        if let Self::Yuccarack { queue, .. } = self {
            queue.cold_rate_mut().set_bound(bound);
            queue.cold_rate_mut().set_cold_until(cold_until);
        }
    }

    /// Marks the target as warm as of `now`.
    pub fn set_warm(&mut self, now: Instant) {
        if let Self::Yuccarack { queue, .. } = self {
            queue.cold_rate_mut().set_warm(now);
        }
    }

    /// Ends a run and returns the decisions that follow from the free slot.
    pub fn release(
        &mut self,
        now: Instant,
        request_id: RequestId,
        outcome: WorkOutcome,
    ) -> Vec<RequestDecision> {
        match self {
            Self::Yuccarack { queue, running, .. } => {
                if let Some(index) = running.iter().position(|(_, other)| *other == request_id) {
                    let (key, _) = running.swap_remove(index);
                    queue.release(now, key, outcome);
                }
            }
            Self::Fifo { running, .. } => *running -= 1,
        }
        self.poll(now)
    }

    /// Removes a waiting request and returns the decisions that follow.
    pub fn cancel(&mut self, now: Instant, request_id: RequestId) -> Vec<RequestDecision> {
        match self {
            Self::Yuccarack { queue, waiting, .. } => {
                if let Some(index) = waiting.iter().position(|(_, other)| *other == request_id) {
                    let (key, _) = waiting.swap_remove(index);
                    queue.cancel(now, key);
                }
            }
            Self::Fifo { waiting, .. } => waiting.retain(|(other, _)| *other != request_id),
        }
        self.poll(now)
    }

    /// Returns the waiting requests.
    pub fn waiting(&self) -> Vec<RequestId> {
        match self {
            Self::Yuccarack { waiting, .. } => {
                waiting.iter().map(|(_, request_id)| *request_id).collect()
            }
            Self::Fifo { waiting, .. } => {
                waiting.iter().map(|(request_id, _)| *request_id).collect()
            }
        }
    }

    /// Returns the decisions that are due at `now`.
    pub fn poll(&mut self, now: Instant) -> Vec<RequestDecision> {
        match self {
            Self::Yuccarack { queue, waiting, running } => {
                let mut decisions = Vec::new();
                for result in queue.poll(now) {
                    let (WaitResult::Run(key, _) | WaitResult::Refused(key, _)) = result;
                    let Some(index) = waiting.iter().position(|(other, _)| *other == key) else {
                        continue;
                    };
                    let (_, request_id) = waiting.swap_remove(index);
                    match result {
                        WaitResult::Run(_, run) => {
                            running.push((run, request_id));
                            decisions.push(RequestDecision::Run(request_id));
                        }
                        WaitResult::Refused(..) => {
                            decisions.push(RequestDecision::Refused(request_id))
                        }
                    }
                }
                decisions
            }
            Self::Fifo { slots, running, waiting } => {
                let mut decisions = Vec::new();
                while *running < *slots {
                    let Some((request_id, deadline)) = waiting.pop_front() else { break };
                    if deadline > now {
                        *running += 1;
                        decisions.push(RequestDecision::Run(request_id));
                    }
                }
                decisions
            }
        }
    }

    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Yuccarack { queue, .. } => queue.next_wake(now),
            Self::Fifo { .. } => None,
        }
    }

    pub fn record_slowdown(&mut self, now: Instant, slowdown: f64) {
        if let Self::Yuccarack { queue, .. } = self {
            queue.record_slowdown(now, slowdown);
        }
    }

    /// Returns the number of running and waiting requests.
    pub fn length(&self) -> usize {
        match self {
            Self::Yuccarack { queue, .. } => queue.running() + queue.waiting(),
            Self::Fifo { running, waiting, .. } => running + waiting.len(),
        }
    }

    /// Returns the load that the gate reports with each response; `None` under a baseline.
    pub fn load(&self, now: Instant) -> Option<GateLoad> {
        let Self::Yuccarack { queue, .. } = self else { return None };
        Some(GateLoad {
            running: u16::try_from(queue.running()).unwrap_or(u16::MAX),
            waiting: u16::try_from(queue.waiting()).unwrap_or(u16::MAX),
            limit: u16::try_from(queue.effective_limit(now)).unwrap_or(u16::MAX),
            mean_service_time: queue.mean_service_time(),
            slowdown: queue.slowdown().at(now),
            rate_limit: queue.rate_limit().rate(),
            admits_in: queue.rate_limit_turn_in(now),
        })
    }
}
