//! Which requests are on the target, so that its death can be laid to them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use yuccarack_config::ids::Fingerprint;

/// How long a broken or abandoned request may be laid to a death found later; connections break at
/// once when a process dies, and its successor announces itself within a few seconds.
const ABANDONED_RETENTION: Duration = Duration::from_secs(5);

/// Most broken or abandoned requests that are remembered.
const ABANDONED_MAX: usize = 256;

new_key_type! {
    struct InFlightKey;
}

/// One request that was on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightRequest {
    /// What the request is recognised by.
    pub fingerprint: Fingerprint,
    /// Whether nothing else was on the target.
    pub is_alone: bool,
}

/// Requests on the target; clones share them.
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
    /// Starts with nothing on the target.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks a request as being on the target until the guard is dropped.
    pub fn register(&self, request: InFlightRequest) -> InFlightGuard {
        let key = self.state.lock().running.insert(request);
        InFlightGuard { in_flight: self.clone(), key, may_still_run: true }
    }

    /// Takes out all requests that were on the target when it died.
    ///
    /// Each is taken once: one death must not count as two against a request.
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

/// One request's presence on the target.
///
/// Failure: a caller hangs up on each try a moment before its request crashes the target, and the
/// request is never found among those in flight. So a request that is dropped without an end, or
/// whose connection broke, is remembered for some seconds: it may still be running.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlightRequests,
    key: InFlightKey,
    may_still_run: bool,
}

impl InFlightGuard {
    /// Ends the presence: the target has nothing of the request any more.
    pub fn finish(mut self) {
        self.may_still_run = false;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.remove(self.key, self.may_still_run.then(Instant::now));
    }
}
