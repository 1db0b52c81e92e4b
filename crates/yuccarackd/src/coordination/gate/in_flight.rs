//! Records the requests in flight at the target, which become suspects if it crashes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use yuccarack_config::ids::Fingerprint;

/// Time for which a broken or abandoned request may become the suspect of a crash that is noticed
/// later. Connections break at once when a process dies, and its successor announces itself within
/// a few seconds.
const ABANDONED_RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of broken or abandoned requests that are recorded.
const ABANDONED_MAX: usize = 256;

new_key_type! {
    struct InFlightKey;
}

/// A request in flight at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightRequest {
    /// Fingerprint that identifies the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Whether no other request was in flight.
    pub is_alone: bool,
}

/// Requests in flight at one target; clones share them.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    running: SlotMap<InFlightKey, InFlightRequest>,
    abandoned: Vec<(InFlightRequest, Instant)>,
}

impl InFlightRequests {
    /// Creates a record without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request as in flight until the guard is dropped.
    pub fn register(&self, request: InFlightRequest) -> InFlightGuard {
        let key = self.state.lock().running.insert(request);
        InFlightGuard { in_flight: self.clone(), key, may_still_run: true }
    }

    /// Removes and returns all requests that were in flight when the target crashed.
    ///
    /// Each is returned only once, as one crash must not count twice against a request.
    pub fn take_crash_suspects(&self, now: Instant) -> Vec<InFlightRequest> {
        let mut state = self.state.lock();
        let mut suspects: Vec<InFlightRequest> =
            state.running.drain().map(|(_, request)| request).collect();
        let abandoned = std::mem::take(&mut state.abandoned);
        let recent = abandoned
            .iter()
            .filter(|(_, abandoned_at)| now.duration_since(*abandoned_at) < ABANDONED_RETENTION);
        suspects.extend(recent.map(|(request, _)| *request));
        suspects
    }

    fn remove(&self, key: InFlightKey, abandoned_at: Option<Instant>) {
        let mut state = self.state.lock();
        let Some(request) = state.running.remove(key) else {
            return;
        };
        let Some(abandoned_at) = abandoned_at else {
            return;
        };
        if state.abandoned.len() == ABANDONED_MAX {
            state.abandoned.remove(0);
        }
        state.abandoned.push((request, abandoned_at));
    }
}

/// Guard of a request in flight.
///
/// A request that is dropped unfinished, or whose connection broke, may still be running, so it
/// stays recorded for some seconds. Otherwise a caller that disconnects shortly before its request
/// crashes the target would never have the request found among those in flight.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlightRequests,
    key: InFlightKey,
    may_still_run: bool,
}

impl InFlightGuard {
    /// Removes the request: nothing of it runs on the target any more.
    pub fn finish(mut self) {
        self.may_still_run = false;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.remove(self.key, self.may_still_run.then(Instant::now));
    }
}
