//! Callers that reuse their connections and record the outcome of each call.

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
use yuccarack_platform_standin::caller::{Call, CallFailure, CallResponse, KeepAliveConnection};
use yuccarack_standins::client::{ClientRequest, HttpClient};

use super::{
    organisations::{identify, random_key},
    pipelining_callers::PipeliningCaller,
    plan::Plan,
};
use crate::support::{ORDERS, READS};

/// Host of the versioned routes; each version of the routing table adds one.
pub const VERSIONED: &str = "versions.example";

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// Pause between two polls for the routes that an instance knows.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Share of the calls that open a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.1;

/// Share of the calls whose callers disconnect early, and the range of their wait, in ms. A
/// target's service time is 5 ms.
const ABANDONED_SHARE: f64 = 0.1;
const ABANDON_AFTER_MS: std::ops::Range<u64> = 1..40;

/// Time after a call's deadline for which its caller still waits for a response.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Repeatable: may run twice.
    Read,
    /// Not repeatable: must run at most once.
    Order,
    /// A read on the route that a version of the routing table added.
    Versioned(u64),
}

/// One call and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request id that the caller gave it.
    pub id: String,
    /// Instance whose daemon accepted the call.
    pub instance: usize,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Key by which its caller authenticated, on a route that needs one.
    pub key: Option<&'static str>,
    /// Time at which its connection was opened.
    pub connected_at: Instant,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Time at which the caller had its result.
    pub ended_at: Instant,
    /// Response, or the reason why there was none.
    pub result: Result<CallResponse, CallFailure>,
    /// Whether the daemon's readiness check succeeded just before the call; false without such a
    /// check.
    pub was_ready: bool,
    /// Whether the caller disconnected before the response.
    pub is_abandoned: bool,
    /// Whether the request was pipelined behind one whose response closed the connection.
    pub is_after_close: bool,
}

/// A version of the routing table and the time at which the operator wrote it.
#[derive(Clone, Copy, Debug)]
pub struct RouteVersion {
    /// Number of the route that it adds.
    pub number: u64,
    /// Time at which it was written to the store.
    pub written_at: Instant,
}

/// Versions written so far; clones share the list.
pub type Versions = Arc<Mutex<Vec<RouteVersion>>>;

/// Addresses of an instance's daemon.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAddresses {
    /// Listener for calls.
    pub calls: SocketAddr,
    /// Listener for readiness checks.
    pub readiness: SocketAddr,
}

/// All caller tasks of a walk.
pub struct Callers {
    tasks: JoinSet<Vec<CallRecord>>,
    stop: CancellationToken,
}

impl Callers {
    /// Starts the callers of `plan` for the instances at `addresses`.
    pub fn start(plan: &Plan, addresses: &[InstanceAddresses], versions: &Versions) -> Self {
        let (seed, callers, has_key) = (plan.seed, plan.callers, plan.has_organisations);
        let (mut tasks, stop) = (JoinSet::new(), CancellationToken::new());
        for (instance, address) in addresses.iter().enumerate() {
            for number in 0..callers {
                let random = StdRng::seed_from_u64(seed ^ ((instance * callers + number) as u64));
                let name = format!("w{seed}-{instance}-{number}");
                let (address, connection, connected_at) = (address.calls, None, Instant::now());
                let caller = Caller { name, instance, address, has_key, connection, connected_at };
                tasks.spawn(caller.call_until(stop.clone(), random));
            }
        }
        for (instance, address) in
            addresses.iter().enumerate().filter(|_| plan.has_pipelining_callers)
        {
            let random = StdRng::seed_from_u64(seed ^ !(instance as u64));
            let name = format!("a{seed}-{instance}");
            let caller = PipeliningCaller { name, instance, address: address.calls, has_key };
            tasks.spawn(caller.call_until(stop.clone(), random));
        }
        let (addresses, versions) = (addresses.to_vec(), Arc::clone(versions));
        let poller = VersionPoller { seed, addresses, versions, has_key };
        tasks.spawn(poller.poll_until(stop.clone()));
        Self { tasks, stop }
    }

    /// Lets the callers finish their last calls and returns the records of all calls.
    pub async fn stop(mut self) -> Vec<CallRecord> {
        self.stop.cancel();
        let mut records = Vec::new();
        while let Some(task_records) = self.tasks.join_next().await {
            records.extend(task_records.expect("a caller task panicked"));
        }
        records
    }
}

struct Caller {
    name: String,
    instance: usize,
    address: SocketAddr,
    /// Whether it needs the key of an organisation.
    has_key: bool,
    connection: Option<KeepAliveConnection>,
    connected_at: Instant,
}

