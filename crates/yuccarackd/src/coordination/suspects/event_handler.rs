//! The task that hears peers and ends trials, apart from the table, which may hang.

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
    trial::{TrialEnd, TrialParts},
};
use crate::protocol::{control::UrgentUpdate, suspect_update::SuspectEvent};

/// How long a request whose caller hung up may still be laid to the target's death.
const DISCONNECTED_TRIAL_RETENTION: Duration = Duration::from_secs(10);

/// Takes news and ends of trials into the memory.
pub struct EventHandler {
    shared: Shared,
    updates: Receiver<UrgentUpdate>,
    trial_ends: UnboundedReceiver<TrialEnd>,
    /// Trials that ended without a word, each with the end of its time.
    disconnected: VecDeque<(Instant, TrialParts)>,
}

impl EventHandler {
    /// Makes a listener.
    pub fn new(
        shared: Shared,
        updates: Receiver<UrgentUpdate>,
        trial_ends: UnboundedReceiver<TrialEnd>,
    ) -> Self {
        Self { shared, updates, trial_ends, disconnected: VecDeque::new() }
    }

    /// Listens until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let due = self.disconnected.front().map(|(at, _)| *at);
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
            TrialEnd::Succeeded(parts) => self.clear(&parts),
            TrialEnd::NotStarted(parts) => {
                let now = Instant::now();
                self.shared.cache.lock().abandon_unstarted_trial(now, parts.fingerprint);
                self.announce_abandoned(&parts);
            }
            TrialEnd::NotRun(parts) => self.abandon(&parts),
            TrialEnd::CallerDisconnected(parts) => {
                self.disconnected.push_back((Instant::now() + DISCONNECTED_TRIAL_RETENTION, parts));
            }
        }
    }

    fn abandon_expired(&mut self, now: Instant) {
        while self.disconnected.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, parts)) = self.disconnected.pop_front() {
                self.abandon(&parts);
            }
        }
    }

    fn clear(&self, parts: &TrialParts) {
        let is_open = self.shared.cache.lock().finish_trial(parts.fingerprint, parts.trial);
        if !is_open {
            return;
        }
        self.shared.counters.add("suspects.cleared");
        self.shared.broadcast(&parts.service, &[(parts.fingerprint, SuspectEvent::Cleared)]);
        let change = Change::Cleared { trial: parts.trial };
        self.shared.queue_change(&parts.service, parts.fingerprint, change);
    }

    fn abandon(&self, parts: &TrialParts) {
        let TrialParts { fingerprint, trial, .. } = parts;
        let now = Instant::now();
        let is_open = self.shared.cache.lock().abandon_trial(now, *fingerprint, *trial);
        if is_open {
            self.announce_abandoned(parts);
        }
    }

    fn announce_abandoned(&self, parts: &TrialParts) {
        let TrialParts { service, fingerprint, trial } = parts;
        self.shared.counters.add("suspects.trial_abandoned");
        self.shared.broadcast(service, &[(*fingerprint, SuspectEvent::TrialAbandoned)]);
        self.shared.queue_change(service, *fingerprint, Change::TrialAbandoned { trial: *trial });
    }
}
