//! Gates of one service that hear each other, beside a platform with faults to order.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_platform::{
    PlatformClient,
    messages::{Commit, Write},
    rows::{SuspectRow, suspect_key},
};
use yuccarack_policy::suspects::Verdict;
use yuccarack_standins::platform::Platform;
use yuccarackd::{
    coordination::suspects::{SuspectTracker, Trial, TrialVerdict},
    protocol::control::UrgentUpdate,
    state::counters::Counters,
};

/// Service of all requests.
pub const SERVICE: &str = "dosing";
/// Answers of the platform are waited for so long.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for anything; generous, and under the 10 s for which a trial is kept whose caller
/// hung up, so that a trial that should be given back at once isn't waited for.
const WAIT_MAX: Duration = Duration::from_secs(8);
/// News that may wait.
const NEWS_MAX: usize = 256;

/// Gates that hear each other's news.
pub struct Gates {
    pub platform: Platform,
    pub gates: Vec<SuspectTracker>,
    update_senders: Arc<Mutex<Vec<mpsc::Sender<UrgentUpdate>>>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Gates {
    /// Starts a platform and `count` gates.
    pub async fn start(count: usize) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any).await.expect("a port is free");
        let mut gates = Self {
            platform,
            gates: Vec::new(),
            update_senders: Arc::default(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        };
        for _ in 0..count {
            gates.add();
        }
        gates
    }

    /// Adds a gate, which knows nothing yet, and says its number.
    pub fn add(&mut self) -> usize {
        let number = self.gates.len();
        let (news, mut said) = mpsc::channel(NEWS_MAX);
        let (update_sender, heard) = mpsc::channel(NEWS_MAX);
        self.update_senders.lock().push(update_sender);
        let client = PlatformClient::new(self.platform.address(), ANSWER_TIMEOUT);
        self.gates.push(SuspectTracker::start(
            client,
            format!("gate-{number}"),
            Counters::new(),
            news,
            heard,
            &self.tasks,
            self.stop.clone(),
        ));
        let (update_senders, stop) = (self.update_senders.clone(), self.stop.clone());
        self.tasks.spawn(async move {
            loop {
                let news: UrgentUpdate = tokio::select! {
                    Some(news) = said.recv() => news,
                    () = stop.cancelled() => return,
                };
                for (_, update_sender) in update_senders
                    .lock()
                    .iter()
                    .enumerate()
                    .filter(|(update_sender, _)| *update_sender != number)
                {
                    update_sender.try_send(news.clone()).expect("there is room");
                }
            }
        });
        number
    }

    /// A target died at gate `number` with one request on it, in company.
    pub async fn record_crash(&self, number: usize, fingerprint: u64) {
        self.gates[number].record_target_crash(SERVICE, vec![(fingerprint, false)]).await;
    }

    /// A target died of a trial.
    pub async fn crash_on_trial(&self, number: usize) {
        self.gates[number].record_target_crash(SERVICE, Vec::new()).await;
    }

    /// Asks for a trial.
    pub async fn begin(&self, number: usize, fingerprint: u64) -> TrialVerdict {
        self.gates[number].begin_trial(SERVICE, fingerprint).await
    }

    /// Asks for a trial, which nobody holds.
    pub async fn granted(&self, number: usize, fingerprint: u64) -> Trial {
        match self.begin(number, fingerprint).await {
            TrialVerdict::Granted(trial) => trial,
            other => panic!("the trial was to be free, and is {other:?}"),
        }
    }

    /// Asks for a trial again and again.
    pub async fn granted_at_last(&self, number: usize, fingerprint: u64) -> Trial {
        let trying = async {
            loop {
                if let TrialVerdict::Granted(trial) = self.begin(number, fingerprint).await {
                    return trial;
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_MAX, trying).await.expect("the trial is free at last")
    }

    /// How gate `number` would let the request run.
    pub async fn verdict(&self, number: usize, fingerprint: u64) -> Verdict {
        self.gates[number].verdict(SERVICE, fingerprint).await
    }

    /// Waits until all gates think so of the request.
    pub async fn until_all(&self, what: &str, fingerprint: u64, holds: fn(&Verdict) -> bool) {
        let polling = async {
            for number in 0..self.gates.len() {
                while !holds(&self.verdict(number, fingerprint).await) {
                    sleep(Duration::from_millis(2)).await;
                }
            }
        };
        if timeout(WAIT_MAX, polling).await.is_err() {
            panic!("never came true at all gates: {what}");
        }
    }

    /// The suspect's row as it stands in the table.
    pub fn row(&self, fingerprint: u64) -> Option<SuspectRow> {
        let key = suspect_key(SERVICE, fingerprint);
        let row = self.platform.with_table(|table| table.row(&key))?;
        Some(serde_json::from_value(row.value).expect("the row is a suspect"))
    }

    /// Lets the time of the suspect's row run out.
    pub fn let_expire(&self, fingerprint: u64) {
        let mut row = self.row(fingerprint).expect("there is a row");
        row.expires_at_unix_ms = 1;
        let value = serde_json::to_value(row).expect("a row has a form");
        let writes = vec![Write::put(suspect_key(SERVICE, fingerprint), value)];
        let commit = Commit { conditions: Vec::new(), writes };
        self.platform.with_table(|table| table.commit(commit)).expect("it asks for nothing");
    }

    /// Stops all gates and joins all they spawned.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        timeout(WAIT_MAX, self.tasks.wait()).await.expect("all tasks end");
        self.platform.stop().await;
    }
}

/// Waits until `holds`.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let polling = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    if timeout(WAIT_MAX, polling).await.is_err() {
        panic!("never came true: {what}");
    }
}
