//! Exchanges what is known of services with one member at a time.

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
        foreign_turns::ForeignTurns,
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
    transport::control_channel::{ChannelError, ControlClient},
};

/// Longest wait for an answer of another daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes left below which the budget counts as short: some ten exchanges.
const RESERVE_BYTES: u32 = 4_096;
/// Members that hear of a change at once; each of them passes it on to as many.
///
/// With three, a change reaches 94 in 100 within the first wave (the share that e^-3x leaves
/// out); the ticks bring it to the others.
const SPREAD_TO: usize = 3;
/// Least time between two waves, so that changes that come together go out together.
const SPREAD_PAUSE: Duration = Duration::from_millis(20);
/// Most members of the own service that urgent news go to.
const URGENT_TO_MAX: usize = 64;

/// Why an exchange with another daemon failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The question got no answer.
    #[error(transparent)]
    Channel(#[from] ChannelError),
    /// A message can't be written or read.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The other daemon gave an answer of another kind.
    #[error("the answer doesn't fit the question")]
    Unfit,
}

/// What an exchange brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Exchanged {
    /// The other knows the service, and both now know what either knew.
    Known,
    /// The other doesn't know the service; these may.
    Elsewhere(Vec<SocketAddr>),
}

struct Shared {
    settings: Arc<DaemonSettings>,
    directory: Directory,
    client: ControlClient,
    budget: ByteBudget,
    counters: Counters,
    reconciler: Reconciler,
    reachability: Reachability,
    /// Told when something about the own service changed.
    changed: Arc<Notify>,
    turns: ForeignTurns,
}

/// Whose turn it is while the budget is short.
#[derive(Clone, Copy)]
enum Turns {
    Own,
    Foreign,
}

impl Turns {
    fn other(self) -> Self {
        match self {
            Self::Own => Self::Foreign,
            Self::Foreign => Self::Own,
        }
    }
}

/// Exchanges with other daemons; clones share all.
#[derive(Clone)]
pub struct Gossip {
    shared: Arc<Shared>,
}

/// What a [`Gossip`] works with.
pub struct GossipParts {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// What is known.
    pub directory: Directory,
    /// Asks other daemons.
    pub client: ControlClient,
    /// What exchanges may cost.
    pub budget: ByteBudget,
    /// Counters.
    pub counters: Counters,
    /// Works out who lacks what.
    pub reconciler: Reconciler,
    /// Who answers.
    pub reachability: Reachability,
    /// Told when something about the own service changed.
    pub changed: Arc<Notify>,
}

impl Gossip {
    /// Works with `parts`.
    pub fn new(parts: GossipParts) -> Self {
        let shared = Shared {
            settings: parts.settings,
            directory: parts.directory,
            client: parts.client,
            budget: parts.budget,
            counters: parts.counters,
            reconciler: parts.reconciler,
            reachability: parts.reachability,
            changed: parts.changed,
            turns: ForeignTurns::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Exchanges with one random member each tick until `stop`.
    pub async fn tick(self, stop: CancellationToken) {
        let interval_ms = u64::from(self.shared.settings.budgets.gossip_interval_ms);
        // Jitter takes a quarter away on average.
        let interval = Duration::from_millis(interval_ms) * 4 / 3;
        let mut next = Turns::Own;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(jittered(interval)) => self.exchange_in_turn(&mut next).await,
            }
        }
    }

