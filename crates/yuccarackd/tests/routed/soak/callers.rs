//! Callers that keep their connections open until they end, and remember what they were told.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use yuccarack_platform_standin::caller::{Call, KeptConnection, Told, Unanswered};
use yuccarack_standins::client::{Asker, Question};

use super::{pipelining_callers::PipeliningCaller, plan::Plan};
use crate::support::{ORDERS, READS};

/// Host of the routes that each version adds one of.
pub const VERSIONED: &str = "versions.example";

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// Pause between two looks at which routes an instance knows.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Part of the calls that go over a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.1;

/// Part of the calls whose callers leave early, and for how long those wait, in ms; a call takes 5.
const ABANDONED_SHARE: f64 = 0.1;
const ABANDON_AFTER_MS: std::ops::Range<u64> = 1..40;

/// Time after its deadline for which a caller still waits for the last word.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// What a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run twice.
    Read,
    /// Must not.
    Order,
    /// A read on the route that a version added.
    Versioned(u64),
}

/// One call and what became of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The caller's name of it.
    pub id: String,
    /// Whose daemon took it.
    pub instance: usize,
    /// What it was.
    pub kind: RequestKind,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its caller knew.
    pub ended_at: Instant,
    /// What its caller knew.
    pub result: Result<Told, Unanswered>,
    /// Whether the daemon had said just before that it takes calls, where that was asked.
    pub was_ready: bool,
    /// Whether its caller left before it could be answered.
    pub is_abandoned: bool,
    /// Whether it was sent behind a request whose answer closed the connection.
    pub is_after_close: bool,
}

/// A version of the routes, and when the operator wrote it.
#[derive(Clone, Copy, Debug)]
pub struct RouteVersion {
    /// Number of the route that it adds.
    pub number: u64,
    /// When.
    pub written_at: Instant,
}

/// Versions written so far; clones share them.
pub type Versions = Arc<Mutex<Vec<RouteVersion>>>;

/// Where the daemon of an instance is reached.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAddresses {
    /// By its callers.
    pub calls: SocketAddr,
    /// By who asks whether it takes calls.
    pub readiness: SocketAddr,
}

/// All callers of a walk.
pub struct Callers {
    tasks: JoinSet<Vec<CallRecord>>,
    stop: CancellationToken,
}

impl Callers {
    /// Starts the callers of `plan` at all `doors`.
    pub fn start(plan: &Plan, addresses: &[InstanceAddresses], versions: &Versions) -> Self {
        let (seed, callers) = (plan.seed, plan.callers);
        let (mut tasks, stop) = (JoinSet::new(), CancellationToken::new());
        for (instance, address) in addresses.iter().enumerate() {
            for number in 0..callers {
                let random = StdRng::seed_from_u64(seed ^ ((instance * callers + number) as u64));
                let name = format!("w{seed}-{instance}-{number}");
                let caller = Caller { name, instance, address: address.calls, connection: None };
                tasks.spawn(caller.call_until(stop.clone(), random));
            }
        }
        for (instance, address) in
            addresses.iter().enumerate().filter(|_| plan.has_pipelining_callers)
        {
            let random = StdRng::seed_from_u64(seed ^ !(instance as u64));
            let name = format!("a{seed}-{instance}");
            let caller = PipeliningCaller { name, instance, address: address.calls };
            tasks.spawn(caller.call_until(stop.clone(), random));
        }
        let poller =
            VersionPoller { seed, addresses: addresses.to_vec(), versions: Arc::clone(versions) };
        tasks.spawn(poller.poll_until(stop.clone()));
        Self { tasks, stop }
    }

    /// Lets them end their last calls; all that they were told.
    pub async fn stop(mut self) -> Vec<CallRecord> {
        self.stop.cancel();
        let mut all = Vec::new();
        while let Some(records) = self.tasks.join_next().await {
            all.extend(records.expect("a caller that ended"));
        }
        all
    }
}

struct Caller {
    name: String,
    instance: usize,
    address: SocketAddr,
    connection: Option<KeptConnection>,
}

