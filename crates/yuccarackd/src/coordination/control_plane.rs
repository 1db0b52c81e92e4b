//! Starts and stops all that a daemon does besides calls.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use slog::{Logger, o};
use thiserror::Error;
use tokio::{
    runtime::{Builder, Runtime},
    sync::{mpsc, watch},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::settings::DaemonSettings;

use crate::{
    coordination::{control_parts::Parts, gossip::Gossip, rules_sync::RulesSync},
    protocol::control::UrgentUpdate,
    state::{
        byte_budget::ByteBudget, counters::Counters, directory::Directory, own_target::OwnTarget,
        store_health::StoreHealth,
    },
    transport::{
        admin_server::{AdminServer, AdminState, Explain},
        control_channel::ControlServer,
    },
};

/// Urgent news that wait to be sent or taken; more are dropped and counted.
const URGENT_WAITING_MAX: usize = 256;
/// How long connections are given to close at the end.
const CLOSE_MAX: Duration = Duration::from_secs(1);

/// Why the control plane could not start or stop well.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The control thread can't be had or ended badly.
    #[error("the control thread failed")]
    Thread(#[source] io::Error),
    /// The control address can't be served.
    #[error("the control address {address} can't be served")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
    /// The admin address can't be served.
    #[error("the admin endpoint failed")]
    Admin(#[source] io::Error),
}

/// All that a daemon does besides calls; has to be stopped.
///
/// It runs on a thread of its own, so that calls never wait for control work, and what it costs
/// can be read off the operating system's count for that thread.
pub struct ControlPlane {
    /// What is known of services.
    pub directory: Directory,
    /// The own target.
    pub own_target: OwnTarget,
    /// Whether the store answers.
    pub store_health: StoreHealth,
    /// News that members of the own service need at once; a full queue must not be waited for.
    pub urgent: mpsc::Sender<UrgentUpdate>,
    arrived: Option<mpsc::Receiver<UrgentUpdate>>,
    control_address: SocketAddr,
    admin: AdminServer,
    draining: watch::Sender<bool>,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl ControlPlane {
    /// Starts all control tasks and the admin endpoint.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when an address or a thread can't be had; nothing runs then.
    pub async fn start(
        settings: Arc<DaemonSettings>,
        counters: Counters,
        logger: Logger,
        explain: Explain,
    ) -> Result<Self, ControlError> {
        let logger = logger.new(o!("part" => "control"));
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(1)
            .build()
            .map_err(ControlError::Thread)?;
        let budget = ByteBudget::new(counters.clone(), Instant::now());
        let address = settings.control_address;
        let server = ControlServer::listen(address, budget.clone())
            .await
            .map_err(|source| ControlError::Listen { address, source })?;
        let admin_listener =
            TcpListener::bind(settings.admin_address).map_err(ControlError::Admin)?;
        let settings = with_bound_addresses(&settings, &server, &admin_listener)?;

        let store_health = StoreHealth::new();
        let parts = Parts::new(settings, counters, logger, &store_health, budget);
        let (draining, is_draining) = watch::channel(false);
        let (urgent, to_send) = mpsc::channel(URGENT_WAITING_MAX);
        let (arriving, arrived) = mpsc::channel(URGENT_WAITING_MAX);
        let directory = parts.directory.clone();
        let own_target = parts.own_target.clone();
        let stop = parts.stop.clone();

        let rules_sync = parts.rules_sync();
        let hinted = rules_sync.clone();
        let admin_state = AdminState {
            settings: Arc::clone(&parts.settings),
            counters: parts.counters.clone(),
            directory: directory.clone(),
            own_target: own_target.clone(),
            store_health: store_health.clone(),
            draining: is_draining.clone(),
            explain,
            hint: Arc::new(move || hinted.hint()),
        };
        let control_address = parts.settings.control_address;
        let admin = AdminServer::start(admin_state, admin_listener).map_err(ControlError::Admin)?;
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run(runtime, parts, server, rules_sync, is_draining, to_send, arriving))
            .map_err(ControlError::Thread)?;
        let arrived = Some(arrived);
        Ok(Self {
            directory,
            own_target,
            store_health,
            urgent,
            arrived,
            control_address,
            admin,
            draining,
            stop,
            thread,
        })
    }

    /// Urgent news of other daemons; only the first taker gets them.
    pub fn take_arrived(&mut self) -> Option<mpsc::Receiver<UrgentUpdate>> {
        self.arrived.take()
    }

    /// Address of the admin endpoint.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Address for control messages of other daemons.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Says to peers and in the table that this daemon takes no more work for its target.
    pub fn begin_drain(&self) {
        self.draining.send_replace(true);
    }

    /// Says that this daemon has gone, and waits for all tasks and threads to end.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when a thread ended badly.
    pub async fn stop(self) -> Result<(), ControlError> {
        self.begin_drain();
        self.stop.cancel();
        let (admin, thread) = (self.admin, self.thread);
        let joined = tokio::task::spawn_blocking(move || {
            let control = thread.join();
            (control, admin.stop())
        });
        let (control, admin) =
            joined.await.map_err(|error| ControlError::Thread(io::Error::other(error)))?;
        control.map_err(|_| ControlError::Thread(io::Error::other(ControlPanic)))?;
        admin.map_err(ControlError::Admin)
    }
}

/// The control thread panicked.
#[derive(Debug, Error)]
#[error("the control thread panicked")]
struct ControlPanic;

/// The settings with the ports that the kernel gave where they leave the choice to it.
fn with_bound_addresses(
    settings: &DaemonSettings,
    server: &ControlServer,
    admin: &TcpListener,
) -> Result<Arc<DaemonSettings>, ControlError> {
    let mut settings = settings.clone();
    settings.control_address = server.address();
    settings.admin_address = admin.local_addr().map_err(ControlError::Admin)?;
    Ok(Arc::new(settings))
}

/// Runs all control tasks on this thread until they have ended.
fn run(
    runtime: Runtime,
    parts: Parts,
    server: ControlServer,
    rules_sync: RulesSync,
    draining: watch::Receiver<bool>,
    to_send: mpsc::Receiver<UrgentUpdate>,
    arriving: mpsc::Sender<UrgentUpdate>,
) {
    runtime.block_on(async {
        let (tracker, stop) = (&parts.tracker, &parts.stop);
        // Peers are answered until this daemon has said that it has gone.
        let stop_answering = CancellationToken::new();
        let answering = parts.answering(arriving);
        let answer = move |question| answering.clone().answer(question);
        server.serve(answer, tracker, &stop_answering);
        tracker.spawn(parts.gossip.clone().tick(stop.clone()));
        tracker.spawn(parts.gossip.clone().spread(stop.clone()));
        tracker.spawn(send_urgent(parts.gossip.clone(), to_send, tracker.clone(), stop.clone()));
        tracker.spawn(parts.removal().run(stop.clone()));
        tracker.spawn(rules_sync.clone().poll(stop.clone()));
        if let Some(lookups) = parts.directory.take_lookup_receiver() {
            tracker.spawn(rules_sync.answer_lookups(lookups, tracker.clone(), stop.clone()));
        }
        parts.membership(draining).run(stop.clone()).await;
        stop_answering.cancel();
        tracker.close();
        tracker.wait().await;
    });
    runtime.shutdown_timeout(CLOSE_MAX);
}

async fn send_urgent(
    gossip: Gossip,
    mut to_send: mpsc::Receiver<UrgentUpdate>,
    tracker: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let news = tokio::select! {
            () = stop.cancelled() => return,
            news = to_send.recv() => news,
        };
        let Some(news) = news else { return };
        // Each by itself: a member that doesn't answer must not hold up the next news.
        let gossip = gossip.clone();
        tracker.spawn(async move { gossip.send_urgent(news).await });
    }
}
