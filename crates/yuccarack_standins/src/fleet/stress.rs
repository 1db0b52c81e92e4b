//! Stress load of concurrent callers, and the check of their responses against the targets' run
//! log.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{sleep, timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::headers;

use crate::{
    client::{ClientRequest, HttpClient},
    load::{Verdict, classify_response},
    target::{Run, RunLog, RunState},
};

/// Longest request body, in bytes.
const BODY_MAX_BYTES: usize = 96 * 1024;

/// Time for which a caller waits after its deadline.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Longest pause of a caller between two calls, in ms.
const PAUSE_MAX_MS: u64 = 10;

/// Parameters of a stress load.
#[derive(Clone, Debug)]
pub struct StressPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Service that is called.
    pub service: String,
    /// Addresses of daemons; each call goes to a random one.
    pub addresses: Vec<SocketAddr>,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Share of calls that must run at most once, in percent.
    pub once_percent: u8,
    /// Share of calls whose caller disconnects early, in percent.
    pub disconnect_percent: u8,
    /// Deadline of each call, in ms.
    pub deadline_ms: u64,
}

/// One call and its result as the caller saw it.
#[derive(Clone, Debug)]
pub struct StressCall {
    /// Request id.
    pub request: String,
    /// Idempotency key; empty for a repeatable call.
    pub key: String,
    /// Class of the response; `None` if the caller disconnected early.
    pub verdict: Option<Verdict>,
}

/// Running callers; end them with [`StressLoad::stop`].
#[derive(Debug)]
pub struct StressLoad {
    stop: CancellationToken,
    tasks: TaskTracker,
    calls: Arc<parking_lot::Mutex<Vec<StressCall>>>,
}

/// Result of the check of a stress load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StressReport {
    /// Number of calls.
    pub calls: usize,
    /// Number of calls with a correct response.
    pub correct: usize,
    /// Number of calls with the outcome `not_run`.
    pub not_run: usize,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
}

impl StressLoad {
    /// Starts the callers of `plan`.
    pub fn start(plan: &StressPlan) -> Self {
        let load = Self {
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            calls: Arc::default(),
        };
        for number in 0..plan.callers {
            let caller = Caller {
                plan: plan.clone(),
                // A suspended daemon never responds, so a caller gives up after its deadline.
                client: HttpClient::new(Duration::from_millis(plan.deadline_ms) + RESPONSE_GRACE),
                random: StdRng::seed_from_u64(plan.seed ^ (number << 32)),
                calls: Arc::clone(&load.calls),
            };
            load.tasks.spawn(caller.run(load.stop.clone()));
        }
        load
    }

    /// Returns the number of calls finished so far.
    pub fn calls_made(&self) -> usize {
        self.calls.lock().len()
    }

    /// Stops the callers after their current calls and returns all calls.
    pub async fn stop(self) -> Vec<StressCall> {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        std::mem::take(&mut self.calls.lock())
    }
}

