//! Stand-in of a target: slots, load report, drain, cold start, shedding, crashes, a record.

mod announce;
mod calls;
mod load;
mod options;
mod record;

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
    record::{Run, RunGuard, RunLog, RunState, unix_ms},
};
use crate::server::{HandlerResult, Server, listen, read_json, respond, respond_json};

/// What makes a target crash, anywhere in a request's path or body.
pub const CRASH_MARKER: &str = "crash-the-target";

/// Path of the load endpoint.
pub const LOAD_PATH: &str = "/load";

/// Connections that the control address takes.
const CONTROL_CONNECTIONS_MAX: usize = 64;

/// Time between two looks at whether a target is quiet.
const QUIET_LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What a marked request does to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// The process ends at once.
    AbortProcess,
    /// All connections are cut and the target stays away until [`Target::restart`].
    CloseConnections,
}

/// A target; its owner ends it with [`Target::stop`].
#[derive(Debug)]
pub struct Target {
    inner: Arc<Inner>,
    calls: Option<Server>,
    call_address: SocketAddr,
    control: Server,
    tasks: TaskTracker,
    end: CancellationToken,
}

/// What the parts of a target share.
#[derive(Debug)]
struct Inner {
    options: TargetOptions,
    on_crash: CrashMode,
    run_log: RunLog,
    faults: Mutex<TargetFaults>,
    stats: Mutex<TargetStats>,
    stalled_until: Mutex<Instant>,
    started_at: Mutex<Instant>,
    boot_id: AtomicU64,
    draining: AtomicBool,
    away: AtomicBool,
    crashed: Notify,
    changed: Notify,
    slots: Semaphore,
    random: Mutex<StdRng>,
    lagging_load: Mutex<Option<(Instant, u64)>>,
}

impl Target {
    /// Starts a target that writes its runs to `run_log`.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn start(
        options: TargetOptions,
        on_crash: CrashMode,
        run_log: RunLog,
    ) -> io::Result<Self> {
        let inner = Arc::new(Inner::new(options, on_crash, run_log));
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

    /// The address for calls.
    pub fn address(&self) -> SocketAddr {
        self.call_address
    }

    /// The address for faults and the record.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// What it was told at its start.
    pub fn options(&self) -> &TargetOptions {
        &self.inner.options
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.inner.set_faults(faults);
    }

    /// What it has counted.
    pub fn stats(&self) -> TargetStats {
        let mut stats = self.inner.stats.lock().clone();
        stats.connections_most =
            self.calls.as_ref().map_or(0, |calls| calls.peak_connections() as u64);
        stats
    }

    /// Tells the daemon that it takes no more work.
    pub fn drain(&self) {
        self.inner.draining.store(true, Ordering::Relaxed);
        self.inner.changed.notify_one();
    }

    /// Waits until no request has been inside for `quiet`.
    pub async fn wait_idle(&self, quiet: Duration) {
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() < quiet {
            if self.inner.stats.lock().inside > 0 {
                quiet_since = Instant::now();
            }
            sleep(QUIET_LOOK_INTERVAL).await;
        }
    }

    /// Whether a marked request or [`Target::kill`] has ended it.
    pub fn is_down(&self) -> bool {
        self.inner.away.load(Ordering::Relaxed)
    }

    /// Waits until a marked request has crashed it, then cuts all its connections.
    pub async fn wait_crashed(&mut self) {
        self.inner.crashed.notified().await;
        self.kill().await;
    }

    /// Cuts all connections and stays away, as a killed process would.
    pub async fn kill(&mut self) {
        self.inner.away.store(true, Ordering::Relaxed);
        if let Some(calls) = self.calls.take() {
            calls.crash().await;
        }
    }

    /// Comes back on the same address with a new life.
    ///
    /// # Errors
    ///
    /// The address can't be bound again.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.inner.boot_id.fetch_add(1, Ordering::Relaxed);
        self.inner.draining.store(false, Ordering::Relaxed);
        *self.inner.started_at.lock() = Instant::now();
        self.calls = Some(serve_calls(&self.inner, self.call_address).await?);
        self.inner.away.store(false, Ordering::Relaxed);
        self.inner.changed.notify_one();
        Ok(())
    }

    /// Lets the requests in flight end and joins all it spawned.
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
    fn new(options: TargetOptions, on_crash: CrashMode, run_log: RunLog) -> Self {
        let now = Instant::now();
        Self {
            on_crash,
            run_log,
            faults: Mutex::default(),
            stats: Mutex::default(),
            stalled_until: Mutex::new(now),
            started_at: Mutex::new(now),
            boot_id: AtomicU64::new(options.boot_id),
            draining: AtomicBool::new(false),
            away: AtomicBool::new(false),
            crashed: Notify::new(),
            changed: Notify::new(),
            slots: Semaphore::new(usize::from(options.slots)),
            random: Mutex::new(StdRng::seed_from_u64(options.seed)),
            lagging_load: Mutex::default(),
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
            inner.changed.notify_one();
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
