//! The target's slots: asks the admission policy, lets callers wait, gives slots back.

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
    Admission, AdmissionConfig, Offer, Offered, Refusal, RunEnd, RunKey, Settled, WaitKey,
};

/// Wait when nothing is due; the next offer wakes the clock anyway.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// What a waiting request is told.
type Settlement = Result<RunKey, Refusal>;

/// The slots of one target; clones share them.
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
    /// Makes the slots of a target.
    pub fn new(config: AdmissionConfig) -> Self {
        let admission = Admission::new(Instant::now(), config);
        let state = Mutex::new(State { admission, waiting: HashMap::new() });
        Self { shared: Arc::new(Shared { state, changed: Notify::new() }) }
    }

    /// Follows new rules or another number of slots.
    pub fn configure(&self, config: AdmissionConfig) {
        self.with_state(|state, now| state.admission.configure(now, config));
    }

    /// Says whether other targets of the service take work.
    pub fn set_alternatives(&self, has_alternatives: bool) {
        self.with_state(|state, _| state.admission.set_alternatives(has_alternatives));
    }

    /// Refuses all that waits and all that comes from now on.
    pub fn drain(&self) {
        self.with_state(|state, _| state.admission.drain());
    }

    /// Gets a slot, at once or after a wait that the policy allows.
    ///
    /// # Errors
    ///
    /// The policy's refusal; nothing of the request has run.
    pub async fn admit(&self, offer: Offer) -> Result<SlotLease, Refusal> {
        let (key, settled) = match self.offer(offer) {
            Ok(lease) => return Ok(lease),
            Err(NotStarted::Refused(refusal)) => return Err(refusal),
            Err(NotStarted::Queued(key, settled)) => (key, settled),
        };
        let waiter = Waiter { slots: self.clone(), key: Some(key), settled };
        waiter.settle().await
    }

    /// Notes that a piece of a long request or answer has passed.
    pub fn record_progress(&self, key: RunKey) {
        self.shared.state.lock().admission.moved(Instant::now(), key);
    }

    /// The load as the policy counts it.
    pub fn load(&self) -> LoadReport {
        self.shared.state.lock().admission.load()
    }

    /// Requests running on the target.
    pub fn in_flight(&self) -> usize {
        self.shared.state.lock().admission.in_flight()
    }

    /// Settles waiting requests as their time comes, until `stop`.
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
            Offered::Run(key) => Ok(SlotLease::new(self.clone(), key)),
            Offered::Refused(refusal) => Err(NotStarted::Refused(refusal)),
            Offered::Wait(key) => {
                let (sender, settled) = oneshot::channel();
                state.waiting.insert(key, sender);
                drop(state);
                self.shared.changed.notify_one();
                Err(NotStarted::Queued(key, settled))
            }
        }
    }

    /// Changes the state, then tells whoever the change has settled.
    fn with_state<T>(&self, change: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.shared.state.lock();
        let now = Instant::now();
        let result = change(&mut state, now);
        state.settle(now);
        result
    }

    fn release(&self, key: RunKey, end: RunEnd) {
        self.with_state(|state, now| state.admission.release(now, key, end));
    }
}

impl State {
    /// A slot that its waiter didn't take is free again, so it settles until nothing changes.
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

    fn notify_waiter(&mut self, now: Instant, settled: Settled) {
        match settled {
            Settled::Run(wait, run) => self.assign_slot(now, wait, run),
            Settled::Refused(wait, refusal) => {
                if let Some(waiter) = self.waiting.remove(&wait) {
                    let _ = waiter.send(Err(refusal));
                }
            }
        }
    }

    /// A waiter that has just gone away can't take its slot; nobody else would ever release it.
    fn assign_slot(&mut self, now: Instant, wait: WaitKey, run: RunKey) {
        let is_delivered = match self.waiting.remove(&wait) {
            Some(waiter) => waiter.send(Ok(run)).is_ok(),
            None => false,
        };
        if !is_delivered {
            self.admission.release(now, run, RunEnd::Cancelled);
        }
    }
}

enum NotStarted {
    Refused(Refusal),
    Queued(WaitKey, oneshot::Receiver<Settlement>),
}

/// A place in the queue; dropping it, as a caller's hang-up does, gives it up.
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
            // The sender lives in the state until it is used, and the state outlives `self`.
            Err(_) => unreachable!("a waiting request is always settled"),
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
            // The slot may have been handed over between the settlement and this drop.
            match self.settled.try_recv() {
                Ok(Ok(run)) => state.admission.release(now, run, RunEnd::Cancelled),
                Ok(Err(_)) => {}
                Err(_) => state.admission.cancel_wait(now, key),
            }
        });
    }
}

/// A slot in use; dropping it gives it back as cancelled.
pub struct SlotLease {
    slots: Slots,
    key: Option<RunKey>,
    started_at: Instant,
}

impl SlotLease {
    fn new(slots: Slots, key: RunKey) -> Self {
        Self { slots, key: Some(key), started_at: Instant::now() }
    }

    /// Notes that a piece of a long request or answer has passed.
    pub fn record_progress(&self) {
        if let Some(key) = self.key {
            self.slots.record_progress(key);
        }
    }

    /// Tells of pieces that pass while the slot itself is held elsewhere.
    pub fn progress_callback(&self) -> impl Fn() + Send + use<> {
        let (slots, key) = (self.slots.clone(), self.key);
        move || {
            if let Some(key) = key {
                slots.record_progress(key);
            }
        }
    }

    /// Gives the slot back after the target's answer.
    pub fn finish(mut self) {
        let took = self.started_at.elapsed();
        self.release(RunEnd::Done { took });
    }

    /// Gives the slot back after the target failed.
    pub fn finish_failed(mut self) {
        let took = self.started_at.elapsed();
        self.release(RunEnd::Failed { took });
    }

    /// Gives the slot back after the target shed the request.
    pub fn finish_shed(mut self) {
        self.release(RunEnd::Shed);
    }

    fn release(&mut self, end: RunEnd) {
        if let Some(key) = self.key.take() {
            self.slots.release(key, end);
        }
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.release(RunEnd::Cancelled);
    }
}
