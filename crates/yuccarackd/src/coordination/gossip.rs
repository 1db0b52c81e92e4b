//! Gossip: exchanges of service updates with randomly chosen members.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use thiserror::Error;
use tokio::{sync::Notify, time::sleep};
use tokio_util::sync::CancellationToken;
use yuccarack_config::{ids::ServiceName, settings::DaemonSettings};
use yuccarack_platform::rows::MemberRow;

use crate::{
    coordination::{
        foreign_schedule::ForeignSchedule,
        jitter::{generator, jittered},
        reconciler::Reconciler,
    },
    protocol::control::{
        ControlRequest, ControlResponse, MessageError, UrgentUpdate, decode, encode,
    },
    state::{
        byte_budget::ByteBudget,
        counters::Counters,
        directory::{Directory, ServiceView},
        reachability::Reachability,
    },
    transport::control_channel::{ChannelError, ControlChannelClient},
};

/// Longest wait for the response of another daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Remaining bytes below which the budget counts as low; about ten exchanges.
const LOW_BUDGET_BYTES: u32 = 4_096;
/// Members with which a change is exchanged at once; each of them passes it on to as many.
///
/// With three, a change reaches a share x of the members with x = 1 - e^(-3x), which is 94 of 100;
/// the periodic exchanges bring it to the others.
const FANOUT: usize = 3;
/// Shortest time between two exchanges of changes, so that changes in quick succession are sent
/// together.
const CHANGE_EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Most members of the own service to which an urgent update is sent.
const URGENT_FANOUT_MAX: usize = 64;

/// Why an exchange with another daemon failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request got no response.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// A message can't be encoded or decoded.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The other daemon sent a response of another kind.
    #[error("the response doesn't fit the request")]
    UnexpectedResponse,
}

/// Outcome of an exchange with another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The other daemon knows the service, and updates were exchanged. Members may still differ, as
    /// an update may contain only the latest changes.
    Synced,
    /// The other daemon doesn't know the service; daemons at these control addresses may.
    Referred(Vec<SocketAddr>),
}

struct Shared {
    settings: Arc<DaemonSettings>,
    directory: Directory,
    client: ControlChannelClient,
    budget: ByteBudget,
    counters: Counters,
    reconciler: Reconciler,
    reachability: Reachability,
    /// Notified when the own service changed.
    own_service_changed: Arc<Notify>,
    foreign_schedule: ForeignSchedule,
}

/// Which services the next tick serves while the budget is low.
#[derive(Clone, Copy)]
enum ExchangeTurn {
    Own,
    Foreign,
}

impl ExchangeTurn {
    fn other(self) -> Self {
        match self {
            Self::Own => Self::Foreign,
            Self::Foreign => Self::Own,
        }
    }
}

/// Exchanges updates with other daemons. Clones share all state.
#[derive(Clone)]
pub struct Gossip {
    shared: Arc<Shared>,
}

/// Dependencies of a [`Gossip`].
pub struct GossipDependencies {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Services and members that this daemon knows.
    pub directory: Directory,
    /// Client for requests to other daemons.
    pub client: ControlChannelClient,
    /// Limit of the bytes that exchanges may use.
    pub budget: ByteBudget,
    /// Counters of the daemon.
    pub counters: Counters,
    /// Computes and applies updates.
    pub reconciler: Reconciler,
    /// Record of which members respond.
    pub reachability: Reachability,
    /// Notified when the own service changed.
    pub own_service_changed: Arc<Notify>,
}