    /// Passes changes of the own service on to some members at once, until `stop`.
    pub async fn spread(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.shared.changed.notified() => self.spread_once().await,
            }
            sleep(SPREAD_PAUSE).await;
        }
    }

    /// Compares with some members of the own service now.
    pub async fn spread_once(&self) {
        let Some(view) = self.own_view() else { return };
        self.shared.counters.add("gossip.waves");
        let peers = self.random_members(&view, SPREAD_TO);
        join_all(peers.iter().map(|peer| self.exchange_with(&view.name, peer))).await;
    }

    /// Tells members of the own service what can't wait.
    pub async fn send_urgent(&self, news: UrgentUpdate) {
        let Some(view) = self.own_view() else { return };
        let peers = self.random_members(&view, URGENT_TO_MAX);
        let question = ControlRequest::Urgent(news);
        let tell = async |peer: &MemberRow| {
            let result = self.ask_member(peer, &question).await;
            let counter = if result.is_ok() { "urgent.sent" } else { "urgent.failed" };
            self.shared.counters.add(counter);
        };
        join_all(peers.iter().map(tell)).await;
    }

    /// Asks `peer` for a sign of life; says whether it gave one.
    pub async fn ping(&self, peer: &MemberRow) -> bool {
        self.ask_member(peer, &ControlRequest::Ping).await.is_ok()
    }

    /// Compares what is known of `service` with the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Any [`ExchangeError`].
    pub async fn exchange(
        &self,
        service: &str,
        address: SocketAddr,
    ) -> Result<Exchanged, ExchangeError> {
        let reconciler = &self.shared.reconciler;
        let question = reconciler.question(service);
        let news = match self.ask(address, &ControlRequest::Sync(question)).await? {
            ControlResponse::News(news) if news.service == service => news,
            ControlResponse::Elsewhere { peers } => return Ok(Exchanged::Elsewhere(peers)),
            _ => return Err(ExchangeError::Unfit),
        };
        let lacking = reconciler.lacking(&news);
        let pace = Duration::from_millis(u64::from(news.pace_ms));
        reconciler.take(news);
        if let Some(lacking) = lacking {
            self.ask(address, &ControlRequest::Push(lacking)).await?;
        }
        self.shared.turns.ended_well(service, pace, Instant::now());
        Ok(Exchanged::Known)
    }

    /// Compares what is known of `service` with a random one of its members.
    ///
    /// # Errors
    ///
    /// Any [`ExchangeError`].
    pub async fn exchange_any(&self, service: &str) -> Option<Exchanged> {
        let view = self.shared.directory.peek(service)?;
        let peer = self.random_members(&view, 1).pop()?;
        self.exchange_with(service, &peer).await
    }

    /// Whether exchanges about a foreign `service` go well.
    pub fn is_in_touch(&self, service: &str) -> bool {
        self.shared.turns.is_in_touch(service, Instant::now())
    }

    /// Asks `address` and waits for its answer.
    ///
    /// # Errors
    ///
    /// Any [`ExchangeError`].
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: &ControlRequest,
    ) -> Result<ControlResponse, ExchangeError> {
        let bytes = encode(question)?;
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let answer = self.shared.client.ask(address, &bytes, deadline).await?;
        Ok(decode(&answer)?)
    }

    /// Asks a member and takes note of whether it answers.
    ///
    /// # Errors
    ///
    /// Any [`ExchangeError`].
    pub async fn ask_member(
        &self,
        peer: &MemberRow,
        question: &ControlRequest,
    ) -> Result<ControlResponse, ExchangeError> {
        let result = self.ask(peer.control_address, question).await;
        self.note(peer, result.is_ok());
        result
    }

    /// Compares with one member of the own service, and of each foreign one whose turn it is.
    ///
    /// When the budget is short, ticks go to the own service and to a foreign one alternately.
    /// Served first in each tick, the own service would spend all that comes in, and a caller would
    /// never hear of a foreign service's new rules.
    async fn exchange_in_turn(&self, next: &mut Turns) {
        self.shared.counters.add("gossip.ticks");
        let own = self.shared.directory.own_service();
        let due = self.foreign_due(own.as_deref());
        if self.shared.budget.has_more_than(RESERVE_BYTES, Instant::now()) {
            self.exchange_own(own.as_ref()).await;
            join_all(due.iter().map(|service| self.exchange_foreign(service))).await;
            return;
        }
        if !self.shared.budget.has_more_than(0, Instant::now()) {
            self.shared.counters.add("gossip.skipped");
            return;
        }
        match (*next, due.first()) {
            (Turns::Foreign, Some(service)) => self.exchange_foreign(service).await,
            (Turns::Own, _) | (Turns::Foreign, None) => self.exchange_own(own.as_ref()).await,
        }
        *next = next.other();
    }

    async fn exchange_own(&self, own: Option<&ServiceName>) {
        if let Some(own) = own {
            self.exchange_any(own).await;
        }
    }

    async fn exchange_foreign(&self, service: &ServiceName) {
        self.shared.turns.began(service, Instant::now());
        self.exchange_any(service).await;
    }

    fn foreign_due(&self, own: Option<&str>) -> Vec<ServiceName> {
        let views = self.shared.directory.views();
        let names = views.iter().map(|view| view.name.clone());
        let foreign = names.filter(|name| Some(name.as_str()) != own).collect();
        self.shared.turns.due(foreign, Instant::now())
    }

    async fn exchange_with(&self, service: &str, peer: &MemberRow) -> Option<Exchanged> {
        let result = self.exchange(service, peer.control_address).await;
        self.note(peer, result.is_ok());
        result.ok()
    }

    fn note(&self, peer: &MemberRow, has_answered: bool) {
        let now = Instant::now();
        if has_answered {
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

    /// Up to `count` members but for this daemon, those that answer if there are any.
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
