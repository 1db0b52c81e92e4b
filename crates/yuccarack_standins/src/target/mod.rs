//! Stand-in of a target with slots, load reports, drain, cold start, shedding and crashes; it logs
//! every run.

mod announce;
mod calls;
mod load;
mod options;
mod run_log;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{
    sync::{Notify, Semaphore},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub use self::{
    options::{Announcement, TargetFaults, TargetOptions, TargetStats},
    run_log::{Run, RunGuard, RunLog, RunState, unix_ms},
};
use crate::server::{HandlerResult, Server, listen, read_json, respond, respond_json};

/// Marker that makes a target crash when a request's path or body contains it.
pub const CRASH_MARKER: &str = "crash-the-target";

/// Path of the load endpoint.
pub const LOAD_PATH: &str = "/load";

/// Most open connections of the control address.
const CONTROL_CONNECTIONS_MAX: usize = 64;

/// Poll interval while waiting for an idle target.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a request with [`CRASH_MARKER`] crashes the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// The process aborts.
    AbortProcess,
    /// All connections are closed, and the target is down until [`Target::restart`].
    CloseConnections,
}

/// A running target; end it with [`Target::stop`].
#[derive(Debug)]
pub struct Target {
    inner: Arc<Inner>,
    calls: Option<Server>,
    call_address: SocketAddr,
    control: Server,
    tasks: TaskTracker,
    end: CancellationToken,
}

/// State that the tasks of a target share.
#[derive(Debug)]
struct Inner {
    options: TargetOptions,
    crash_mode: CrashMode,
    run_log: RunLog,
    faults: Mutex<TargetFaults>,
    stats: Mutex<TargetStats>,
    stalled_until: Mutex<Instant>,
    started_at: Mutex<Instant>,
    boot_id: AtomicU64,
    draining: AtomicBool,
    is_down: AtomicBool,
    crashed: Notify,
    state_changed: Notify,
    slots: Semaphore,
    random: Mutex<StdRng>,
    stale_load: Mutex<Option<(Instant, u64)>>,
}

impl Target {
    /// Starts a target that writes its runs to `run_log`.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn start(
        options: TargetOptions,
        crash_mode: CrashMode,
        run_log: RunLog,
    ) -> io::Result<Self> {
        let inner = Arc::new(Inner::new(options, crash_mode, run_log));
        let calls = serve_calls(&inner, inner.options.listen).await?;
        let for_control = Arc::clone(&inner);
        let control_listener = listen(inner.options.control_listen).await?;
        let control = Server::start(control_listener, CONTROL_CONNECTIONS_MAX, move |request| {
            let inner = Arc::clone(&for_control);
            async move { control(&inner, request).await }
        })?;
        let tasks = TaskTracker::new();
        let end = CancellationToken::new();
        let call_address = calls.address();
        let announced = inner.options.announced.unwrap_or(call_address);
        tasks.spawn(announce::announce(Arc::clone(&inner), announced, end.clone()));
        Ok(Self { inner, call_address, calls: Some(calls), control, tasks, end })
    }

    /// Returns the address for calls.
    pub fn address(&self) -> SocketAddr {
        self.call_address
    }

    /// Returns the control address for faults and the run log.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns its options.
    pub fn options(&self) -> &TargetOptions {
        &self.inner.options
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.inner.set_faults(faults);
    }

    /// Returns its counters.
    pub fn stats(&self) -> TargetStats {
        let mut stats = self.inner.stats.lock().clone();
        stats.connections_most =
            self.calls.as_ref().map_or(0, |calls| calls.peak_connections() as u64);
        stats
    }

    /// Announces to the daemon that the target drains and accepts no more requests.
    pub fn drain(&self) {
        self.inner.draining.store(true, Ordering::Relaxed);
        self.inner.state_changed.notify_one();
    }

    /// Waits until no request has been in flight for `idle_time`.
    pub async fn wait_idle(&self, idle_time: Duration) {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < idle_time {
            if self.inner.stats.lock().inside > 0 {
                idle_since = Instant::now();
            }
            sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Whether a crash or [`Target::kill`] has taken it down.
    pub fn is_down(&self) -> bool {
        self.inner.is_down.load(Ordering::Relaxed)
    }

    /// Waits until a request with [`CRASH_MARKER`] crashes it, then closes all its connections.
    pub async fn wait_crashed(&mut self) {
        self.inner.crashed.notified().await;
        self.kill().await;
    }

    /// Closes the listener and all connections, as a killed process would.
    pub async fn kill(&mut self) {
        self.inner.is_down.store(true, Ordering::Relaxed);
        if let Some(calls) = self.calls.take() {
            calls.crash().await;
        }
    }

    /// Restarts on the same address as a new incarnation.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.inner.boot_id.fetch_add(1, Ordering::Relaxed);
        self.inner.draining.store(false, Ordering::Relaxed);
        *self.inner.started_at.lock() = Instant::now();
        self.calls = Some(serve_calls(&self.inner, self.call_address).await?);
        self.inner.is_down.store(false, Ordering::Relaxed);
        self.inner.state_changed.notify_one();
        Ok(())
    }

    /// Waits for the requests in flight and stops all tasks.
    pub async fn stop(mut self) {
        self.end.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        if let Some(calls) = self.calls.take() {
            calls.stop().await;
        }
        self.control.crash().await;
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.end.cancel();
    }
}

impl Inner {
    fn new(options: TargetOptions, crash_mode: CrashMode, run_log: RunLog) -> Self {
        let now = Instant::now();
        Self {
            crash_mode,
            run_log,
            faults: Mutex::default(),
            stats: Mutex::default(),
            stalled_until: Mutex::new(now),
            started_at: Mutex::new(now),
            boot_id: AtomicU64::new(options.boot_id),
            draining: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            crashed: Notify::new(),
            state_changed: Notify::new(),
            slots: Semaphore::new(usize::from(options.slots)),
            random: Mutex::new(StdRng::seed_from_u64(options.seed)),
            stale_load: Mutex::default(),
            options,
        }
    }

    fn set_faults(&self, faults: TargetFaults) {
        let stall = Duration::from_millis(faults.stall_for_ms);
        *self.stalled_until.lock() = Instant::now() + stall;
        *self.faults.lock() = faults;
    }
}

async fn serve_calls(inner: &Arc<Inner>, address: SocketAddr) -> io::Result<Server> {
    let connections_max = usize::from(inner.options.connections_max);
    let inner = Arc::clone(inner);
    Server::start(listen(address).await?, connections_max, move |request| {
        let inner = Arc::clone(&inner);
        async move {
            if request.uri().path() == LOAD_PATH {
                return load::report(&inner).await;
            }
            calls::call(inner, request).await
        }
    })
}

async fn control(inner: &Inner, request: Request<Incoming>) -> HandlerResult {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/faults") => {
            let faults = read_json(request.into_body()).await?;
            inner.set_faults(faults);
            respond(StatusCode::NO_CONTENT, Bytes::new())
        }
        (&Method::POST, "/drain") => {
            inner.draining.store(true, Ordering::Relaxed);
            inner.state_changed.notify_one();
            respond(StatusCode::NO_CONTENT, Bytes::new())
        }
        (&Method::GET, "/record") => respond_json(StatusCode::OK, &inner.run_log.runs()),
        (&Method::GET, "/stats") => {
            let stats = inner.stats.lock().clone();
            respond_json(StatusCode::OK, &stats)
        }
        _ => respond(StatusCode::NOT_FOUND, "nothing there"),
    }
}
