//! Open-loop load generator: sends each request when due, whether or not earlier ones are finished.

mod report;
mod verdict;

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
    report::{LoadReport, Tally},
    verdict::{Verdict, classify_response},
};
use crate::client::{ClientRequest, HttpClient};

/// One kind of request in the load.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Service that is called.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path, without the query that makes it unique.
    pub path: String,
    /// Length of the request body, in bytes.
    pub body_bytes: usize,
    /// Length of the filler that is requested in the response, in bytes.
    pub response_bytes: usize,
    /// Whether each request gets a unique idempotency key.
    pub has_idempotency_key: bool,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses that requests are sent to in turn.
    pub addresses: Vec<SocketAddr>,
    /// Mean request rate, per second.
    pub per_second: u32,
    /// Duration, in ms.
    pub duration_ms: u64,
    /// Seed of the bodies, send times and choice of kind.
    pub seed: u64,
    /// Kinds of requests, chosen with equal probability.
    pub kinds: Vec<RequestSpec>,
    /// Deadline that each request carries, in ms.
    pub deadline_ms: Option<u64>,
    /// Caller name that each request carries.
    pub caller: Option<String>,
}

/// Sends the load of `plan` and classifies every response.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let sender = Sender {
        plan: plan.clone(),
        client: HttpClient::default(),
        tally: Arc::default(),
        tasks: TaskTracker::new(),
        runtime: Handle::current(),
    };
    let (tally, tasks) = (Arc::clone(&sender.tally), sender.tasks.clone());
    let start = Instant::now();
    // On a separate thread, since the runtime's timer has a resolution of 1 ms, which would show
    // up in the response times.
    let sending = tokio::task::spawn_blocking(move || sender.send_all(start));
    if let Err(error) = sending.await {
        std::panic::resume_unwind(error.into_panic());
    }
    tasks.close();
    tasks.wait().await;
    let tally = std::mem::take(&mut *tally.lock());
    LoadReport::new(&tally, start.elapsed())
}

/// Sends each request when it is due.
struct Sender {
    plan: LoadPlan,
    client: HttpClient,
    tally: Arc<Mutex<Tally>>,
    tasks: TaskTracker,
    runtime: Handle,
}

impl Sender {
    fn send_all(&self, start: Instant) {
        let plan = &self.plan;
        let mut random = StdRng::seed_from_u64(plan.seed);
        let mean_interval_s = 1.0 / f64::from(plan.per_second.max(1));
        let mut due_s = 0.0;
        for number in 0_usize.. {
            // Intervals of a Poisson process, so that bursts occur as with many callers.
            due_s += -(1.0 - random.random::<f64>()).ln() * mean_interval_s;
            if due_s * 1_000.0 > plan.duration_ms as f64 {
                break;
            }
            let kind = &plan.kinds[random.random_range(0..plan.kinds.len())];
            let request = build_request(plan, kind, &mut random);
            let address = plan.addresses[number % plan.addresses.len()];
            let due = start + Duration::from_secs_f64(due_s);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.send(address, request, due);
        }
    }

    fn send(&self, address: SocketAddr, request: ClientRequest, due: Instant) {
        let client = self.client.clone();
        let tally = Arc::clone(&self.tally);
        let exchange = async move {
            let (path, body) = (request.path().to_owned(), request.body().clone());
            let response = client.send(address, request).await;
            let time = due.elapsed();
            // Measured from the due time, so that a stalled sender doesn't hide latency.
            tally.lock().count(&classify_response(&path, &body, &response), time);
        };
        self.tasks.spawn_on(exchange, &self.runtime);
    }
}

fn build_request(plan: &LoadPlan, kind: &RequestSpec, random: &mut StdRng) -> ClientRequest {
    let nonce = random.random::<u64>();
    let mut path = format!("{}?n={nonce:016x}", kind.path);
    if kind.response_bytes > 0 {
        path.push_str(&format!("&answer_bytes={}", kind.response_bytes));
    }
    let mut body = vec![0; kind.body_bytes];
    random.fill(&mut body[..]);
    let mut request = ClientRequest::new(kind.method.clone(), path)
        .with_header(headers::SERVICE, &kind.service)
        .with_body(body);
    if let Some(deadline_ms) = plan.deadline_ms {
        request = request.with_header(headers::DEADLINE_MS, deadline_ms);
    }
    if let Some(caller) = &plan.caller {
        request = request.with_header(headers::CALLER, caller);
    }
    if kind.has_idempotency_key {
        request = request.with_header(headers::IDEMPOTENCY_KEY, format!("load-{nonce:016x}"));
    }
    request
}