impl Caller {
    async fn call_until(mut self, stop: CancellationToken, mut random: StdRng) -> Vec<CallRecord> {
        let mut all = Vec::new();
        while !stop.is_cancelled() {
            if random.random_bool(NEW_CONNECTION_SHARE) {
                self.connection = None;
            }
            let id = format!("{}-{}", self.name, all.len());
            let (kind, call) = match random.random_bool(0.5) {
                true => (RequestKind::Read, Call::read(READS, "/r/1", &id)),
                false => (RequestKind::Order, Call::order(ORDERS, "/o/1", &id)),
            };
            let abandon_after =
                random.random_bool(ABANDONED_SHARE).then(|| random.random_range(ABANDON_AFTER_MS));
            let sent_at = Instant::now();
            let (result, is_abandoned) = match abandon_after {
                None => (self.send(&call).await, false),
                Some(ms) => self.call_or_abandon(&call, Duration::from_millis(ms)).await,
            };
            let (instance, ended_at, was_ready) = (self.instance, Instant::now(), false);
            let is_after_close = false;
            all.push(CallRecord {
                id,
                instance,
                kind,
                sent_at,
                ended_at,
                result,
                was_ready,
                is_abandoned,
                is_after_close,
            });
            sleep(PAUSE).await;
        }
        all
    }

    /// Asks and closes the connection unless there is an answer soon.
    async fn call_or_abandon(
        &mut self,
        call: &Call,
        abandon_after: Duration,
    ) -> (Result<Told, Unanswered>, bool) {
        match timeout(abandon_after, self.send(call)).await {
            Ok(result) => (result, false),
            Err(_) => (Err(Unanswered::Lost), true),
        }
    }

    async fn send(&mut self, call: &Call) -> Result<Told, Unanswered> {
        let wait = Duration::from_millis(call.left_ms) + RESPONSE_GRACE;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match timeout(wait, KeptConnection::open(self.address)).await {
                Ok(Some(connection)) => connection,
                _ => return Err(Unanswered::NotSent),
            },
        };
        let response =
            timeout(wait, connection.try_ask(call)).await.unwrap_or(Err(Unanswered::Lost))?;
        if !response.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        Ok(response)
    }
}

/// Asks instances for the routes of versions.
struct VersionPoller {
    seed: u64,
    addresses: Vec<InstanceAddresses>,
    versions: Versions,
}

impl VersionPoller {
    async fn poll_until(self, stop: CancellationToken) -> Vec<CallRecord> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut all = Vec::new();
        while !stop.is_cancelled() {
            sleep(POLL_PAUSE).await;
            let Some(written) = self.random_recent_version(&mut random) else { continue };
            let instance = random.random_range(0..self.addresses.len());
            let address = self.addresses[instance];
            let was_ready = is_ready(address.readiness).await;
            let id = format!("v{}-{}", self.seed, all.len());
            let call = Call::read(VERSIONED, &format!("/v{written}/1"), &id);
            let mut caller =
                Caller { name: String::new(), instance, address: address.calls, connection: None };
            let sent_at = Instant::now();
            let result = caller.send(&call).await;
            let (kind, ended_at) = (RequestKind::Versioned(written), Instant::now());
            let is_abandoned = false;
            let is_after_close = false;
            all.push(CallRecord {
                id,
                instance,
                kind,
                sent_at,
                ended_at,
                result,
                was_ready,
                is_abandoned,
                is_after_close,
            });
        }
        all
    }

    /// One of the newest versions.
    fn random_recent_version(&self, random: &mut StdRng) -> Option<u64> {
        let versions = self.versions.lock();
        let newest = versions.len().checked_sub(1)?;
        let at = newest.saturating_sub(random.random_range(0..3));
        Some(versions[at].number)
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = Question::new(http::Method::GET, "/api/readiness");
    let response = Asker::new(Duration::from_secs(1)).ask(address, request).await;
    response.is_ok_and(|response| response.status == http::StatusCode::OK)
}
