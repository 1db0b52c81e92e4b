//! Control plane: starts and stops all tasks of a daemon that don't handle calls.

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
    coordination::{control_components::ControlComponents, gossip::Gossip, table_sync::TableSync},
    protocol::control::UrgentUpdate,
    state::{
        byte_budget::ByteBudget, counters::Counters, directory::Directory, own_target::OwnTarget,
        store_health::StoreHealth,
    },
    transport::{
        admin_server::{AdminServer, AdminState, Explain},
        control_channel::ControlChannelServer,
    },
};

/// Most urgent updates that wait to be sent or processed; further ones are dropped and counted.
const URGENT_QUEUE_MAX: usize = 256;
/// Longest time that connections get to close when the control plane stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the control plane failed to start or to stop.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The control thread can't be started or panicked.
    #[error("the control thread failed")]
    Thread(#[source] io::Error),
    /// The daemon can't listen on the control address.
    #[error("can't listen on the control address {address}")]
    Listen {
        /// Control address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The admin endpoint can't be started or stopped.
    #[error("the admin endpoint failed")]
    Admin(#[source] io::Error),
}

/// Running control tasks of a daemon. Must be stopped with [`ControlPlane::stop`].
///
/// The tasks run on a thread of their own, so that calls never wait for control work, and so that
/// the operating system accounts its cost separately.
pub struct ControlPlane {
    /// Services and members that this daemon knows.
    pub directory: Directory,
    /// State of the own target.
    pub own_target: OwnTarget,
    /// Whether the store responds.
    pub store_health: StoreHealth,
    /// Queue of outgoing updates that members of the own service need at once. Senders must not
    /// wait while the queue is full.
    pub outgoing_urgent_sender: mpsc::Sender<UrgentUpdate>,
    received_urgent_receiver: Option<mpsc::Receiver<UrgentUpdate>>,
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
    /// Returns a [`ControlError`] if an address or a thread isn't available; no task runs then.
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
        let server = ControlChannelServer::listen(address, budget.clone())
            .await
            .map_err(|source| ControlError::Listen { address, source })?;
        let admin_listener =
            TcpListener::bind(settings.admin_address).map_err(ControlError::Admin)?;
        let settings = with_bound_addresses(&settings, &server, &admin_listener)?;

        let store_health = StoreHealth::new();
        let components = ControlComponents::new(settings, counters, logger, &store_health, budget);
        let (draining, is_draining) = watch::channel(false);
        let (outgoing_urgent_sender, outgoing_urgent_receiver) = mpsc::channel(URGENT_QUEUE_MAX);
        let (received_urgent_sender, received_urgent_receiver) = mpsc::channel(URGENT_QUEUE_MAX);
        let directory = components.directory.clone();
        let own_target = components.own_target.clone();
        let stop = components.stop.clone();

        let table_sync = components.table_sync();
        let poll_requester = table_sync.clone();
        let admin_state = AdminState {
            settings: Arc::clone(&components.settings),
            counters: components.counters.clone(),
            directory: directory.clone(),
            own_target: own_target.clone(),
            store_health: store_health.clone(),
            draining: is_draining.clone(),
            explain,
            request_poll: Arc::new(move || poll_requester.request_poll()),
        };
        let control_address = components.settings.control_address;
        let admin = AdminServer::start(admin_state, admin_listener).map_err(ControlError::Admin)?;
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                run(
                    runtime,
                    components,
                    server,
                    table_sync,
                    is_draining,
                    outgoing_urgent_receiver,
                    received_urgent_sender,
                )
            })
            .map_err(ControlError::Thread)?;
        let received_urgent_receiver = Some(received_urgent_receiver);
        Ok(Self {
            directory,
            own_target,
            store_health,
            outgoing_urgent_sender,
            received_urgent_receiver,
            control_address,
            admin,
            draining,
            stop,
            thread,
        })
    }

    /// Takes the receiver of urgent updates from other daemons; `None` if it was already taken.
    pub fn take_urgent_receiver(&mut self) -> Option<mpsc::Receiver<UrgentUpdate>> {
        self.received_urgent_receiver.take()
    }

    /// Returns the bound address of the admin endpoint.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the bound address for control messages of other daemons.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Announces to peers and in the table that this daemon accepts no more requests for its
    /// target.
    pub fn begin_drain(&self) {
        self.draining.send_replace(true);
    }

    /// Announces that this daemon leaves, and waits for all tasks and threads to end.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if a thread panicked or the admin endpoint failed.
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

/// Source of [`ControlError::Thread`] after a panic.
#[derive(Debug, Error)]
#[error("the control thread panicked")]
struct ControlPanic;

/// Returns the settings with the bound addresses, which differ where a port of 0 leaves the choice
/// to the kernel.
fn with_bound_addresses(
    settings: &DaemonSettings,
    server: &ControlChannelServer,
    admin: &TcpListener,
) -> Result<Arc<DaemonSettings>, ControlError> {
    let mut settings = settings.clone();
    settings.control_address = server.address();
    settings.admin_address = admin.local_addr().map_err(ControlError::Admin)?;
    Ok(Arc::new(settings))
}

/// Runs all control tasks on this thread until they end.
fn run(
    runtime: Runtime,
    components: ControlComponents,
    server: ControlChannelServer,
    table_sync: TableSync,
    draining: watch::Receiver<bool>,
    outgoing_urgent_receiver: mpsc::Receiver<UrgentUpdate>,
    received_urgent_sender: mpsc::Sender<UrgentUpdate>,
) {
    runtime.block_on(async {
        let (tracker, stop) = (&components.tracker, &components.stop);
        // Requests of peers are served until this daemon has announced that it leaves.
        let stop_serving = CancellationToken::new();
        let control_handler = components.control_handler(received_urgent_sender);
        let respond = move |request| control_handler.clone().respond(request);
        server.serve(respond, tracker, &stop_serving);
        tracker.spawn(components.gossip.clone().run_exchanges(stop.clone()));
        tracker.spawn(components.gossip.clone().run_change_exchanges(stop.clone()));
        tracker.spawn(send_urgent(
            components.gossip.clone(),
            outgoing_urgent_receiver,
            tracker.clone(),
            stop.clone(),
        ));
        tracker.spawn(components.member_remover().run(stop.clone()));
        tracker.spawn(table_sync.clone().poll(stop.clone()));
        if let Some(lookups) = components.directory.take_lookup_receiver() {
            tracker.spawn(table_sync.serve_lookups(lookups, tracker.clone(), stop.clone()));
        }
        components.membership(draining).run(stop.clone()).await;
        stop_serving.cancel();
        tracker.close();
        tracker.wait().await;
    });
    runtime.shutdown_timeout(CLOSE_TIMEOUT);
}

async fn send_urgent(
    gossip: Gossip,
    mut outgoing_urgent_receiver: mpsc::Receiver<UrgentUpdate>,
    tracker: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let update = tokio::select! {
            () = stop.cancelled() => return,
            update = outgoing_urgent_receiver.recv() => update,
        };
        let Some(update) = update else { return };
        // A task for each update: a member that doesn't respond must not delay the next update.
        let gossip = gossip.clone();
        tracker.spawn(async move { gossip.send_urgent(update).await });
    }
}
