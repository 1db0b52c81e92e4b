//! Brings rules and members from the table into the directory: look-ups, polls and hints.

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
        finding::find,
        gossip::Gossip,
        jitter::{generator, jittered},
        table::{Table, TableError},
    },
    state::{
        counters::Counters,
        directory::{Directory, DirectoryError, Lookup, ServiceView},
    },
};

/// How often it is looked whether a poll is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How many polls of the rules there are to one of the members.
const MEMBERS_POLL_EVERY: u32 = 4;
/// Interval at which the table is asked about a foreign service none of whose members answers.
const LONELY_INTERVAL: Duration = Duration::from_secs(15);
/// Most look-ups that are answered at once.
const LOOKUPS_AT_ONCE: usize = 8;
/// Services that nobody has called for this long are forgotten.
const SERVICE_KEPT: Duration = Duration::from_secs(300);
/// Gone members are remembered for this long, so that old news can't bring them back.
const GONE_KEPT: Duration = Duration::from_secs(600);
/// When a service's rules are polled next, and the polls so far.
struct Schedule {
    next: Instant,
    polls: u32,
}

/// Brings what the table holds into the directory; clones share all.
#[derive(Clone)]
pub struct RulesSync {
    settings: Arc<DaemonSettings>,
    directory: Directory,
    table: Table,
    gossip: Gossip,
    counters: Counters,
    logger: Logger,
    /// Asks for a poll at once.
    hinted: Arc<Notify>,
    /// Told when the table brought news, so that peers hear of them.
    changed: Arc<Notify>,
}

/// What a [`RulesSync`] works with.
pub struct RulesSyncParts {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// What is known.
    pub directory: Directory,
    /// Where rules and members last.
    pub table: Table,
    /// Asks other daemons.
    pub gossip: Gossip,
    /// Counters.
    pub counters: Counters,
    /// Where changes of state are logged.
    pub logger: Logger,
    /// Told when the table brought news.
    pub changed: Arc<Notify>,
}

impl RulesSync {
    /// Works with `parts`.
    pub fn new(parts: RulesSyncParts) -> Self {
        Self {
            settings: parts.settings,
            directory: parts.directory,
            table: parts.table,
            gossip: parts.gossip,
            counters: parts.counters,
            logger: parts.logger,
            hinted: Arc::default(),
            changed: parts.changed,
        }
    }

    /// Asks for a poll of all known services at once.
    pub fn hint(&self) {
        self.counters.add("rules.hints");
        self.hinted.notify_one();
    }

    /// Answers the directory's look-ups until `stop`.
    pub async fn answer_lookups(
        self,
        mut lookups: mpsc::Receiver<Lookup>,
        tracker: TaskTracker,
        stop: CancellationToken,
    ) {
        let free = Arc::new(Semaphore::new(LOOKUPS_AT_ONCE));
        loop {
            let lookup = tokio::select! {
                () = stop.cancelled() => return,
                lookup = lookups.recv() => lookup,
            };
            let Some(lookup) = lookup else { return };
            let Ok(permit) = Arc::clone(&free).acquire_owned().await else { return };
            let this = self.clone();
            tracker.spawn(async move {
                this.answer(lookup).await;
                drop(permit);
            });
        }
    }

    /// Polls the table until `stop`, the less often the more members share the work.
    pub async fn poll(self, stop: CancellationToken) {
        let mut schedules = HashMap::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.hinted.notified() => self.poll_all().await,
                () = sleep(CHECK_INTERVAL) => self.poll_due(&mut schedules).await,
            }
        }
    }

    async fn answer(&self, lookup: Lookup) {
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

    /// Asks a member first: when a popular service's rules change, all its callers hear at once,
    /// and the store must not be asked by all of them.
    async fn refresh(&self, service: &str) {
        let before = self.directory.peek(service).map(|view| view.rules_revision);
        self.gossip.exchange_any(service).await;
        let after = self.directory.peek(service).map(|view| view.rules_revision);
        if before == after {
            self.poll_rules(service).await;
        }
    }

    async fn load_from_peers(&self, service: &str) {
        if find(service, &self.settings, &self.directory, &self.gossip).await {
            self.counters.add("rules.found_by_peers");
            self.directory.complete_lookup(service);
            return;
        }
        self.directory.fail_lookup(service, DirectoryError::StoreUnavailable);
    }

    /// Takes all in that the table knows of a service; says whether it has rules or had some.
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
            // A peer may know of changes that could not be written yet.
            self.changed.notify_one();
        }
        Ok(true)
    }

    async fn poll_all(&self) {
        for view in self.directory.views() {
            self.poll_rules(&view.name).await;
        }
    }

    async fn poll_due(&self, schedules: &mut HashMap<ServiceName, Schedule>) {
        let forgotten = self.directory.forget_unused(SERVICE_KEPT);
        schedules.retain(|service, _| !forgotten.contains(service));
        let now = Instant::now();
        for view in self.directory.views() {
            let new = || Schedule { next: self.first_poll(&view, now), polls: 0 };
            let schedule = schedules.entry(view.name.clone()).or_insert_with(new);
            if now < schedule.next {
                continue;
            }
            schedule.next = now + self.interval_after(&view, schedule.polls);
            schedule.polls += 1;
            self.poll_one(&view, schedule.polls).await;
        }
    }

    /// The own service is loaded by its first poll, others are loaded by a look-up before.
    fn first_poll(&self, view: &ServiceView, now: Instant) -> Instant {
        if self.is_own(&view.name) { now } else { now + self.interval(view) }
    }

    /// Daemons that started together loaded their service together; were they to wait a whole
    /// interval each, nobody would look for as long as that, 50 s in a service of 100. So the
    /// second poll comes at any time within the first interval.
    fn interval_after(&self, view: &ServiceView, polls: u32) -> Duration {
        let interval = self.interval(view);
        if polls == 0 { interval.mul_f64(generator().random_range(0.0..1.0)) } else { interval }
    }

    fn interval(&self, view: &ServiceView) -> Duration {
        if self.is_own(&view.name) {
            return store_poll::interval(view.members.len(), &mut generator());
        }
        jittered(LONELY_INTERVAL)
    }

    async fn poll_one(&self, view: &ServiceView, polls: u32) {
        let service = &view.name;
        let is_own = self.is_own(service);
        if is_own && !self.directory.is_loaded(service) {
            self.answer(Lookup { service: service.clone(), is_refresh: false }).await;
            return;
        }
        if !is_own && self.gossip.is_in_touch(service) {
            // Its members poll, and tell.
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
            self.changed.notify_one();
        }
        self.directory.complete_lookup(service);
    }

    async fn poll_members(&self, service: &str) {
        let Ok(listed) = self.table.members(service).await else { return };
        if !self.is_own(service) {
            self.directory.drop_unlisted(service, &listed);
        }
        let news = self.directory.merge_members(service, listed.clone());
        if !news.is_empty() {
            self.changed.notify_one();
        }
        for row in self.directory.forget_removed(service, GONE_KEPT) {
            self.delete_gone(&row, &listed).await;
        }
    }

    /// Takes the row of a member away that has been gone for long, if it's still the same.
    async fn delete_gone(&self, row: &MemberRow, listed: &[MemberRow]) {
        if !self.is_own(&row.service) || !listed.contains(row) {
            return;
        }
        let Ok(Some((revision, stands))) = self.table.member(&row.service, &row.instance).await
        else {
            return;
        };
        if stands != *row {
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
