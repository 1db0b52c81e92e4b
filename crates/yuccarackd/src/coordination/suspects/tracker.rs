//! Decides for the gate whether a request may run, and records crashes of its target.

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
    attempt::TrialAcquisition,
    cache::SuspectCache,
    event_handler::EventHandler,
    recorder::Recorder,
    row::Change,
    shared::Shared,
    trial::{TrialEnd, TrialIdentity, TrialVerdict},
};
use crate::{
    protocol::{control::UrgentUpdate, suspect_update::SuspectEvent},
    state::counters::Counters,
};

/// Tracks which requests may crash targets. Clones share their tasks.
#[derive(Clone)]
pub struct SuspectTracker {
    shared: Shared,
    trial_end_sender: UnboundedSender<TrialEnd>,
    service: watch::Sender<Option<ServiceName>>,
    trial_ids: Arc<Mutex<SmallRng>>,
}

impl SuspectTracker {
    /// Creates a tracker and spawns its tasks on `tasks`.
    ///
    /// Updates for other members of the service are sent to `update_sender`; their updates arrive
    /// at `update_receiver`. `stop` must be cancelled only after the gate's last call has ended.
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
            // Cancelled last, so that the changes of the handler's last trials are written.
            recorder_stop.cancel();
        });
        Self {
            shared,
            trial_end_sender,
            service,
            trial_ids: Arc::new(Mutex::new(SmallRng::from_os_rng())),
        }
    }

    /// Polls the suspects of `service`, which the own target serves, from now on.
    pub fn watch_service(&self, service: ServiceName) {
        self.service.send_if_modified(|followed| {
            let is_new = followed.as_ref() != Some(&service);
            *followed = Some(service);
            is_new
        });
    }

    /// Returns how a request may run, from the cache only.
    pub async fn verdict(&self, _service: &str, fingerprint: Fingerprint) -> Verdict {
        let verdict = self.shared.cache.lock().verdict(Instant::now(), fingerprint);
        let counter = match verdict {
            Verdict::Clear => return verdict,
            Verdict::Isolated => "suspects.alone",
            Verdict::OnTrialElsewhere { .. } => "suspects.on_trial",
            Verdict::Quarantined { .. } => "suspects.quarantined",
        };
        self.shared.counters.add(counter);
        verdict
    }

    /// Requests the right to run a suspect, which one gate of the service has at a time.
    ///
    /// The future may be dropped at any time; a trial that was written meanwhile is abandoned.
    pub async fn begin_trial(&self, service: &str, fingerprint: Fingerprint) -> TrialVerdict {
        let trial_id = self.trial_ids.lock().random::<AttemptId>();
        let identity = TrialIdentity { service: service.to_owned(), fingerprint, trial_id };
        TrialAcquisition::new(self.shared.clone(), identity, self.trial_end_sender.clone())
            .run()
            .await
    }

    /// Records that the own target crashed with these requests in flight, each with whether it ran
    /// on trial.
    ///
    /// When this returns the update to other members is queued, hence before a caller can send its
    /// request again. The rows are written in the background.
    pub async fn record_target_crash(&self, service: &str, in_flight: Vec<(Fingerprint, bool)>) {
        let mut cache = self.shared.cache.lock();
        let events =
            cache.record_own_target_crash(Instant::now(), &self.shared.instance, &in_flight);
        self.shared.counters.add_many("suspects.blamed", events.len() as u64);
        self.shared.queue_updates(service, &events);
        for (fingerprint, event) in events {
            let is_quarantined = event == SuspectEvent::Quarantined;
            let change =
                Change::Crashed { instances: cache.crashed_instances(fingerprint), is_quarantined };
            self.shared.queue_change(service, fingerprint, change);
        }
    }
}
