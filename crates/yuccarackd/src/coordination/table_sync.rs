//! Loads rules and members from the table into the directory, on lookups, scheduled polls and
//! requested polls, and deletes the rows of members that have long been gone.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;
use slog::{Logger, info};
use tokio::{
    sync::{Notify, Semaphore, mpsc},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarack_config::{ids::ServiceName, settings::DaemonSettings};
use yuccarack_platform::rows::MemberRow;
use yuccarack_policy::store_poll;

use crate::{
    coordination::{
        gossip::Gossip,
        jitter::{generator, jittered},
        service_finder::find_service,
        table::{Table, TableError},
    },
    state::{
        counters::Counters,
        directory::{Directory, DirectoryError, Lookup, ServiceView},
    },
};

/// Time between two checks whether a poll is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Polls of the rules for each poll of the members.
const MEMBERS_POLL_EVERY: u32 = 4;
/// Poll interval of a foreign service none of whose members responds.
const UNREACHABLE_SERVICE_INTERVAL: Duration = Duration::from_secs(15);
/// Most lookups that are served at the same time.
const CONCURRENT_LOOKUPS_MAX: usize = 8;
/// Time after which a service that isn't called any more is dropped from the directory.
const SERVICE_RETENTION: Duration = Duration::from_secs(300);
/// Time for which members marked as gone are remembered, so that outdated updates can't bring them
/// back.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Time of the next poll of a service's rules, and the number of polls so far.
struct Schedule {
    next: Instant,
    polls: u32,
}

/// Loads rows from the table into the directory. Clones share all state.
#[derive(Clone)]
pub struct TableSync {
    settings: Arc<DaemonSettings>,
    directory: Directory,
    table: Table,
    gossip: Gossip,
    counters: Counters,
    logger: Logger,
    /// Notified when an immediate poll is requested, as by an operator after new rules were
    /// written.
    poll_requested: Arc<Notify>,
    /// Notified when the table had changes of the own service, so that peers get them.
    own_service_changed: Arc<Notify>,
}

/// Dependencies of a [`TableSync`].
pub struct TableSyncDependencies {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Directory into which rows are merged.
    pub directory: Directory,
    /// Table with rules and members.
    pub table: Table,
    /// Exchanges with members, which are preferred to the table.
    pub gossip: Gossip,
    /// Counters of the daemon.
    pub counters: Counters,
    /// Logger of state changes.
    pub logger: Logger,
    /// Notified when the table had changes, so that peers get them.
    pub own_service_changed: Arc<Notify>,
}

impl TableSync {
    /// Creates a sync from its dependencies.
    pub fn new(deps: TableSyncDependencies) -> Self {
        Self {
            settings: deps.settings,
            directory: deps.directory,
            table: deps.table,
            gossip: deps.gossip,
            counters: deps.counters,
            logger: deps.logger,
            poll_requested: Arc::default(),
            own_service_changed: deps.own_service_changed,
        }
    }

    /// Requests an immediate poll of all known services.
    pub fn request_poll(&self) {
        self.counters.add("rules.hints");
        self.poll_requested.notify_one();
    }

    /// Serves the directory's lookups until `stop`.
    pub async fn serve_lookups(
        self,
        mut lookups: mpsc::Receiver<Lookup>,
        tracker: TaskTracker,
        stop: CancellationToken,
    ) {
        let permits = Arc::new(Semaphore::new(CONCURRENT_LOOKUPS_MAX));
        loop {
            let lookup = tokio::select! {
                () = stop.cancelled() => return,
                lookup = lookups.recv() => lookup,
            };
            let Some(lookup) = lookup else { return };
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            let this = self.clone();
            tracker.spawn(async move {
                this.serve_lookup(lookup).await;
                drop(permit);
            });
        }
    }

    /// Polls the table until `stop`. The more members a service has, the less often each one polls.
    pub async fn poll(self, stop: CancellationToken) {
        let mut schedules = HashMap::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.poll_requested.notified() => self.poll_all().await,
                () = sleep(CHECK_INTERVAL) => self.poll_due(&mut schedules).await,
            }
        }
    }

    async fn serve_lookup(&self, lookup: Lookup) {
        self.counters.add("rules.lookups");
        let service = &lookup.service;
        if lookup.is_refresh {
            self.refresh(service).await;
            return;
        }
        match self.load(service).await {
            Ok(true) => self.directory.complete_lookup(service),
            Ok(false) => self.directory.fail_lookup(service, DirectoryError::UnknownService),
            Err(_) => self.load_from_peers(service).await,
        }
    }

    /// Fetches newer rules, from a member if possible.
    ///
    /// When the rules of a service with many callers change, all callers learn of it at the same
    /// time, and they must not all read from the store.
    async fn refresh(&self, service: &str) {
        let before = self.directory.peek(service).map(|view| view.rules_revision);
        self.gossip.exchange_any(service).await;
        let after = self.directory.peek(service).map(|view| view.rules_revision);
        if before == after {
            self.poll_rules(service).await;
        }
    }

    async fn load_from_peers(&self, service: &str) {
        if find_service(service, &self.settings, &self.directory, &self.gossip).await {
            self.counters.add("rules.found_by_peers");
            self.directory.complete_lookup(service);
            return;
        }
        self.directory.fail_lookup(service, DirectoryError::StoreUnavailable);
    }

    /// Loads rules and members of a service from the table. Returns false if the service isn't the
    /// own one and never had rules.
    async fn load(&self, service: &str) -> Result<bool, TableError> {
        let rules = self.table.rules(service).await?;
        let is_own = self.is_own(service);
        if rules.is_none() && !is_own {
            return Ok(false);
        }
        let members = self.table.members(service).await?;
        self.directory.merge_members(service, members);
        if let Some((revision, row)) = rules {
            self.directory.merge_rules(service, revision, &row);
        }
        if is_own {
            // A peer may have changes that couldn't be written yet.
            self.own_service_changed.notify_one();
        }
        Ok(true)
    }

    async fn poll_all(&self) {
        for view in self.directory.views() {
            self.poll_rules(&view.name).await;
        }
    }

    async fn poll_due(&self, schedules: &mut HashMap<ServiceName, Schedule>) {
        let forgotten = self.directory.forget_unused(SERVICE_RETENTION);
        schedules.retain(|service, _| !forgotten.contains(service));
        let now = Instant::now();
        for view in self.directory.views() {
            let new = || Schedule { next: self.first_poll_at(&view, now), polls: 0 };
            let schedule = schedules.entry(view.name.clone()).or_insert_with(new);
            if now < schedule.next {
                continue;
            }
            schedule.next = now + self.next_interval(&view, schedule.polls);
            schedule.polls += 1;
            self.poll_one(&view, schedule.polls).await;
        }
    }

    /// Returns the time of the first poll: at once for the own service, which that poll loads, and
    /// after an interval for others, which a lookup has loaded before.
    fn first_poll_at(&self, view: &ServiceView, now: Instant) -> Instant {
        if self.is_own(&view.name) { now } else { now + self.interval(view) }
    }

    /// Returns the delay until the next poll.
    ///
    /// Daemons that start at the same time load their service at the same time. If each then waited
    /// a full interval, no daemon would poll for that long, which is 50 s in a service of 100. So
    /// the second poll comes at a random time within the first interval.
    fn next_interval(&self, view: &ServiceView, polls: u32) -> Duration {
        let interval = self.interval(view);
        if polls == 0 { interval.mul_f64(generator().random_range(0.0..1.0)) } else { interval }
    }

    fn interval(&self, view: &ServiceView) -> Duration {
        if self.is_own(&view.name) {
            return store_poll::interval(view.members.len(), &mut generator());
        }
        jittered(UNREACHABLE_SERVICE_INTERVAL)
    }

    async fn poll_one(&self, view: &ServiceView, polls: u32) {
        let service = &view.name;
        let is_own = self.is_own(service);
        if is_own && !self.directory.is_loaded(service) {
            self.serve_lookup(Lookup { service: service.clone(), is_refresh: false }).await;
            return;
        }
        if !is_own && self.gossip.has_recent_exchange(service) {
            // The service's members poll the table and send updates in exchanges.
            return;
        }
        self.poll_rules(service).await;
        if !is_own || polls.is_multiple_of(MEMBERS_POLL_EVERY) {
            self.poll_members(service).await;
        }
    }

    async fn poll_rules(&self, service: &str) {
        let Ok(Some((revision, row))) = self.table.rules(service).await else { return };
        if self.directory.merge_rules(service, revision, &row) {
            self.counters.add("rules.from_table");
            info!(self.logger, "rules in force"; "service" => service, "revision" => revision,
                "from" => "table");
            self.own_service_changed.notify_one();
        }
        self.directory.complete_lookup(service);
    }

    async fn poll_members(&self, service: &str) {
        let Ok(listed) = self.table.members(service).await else { return };
        if !self.is_own(service) {
            self.directory.drop_unlisted(service, &listed);
        }
        let merged = self.directory.merge_members(service, listed.clone());
        if !merged.is_empty() {
            self.own_service_changed.notify_one();
        }
        for row in self.directory.forget_removed(service, GONE_RETENTION) {
            self.delete_gone_row(&row, &listed).await;
        }
    }

    /// Deletes the row of a member that was marked as gone long ago, if the row is unchanged.
    async fn delete_gone_row(&self, row: &MemberRow, listed: &[MemberRow]) {
        if !self.is_own(&row.service) || !listed.contains(row) {
            return;
        }
        let Ok(Some((revision, stored))) = self.table.member(&row.service, &row.instance).await
        else {
            return;
        };
        if stored != *row {
            return;
        }
        if self.table.delete_member(row, revision).await.is_ok() {
            self.counters.add("membership.rows_deleted");
        }
    }

    fn is_own(&self, service: &str) -> bool {
        self.directory.own_service().as_deref() == Some(service)
    }
}
