//! Open-loop load: requests leave at their times, whether or not earlier ones have answers.

mod judge;
mod report;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;
use yuccarack_config::headers;

pub use self::{
    judge::{Verdict, classify_response},
    report::{LoadReport, Tally},
};
use crate::client::{ClientRequest, HttpClient};

/// One kind of request among the load.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Service that it is for.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path, without the query that makes it unique.
    pub path: String,
    /// Length of its body, in bytes.
    pub body_bytes: usize,
    /// Length of the filler that it asks for, in bytes.
    pub response_bytes: usize,
    /// Whether each request gets an idempotency key of its own.
    pub has_idempotency_key: bool,
}

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where to, in turn.
    pub addresses: Vec<SocketAddr>,
    /// Requests a second.
    pub per_second: u32,
    /// For how long, in ms.
    pub duration_ms: u64,
    /// Seed of bodies, times and choice of kind.
    pub seed: u64,
    /// Kinds of requests, each as likely.
    pub kinds: Vec<RequestKind>,
    /// Deadline that each request says, in ms.
    pub deadline_ms: Option<u64>,
    /// Name under which the caller is counted.
    pub caller: Option<String>,
}

/// Sends the load of `plan` and judges every answer.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let sender = Sender {
        plan: plan.clone(),
        asker: HttpClient::default(),
        tally: Arc::default(),
        tasks: TaskTracker::new(),
        runtime: Handle::current(),
    };
    let (tally, tasks) = (Arc::clone(&sender.tally), sender.tasks.clone());
    let start = Instant::now();
    // On a thread of its own, since the runtime's clock ticks in whole milliseconds, which would
    // show as time of the answers.
    let sending = tokio::task::spawn_blocking(move || sender.send_all(start));
    if let Err(error) = sending.await {
        std::panic::resume_unwind(error.into_panic());
    }
    tasks.close();
    tasks.wait().await;
    let tally = std::mem::take(&mut *tally.lock());
    LoadReport::new(&tally, start.elapsed())
}

/// Sends each request at its time.
struct Sender {
    plan: LoadPlan,
    asker: HttpClient,
    tally: Arc<Mutex<Tally>>,
    tasks: TaskTracker,
    runtime: Handle,
}

impl Sender {
    fn send_all(&self, start: Instant) {
        let plan = &self.plan;
        let mut random = StdRng::seed_from_u64(plan.seed);
        let gap_s = 1.0 / f64::from(plan.per_second.max(1));
        let mut due_s = 0.0;
        for number in 0_usize.. {
            // Gaps of a Poisson process: bursts come as they do from many callers.
            due_s += -(1.0 - random.random::<f64>()).ln() * gap_s;
            if due_s * 1_000.0 > plan.duration_ms as f64 {
                break;
            }
            let mix = &plan.kinds[random.random_range(0..plan.kinds.len())];
            let question = question(plan, mix, &mut random);
            let address = plan.addresses[number % plan.addresses.len()];
            let due = start + Duration::from_secs_f64(due_s);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.send(address, question, due);
        }
    }

    fn send(&self, address: SocketAddr, question: ClientRequest, due: Instant) {
        let asker = self.asker.clone();
        let tally = Arc::clone(&self.tally);
        let asking = async move {
            let (path, body) = (question.path().to_owned(), question.body().clone());
            let told = asker.send(address, question).await;
            let time = due.elapsed();
            // From the time that it was due, so that a stalled sender hides nothing.
            tally.lock().count(&classify_response(&path, &body, &told), time);
        };
        self.tasks.spawn_on(asking, &self.runtime);
    }
}

fn question(plan: &LoadPlan, mix: &RequestKind, random: &mut StdRng) -> ClientRequest {
    let name = random.random::<u64>();
    let mut path = format!("{}?n={name:016x}", mix.path);
    if mix.response_bytes > 0 {
        path.push_str(&format!("&answer_bytes={}", mix.response_bytes));
    }
    let mut body = vec![0; mix.body_bytes];
    random.fill(&mut body[..]);
    let mut question = ClientRequest::new(mix.method.clone(), path)
        .with_header(headers::SERVICE, &mix.service)
        .with_body(body);
    if let Some(deadline_ms) = plan.deadline_ms {
        question = question.with_header(headers::DEADLINE_MS, deadline_ms);
    }
    if let Some(caller) = &plan.caller {
        question = question.with_header(headers::CALLER, caller);
    }
    if mix.has_idempotency_key {
        question = question.with_header(headers::IDEMPOTENCY_KEY, format!("load-{name:016x}"));
    }
    question
}
