//! Stand-in of the platform: a transactional table and an object store, with injected faults.

mod table;

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;
use yuccarack_config::{wire_data, wire_kind};
use yuccarack_platform::messages::Commit;

pub use self::table::Table;
use crate::server::{
    ConnectionAborted, HandlerResult, Server, listen, read_json, respond, respond_json,
};

/// Most open connections.
const CONNECTIONS_MAX: usize = 10_000;

wire_kind! {
    /// Whether the platform serves requests.
    #[derive(Default)]
    pub enum PlatformMode {
        /// Serves requests.
        #[default]
        Up,
        /// Responds with status 503 at once and does nothing else.
        Down,
        /// Accepts requests, does nothing and never responds.
        BlackHole,
    }
}

wire_data! {
    /// Faults of the platform; `POST /faults` replaces all of them.
    #[derive(Default)]
    #[serde(default)]
    pub struct PlatformFaults {
        /// Whether it serves requests.
        pub mode: PlatformMode,
        /// Delay of each response, in ms.
        pub delay_ms: u64,
        /// Whether a delayed write takes effect at the end of the delay instead of its start.
        pub late_effect: bool,
        /// Number of further commits that take effect but whose response is lost.
        pub lose_answers: u32,
    }

    /// Counters of the platform.
    #[derive(Default)]
    #[serde(default)]
    pub struct PlatformStats {
        /// Rows, prefixes and objects read.
        pub reads: u64,
        /// Commits that took effect.
        pub commits: u64,
        /// Commits rejected because a condition didn't hold.
        pub conflicts: u64,
        /// Rows and objects write_count.
        pub writes: u64,
        /// Requests refused or left without a response by a fault.
        pub failed: u64,
        /// Bytes of request bodies.
        pub received_bytes: u64,
        /// Bytes of response bodies.
        pub sent_bytes: u64,
    }
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    table: Mutex<Table>,
    objects: Mutex<HashMap<String, Bytes>>,
    faults: Mutex<PlatformFaults>,
    stats: Mutex<PlatformStats>,
    commits: TaskTracker,
}

impl Platform {
    /// Starts a platform that listens on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let for_server = Arc::clone(&shared);
        let server = Server::start(listen(address).await?, CONNECTIONS_MAX, move |request| {
            let shared = Arc::clone(&for_server);
            async move { shared.serve(request).await }
        })?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// Returns its counters.
    pub fn stats(&self) -> PlatformStats {
        self.shared.stats.lock().clone()
    }

    /// Returns the number of commits that have not taken effect yet or whose responses are delayed.
    pub fn pending_commits(&self) -> usize {
        self.shared.commits.len()
    }

    /// Accesses the table directly, past all faults.
    pub fn with_table<T>(&self, access: impl FnOnce(&mut Table) -> T) -> T {
        access(&mut self.shared.table.lock())
    }

    /// Closes all connections and waits for the pending commits.
    pub async fn stop(self) {
        self.server.crash().await;
        self.shared.commits.close();
        self.shared.commits.wait().await;
    }
}

impl Shared {
    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/faults") => {
                let faults = read_json(request.into_body()).await?;
                *self.faults.lock() = faults;
                return respond(StatusCode::NO_CONTENT, Bytes::new());
            }
            (&Method::GET, "/stats") => {
                let stats = self.stats.lock().clone();
                return respond_json(StatusCode::OK, &stats);
            }
            _ => {}
        }
        let faults = self.faults.lock().clone();
        match faults.mode {
            PlatformMode::Up => {}
            PlatformMode::Down => {
                self.stats.lock().failed += 1;
                return respond(StatusCode::SERVICE_UNAVAILABLE, "the stand-in is down");
            }
            PlatformMode::BlackHole => {
                self.stats.lock().failed += 1;
                std::future::pending::<()>().await;
            }
        }
        if path == "/table/commit" && request.method() == Method::POST {
            return self.commit(request, &faults).await;
        }
        delay(faults.delay_ms).await;
        self.read_or_put(request, &path).await
    }

    async fn commit(
        self: Arc<Self>,
        request: Request<Incoming>,
        faults: &PlatformFaults,
    ) -> HandlerResult {
        let bytes = request.into_body().collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
        self.stats.lock().received_bytes += bytes.len() as u64;
        let Ok(commit) = serde_json::from_slice::<Commit>(&bytes) else {
            return respond(StatusCode::BAD_REQUEST, "not a commit");
        };
        let shared = Arc::clone(&self);
        let (delay_ms, late_effect) = (faults.delay_ms, faults.late_effect);
        // Spawned, so that a commit takes effect even when its caller has disconnected.
        let task = self.commits.spawn(async move {
            if late_effect {
                delay(delay_ms).await;
            }
            let response = shared.apply(commit);
            if !late_effect {
                delay(delay_ms).await;
            }
            response
        });
        task.await.map_err(|_| ConnectionAborted)?
    }

    fn apply(&self, commit: Commit) -> HandlerResult {
        let write_count = commit.writes.len() as u64;
        let result = self.table.lock().commit(commit);
        let mut stats = self.stats.lock();
        match result {
            Ok(response) => {
                stats.commits += 1;
                stats.writes += write_count;
                let mut faults = self.faults.lock();
                if faults.lose_answers > 0 {
                    faults.lose_answers -= 1;
                    stats.failed += 1;
                    return Err(ConnectionAborted);
                }
                respond_json(StatusCode::OK, &response)
            }
            Err(conflict) => {
                stats.conflicts += 1;
                respond_json(StatusCode::CONFLICT, &conflict)
            }
        }
    }

    async fn read_or_put(&self, request: Request<Incoming>, path: &str) -> HandlerResult {
        let query = request.uri().query().unwrap_or_default().to_owned();
        if request.method() == Method::PUT && path.starts_with("/objects/") {
            let bytes =
                request.into_body().collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
            let mut stats = self.stats.lock();
            stats.writes += 1;
            stats.received_bytes += bytes.len() as u64;
            self.objects.lock().insert(path.to_owned(), bytes);
            return respond(StatusCode::NO_CONTENT, Bytes::new());
        }
        let body = match path {
            "/table/row" => {
                let row = self.table.lock().row(&query_argument(&query, "key"));
                row.map(|row| serde_json::to_vec(&row))
            }
            "/table/rows" => {
                let rows = self.table.lock().rows(&query_argument(&query, "prefix"));
                Some(serde_json::to_vec(&rows))
            }
            _ => self.objects.lock().get(path).map(|bytes| Ok(bytes.to_vec())),
        };
        let mut stats = self.stats.lock();
        stats.reads += 1;
        let Some(body) = body else {
            return respond(StatusCode::NOT_FOUND, "nothing there");
        };
        let body = body.map_err(|_| ConnectionAborted)?;
        stats.sent_bytes += body.len() as u64;
        respond(StatusCode::OK, body)
    }
}

async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

fn query_argument(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value =
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next();
    value.unwrap_or_default()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, escaped) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
