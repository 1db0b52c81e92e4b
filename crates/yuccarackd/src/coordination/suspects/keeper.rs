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
    listener::Listener,
    memory::Memory,
    recorder::Recorder,
    row::Change,
    shared::Shared,
    trial::{Ended, TrialParts, TrialVerdict},
};
use crate::{
    protocol::{control::UrgentUpdate, suspect_update::SuspectEvent},
    state::counters::Counters,
};

/// Knows which requests may crash targets; clones share their tasks.
#[derive(Clone)]
pub struct SuspectKeeper {
    shared: Shared,
    ended: UnboundedSender<Ended>,
    service: watch::Sender<Option<ServiceName>>,
    trial_ids: Arc<Mutex<SmallRng>>,
}

impl SuspectKeeper {
    /// Makes a keeper and starts its tasks on `tasks`.
    ///
    /// What it puts into `news` is to reach all members of the service at once; what they say
    /// comes by `heard`. `stop` is to be cancelled after the gate's last call has ended.
    pub fn start(
        platform: PlatformClient,
        instance: InstanceId,
        counters: Counters,
        news: mpsc::Sender<UrgentUpdate>,
        heard: mpsc::Receiver<UrgentUpdate>,
        tasks: &TaskTracker,
        stop: CancellationToken,
    ) -> Self {
        let (changes, changes_in) = mpsc::unbounded_channel();
        let (ended, ended_in) = mpsc::unbounded_channel();
        let (service, service_in) = watch::channel(None);
        let memory = Arc::new(Mutex::new(Memory::new()));
        let shared = Shared { platform, instance, counters, memory, news, changes };
        let listener = Listener::new(shared.clone(), heard, ended_in);
        let recorder = Recorder::new(shared.clone(), changes_in, service_in);
        let recorder_stop = CancellationToken::new();
        tasks.spawn(recorder.run(recorder_stop.clone()));
        tasks.spawn(async move {
            listener.run(stop).await;
            // Only now, so that what the listener's last trials ask for is written.
            recorder_stop.cancel();
        });
        Self { shared, ended, service, trial_ids: Arc::new(Mutex::new(SmallRng::from_os_rng())) }
    }

    /// Follows the suspects of `service`, the own target's, in the table from now on.
    pub fn follow(&self, service: ServiceName) {
        self.service.send_if_modified(|followed| {
            let is_new = followed.as_ref() != Some(&service);
            *followed = Some(service);
            is_new
        });
    }

    /// How a request may run; asks nobody.
    pub async fn verdict(&self, _service: &str, fingerprint: Fingerprint) -> Verdict {
        let verdict = self.shared.memory.lock().verdict(Instant::now(), fingerprint);
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
        TrialAttempt::new(self.shared.clone(), parts, self.ended.clone()).run().await
    }

    /// Notes that the own target died with these requests on it, each with whether it was alone.
    ///
    /// News are on their way when this returns, so before a caller can send its request again;
    /// the rows follow in the background.
    pub async fn target_died(&self, service: &str, in_flight: Vec<(Fingerprint, bool)>) {
        let mut memory = self.shared.memory.lock();
        let events = memory.own_target_died(Instant::now(), &self.shared.instance, &in_flight);
        self.shared.counters.add_many("suspects.blamed", events.len() as u64);
        self.shared.tell(service, &events);
        for (fingerprint, event) in events {
            let is_quarantined = event == SuspectEvent::Quarantined;
            let change = Change::Died { died: memory.died(fingerprint), is_quarantined };
            self.shared.change(service, fingerprint, change);
        }
    }
}