impl Caller {
    async fn call_until(mut self, stop: CancellationToken, mut random: StdRng) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while !stop.is_cancelled() {
            if random.random_bool(NEW_CONNECTION_SHARE) {
                self.connection = None;
            }
            let id = format!("{}-{}", self.name, records.len());
            let (kind, call) = match random.random_bool(0.5) {
                true => (RequestKind::Read, Call::read(READS, "/r/1", &id)),
                false => (RequestKind::Order, Call::order(ORDERS, "/o/1", &id)),
            };
            let abandon_after =
                random.random_bool(ABANDONED_SHARE).then(|| random.random_range(ABANDON_AFTER_MS));
            let key = self.has_key.then(|| random_key(&mut random));
            let call = identify(call, key);
            let sent_at = Instant::now();
            let (result, is_abandoned) = match abandon_after {
                None => (self.send(&call).await, false),
                Some(ms) => self.call_or_abandon(&call, Duration::from_millis(ms)).await,
            };
            let (instance, ended_at, was_ready) = (self.instance, Instant::now(), false);
            let is_after_close = false;
            records.push(CallRecord {
                id,
                instance,
                kind,
                key,
                connected_at: self.connected_at,
                sent_at,
                ended_at,
                result,
                was_ready,
                is_abandoned,
                is_after_close,
            });
            sleep(PAUSE).await;
        }
        records
    }

    /// Sends the call and closes the connection if no response arrives in time.
    async fn call_or_abandon(
        &mut self,
        call: &Call,
        abandon_after: Duration,
    ) -> (Result<CallResponse, CallFailure>, bool) {
        match timeout(abandon_after, self.send(call)).await {
            Ok(result) => (result, false),
            Err(_) => (Err(CallFailure::NoResponse), true),
        }
    }

    async fn send(&mut self, call: &Call) -> Result<CallResponse, CallFailure> {
        let wait = Duration::from_millis(call.deadline_ms) + RESPONSE_GRACE;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                self.connected_at = Instant::now();
                match timeout(wait, KeepAliveConnection::open(self.address)).await {
                    Ok(Some(connection)) => connection,
                    _ => return Err(CallFailure::NotSent),
                }
            }
        };
        let response = timeout(wait, connection.try_send(call))
            .await
            .unwrap_or(Err(CallFailure::NoResponse))?;
        if !response.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        Ok(response)
    }
}

/// Requests the routes of recent versions from the instances.
struct VersionPoller {
    seed: u64,
    addresses: Vec<InstanceAddresses>,
    versions: Versions,
    /// Whether it sends a key, which its routes don't need.
    has_key: bool,
}

impl VersionPoller {
    async fn poll_until(self, stop: CancellationToken) -> Vec<CallRecord> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut records = Vec::new();
        while !stop.is_cancelled() {
            sleep(POLL_PAUSE).await;
            let Some(number) = self.random_recent_version(&mut random) else { continue };
            let instance = random.random_range(0..self.addresses.len());
            let address = self.addresses[instance];
            let was_ready = is_ready(address.readiness).await;
            let id = format!("v{}-{}", self.seed, records.len());
            let call = Call::read(VERSIONED, &format!("/v{number}/1"), &id);
            let call = identify(call, self.has_key.then(|| random_key(&mut random)));
            let sent_at = Instant::now();
            let mut caller = Caller {
                name: String::new(),
                instance,
                address: address.calls,
                has_key: false,
                connection: None,
                connected_at: sent_at,
            };
            let result = caller.send(&call).await;
            let (kind, ended_at) = (RequestKind::Versioned(number), Instant::now());
            let is_abandoned = false;
            let is_after_close = false;
            records.push(CallRecord {
                id,
                instance,
                kind,
                key: None,
                connected_at: sent_at,
                sent_at,
                ended_at,
                result,
                was_ready,
                is_abandoned,
                is_after_close,
            });
        }
        records
    }

    /// Returns one of the three newest versions.
    fn random_recent_version(&self, random: &mut StdRng) -> Option<u64> {
        let versions = self.versions.lock();
        let newest = versions.len().checked_sub(1)?;
        let at = newest.saturating_sub(random.random_range(0..3));
        Some(versions[at].number)
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = ClientRequest::new(http::Method::GET, "/api/readiness");
    let response = HttpClient::new(Duration::from_secs(1)).send(address, request).await;
    response.is_ok_and(|response| response.status == http::StatusCode::OK)
}
