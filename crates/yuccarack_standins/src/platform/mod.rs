//! Stand-in of the platform: a transactional table and an object store, with faults to order.

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

/// Connections that the platform takes at once.
const CONNECTIONS_MAX: usize = 10_000;

wire_kind! {
    /// Whether the platform serves at all.
    #[derive(Default)]
    pub enum PlatformMode {
        /// It serves.
        #[default]
        Up,
        /// It answers 503 at once and does nothing.
        Down,
        /// It takes questions and never answers; nothing is done.
        BlackHole,
    }
}

wire_data! {
    /// Faults of the platform; `POST /faults` replaces all of them.
    #[derive(Default)]
    #[serde(default)]
    pub struct PlatformFaults {
        /// Whether it serves at all.
        pub mode: PlatformMode,
        /// Delay of each answer, in ms.
        pub delay_ms: u64,
        /// Whether a delayed write takes effect at the delay's end, not at its start.
        pub late_effect: bool,
        /// Commits still to come that take effect and whose answer is lost.
        pub lose_answers: u32,
    }

    /// What the platform has done so far.
    #[derive(Default)]
    #[serde(default)]
    pub struct PlatformStats {
        /// Rows, prefixes and objects read.
        pub reads: u64,
        /// Commits that took effect.
        pub commits: u64,
        /// Commits whose conditions didn't hold.
        pub conflicts: u64,
        /// Rows and objects written.
        pub writes: u64,
        /// Questions refused or left unanswered by a fault.
        pub failed: u64,
        /// Bytes of bodies read from callers.
        pub received_bytes: u64,
        /// Bytes of bodies sent to callers.
        pub sent_bytes: u64,
    }
}

/// A running platform.
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

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// What it has done so far.
    pub fn stats(&self) -> PlatformStats {
        self.shared.stats.lock().clone()
    }

    /// Commits that have come and not taken effect yet, or whose answers are still on their way.
    pub fn pending_commits(&self) -> usize {
        self.shared.commits.len()
    }

    /// Looks at the table past all faults.
    pub fn with_table<T>(&self, look: impl FnOnce(&mut Table) -> T) -> T {
        look(&mut self.shared.table.lock())
    }

    /// Stops and joins all it spawned.
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
        // A write goes its way also when its sender has hung up.
        let committing = self.commits.spawn(async move {
            if late_effect {
                delay(delay_ms).await;
            }
            let answer = shared.apply(commit);
            if !late_effect {
                delay(delay_ms).await;
            }
            answer
        });
        committing.await.map_err(|_| ConnectionAborted)?
    }

    fn apply(&self, commit: Commit) -> HandlerResult {
        let written = commit.writes.len() as u64;
        let result = self.table.lock().commit(commit);
        let mut stats = self.stats.lock();
        match result {
            Ok(committed) => {
                stats.commits += 1;
                stats.writes += written;
                let mut faults = self.faults.lock();
                if faults.lose_answers > 0 {
                    faults.lose_answers -= 1;
                    stats.failed += 1;
                    return Err(ConnectionAborted);
                }
                respond_json(StatusCode::OK, &committed)
            }
            Err(conflicted) => {
                stats.conflicts += 1;
                respond_json(StatusCode::CONFLICT, &conflicted)
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
        let found = match path {
            "/table/row" => {
                let row = self.table.lock().row(&argument(&query, "key"));
                row.map(|row| serde_json::to_vec(&row))
            }
            "/table/rows" => {
                let rows = self.table.lock().rows(&argument(&query, "prefix"));
                Some(serde_json::to_vec(&rows))
            }
            _ => self.objects.lock().get(path).map(|bytes| Ok(bytes.to_vec())),
        };
        let mut stats = self.stats.lock();
        stats.reads += 1;
        let Some(found) = found else {
            return respond(StatusCode::NOT_FOUND, "nothing there");
        };
        let found = found.map_err(|_| ConnectionAborted)?;
        stats.sent_bytes += found.len() as u64;
        respond(StatusCode::OK, found)
    }
}

async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

fn argument(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| unescaped(value)).next();
    found.unwrap_or_default()
}

fn unescaped(text: &str) -> String {
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
