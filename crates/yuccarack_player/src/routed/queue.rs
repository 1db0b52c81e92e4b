//! What a gate runs and lets wait, under each policy.

use std::{collections::VecDeque, time::Instant};

use yuccarack_policy::{
    cold_rate::ColdBound,
    placement::GateLoad,
    work_queue::{
        QueueDecision, RunningKey, WaitResult, WaitingKey, WorkOutcome, WorkQueue, WorkRequest,
    },
};

use super::Policy;

/// Name of a request that waits or runs at a gate.
pub type Ticket = usize;

/// What becomes of requests.
#[derive(Clone, Copy, Debug)]
pub enum Verdict {
    /// It runs.
    Run(Ticket),
    /// It doesn't run here.
    Refused(Ticket),
}

/// The queue of one gate.
pub enum Queue {
    /// The decisions of this project.
    Decided {
        queue: Box<WorkQueue>,
        waiting: Vec<(WaitingKey, Ticket)>,
        running: Vec<(RunningKey, Ticket)>,
    },
    /// First come, first served, in all slots; what has run out of time is dropped when its turn comes.
    Fifo { slots: usize, running: usize, waiting: VecDeque<(Ticket, Instant)> },
}

impl Queue {
    pub fn new(policy: Policy, slots: u16) -> Self {
        match policy {
            Policy::Decided => Self::Decided {
                queue: Box::new(WorkQueue::new(slots)),
                waiting: Vec::new(),
                running: Vec::new(),
            },
            Policy::FifoRandom | Policy::FifoShortest => {
                Self::Fifo { slots: slots.into(), running: 0, waiting: VecDeque::new() }
            }
        }
    }

    pub fn offer(&mut self, now: Instant, ticket: Ticket, work: WorkRequest) -> Vec<Verdict> {
        match self {
            Self::Decided { queue, waiting, running } => {
                match queue.offer(now, work) {
                    QueueDecision::Run(key) => {
                        running.push((key, ticket));
                        return vec![Verdict::Run(ticket)];
                    }
                    QueueDecision::Wait(key) => waiting.push((key, ticket)),
                    QueueDecision::Refused(_) => return vec![Verdict::Refused(ticket)],
                }
                self.settle(now)
            }
            Self::Fifo { waiting, .. } => {
                waiting.push_back((ticket, work.deadline));
                self.settle(now)
            }
        }
    }

    /// Notes that the target is cold until `cold_until`, and what it bears by then.
    pub fn set_cold_until(&mut self, cold_until: Instant, bound: Option<ColdBound>) {
        if let Self::Decided { queue, .. } = self {
            queue.cold_rate_mut().set_bound(bound);
            queue.cold_rate_mut().set_cold_until(cold_until);
        }
    }

    /// Notes that the target is warm as of `now`.
    pub fn set_warm(&mut self, now: Instant) {
        if let Self::Decided { queue, .. } = self {
            queue.cold_rate_mut().set_warm(now);
        }
    }

    /// Ends a run; says who runs now.
    pub fn release(&mut self, now: Instant, ticket: Ticket, end: WorkOutcome) -> Vec<Verdict> {
        match self {
            Self::Decided { queue, running, .. } => {
                if let Some(at) = running.iter().position(|(_, other)| *other == ticket) {
                    let (key, _) = running.swap_remove(at);
                    queue.release(now, key, end);
                }
            }
            Self::Fifo { running, .. } => *running -= 1,
        }
        self.settle(now)
    }

    /// Takes a waiting request back.
    pub fn cancel(&mut self, now: Instant, ticket: Ticket) -> Vec<Verdict> {
        match self {
            Self::Decided { queue, waiting, .. } => {
                if let Some(at) = waiting.iter().position(|(_, other)| *other == ticket) {
                    let (key, _) = waiting.swap_remove(at);
                    queue.cancel(now, key);
                }
            }
            Self::Fifo { waiting, .. } => waiting.retain(|(other, _)| *other != ticket),
        }
        self.settle(now)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> Vec<Ticket> {
        match self {
            Self::Decided { waiting, .. } => waiting.iter().map(|(_, ticket)| *ticket).collect(),
            Self::Fifo { waiting, .. } => waiting.iter().map(|(ticket, _)| *ticket).collect(),
        }
    }

    /// Settles what has become due.
    pub fn settle(&mut self, now: Instant) -> Vec<Verdict> {
        match self {
            Self::Decided { queue, waiting, running } => {
                let mut verdicts = Vec::new();
                for settled in queue.poll(now) {
                    let (WaitResult::Run(key, _) | WaitResult::Refused(key, _)) = settled;
                    let Some(at) = waiting.iter().position(|(other, _)| *other == key) else {
                        continue;
                    };
                    let (_, ticket) = waiting.swap_remove(at);
                    match settled {
                        WaitResult::Run(_, run) => {
                            running.push((run, ticket));
                            verdicts.push(Verdict::Run(ticket));
                        }
                        WaitResult::Refused(..) => verdicts.push(Verdict::Refused(ticket)),
                    }
                }
                verdicts
            }
            Self::Fifo { slots, running, waiting } => {
                let mut verdicts = Vec::new();
                while *running < *slots {
                    let Some((ticket, give_up_by)) = waiting.pop_front() else { break };
                    if give_up_by > now {
                        *running += 1;
                        verdicts.push(Verdict::Run(ticket));
                    }
                }
                verdicts
            }
        }
    }

    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Decided { queue, .. } => queue.next_wake(now),
            Self::Fifo { .. } => None,
        }
    }

    pub fn pace_reported(&mut self, now: Instant, slowness: f64) {
        if let Self::Decided { queue, .. } = self {
            queue.record_slowdown(now, slowness);
        }
    }

    /// Requests that run and wait.
    pub fn length(&self) -> usize {
        match self {
            Self::Decided { queue, .. } => queue.running() + queue.waiting(),
            Self::Fifo { running, waiting, .. } => running + waiting.len(),
        }
    }

    /// What the gate tells with each answer.
    pub fn load(&self, now: Instant) -> Option<GateLoad> {
        let Self::Decided { queue, .. } = self else { return None };
        Some(GateLoad {
            running: u16::try_from(queue.running()).unwrap_or(u16::MAX),
            waiting: u16::try_from(queue.waiting()).unwrap_or(u16::MAX),
            limit: u16::try_from(queue.effective_limit(now)).unwrap_or(u16::MAX),
            mean_service_time: queue.mean_service_time(),
            slowdown: queue.slowdown().at(now),
        })
    }
}
