//! Asynchronous access to a gate's queue: tasks wait for a slot and release it.

use std::{collections::HashMap, sync::Arc, time::Instant};

use parking_lot::Mutex;
use tokio::sync::{Notify, futures::Notified, oneshot};
use tokio_util::sync::CancellationToken;
use yuccarack_config::decisions::FeatureSwitches;
use yuccarack_policy::{
    cold_rate::ColdRate,
    placement::GateLoad,
    rate_limit::RateLimit,
    work_queue::{
        QueueDecision, QueueRefusal, QueueRefusalReason, RunningKey, WaitResult, WaitingKey,
        WorkOutcome, WorkQueue, WorkRequest,
    },
};

/// Sleep of the timer task when no queued request is due. The next request that is queued wakes it
/// earlier.
const IDLE_WAKE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(60);

/// Decision on a queued request: a slot or a refusal.
type Settlement = Result<RunningKey, QueueRefusal>;

/// Slots and queue of one target; clones share them.
#[derive(Clone)]
pub struct WorkSlots {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Wakes the timer task when the next due time may have changed.
    changed: Notify,
    /// Notifies the health checks that a request got a slot without a wait.
    started_at_once: Notify,
    /// Notifies the health checks that one is due to find out whether the target is cold.
    health_check_due: Notify,
}

struct State {
    queue: WorkQueue,
    waiting: HashMap<WaitingKey, oneshot::Sender<Settlement>>,
}

impl WorkSlots {
    /// Creates the queue of a target that runs `slots` requests at once; `decisions` are the
    /// feature switches of the queue.
    pub fn new(slots: u16, cold_rate: ColdRate, decisions: FeatureSwitches) -> Self {
        let queue = WorkQueue::new(slots)
            .with_decisions(decisions)
            .with_cold_rate(cold_rate)
            .with_rate_limit(RateLimit::unreported(Instant::now()));
        let state = State { queue, waiting: HashMap::new() };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: Notify::new(),
                started_at_once: Notify::new(),
                health_check_due: Notify::new(),
            }),
        }
    }

    /// Changes the queue, then notifies the queued requests that the change has settled.
    pub fn change<T>(&self, change: impl FnOnce(&mut WorkQueue, Instant) -> T) -> T {
        let mut state = self.shared.state.lock();
        let now = Instant::now();
        let result = change(&mut state.queue, now);
        state.settle(now);
        self.shared.notify_health_check_due(&state.queue);
        result
    }

    /// Acquires a slot, at once or after a wait in the queue. Dropping the future leaves the queue.
    ///
    /// # Errors
    ///
    /// Returns why the request gets no slot; nothing of it has run.
    pub async fn admit(&self, request: WorkRequest) -> Result<SlotLease, QueueRefusal> {
        let (key, settled) = {
            let mut state = self.shared.state.lock();
            match state.queue.offer(Instant::now(), request) {
                QueueDecision::Run(key) => {
                    self.shared.started_at_once.notify_waiters();
                    self.shared.notify_health_check_due(&state.queue);
                    return Ok(SlotLease::new(self.clone(), key));
                }
                QueueDecision::Refused(refused) => return Err(refused),
                QueueDecision::Wait(key) => {
                    let (sender, settled) = oneshot::channel();
                    state.waiting.insert(key, sender);
                    (key, settled)
                }
            }
        };
        self.shared.changed.notify_one();
        Waiter { slots: self.clone(), key, settled, is_settled: false }.settle().await
    }

    /// Returns the load as reported to other daemons.
    pub fn load(&self) -> GateLoad {
        let state = self.shared.state.lock();
        let (queue, now) = (&state.queue, Instant::now());
        GateLoad {
            running: saturating_u16(queue.running()),
            waiting: saturating_u16(queue.waiting()),
            limit: saturating_u16(queue.effective_limit(now)),
            mean_service_time: queue.mean_service_time(),
            slowdown: queue.slowdown().at(now),
            rate_limit: queue.rate_limit().rate(),
            admits_in: queue.rate_limit_turn_in(now),
        }
    }

    /// Reads from the queue under its lock.
    pub fn read<T>(&self, read: impl FnOnce(&WorkQueue) -> T) -> T {
        read(&self.shared.state.lock().queue)
    }

    /// Completes when a request gets a slot without a wait.
    pub fn started_at_once(&self) -> Notified<'_> {
        self.shared.started_at_once.notified()
    }

    /// Completes when a health check is due to find out whether the target is cold.
    pub fn health_check_due(&self) -> Notified<'_> {
        self.shared.health_check_due.notified()
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.shared.state.lock().queue.running()
    }

    /// Settles queued requests as their wait times expire, until `stop`.
    pub async fn run_timer(self, stop: CancellationToken) {
        loop {
            let next = self.shared.state.lock().queue.next_wake(Instant::now());
            let due = next.unwrap_or_else(|| Instant::now() + IDLE_WAKE_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => self.change(|_, _| ()),
                () = self.shared.changed.notified() => {}
                () = stop.cancelled() => return,
            }
        }
    }
}