struct Caller {
    plan: StressPlan,
    client: HttpClient,
    random: StdRng,
    calls: Arc<parking_lot::Mutex<Vec<StressCall>>>,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let key = self.key();
            let path = self.path(&key);
            let body = self.body(&key);
            let attempts_max = if key.is_empty() { 1 } else { self.random.random_range(1..=3) };
            for _ in 0..attempts_max {
                let verdict = self.send(&key, &path, &body).await;
                // A keyed call is repeated until the correct response, a limit or the stop.
                if verdict == Some(Verdict::Correct) || stop.is_cancelled() {
                    break;
                }
            }
            sleep(Duration::from_millis(self.random.random_range(0..=PAUSE_MAX_MS))).await;
        }
    }

    fn key(&mut self) -> String {
        if self.random.random_range(0..100) >= self.plan.once_percent {
            return String::new();
        }
        format!("storm-{:016x}", self.random.random::<u64>())
    }

    fn path(&mut self, key: &str) -> String {
        let route = if key.is_empty() { "/read" } else { "/once" };
        let name = self.random.random::<u64>();
        let work_ms = self.random.random_range(0..30);
        let answer_bytes = self.random.random_range(0..3) * 20_000;
        let chunked = self.random.random_range(0..2);
        format!(
            "{route}?n={name:016x}&work_ms={work_ms}&answer_bytes={answer_bytes}&chunked={chunked}"
        )
    }

    fn body(&mut self, key: &str) -> Vec<u8> {
        let length = match self.random.random_range(0..10) {
            0 => BODY_MAX_BYTES,
            1..4 => 4_000,
            _ if key.is_empty() => 0,
            _ => 100,
        };
        let mut body = vec![0; length];
        self.random.fill(&mut body[..]);
        body
    }

    async fn send(&mut self, key: &str, path: &str, body: &[u8]) -> Option<Verdict> {
        let request = format!("{:032x}", self.random.random::<u128>());
        let method = if body.is_empty() { Method::GET } else { Method::POST };
        let mut outgoing = ClientRequest::new(method, path)
            .with_header(headers::SERVICE, &self.plan.service)
            .with_header(headers::REQUEST_ID, &request)
            .with_header(headers::DEADLINE_MS, self.plan.deadline_ms)
            .with_body(body.to_vec());
        if !key.is_empty() {
            outgoing = outgoing.with_header(headers::IDEMPOTENCY_KEY, key);
        }
        let address = self.plan.addresses[self.random.random_range(0..self.plan.addresses.len())];
        let exchange = self.client.send(address, outgoing);
        let verdict = if self.random.random_range(0..100) < self.plan.disconnect_percent {
            let disconnect_after = Duration::from_millis(self.random.random_range(1..40));
            timeout(disconnect_after, exchange)
                .await
                .ok()
                .map(|response| classify_response(path, body, &response))
        } else {
            Some(classify_response(path, body, &exchange.await))
        };
        let call = StressCall { request, key: key.to_owned(), verdict: verdict.clone() };
        self.calls.lock().push(call);
        verdict
    }
}

/// Checks the responses that callers got against the runs: at most one run per key, a finished
/// run behind each correct response, and no run behind `not_run`.
pub fn check_stress_calls(calls: &[StressCall], run_log: &RunLog) -> StressReport {
    let runs = run_log.runs();
    let by_request = grouped(&runs, |run| &run.request);
    let by_key = grouped(&runs, |run| &run.key);
    let mut report = StressReport { calls: calls.len(), ..Default::default() };
    for (key, runs) in by_key.iter().filter(|(key, _)| !key.is_empty()) {
        if runs.len() > 1 {
            report.violations.push(format!("{key} ran {} times: {runs:?}", runs.len()));
        }
    }
    for call in calls {
        let ran = by_request.get(call.request.as_str()).map_or(&[][..], Vec::as_slice);
        let of_key = by_key.get(call.key.as_str()).filter(|_| !call.key.is_empty());
        match &call.verdict {
            Some(Verdict::Correct) => {
                report.correct += 1;
                let ran = of_key.map_or(ran, Vec::as_slice);
                if !ran.iter().any(|run| run.state == RunState::Finished) {
                    report.violations.push(format!("{call:?} was answered, runs {ran:?}"));
                }
            }
            Some(Verdict::Refused { outcome, .. }) if outcome == "not_run" => {
                report.not_run += 1;
                if !ran.is_empty() {
                    report.violations.push(format!("{call:?} got not_run, runs {ran:?}"));
                }
            }
            Some(Verdict::WrongBody) => {
                report.violations.push(format!("{call:?} got a wrong answer"))
            }
            _ => {}
        }
    }
    report
}

fn grouped<'a>(
    runs: &'a [Run],
    name: impl Fn(&'a Run) -> &'a String,
) -> HashMap<&'a str, Vec<&'a Run>> {
    let mut groups: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        groups.entry(name(run).as_str()).or_default().push(run);
    }
    groups
}
