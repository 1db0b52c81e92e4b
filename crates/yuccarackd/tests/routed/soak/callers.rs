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

use super::{ahead::AheadCaller, plan::Plan};
use crate::support::{ORDERS, READS};

/// Host of the routes that each version adds one of.
pub const VERSIONED: &str = "versions.example";

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// Pause between two looks at which routes an instance knows.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Part of the calls that go over a new connection.
const NEW_CONNECTIONS: f64 = 0.1;

/// Part of the calls whose callers leave early, and for how long those wait, in ms; a call takes 5.
const LEAVERS: f64 = 0.1;
const PATIENCE_MS: std::ops::Range<u64> = 1..40;

/// Time after its deadline for which a caller still waits for the last word.
const LATE_MAX: Duration = Duration::from_secs(1);

/// What a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run twice.
    Read,
    /// Must not.
    Order,
    /// A read on the route that a version added.
    Versioned(u64),
}

/// One call and what became of it.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The caller's name of it.
    pub id: String,
    /// Whose daemon took it.
    pub instance: usize,
    /// What it was.
    pub kind: Kind,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its caller knew.
    pub ended_at: Instant,
    /// What its caller knew.
    pub result: Result<Told, Unanswered>,
    /// Whether the daemon had said just before that it takes calls, where that was asked.
    pub was_ready: bool,
    /// Whether its caller left before it could be answered.
    pub has_left: bool,
    /// Whether it was sent behind a request whose answer closed the connection.
    pub is_behind_close: bool,
}

/// A version of the routes, and when the operator wrote it.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// Number of the route that it adds.
    pub number: u64,
    /// When.
    pub at: Instant,
}

/// Versions written so far; clones share them.
pub type Versions = Arc<Mutex<Vec<Written>>>;

/// Where the daemon of an instance is reached.
#[derive(Clone, Copy, Debug)]
pub struct Doors {
    /// By its callers.
    pub calls: SocketAddr,
    /// By who asks whether it takes calls.
    pub readiness: SocketAddr,
}

/// All callers of a walk.
pub struct Callers {
    tasks: JoinSet<Vec<Ended>>,
    stop: CancellationToken,
}

impl Callers {
    /// Starts the callers of `plan` at all `doors`.
    pub fn start(plan: &Plan, doors: &[Doors], versions: &Versions) -> Self {
        let (seed, callers) = (plan.seed, plan.callers);
        let (mut tasks, stop) = (JoinSet::new(), CancellationToken::new());
        for (instance, door) in doors.iter().enumerate() {
            for number in 0..callers {
                let random = StdRng::seed_from_u64(seed ^ ((instance * callers + number) as u64));
                let name = format!("w{seed}-{instance}-{number}");
                let caller = Caller { name, instance, address: door.calls, kept: None };
                tasks.spawn(caller.call_until(stop.clone(), random));
            }
        }
        for (instance, door) in doors.iter().enumerate().filter(|_| plan.sends_ahead) {
            let random = StdRng::seed_from_u64(seed ^ !(instance as u64));
            let name = format!("a{seed}-{instance}");
            let caller = AheadCaller { name, instance, address: door.calls };
            tasks.spawn(caller.call_until(stop.clone(), random));
        }
        let looker = Looker { seed, doors: doors.to_vec(), versions: Arc::clone(versions) };
        tasks.spawn(looker.look_until(stop.clone()));
        Self { tasks, stop }
    }

    /// Lets them end their last calls; all that they were told.
    pub async fn stop(mut self) -> Vec<Ended> {
        self.stop.cancel();
        let mut all = Vec::new();
        while let Some(ended) = self.tasks.join_next().await {
            all.extend(ended.expect("a caller that ended"));
        }
        all
    }
}

struct Caller {
    name: String,
    instance: usize,
    address: SocketAddr,
    kept: Option<KeptConnection>,
}

