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
    trial::{Ended, TrialParts},
};
use crate::protocol::{control::UrgentUpdate, suspect_update::SuspectEvent};

/// How long a request whose caller hung up may still be laid to the target's death.
const SILENT_TRIAL_KEPT: Duration = Duration::from_secs(10);

/// Takes news and ends of trials into the memory.
pub struct Listener {
    shared: Shared,
    heard: Receiver<UrgentUpdate>,
    ended: UnboundedReceiver<Ended>,
    /// Trials that ended without a word, each with the end of its time.
    silent: VecDeque<(Instant, TrialParts)>,
}

impl Listener {
    /// Makes a listener.
    pub fn new(
        shared: Shared,
        heard: Receiver<UrgentUpdate>,
        ended: UnboundedReceiver<Ended>,
    ) -> Self {
        Self { shared, heard, ended, silent: VecDeque::new() }
    }

    /// Listens until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        loop {
            let due = self.silent.front().map(|(at, _)| *at);
            tokio::select! {
                Some(news) = self.heard.recv() => self.hear(&news),
                Some(ended) = self.ended.recv() => self.end_trial(ended),
                () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                    self.give_up_silent(Instant::now());
                }
                () = stop.cancelled() => break,
            }
        }
        while let Ok(ended) = self.ended.try_recv() {
            self.end_trial(ended);
        }
    }

    fn hear(&self, news: &UrgentUpdate) {
        let UrgentUpdate::Suspects(news) = news;
        self.shared.counters.add_many("suspects.news_heard", news.len() as u64);
        let mut memory = self.shared.memory.lock();
        news.iter().for_each(|news| memory.hear(Instant::now(), news));
    }

    fn end_trial(&mut self, ended: Ended) {
        match ended {
            Ended::Well(parts) => self.clear(&parts),
            Ended::NotStarted(parts) => {
                let now = Instant::now();
                self.shared.memory.lock().trial_not_started(now, parts.fingerprint);
                self.tell_given_up(&parts);
            }
            Ended::NotRun(parts) => self.give_up(&parts),
            Ended::InSilence(parts) => {
                self.silent.push_back((Instant::now() + SILENT_TRIAL_KEPT, parts));
            }
        }
    }

    fn give_up_silent(&mut self, now: Instant) {
        while self.silent.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, parts)) = self.silent.pop_front() {
                self.give_up(&parts);
            }
        }
    }

    fn clear(&self, parts: &TrialParts) {
        let is_open = self.shared.memory.lock().trial_ended_well(parts.fingerprint, parts.trial);
        if !is_open {
            return;
        }
        self.shared.counters.add("suspects.cleared");
        self.shared.tell(&parts.service, &[(parts.fingerprint, SuspectEvent::Cleared)]);
        let change = Change::Cleared { trial: parts.trial };
        self.shared.change(&parts.service, parts.fingerprint, change);
    }

    fn give_up(&self, parts: &TrialParts) {
        let TrialParts { fingerprint, trial, .. } = parts;
        let now = Instant::now();
        let is_open = self.shared.memory.lock().trial_abandoned(now, *fingerprint, *trial);
        if is_open {
            self.tell_given_up(parts);
        }
    }

    fn tell_given_up(&self, parts: &TrialParts) {
        let TrialParts { service, fingerprint, trial } = parts;
        self.shared.counters.add("suspects.trial_abandoned");
        self.shared.tell(service, &[(*fingerprint, SuspectEvent::TrialAbandoned)]);
        self.shared.change(service, *fingerprint, Change::TrialAbandoned { trial: *trial });
    }
}
