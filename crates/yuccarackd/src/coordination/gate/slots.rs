//! Asynchronous access to a target's slots: requests wait for admission and release their slots.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;
use yuccarack_config::load::LoadReport;
use yuccarack_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, Refusal, RunKey, RunOutcome, WaitKey,
    WaitOutcome,
};

/// Sleep of the clock when nothing is due. The next request that is queued wakes it earlier.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Decision on a waiting request: a slot or a refusal.
type Settlement = Result<RunKey, Refusal>;

/// Slots and queue of one target; clones share them.
#[derive(Clone)]
pub struct Slots {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Wakes the clock when the next due time may have changed.
    changed: Notify,
}

struct State {
    admission: Admission,
    waiting: HashMap<WaitKey, oneshot::Sender<Settlement>>,
}

impl Slots {
    /// Creates the slots of a target, all of them free.
    pub fn new(config: AdmissionConfig) -> Self {
        let admission = Admission::new(Instant::now(), config);
        let state = Mutex::new(State { admission, waiting: HashMap::new() });
        Self { shared: Arc::new(Shared { state, changed: Notify::new() }) }
    }

    /// Applies new rules or another number of slots.
    pub fn configure(&self, config: AdmissionConfig) {
        self.with_state(|state, now| state.admission.configure(now, config));
    }

    /// Sets whether other targets of the service accept requests.
    pub fn set_alternatives(&self, has_alternatives: bool) {
        self.with_state(|state, _| state.admission.set_alternatives(has_alternatives));
    }

    /// Refuses all waiting requests and all that are offered from now on.
    pub fn drain(&self) {
        self.with_state(|state, _| state.admission.drain());
    }

    /// Acquires a slot, at once or after a wait that the policy allows. Dropping the future leaves
    /// the queue.
    ///
    /// # Errors
    ///
    /// Returns the policy's refusal; nothing of the request has run.
    pub async fn admit(&self, offer: Offer) -> Result<SlotLease, Refusal> {
        let (key, settled) = match self.offer(offer) {
            Ok(lease) => return Ok(lease),
            Err(NotStarted::Refused(refusal)) => return Err(refusal),
            Err(NotStarted::Queued(key, settled)) => (key, settled),
        };
        let waiter = Waiter { slots: self.clone(), key: Some(key), settled };
        waiter.settle().await
    }

    /// Records that a piece of a long request or response has been transferred.
    pub fn record_progress(&self, key: RunKey) {
        self.shared.state.lock().admission.record_progress(Instant::now(), key);
    }

    /// Returns the load as the admission policy counts it.
    pub fn load(&self) -> LoadReport {
        self.shared.state.lock().admission.load()
    }

    /// Returns the number of requests that run on the target.
    pub fn in_flight(&self) -> usize {
        self.shared.state.lock().admission.in_flight()
    }

    /// Settles waiting requests as their wait times expire, until `stop`.
    pub async fn run_clock(&self, stop: CancellationToken) {
        loop {
            let next = self.shared.state.lock().admission.next_wake();
            let due = next.unwrap_or_else(|| Instant::now() + IDLE_WAIT);
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => self.with_state(|_, _| ()),
                () = self.shared.changed.notified() => {}
                () = stop.cancelled() => return,
            }
        }
    }

    fn offer(&self, offer: Offer) -> Result<SlotLease, NotStarted> {
        let mut state = self.shared.state.lock();
        match state.admission.offer(Instant::now(), offer) {
            AdmissionDecision::Run(key) => Ok(SlotLease::new(self.clone(), key)),
            AdmissionDecision::Refused(refusal) => Err(NotStarted::Refused(refusal)),
            AdmissionDecision::Wait(key) => {
                let (sender, settled) = oneshot::channel();
                state.waiting.insert(key, sender);
                drop(state);
                self.shared.changed.notify_one();
                Err(NotStarted::Queued(key, settled))
            }
        }
    }

    /// Changes the state, then notifies the waiting requests that the change has settled.
    fn with_state<T>(&self, change: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.shared.state.lock();
        let now = Instant::now();
        let result = change(&mut state, now);
        state.settle(now);
        result
    }

    fn release(&self, key: RunKey, end: RunOutcome) {
        self.with_state(|state, now| state.admission.release(now, key, end));
    }
}

