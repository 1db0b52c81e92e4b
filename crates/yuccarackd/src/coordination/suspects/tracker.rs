//! The gate's side: may a request run, may it run alone, a target has died.

use std::{sync::Arc, time::Instant};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::{
    mpsc::{self, UnboundedSender},
    watch,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::ids::{AttemptId, Fingerprint, InstanceId, ServiceName};
use yuccarack_platform::PlatformClient;
use yuccarack_policy::suspects::Verdict;

use super::{
    attempt::TrialAttempt,
    cache::SuspectCache,
    event_handler::EventHandler,
    recorder::Recorder,
    row::Change,
    shared::Shared,
    trial::{TrialEnd, TrialParts, TrialVerdict},
};
use crate::{
    protocol::{control::UrgentUpdate, suspect_update::SuspectEvent},
    state::counters::Counters,
};

/// Knows which requests may crash targets; clones share their tasks.
#[derive(Clone)]
pub struct SuspectTracker {
    shared: Shared,
    trial_end_sender: UnboundedSender<TrialEnd>,
    service: watch::Sender<Option<ServiceName>>,
    trial_ids: Arc<Mutex<SmallRng>>,
}

impl SuspectTracker {
    /// Makes a keeper and starts its tasks on `tasks`.
    ///
    /// What it puts into `news` is to reach all members of the service at once; what they say
    /// comes by `heard`. `stop` is to be cancelled after the gate's last call has ended.
    pub fn start(
        platform: PlatformClient,
        instance: InstanceId,
        counters: Counters,
        update_sender: mpsc::Sender<UrgentUpdate>,
        update_receiver: mpsc::Receiver<UrgentUpdate>,
        tasks: &TaskTracker,
        stop: CancellationToken,
    ) -> Self {
        let (changes, change_receiver) = mpsc::unbounded_channel();
        let (trial_end_sender, trial_end_receiver) = mpsc::unbounded_channel();
        let (service, service_receiver) = watch::channel(None);
        let cache = Arc::new(Mutex::new(SuspectCache::new()));
        let shared = Shared { platform, instance, counters, cache, update_sender, changes };
        let event_handler = EventHandler::new(shared.clone(), update_receiver, trial_end_receiver);
        let recorder = Recorder::new(shared.clone(), change_receiver, service_receiver);
        let recorder_stop = CancellationToken::new();
        tasks.spawn(recorder.run(recorder_stop.clone()));
        tasks.spawn(async move {
            event_handler.run(stop).await;
            // Only now, so that what the listener's last trials ask for is written.
            recorder_stop.cancel();
        });
        Self {
            shared,
            trial_end_sender,
            service,
            trial_ids: Arc::new(Mutex::new(SmallRng::from_os_rng())),
        }
    }

    /// Follows the suspects of `service`, the own target's, in the table from now on.
    pub fn watch_service(&self, service: ServiceName) {
        self.service.send_if_modified(|followed| {
            let is_new = followed.as_ref() != Some(&service);
            *followed = Some(service);
            is_new
        });
    }

    /// How a request may run; asks nobody.
    pub async fn verdict(&self, _service: &str, fingerprint: Fingerprint) -> Verdict {
        let verdict = self.shared.cache.lock().verdict(Instant::now(), fingerprint);
        let counter = match verdict {
            Verdict::Clear => return verdict,
            Verdict::Alone => "suspects.alone",
            Verdict::OnTrialElsewhere { .. } => "suspects.on_trial",
            Verdict::Quarantined { .. } => "suspects.quarantined",
        };
        self.shared.counters.add(counter);
        verdict
    }

    /// Asks for the right to run a suspect, which one gate of the service has at a time.
    ///
    /// May be cancelled at any time; a trial that was written meanwhile is given up.
    pub async fn begin_trial(&self, service: &str, fingerprint: Fingerprint) -> TrialVerdict {
        let trial = self.trial_ids.lock().random::<AttemptId>();
        let parts = TrialParts { service: service.to_owned(), fingerprint, trial };
        TrialAttempt::new(self.shared.clone(), parts, self.trial_end_sender.clone()).run().await
    }

    /// Notes that the own target died with these requests on it, each with whether it was alone.
    ///
    /// News are on their way when this returns, so before a caller can send its request again;
    /// the rows follow in the background.
    pub async fn record_target_crash(&self, service: &str, in_flight: Vec<(Fingerprint, bool)>) {
        let mut cache = self.shared.cache.lock();
        let events =
            cache.record_own_target_crash(Instant::now(), &self.shared.instance, &in_flight);
        self.shared.counters.add_many("suspects.blamed", events.len() as u64);
        self.shared.broadcast(service, &events);
        for (fingerprint, event) in events {
            let is_quarantined = event == SuspectEvent::Quarantined;
            let change =
                Change::Crashed { instances: cache.crashed_instances(fingerprint), is_quarantined };
            self.shared.queue_change(service, fingerprint, change);
        }
    }
}