impl Caller {
    async fn call_until(mut self, stop: CancellationToken, mut random: StdRng) -> Vec<Ended> {
        let mut all = Vec::new();
        while !stop.is_cancelled() {
            if random.random_bool(NEW_CONNECTIONS) {
                self.kept = None;
            }
            let id = format!("{}-{}", self.name, all.len());
            let (kind, call) = match random.random_bool(0.5) {
                true => (Kind::Read, Call::read(READS, "/r/1", &id)),
                false => (Kind::Order, Call::order(ORDERS, "/o/1", &id)),
            };
            let patience = random.random_bool(LEAVERS).then(|| random.random_range(PATIENCE_MS));
            let sent_at = Instant::now();
            let (result, has_left) = match patience {
                None => (self.ask(&call).await, false),
                Some(ms) => self.ask_and_leave(&call, Duration::from_millis(ms)).await,
            };
            let (instance, ended_at, was_ready) = (self.instance, Instant::now(), false);
            let is_behind_close = false;
            all.push(Ended {
                id,
                instance,
                kind,
                sent_at,
                ended_at,
                result,
                was_ready,
                has_left,
                is_behind_close,
            });
            sleep(PAUSE).await;
        }
        all
    }

    /// Asks and closes the connection unless there is an answer soon.
    async fn ask_and_leave(
        &mut self,
        call: &Call,
        patience: Duration,
    ) -> (Result<Told, Unanswered>, bool) {
        match timeout(patience, self.ask(call)).await {
            Ok(result) => (result, false),
            Err(_) => (Err(Unanswered::Lost), true),
        }
    }

    async fn ask(&mut self, call: &Call) -> Result<Told, Unanswered> {
        let wait = Duration::from_millis(call.left_ms) + LATE_MAX;
        let mut kept = match self.kept.take() {
            Some(kept) => kept,
            None => match timeout(wait, KeptConnection::open(self.address)).await {
                Ok(Some(kept)) => kept,
                _ => return Err(Unanswered::NotSent),
            },
        };
        let told = timeout(wait, kept.try_ask(call)).await.unwrap_or(Err(Unanswered::Lost))?;
        if !told.header("connection").eq_ignore_ascii_case("close") {
            self.kept = Some(kept);
        }
        Ok(told)
    }
}

/// Asks instances for the routes of versions.
struct Looker {
    seed: u64,
    doors: Vec<Doors>,
    versions: Versions,
}

impl Looker {
    async fn look_until(self, stop: CancellationToken) -> Vec<Ended> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut all = Vec::new();
        while !stop.is_cancelled() {
            sleep(LOOK_PAUSE).await;
            let Some(written) = self.any_version(&mut random) else { continue };
            let instance = random.random_range(0..self.doors.len());
            let door = self.doors[instance];
            let was_ready = is_ready(door.readiness).await;
            let id = format!("v{}-{}", self.seed, all.len());
            let call = Call::read(VERSIONED, &format!("/v{written}/1"), &id);
            let mut caller =
                Caller { name: String::new(), instance, address: door.calls, kept: None };
            let sent_at = Instant::now();
            let result = caller.ask(&call).await;
            let (kind, ended_at) = (Kind::Versioned(written), Instant::now());
            let has_left = false;
            let is_behind_close = false;
            all.push(Ended {
                id,
                instance,
                kind,
                sent_at,
                ended_at,
                result,
                was_ready,
                has_left,
                is_behind_close,
            });
        }
        all
    }

    /// One of the newest versions.
    fn any_version(&self, random: &mut StdRng) -> Option<u64> {
        let versions = self.versions.lock();
        let newest = versions.len().checked_sub(1)?;
        let at = newest.saturating_sub(random.random_range(0..3));
        Some(versions[at].number)
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let question = Question::new(http::Method::GET, "/api/readiness");
    let told = Asker::new(Duration::from_secs(1)).ask(address, question).await;
    told.is_ok_and(|told| told.status == http::StatusCode::OK)
}