impl Gossip {
    /// Creates a gossip from its dependencies.
    pub fn new(deps: GossipDependencies) -> Self {
        let shared = Shared {
            settings: deps.settings,
            directory: deps.directory,
            client: deps.client,
            budget: deps.budget,
            counters: deps.counters,
            reconciler: deps.reconciler,
            reachability: deps.reachability,
            own_service_changed: deps.own_service_changed,
            foreign_schedule: ForeignSchedule::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Exchanges with one random member of each due service in each tick, until `stop`.
    pub async fn run_exchanges(self, stop: CancellationToken) {
        let interval_ms = u64::from(self.shared.settings.budgets.gossip_interval_ms);
        // Jitter shortens the interval by a quarter on average.
        let interval = Duration::from_millis(interval_ms) * 4 / 3;
        let mut next = ExchangeTurn::Own;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(jittered(interval)) => self.run_tick(&mut next).await,
            }
        }
    }

    /// Exchanges with some members as soon as the own service has changed, until `stop`.
    pub async fn run_change_exchanges(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.shared.own_service_changed.notified() => self.exchange_changes().await,
            }
            sleep(CHANGE_EXCHANGE_INTERVAL_MIN).await;
        }
    }

    /// Exchanges with `FANOUT` random members of the own service now.
    pub async fn exchange_changes(&self) {
        let Some(view) = self.own_view() else { return };
        self.shared.counters.add("gossip.waves");
        let peers = self.random_members(&view, FANOUT);
        join_all(peers.iter().map(|peer| self.exchange_with(&view.name, peer))).await;
    }

    /// Sends an update that can't wait for the next exchange to up to `URGENT_FANOUT_MAX` random
    /// members of the own service, which don't pass it on.
    pub async fn send_urgent(&self, update: UrgentUpdate) {
        let Some(view) = self.own_view() else { return };
        let peers = self.random_members(&view, URGENT_FANOUT_MAX);
        let request = ControlRequest::Urgent(update);
        let send = async |peer: &MemberRow| {
            let result = self.send_to_member(peer, &request).await;
            let counter = if result.is_ok() { "urgent.sent" } else { "urgent.failed" };
            self.shared.counters.add(counter);
        };
        join_all(peers.iter().map(send)).await;
    }

    /// Pings `peer` and returns whether it responded.
    pub async fn ping(&self, peer: &MemberRow) -> bool {
        self.send_to_member(peer, &ControlRequest::Ping).await.is_ok()
    }

    /// Exchanges updates of `service` with the daemon at `address`, in both directions.
    ///
    /// # Errors
    ///
    /// Returns any [`ExchangeError`].
    pub async fn exchange(
        &self,
        service: &str,
        address: SocketAddr,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let reconciler = &self.shared.reconciler;
        let request = reconciler.sync_request(service);
        let update = match self.send_request(address, &ControlRequest::Sync(request)).await? {
            ControlResponse::News(update) if update.service == service => update,
            ControlResponse::Elsewhere { peers } => return Ok(ExchangeOutcome::Referred(peers)),
            _ => return Err(ExchangeError::UnexpectedResponse),
        };
        let missing = reconciler.missing_update_for(&update);
        let interval = Duration::from_millis(u64::from(update.pace_ms));
        reconciler.apply(update);
        if let Some(missing) = missing {
            self.send_request(address, &ControlRequest::Push(missing)).await?;
        }
        self.shared.foreign_schedule.record_success(service, interval, Instant::now());
        Ok(ExchangeOutcome::Synced)
    }

    /// Exchanges updates of `service` with a random one of its members.
    ///
    /// Returns `None` if the service has no known member or the exchange failed.
    pub async fn exchange_any(&self, service: &str) -> Option<ExchangeOutcome> {
        let view = self.shared.directory.peek(service)?;
        let peer = self.random_members(&view, 1).pop()?;
        self.exchange_with(service, &peer).await
    }

    /// Returns whether an exchange about a foreign `service` succeeded recently.
    pub fn has_recent_exchange(&self, service: &str) -> bool {
        self.shared.foreign_schedule.has_recent_exchange(service, Instant::now())
    }

    /// Sends a request to the daemon at `address` and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns any [`ExchangeError`].
    pub async fn send_request(
        &self,
        address: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlResponse, ExchangeError> {
        let bytes = encode(request)?;
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let response = self.shared.client.send_request(address, &bytes, deadline).await?;
        Ok(decode(&response)?)
    }

    /// Sends a request to a member and records whether it responds.
    ///
    /// # Errors
    ///
    /// Returns any [`ExchangeError`].
    pub async fn send_to_member(
        &self,
        peer: &MemberRow,
        request: &ControlRequest,
    ) -> Result<ControlResponse, ExchangeError> {
        let result = self.send_request(peer.control_address, request).await;
        self.record_reachability(peer, result.is_ok());
        result
    }

    /// Exchanges with one member of the own service and of each foreign service that is due.
    ///
    /// When the budget is low, ticks serve the own service and a foreign one alternately. If the
    /// own service came first in each tick, it would use up the budget, and a caller would never
    /// get new rules of a foreign service.
    async fn run_tick(&self, next: &mut ExchangeTurn) {
        self.shared.counters.add("gossip.ticks");
        let own = self.shared.directory.own_service();
        let due = self.due_foreign_services(own.as_deref());
        if self.shared.budget.has_more_than(LOW_BUDGET_BYTES, Instant::now()) {
            self.exchange_own(own.as_ref()).await;
            join_all(due.iter().map(|service| self.exchange_foreign(service))).await;
            return;
        }
        if !self.shared.budget.has_more_than(0, Instant::now()) {
            self.shared.counters.add("gossip.skipped");
            return;
        }
        match (*next, due.first()) {
            (ExchangeTurn::Foreign, Some(service)) => self.exchange_foreign(service).await,
            (ExchangeTurn::Own, _) | (ExchangeTurn::Foreign, None) => {
                self.exchange_own(own.as_ref()).await
            }
        }
        *next = next.other();
    }

    async fn exchange_own(&self, own: Option<&ServiceName>) {
        if let Some(own) = own {
            self.exchange_any(own).await;
        }
    }

    async fn exchange_foreign(&self, service: &ServiceName) {
        self.shared.foreign_schedule.record_start(service, Instant::now());
        self.exchange_any(service).await;
    }

    fn due_foreign_services(&self, own: Option<&str>) -> Vec<ServiceName> {
        let views = self.shared.directory.views();
        let names = views.iter().map(|view| view.name.clone());
        let foreign = names.filter(|name| Some(name.as_str()) != own).collect();
        self.shared.foreign_schedule.due(foreign, Instant::now())
    }

    async fn exchange_with(&self, service: &str, peer: &MemberRow) -> Option<ExchangeOutcome> {
        let result = self.exchange(service, peer.control_address).await;
        self.record_reachability(peer, result.is_ok());
        result.ok()
    }

    fn record_reachability(&self, peer: &MemberRow, has_responded: bool) {
        let now = Instant::now();
        if has_responded {
            self.shared.reachability.record_response(&peer.instance, now);
            return;
        }
        self.shared.counters.add("gossip.failed");
        self.shared.reachability.record_failure(&peer.instance, now);
    }

    fn own_view(&self) -> Option<Arc<ServiceView>> {
        let own = self.shared.directory.own_service()?;
        self.shared.directory.peek(&own)
    }

    /// Returns up to `count` random members other than this daemon; only reachable ones if there
    /// are any.
    fn random_members(&self, view: &ServiceView, count: usize) -> Vec<MemberRow> {
        let others =
            || view.members.iter().filter(|row| row.instance != self.shared.settings.instance);
        let is_reachable = |row: &&MemberRow| self.shared.reachability.is_reachable(&row.instance);
        let mut candidates: Vec<&MemberRow> = others().filter(is_reachable).collect();
        if candidates.is_empty() {
            candidates = others().collect();
        }
        let mut rng = generator();
        candidates.choose_multiple(&mut rng, count).map(|row| MemberRow::clone(row)).collect()
    }
}