impl Shared {
    fn notify_health_check_due(&self, queue: &WorkQueue) {
        let now = Instant::now();
        // A limited target may get no further request that would wake the health checks.
        let is_limited = queue.rate_limit().health_check_due_at().is_some();
        if is_limited
            || queue.cold_rate().health_check_due_at(now).is_some_and(|due_at| due_at <= now)
        {
            self.health_check_due.notify_one();
        }
    }
}

impl State {
    /// Settles queued requests until nothing changes, as a slot whose waiter is gone becomes free
    /// again.
    fn settle(&mut self, now: Instant) {
        loop {
            let settled = self.queue.poll(now);
            if settled.is_empty() {
                return;
            }
            for settled_request in settled {
                self.notify_waiter(now, settled_request);
            }
        }
    }

    fn notify_waiter(&mut self, now: Instant, settled: WaitResult) {
        let (waiting, settlement) = match settled {
            WaitResult::Run(waiting, run) => (waiting, Ok(run)),
            WaitResult::Refused(waiting, refused) => (waiting, Err(refused)),
        };
        let undelivered = match self.waiting.remove(&waiting) {
            Some(sender) => sender.send(settlement).err(),
            None => Some(settlement),
        };
        if let Some(Ok(run)) = undelivered {
            self.queue.release(now, run, WorkOutcome::Aborted);
        }
    }
}

/// A queued request, which leaves the queue when it is dropped.
struct Waiter {
    slots: WorkSlots,
    key: WaitingKey,
    settled: oneshot::Receiver<Settlement>,
    is_settled: bool,
}

impl Waiter {
    async fn settle(mut self) -> Result<SlotLease, QueueRefusal> {
        let settlement = (&mut self.settled).await;
        self.is_settled = true;
        match settlement {
            Ok(Ok(run)) => Ok(SlotLease::new(self.slots.clone(), run)),
            Ok(Err(refused)) => Err(refused),
            // The sender is dropped together with the slots of a replaced target.
            Err(_) => Err(QueueRefusal {
                reason: QueueRefusalReason::Draining,
                retry_after: yuccarack_policy::work_queue::RETRY_AFTER_MIN,
            }),
        }
    }
}

impl Drop for Waiter {
    /// Leaves the queue and releases a slot that was assigned but not received yet.
    ///
    /// A caller may disconnect in between. Its slot would never be released, and once all slots
    /// were lost in this way the target would get no more requests.
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let mut state = self.slots.shared.state.lock();
        let now = Instant::now();
        state.waiting.remove(&self.key);
        state.queue.cancel(now, self.key);
        if let Ok(Ok(run)) = self.settled.try_recv() {
            state.queue.release(now, run, WorkOutcome::Aborted);
        }
        state.settle(now);
    }
}

/// A slot that a request holds; released when it is dropped.
pub struct SlotLease {
    slots: WorkSlots,
    key: RunningKey,
    outcome: WorkOutcome,
}

impl SlotLease {
    fn new(slots: WorkSlots, key: RunningKey) -> Self {
        Self { slots, key, outcome: WorkOutcome::Aborted }
    }

    /// Releases the slot after a complete response, whose time counts as a service time.
    pub fn finish(mut self) {
        self.outcome = WorkOutcome::Completed;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let (key, outcome) = (self.key, self.outcome);
        self.slots.change(|queue, now| queue.release(now, key, outcome));
    }
}

fn saturating_u16(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