impl State {
    /// Settles waiting requests until nothing changes, as a slot whose waiter is dropped becomes
    /// free again.
    fn settle(&mut self, now: Instant) {
        loop {
            let settled = self.admission.poll(now);
            if settled.is_empty() {
                return;
            }
            for settled in settled {
                self.notify_waiter(now, settled);
            }
        }
    }

    fn notify_waiter(&mut self, now: Instant, settled: WaitOutcome) {
        match settled {
            WaitOutcome::Run(wait, run) => self.assign_slot(now, wait, run),
            WaitOutcome::Refused(wait, refusal) => {
                if let Some(waiter) = self.waiting.remove(&wait) {
                    let _ = waiter.send(Err(refusal));
                }
            }
        }
    }

    /// Assigns a slot to its waiter. If the waiter has just been dropped the slot is released here,
    /// as nothing else would release it.
    fn assign_slot(&mut self, now: Instant, wait: WaitKey, run: RunKey) {
        let is_delivered = match self.waiting.remove(&wait) {
            Some(waiter) => waiter.send(Ok(run)).is_ok(),
            None => false,
        };
        if !is_delivered {
            self.admission.release(now, run, RunOutcome::Cancelled);
        }
    }
}

enum NotStarted {
    Refused(Refusal),
    Queued(WaitKey, oneshot::Receiver<Settlement>),
}

/// A waiting request, which leaves the queue when it is dropped, as after its caller disconnects.
struct Waiter {
    slots: Slots,
    key: Option<WaitKey>,
    settled: oneshot::Receiver<Settlement>,
}

impl Waiter {
    async fn settle(mut self) -> Result<SlotLease, Refusal> {
        let settled = (&mut self.settled).await;
        self.key = None;
        match settled {
            Ok(Ok(run)) => Ok(SlotLease::new(self.slots.clone(), run)),
            Ok(Err(refusal)) => Err(refusal),
            // The state keeps the sender until it is used, and `self` keeps the state.
            Err(_) => unreachable!("the sender of a waiting request was dropped unsettled"),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(key) = self.key.take() else {
            return;
        };
        self.slots.with_state(|state, now| {
            state.waiting.remove(&key);
            // The slot may have been assigned just before this drop.
            match self.settled.try_recv() {
                Ok(Ok(run)) => state.admission.release(now, run, RunOutcome::Cancelled),
                Ok(Err(_)) => {}
                Err(_) => state.admission.cancel_wait(now, key),
            }
        });
    }
}

/// A slot that a request holds; dropped unfinished, it is released as cancelled.
pub struct SlotLease {
    slots: Slots,
    key: Option<RunKey>,
    started_at: Instant,
}

impl SlotLease {
    fn new(slots: Slots, key: RunKey) -> Self {
        Self { slots, key: Some(key), started_at: Instant::now() }
    }

    /// Records that a piece of a long request or response has been transferred.
    pub fn record_progress(&self) {
        if let Some(key) = self.key {
            self.slots.record_progress(key);
        }
    }

    /// Returns a callback that records progress while the lease itself is held elsewhere.
    pub fn progress_callback(&self) -> impl Fn() + Send + use<> {
        let (slots, key) = (self.slots.clone(), self.key);
        move || {
            if let Some(key) = key {
                slots.record_progress(key);
            }
        }
    }

    /// Releases the slot after a complete response, whose duration counts as a service time.
    pub fn finish(mut self) {
        let service_time = self.started_at.elapsed();
        self.release(RunOutcome::Completed { service_time });
    }

    /// Releases the slot after the target failed.
    pub fn finish_failed(mut self) {
        let service_time = self.started_at.elapsed();
        self.release(RunOutcome::Failed { service_time });
    }

    /// Releases the slot after the target shed the request.
    pub fn finish_shed(mut self) {
        self.release(RunOutcome::Shed);
    }

    fn release(&mut self, end: RunOutcome) {
        if let Some(key) = self.key.take() {
            self.slots.release(key, end);
        }
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.release(RunOutcome::Cancelled);
    }
}
