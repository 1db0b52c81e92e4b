//! Task that applies updates of peers and ends of trials to the cache.
//!
//! It is separate from the recorder, so that a store that hangs doesn't delay it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tokio::{
    sync::mpsc::{Receiver, UnboundedReceiver},
    time::sleep_until,
};
use tokio_util::sync::CancellationToken;

use super::{
    row::Change,
    shared::Shared,
    trial::{TrialEnd, TrialIdentity},
};
use crate::protocol::{control::UrgentUpdate, suspect_update::SuspectEvent};

/// Time for which a request whose trial was dropped unfinished still counts as a cause of a target
/// crash.
const UNFINISHED_TRIAL_RETENTION: Duration = Duration::from_secs(10);

/// Applies updates and ends of trials to the cache.
pub struct EventHandler {
    shared: Shared,
    updates: Receiver<UrgentUpdate>,
    trial_ends: UnboundedReceiver<TrialEnd>,
    /// Trials that were dropped unfinished, each with the time when it is abandoned.
    unfinished: VecDeque<(Instant, TrialIdentity)>,
}

impl EventHandler {
    /// Creates a handler of the `updates` of peers and of `trial_ends` of this gate.
    pub fn new(
        shared: Shared,
        updates: Receiver<UrgentUpdate>,
        trial_ends: UnboundedReceiver<TrialEnd>,
    ) -> Self {
        Self { shared, updates, trial_ends, unfinished: VecDeque::new() }
    }

    /// Handles events until `stop`, then the trial ends that are already queued.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let due = self.unfinished.front().map(|(at, _)| *at);
            tokio::select! {
                Some(update) = self.updates.recv() => self.apply_update(&update),
                Some(trial_end) = self.trial_ends.recv() => self.end_trial(trial_end),
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                    self.abandon_expired(Instant::now());
                }
                () = stop.cancelled() => break,
            }
        }
        while let Ok(trial_end) = self.trial_ends.try_recv() {
            self.end_trial(trial_end);
        }
    }

    fn apply_update(&self, update: &UrgentUpdate) {
        let UrgentUpdate::Suspects(updates) = update;
        self.shared.counters.add_many("suspects.news_heard", updates.len() as u64);
        let mut cache = self.shared.cache.lock();
        updates.iter().for_each(|update| cache.apply_update(Instant::now(), update));
    }

    fn end_trial(&mut self, trial_end: TrialEnd) {
        match trial_end {
            TrialEnd::Succeeded(identity) => self.clear(&identity),
            TrialEnd::NotDispatched(identity) => {
                let now = Instant::now();
                self.shared.cache.lock().abandon_undispatched_trial(now, identity.fingerprint);
                self.announce_abandoned(&identity);
            }
            TrialEnd::NotRun(identity) => self.abandon(&identity),
            TrialEnd::Unfinished(identity) => {
                self.unfinished.push_back((Instant::now() + UNFINISHED_TRIAL_RETENTION, identity));
            }
        }
    }

    fn abandon_expired(&mut self, now: Instant) {
        while self.unfinished.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, identity)) = self.unfinished.pop_front() {
                self.abandon(&identity);
            }
        }
    }

    fn clear(&self, identity: &TrialIdentity) {
        let is_running =
            self.shared.cache.lock().finish_trial(identity.fingerprint, identity.trial_id);
        if !is_running {
            return;
        }
        self.shared.counters.add("suspects.cleared");
        self.shared
            .queue_updates(&identity.service, &[(identity.fingerprint, SuspectEvent::Cleared)]);
        let change = Change::Cleared { trial_id: identity.trial_id };
        self.shared.queue_change(&identity.service, identity.fingerprint, change);
    }

    fn abandon(&self, identity: &TrialIdentity) {
        let TrialIdentity { fingerprint, trial_id, .. } = identity;
        let now = Instant::now();
        let is_running = self.shared.cache.lock().abandon_trial(now, *fingerprint, *trial_id);
        if is_running {
            self.announce_abandoned(identity);
        }
    }

    fn announce_abandoned(&self, identity: &TrialIdentity) {
        let TrialIdentity { service, fingerprint, trial_id } = identity;
        self.shared.counters.add("suspects.trial_abandoned");
        self.shared.queue_updates(service, &[(*fingerprint, SuspectEvent::TrialAbandoned)]);
        self.shared.queue_change(
            service,
            *fingerprint,
            Change::TrialAbandoned { trial_id: *trial_id },
        );
    }
}
