//! Trials: runs of a suspect alone on one target of the service.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use yuccarack_config::ids::{AttemptId, Fingerprint, ServiceName};

use super::cache::SuspectCache;

/// Verdict whether a suspect may run here.
#[derive(Debug)]
pub enum TrialVerdict {
    /// It may run here and on no other target.
    Granted(Trial),
    /// It is on trial on another target.
    OnTrialElsewhere {
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
    /// It is quarantined after two crashes.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
    /// The store is unavailable, so no trial can be granted: another gate may hold it. This attempt
    /// is confirmed not to run.
    StoreUnavailable {
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
}

/// Right to run one suspect, of which nothing has been dispatched yet. Dropping it abandons the
/// trial.
#[derive(Debug)]
pub struct Trial {
    handle: TrialHandle,
    cache: Arc<Mutex<SuspectCache>>,
}

/// A trial whose request may have reached the target.
///
/// If it is dropped unfinished, see [`TrialEnd::Unfinished`], the request stays on trial for some
/// seconds, since the target may still crash because of it. Only then may it be tried again.
#[derive(Debug)]
#[must_use = "a trial that isn't ended keeps its request from running"]
pub struct RunningTrial {
    handle: TrialHandle,
}

#[derive(Debug)]
struct TrialHandle {
    identity: Option<TrialIdentity>,
    trial_end_sender: UnboundedSender<TrialEnd>,
    end_on_drop: fn(TrialIdentity) -> TrialEnd,
}

/// Identification of a trial.
#[derive(Clone, Debug)]
pub struct TrialIdentity {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Random id of the trial.
    pub trial_id: AttemptId,
}

/// How a trial ended.
#[derive(Debug)]
pub enum TrialEnd {
    /// The response is complete and the target hasn't crashed.
    Succeeded(TrialIdentity),
    /// The trial was dropped before the dispatch began.
    NotDispatched(TrialIdentity),
    /// The request is confirmed not to have run.
    NotRun(TrialIdentity),
    /// The trial was dropped unfinished: the caller disconnected, the connection to the target
    /// broke or the deadline passed. The request may still be running.
    Unfinished(TrialIdentity),
}

impl Trial {
    pub(super) fn new(
        identity: TrialIdentity,
        trial_end_sender: UnboundedSender<TrialEnd>,
        cache: Arc<Mutex<SuspectCache>>,
    ) -> Self {
        let handle = TrialHandle {
            identity: Some(identity),
            trial_end_sender,
            end_on_drop: TrialEnd::NotDispatched,
        };
        Self { handle, cache }
    }

    /// Turns the trial into a running one. Must be called before the first byte is sent.
    ///
    /// Only from here on a crash of the target counts against the request. One that still waits for
    /// its slot when another request crashes the target can't be the cause.
    pub fn begin_dispatch(mut self) -> RunningTrial {
        let identity = self.handle.identity.take();
        if let Some(identity) = &identity {
            self.cache.lock().record_trial_dispatch(identity.fingerprint, identity.trial_id);
        }
        let trial_end_sender = self.handle.trial_end_sender.clone();
        RunningTrial {
            handle: TrialHandle { identity, trial_end_sender, end_on_drop: TrialEnd::Unfinished },
        }
    }
}

impl RunningTrial {
    /// Ends the trial as succeeded: the response is complete and the target hasn't crashed.
    pub fn finish(mut self) {
        self.handle.end(TrialEnd::Succeeded);
    }

    /// Ends the trial of a request that is confirmed not to have run.
    pub fn finish_not_run(mut self) {
        self.handle.end(TrialEnd::NotRun);
    }
}

impl TrialHandle {
    fn end(&mut self, how: fn(TrialIdentity) -> TrialEnd) {
        if let Some(identity) = self.identity.take() {
            // If the event handler has ended, the row stays on trial until it expires.
            let _ = self.trial_end_sender.send(how(identity));
        }
    }
}

impl Drop for TrialHandle {
    fn drop(&mut self) {
        self.end(self.end_on_drop);
    }
}
