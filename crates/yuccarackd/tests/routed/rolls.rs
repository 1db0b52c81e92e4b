//! Tests that stop and restart all daemons in turn under load.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use yuccarack_platform_standin::{
    caller::{Call, KeptConnection, Unanswered},
    deployment::wait,
    store::DoorMode,
    target::Behaviour,
};
use yuccarack_standins::client::{Asker, Question};

use crate::support::{ORDERS, READS, deployed};

/// Callers of each instance.
const CALLERS: usize = 3;

/// Longest time in which a daemon has to exit: operators allow 6 s.
const STOP_MAX: Duration = Duration::from_secs(6);

/// Time between two readiness probes of the platform, which acts on the second failure.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Results that callers received, and how often.
type Outcomes = HashMap<Result<StatusCode, &'static str>, usize>;

/// A caller that sends requests to its instance while the platform considers that ready.
struct Caller {
    name: String,
    calls: SocketAddr,
    readiness: SocketAddr,
    connection: Option<KeptConnection>,
}

impl Caller {
    async fn call_until(mut self, stop: CancellationToken) -> Outcomes {
        let mut outcomes = Outcomes::new();
        let (mut misses, mut probed_at) = (0, Instant::now());
        let mut number = 0;
        while !stop.is_cancelled() {
            if probed_at.elapsed() >= PROBE_INTERVAL {
                probed_at = Instant::now();
                misses = if self.is_ready().await { 0 } else { misses + 1 };
            }
            if misses >= 2 {
                sleep(Duration::from_millis(50)).await;
                continue;
            }
            number += 1;
            let id = format!("{}-{number}", self.name);
            let call = match number % 2 {
                0 => Call::read(READS, "/r/1", &id),
                _ => Call::order(ORDERS, "/o/1", &id),
            };
            *outcomes.entry(self.ask(&call).await).or_default() += 1;
        }
        outcomes
    }

    async fn ask(&mut self, call: &Call) -> Result<StatusCode, &'static str> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => KeptConnection::open(self.calls).await.ok_or("not sent")?,
        };
        let response = connection.try_ask(call).await.map_err(|unanswered| match unanswered {
            Unanswered::NotSent => "not sent",
            Unanswered::Lost => "lost",
        })?;
        if response.header("connection") != "close" {
            self.connection = Some(connection);
        }
        Ok(response.status)
    }

    async fn is_ready(&self) -> bool {
        let request = Question::new(Method::GET, "/api/readiness");
        let response = Asker::new(PROBE_INTERVAL).ask(self.readiness, request).await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    }
}

/// Restarts all daemons of four instances in turn with the store in `mode`; returns what callers
/// received.
async fn rolling_restart(name: &str, mode: DoorMode) -> Outcomes {
    let mut deployment = deployed(name, &["board"; 4]).await;
    let (mut callers, stop) = (JoinSet::new(), CancellationToken::new());
    for (number, instance) in deployment.instances.iter().enumerate() {
        instance.target.behave(Behaviour::Answer(Duration::from_millis(40)));
        instance.door.set(mode);
        for caller in 0..CALLERS {
            let caller = Caller {
                name: format!("roll{number}-{caller}"),
                calls: instance.call_address(),
                readiness: instance.address("readiness_address"),
                connection: None,
            };
            callers.spawn(caller.call_until(stop.clone()));
        }
    }
    sleep(Duration::from_millis(300)).await;
    for instance in &mut deployment.instances {
        let mut daemon = instance.daemon.take().expect("a daemon");
        daemon.terminate();
        let status = timeout(STOP_MAX, daemon.ended()).await;
        assert!(status.expect("an exit in time").expect("a status").success());
        instance.start_daemon().await.expect("a daemon");
        wait("the daemon to be ready", || instance.is_ready()).await;
    }
    sleep(Duration::from_millis(500)).await;
    stop.cancel();
    let mut total = Outcomes::new();
    while let Some(outcomes) = callers.join_next().await {
        for (outcome, count) in outcomes.expect("a caller") {
            *total.entry(outcome).or_default() += count;
        }
    }
    total
}

/// Asserts that no request that was read is lost or has an unknown outcome, and that fewer than one
/// in a hundred are refused.
fn assert_nothing_lost(outcomes: &Outcomes) {
    let count = |outcome| outcomes.get(&outcome).copied().unwrap_or(0);
    let (succeeded, refused) =
        (count(Ok(StatusCode::OK)), count(Ok(StatusCode::SERVICE_UNAVAILABLE)));
    let known = succeeded + refused + count(Err("not sent"));
    assert_eq!(
        known,
        outcomes.values().sum::<usize>(),
        "requests were lost or have an unknown outcome: {outcomes:?}"
    );
    assert!(succeeded > 1_000 && refused * 100 <= succeeded, "{outcomes:?}");
}

/// Guards against requests lost, or orders with unknown outcome, when a new version of the daemon
/// is rolled out under load. Callers keep using their connections until two readiness probes have
/// failed, and other daemons send to the target until its gate announces that it stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_loses_no_request() {
    assert_nothing_lost(&rolling_restart("roll", DoorMode::Open).await);
}

/// Guards against the same while the store loses the responses to writes, so that each daemon
/// restarts without knowing whether its row was written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_while_the_store_loses_responses_loses_no_request() {
    assert_nothing_lost(&rolling_restart("rolllost", DoorMode::LosingAnswers).await);
}
