//! Replays the requests of organisations at one gate on a virtual clock.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use yuccarack_policy::work_queue::{
    OrganisationShare, QueueDecision, RunningKey, WaitResult, WaitingKey, WorkOutcome, WorkQueue,
    WorkRequest,
};

/// Slots of the target; 13 of them are used.
pub const SLOTS: u16 = 17;

/// Slots that the gate uses.
pub const USED_SLOTS: f64 = 13.0;

/// Mean service time of the requests.
pub const SERVICE_TIME: Duration = Duration::from_millis(290);

/// Time to the soft deadline of a request.
pub const SOFT_DEADLINE: Duration = Duration::from_millis(1_000);

/// Time to the deadline of a request.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

/// A request of the replay; times count from its start.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub organisation: usize,
    /// Kind of the request, which is also the rank of its route.
    pub kind: u8,
    pub service_time: Duration,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    OnTime,
    Late,
    Refused,
}

/// Returns each organisation's part of the load, with Zipf exponent `exponent`.
pub fn zipf_parts(count: usize, exponent: f64) -> Vec<f64> {
    let parts: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-exponent)).collect();
    let sum: f64 = parts.iter().sum();
    parts.into_iter().map(|part| part / sum).collect()
}

/// Returns the arrivals of one organisation that keeps `load` slots busy from `from` to `until`.
pub fn arrivals(
    seed: u64,
    organisation: usize,
    load: f64,
    from: Duration,
    until: Duration,
) -> Vec<Arrival> {
    let mut random =
        StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(organisation as u64));
    let mut arrivals = Vec::new();
    let mut at = from;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln();
        at += SERVICE_TIME.mul_f64(gap / load);
        if at >= until {
            return arrivals;
        }
        let service_time = SERVICE_TIME.mul_f64(random.random_range(0.7..1.3));
        arrivals.push(Arrival { at, organisation, kind: 0, service_time });
    }
}

/// Plays `arrivals` at a gate, with the organisations that `share` returns, and returns how each
/// request ended.
pub fn replay(
    arrivals: &mut [Arrival],
    share: impl Fn(usize) -> Option<OrganisationShare>,
) -> Vec<(Arrival, End)> {
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut replay = Replay::new();
    for arrival in arrivals.iter() {
        replay.run_until(replay.start + arrival.at);
        replay.offer(*arrival, share(arrival.organisation));
    }
    replay.run_until(replay.start + Duration::from_secs(3_600));
    assert!(replay.waiting.is_empty(), "{} requests have not ended", replay.waiting.len());
    replay.ends
}

struct Replay {
    start: Instant,
    now: Instant,
    queue: WorkQueue,
    running: BinaryHeap<Reverse<(Instant, RunningKey)>>,
    waiting: HashMap<WaitingKey, Arrival>,
    ends: Vec<(Arrival, End)>,
}

impl Replay {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            queue: WorkQueue::new(SLOTS),
            running: BinaryHeap::new(),
            waiting: HashMap::new(),
            ends: Vec::new(),
        }
    }

    fn offer(&mut self, arrival: Arrival, organisation: Option<OrganisationShare>) {
        let request = WorkRequest {
            kind: arrival.kind.into(),
            rank: arrival.kind,
            organisation,
            soft_deadline: self.now + SOFT_DEADLINE,
            deadline: self.now + DEADLINE,
            may_wait: true,
        };
        match self.queue.offer(self.now, request) {
            QueueDecision::Run(key) => self.run(arrival, key),
            QueueDecision::Wait(key) => drop(self.waiting.insert(key, arrival)),
            QueueDecision::Refused(_) => self.ends.push((arrival, End::Refused)),
        }
    }

    fn run(&mut self, arrival: Arrival, key: RunningKey) {
        let done_at = self.now + arrival.service_time;
        self.running.push(Reverse((done_at, key)));
        let is_on_time = done_at <= self.start + arrival.at + SOFT_DEADLINE;
        self.ends.push((arrival, if is_on_time { End::OnTime } else { End::Late }));
    }

    fn run_until(&mut self, until: Instant) {
        loop {
            let done_at = self.running.peek().map(|Reverse((done_at, _))| *done_at);
            let wake = self.queue.next_wake(self.now);
            let Some(next) = done_at.into_iter().chain(wake).min().filter(|next| *next <= until)
            else {
                break;
            };
            self.now = next;
            if done_at == Some(next)
                && let Some(Reverse((_, key))) = self.running.pop()
            {
                self.queue.release(next, key, WorkOutcome::Completed);
            }
            for result in self.queue.poll(next) {
                self.settle(result);
            }
        }
        self.now = until;
    }

    fn settle(&mut self, result: WaitResult) {
        match result {
            WaitResult::Run(waiting, run) => {
                if let Some(arrival) = self.waiting.remove(&waiting) {
                    self.run(arrival, run);
                }
            }
            WaitResult::Refused(waiting, _) => {
                if let Some(arrival) = self.waiting.remove(&waiting) {
                    self.ends.push((arrival, End::Refused));
                }
            }
        }
    }
}
