//! A suspect's run, alone, on one target of the whole service.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use yuccarack_config::ids::{AttemptId, Fingerprint, ServiceName};

use super::cache::SuspectCache;

/// Whether a suspect may run here.
#[derive(Debug)]
pub enum TrialVerdict {
    /// It may, here and nowhere else.
    Granted(Trial),
    /// It runs on another target.
    OnTrialElsewhere {
        /// When the caller may ask again.
        retry_after: Duration,
    },
    /// It crashed two targets.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
    /// The store can't tell whether it runs elsewhere; it is proved that it doesn't run here.
    StoreUnavailable {
        /// Time after which another try is worth it.
        retry_after: Duration,
    },
}

/// The right to run one suspect; as long as it is held, nothing was handed over, and dropping it
/// gives it back.
#[derive(Debug)]
pub struct Trial {
    handle: TrialHandle,
    cache: Arc<Mutex<SuspectCache>>,
}

/// A trial whose request may have reached the target.
///
/// Dropped without a word, as when its caller hangs up, it stays on trial for some seconds: the
/// target may still die of it. Only then may it be tried again.
#[derive(Debug)]
#[must_use = "a trial that isn't ended keeps its request from running"]
pub struct RunningTrial {
    handle: TrialHandle,
}

#[derive(Debug)]
struct TrialHandle {
    parts: Option<TrialParts>,
    trial_end_sender: UnboundedSender<TrialEnd>,
    end_on_drop: fn(TrialParts) -> TrialEnd,
}

/// Which trial it is.
#[derive(Clone, Debug)]
pub struct TrialParts {
    /// Service that the request is for.
    pub service: ServiceName,
    /// What the request is recognised by.
    pub fingerprint: Fingerprint,
    /// Name of the trial.
    pub trial: AttemptId,
}

/// How a trial ended.
#[derive(Debug)]
pub enum TrialEnd {
    /// The target lives.
    Succeeded(TrialParts),
    /// It was given back before it began.
    NotStarted(TrialParts),
    /// Nothing was handed over.
    NotRun(TrialParts),
    /// Its caller hung up; the request may still run.
    CallerDisconnected(TrialParts),
}

impl Trial {
    pub(super) fn new(
        parts: TrialParts,
        trial_end_sender: UnboundedSender<TrialEnd>,
        cache: Arc<Mutex<SuspectCache>>,
    ) -> Self {
        let handle =
            TrialHandle { parts: Some(parts), trial_end_sender, end_on_drop: TrialEnd::NotStarted };
        Self { handle, cache }
    }

    /// Goes over to running; to be called before the first byte is handed over.
    ///
    /// Only from here on the target's death counts against it: one that waited for its slot when
    /// another request took the target down has done nothing.
    pub fn begin_dispatch(mut self) -> RunningTrial {
        let parts = self.handle.parts.take();
        if let Some(parts) = &parts {
            self.cache.lock().record_trial_dispatch(parts.fingerprint, parts.trial);
        }
        let trial_end_sender = self.handle.trial_end_sender.clone();
        RunningTrial {
            handle: TrialHandle {
                parts,
                trial_end_sender,
                end_on_drop: TrialEnd::CallerDisconnected,
            },
        }
    }
}

impl RunningTrial {
    /// Ends the trial: the whole answer came and the target lives.
    pub fn finish(mut self) {
        self.handle.end(TrialEnd::Succeeded);
    }

    /// Ends the trial with the proof that nothing of the request ran.
    pub fn finish_not_run(mut self) {
        self.handle.end(TrialEnd::NotRun);
    }
}

impl TrialHandle {
    fn end(&mut self, how: fn(TrialParts) -> TrialEnd) {
        if let Some(parts) = self.parts.take() {
            // After the listener's end the row stays on trial until its time is over.
            let _ = self.trial_end_sender.send(how(parts));
        }
    }
}

impl Drop for TrialHandle {
    fn drop(&mut self) {
        self.end(self.end_on_drop);
    }
}
