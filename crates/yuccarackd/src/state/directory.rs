//! Rules and members of the services that this daemon calls or serves.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::{Mutex, RwLock};
use thiserror::Error;
use tokio::{
    sync::{mpsc, watch},
    time::timeout_at,
};
use yuccarack_config::ids::{Revision, ServiceName};
use yuccarack_platform::rows::{MemberRow, RulesRow};

use super::service_entry::ServiceEntry;
pub use super::service_entry::ServiceView;

/// Time for which a failed lookup is returned to later callers without another lookup.
const FAILURE_TTL: Duration = Duration::from_secs(1);
/// Largest number of failed lookups that are cached.
const FAILURES_MAX: usize = 1024;
/// Largest number of queued lookups.
const LOOKUPS_MAX: usize = 64;
/// Least time between two refreshes of a service that are triggered by a report of newer rules.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why the view of a service is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// No rules are in force for the service.
    #[error("no rules are in force for this service")]
    UnknownService,
    /// The store is unavailable and no reachable peer knows the service.
    #[error("the store is unavailable and no peer knows this service")]
    StoreUnavailable,
    /// Too many lookups are queued.
    #[error("too many service lookups are queued")]
    TooManyLookups,
    /// The deadline passed before the lookup ended.
    #[error("the service lookup did not end before the deadline")]
    DeadlinePassed,
}

/// Request to load a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The service.
    pub service: ServiceName,
    /// Whether an older view exists that stays in use meanwhile.
    pub is_refresh: bool,
}

/// Pending lookups, and those that failed within [`FAILURE_TTL`].
#[derive(Default)]
struct Lookups {
    waiting: HashMap<ServiceName, Instant>,
    failed: HashMap<ServiceName, (DirectoryError, Instant)>,
    refreshed_at: HashMap<ServiceName, Instant>,
}

struct Inner {
    started_at: Instant,
    services: RwLock<HashMap<ServiceName, ServiceEntry>>,
    lookups: Mutex<Lookups>,
    lookup_sender: mpsc::Sender<Lookup>,
    lookup_receiver: Mutex<Option<mpsc::Receiver<Lookup>>>,
    /// Number that rises whenever a lookup succeeds or fails.
    lookups_ended: watch::Sender<u64>,
    own_service: RwLock<Option<ServiceName>>,
    own_generation: watch::Sender<u64>,
}

/// What this daemon knows of the services it calls or serves; clones share it.
#[derive(Clone)]
pub struct Directory {
    inner: Arc<Inner>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        let (lookup_sender, lookup_receiver) = mpsc::channel(LOOKUPS_MAX);
        let inner = Inner {
            started_at: Instant::now(),
            services: RwLock::default(),
            lookups: Mutex::default(),
            lookup_sender,
            lookup_receiver: Mutex::new(Some(lookup_receiver)),
            lookups_ended: watch::Sender::new(0),
            own_service: RwLock::default(),
            own_generation: watch::Sender::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns the view of `service` and marks it as used; `None` while it is loading.
    pub fn view(&self, service: &str) -> Option<Arc<ServiceView>> {
        let services = self.inner.services.read();
        let entry = services.get(service)?;
        entry.mark_used(self.now_ms());
        if entry.view().rules_revision == 0 && !entry.is_loaded() {
            return None;
        }
        Some(Arc::clone(entry.view()))
    }

    /// Returns the view of `service` and loads it on first use. One lookup serves all callers that
    /// wait.
    ///
    /// # Errors
    ///
    /// Returns a [`DirectoryError`]. A failed lookup is returned at once to callers within the next
    /// second.
    pub async fn get_or_load(
        &self,
        service: &str,
        deadline: Instant,
    ) -> Result<Arc<ServiceView>, DirectoryError> {
        let mut lookups_ended = self.inner.lookups_ended.subscribe();
        loop {
            match self.view(service) {
                Some(view) if view.rules.is_some() => return Ok(view),
                Some(_) => return Err(DirectoryError::UnknownService),
                None => self.request_lookup(service)?,
            }
            match timeout_at(deadline.into(), lookups_ended.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return Err(DirectoryError::DeadlinePassed),
            }
        }
    }

    /// Notes that rules of `revision` are in force elsewhere, and requests a refresh if they are
    /// newer.
    pub fn note_rules_revision(&self, service: &str, revision: Revision) {
        let known = self.peek(service).map(|view| view.rules_revision);
        if known.is_none_or(|known| revision <= known) {
            return;
        }
        let now = Instant::now();
        let mut lookups = self.inner.lookups.lock();
        let last = lookups.refreshed_at.get(service);
        if last.is_some_and(|at| now.duration_since(*at) < REFRESH_INTERVAL) {
            return;
        }
        lookups.refreshed_at.insert(service.to_owned(), now);
        let lookup = Lookup { service: service.to_owned(), is_refresh: true };
        // If the queue is full, the header of the next response reports the revision again.
        let _ = self.inner.lookup_sender.try_send(lookup);
    }

    /// Returns the revision of the own service's rules in force here; 0 before any.
    pub fn own_rules_revision(&self) -> Revision {
        let own = self.own_service().and_then(|service| self.peek(&service));
        own.map_or(0, |view| view.rules_revision)
    }

    /// Returns the service of this instance's target, once the target has announced itself.
    pub fn own_service(&self) -> Option<ServiceName> {
        self.inner.own_service.read().clone()
    }

    /// Subscribes to the generation of the own service's view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.own_generation.subscribe()
    }

    /// Returns the view of `service` without marking it as used.
    pub fn peek(&self, service: &str) -> Option<Arc<ServiceView>> {
        self.inner.services.read().get(service).map(|entry| Arc::clone(entry.view()))
    }

    /// Returns the views of all services, ordered by name, without marking them as used.
    pub fn views(&self) -> Vec<Arc<ServiceView>> {
        let services = self.inner.services.read();
        let mut views: Vec<_> = services.values().map(|entry| Arc::clone(entry.view())).collect();
        views.sort_by(|one, other| one.name.cmp(&other.name));
        views
    }

    /// Returns a hash over the present members of `service`, 0 for none. It is equal on daemons
    /// that know the same members.
    pub fn members_digest(&self, service: &str) -> u64 {
        self.inner.services.read().get(service).map_or(0, ServiceEntry::digest)
    }

    /// Returns the rows of all members of `service`, including removed members.
    pub fn member_rows(&self, service: &str) -> Vec<MemberRow> {
        self.inner.services.read().get(service).map(ServiceEntry::rows).unwrap_or_default()
    }

    /// Returns the `count` member rows of `service` that changed last, including removed members.
    pub fn latest_rows(&self, service: &str, count: usize) -> Vec<MemberRow> {
        let services = self.inner.services.read();
        services.get(service).map(|entry| entry.latest_rows(count)).unwrap_or_default()
    }

    /// Returns the rules of `service` and their revision as sent to other daemons, once there were
    /// any.
    pub fn rules_row(&self, service: &str) -> Option<(Revision, RulesRow)> {
        self.inner.services.read().get(service)?.rules_row()
    }

    /// Returns the row of one member, even if the member is removed.
    pub fn member_row(&self, service: &str, instance: &str) -> Option<MemberRow> {
        self.inner.services.read().get(service)?.row(instance).cloned()
    }

    /// Sets the own service, which is never forgotten.
    pub fn set_own_service(&self, service: &str) {
        *self.inner.own_service.write() = Some(service.to_owned());
        self.with_entry(service, |_| ());
    }

    /// Applies rules if they are newer than the known ones; returns whether they were.
    pub fn merge_rules(&self, service: &str, revision: Revision, row: &RulesRow) -> bool {
        self.with_entry(service, |entry| entry.merge_rules(revision, row))
    }

    /// Applies the rows that are newer than the known ones and returns them.
    pub fn merge_members(&self, service: &str, rows: Vec<MemberRow>) -> Vec<MemberRow> {
        let now = Instant::now();
        self.with_entry(service, |entry| entry.merge_members(rows, now))
    }

    /// Drops the members of `service`, which isn't the own one, that are not in `listed`.
    pub fn drop_unlisted(&self, service: &str, listed: &[MemberRow]) {
        self.with_entry(service, |entry| entry.drop_unlisted(listed));
    }

    /// Drops members of `service` that were removed at least `retention` ago and returns their
    /// rows.
    pub fn forget_removed(&self, service: &str, retention: Duration) -> Vec<MemberRow> {
        let Some(before) = Instant::now().checked_sub(retention) else { return Vec::new() };
        self.with_entry(service, |entry| entry.forget_removed(before))
    }

    /// Drops services that were not used for `retention`, except for the own one.
    pub fn forget_unused(&self, retention: Duration) -> Vec<ServiceName> {
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let oldest_ms = self.now_ms().saturating_sub(retention_ms);
        let own = self.own_service();
        let is_unused = |name: &ServiceName, entry: &ServiceEntry| {
            own.as_ref() != Some(name) && entry.used_at_ms() < oldest_ms
        };
        let mut services = self.inner.services.write();
        services.extract_if(|name, entry| is_unused(name, entry)).map(|(name, _)| name).collect()
    }

    /// Returns the queue of lookups on the first call and `None` afterwards. The receiver has to
    /// complete or fail each lookup.
    pub fn take_lookup_receiver(&self) -> Option<mpsc::Receiver<Lookup>> {
        self.inner.lookup_receiver.lock().take()
    }

    /// Returns whether everything known to the store or a peer about `service` was applied once.
    pub fn is_loaded(&self, service: &str) -> bool {
        self.inner.services.read().get(service).is_some_and(ServiceEntry::is_loaded)
    }

    /// Ends a lookup whose result has been merged.
    pub fn complete_lookup(&self, service: &str) {
        self.with_entry(service, ServiceEntry::mark_loaded);
        self.end_lookup(service);
    }

    /// Ends a lookup without a result and caches `error`.
    pub fn fail_lookup(&self, service: &str, error: DirectoryError) {
        let now = Instant::now();
        {
            let mut lookups = self.inner.lookups.lock();
            lookups.failed.retain(|_, (_, at)| now.duration_since(*at) < FAILURE_TTL);
            if lookups.failed.len() < FAILURES_MAX {
                lookups.failed.insert(service.to_owned(), (error, now));
            }
        }
        self.end_lookup(service);
    }

    fn end_lookup(&self, service: &str) {
        self.inner.lookups.lock().waiting.remove(service);
        self.inner.lookups_ended.send_modify(|number| *number += 1);
    }

    fn request_lookup(&self, service: &str) -> Result<(), DirectoryError> {
        let now = Instant::now();
        let mut lookups = self.inner.lookups.lock();
        match lookups.failed.get(service) {
            Some((error, at)) if now.duration_since(*at) < FAILURE_TTL => return Err(*error),
            _ => {}
        }
        if lookups.waiting.contains_key(service) {
            return Ok(());
        }
        let lookup = Lookup { service: service.to_owned(), is_refresh: false };
        let sent = self.inner.lookup_sender.try_send(lookup);
        sent.map_err(|_| DirectoryError::TooManyLookups)?;
        lookups.waiting.insert(service.to_owned(), now);
        Ok(())
    }

    /// Runs `change` on the service's entry, which is created if missing, and notifies subscribers
    /// if the view of the own service changed.
    fn with_entry<T>(&self, service: &str, change: impl FnOnce(&mut ServiceEntry) -> T) -> T {
        let now_ms = self.now_ms();
        let (result, generation) = {
            let mut services = self.inner.services.write();
            let new = || ServiceEntry::new(service, now_ms);
            let entry = services.entry(service.to_owned()).or_insert_with(new);
            let result = change(entry);
            (result, entry.view().generation)
        };
        if self.inner.own_service.read().as_deref() == Some(service) {
            self.inner.own_generation.send_if_modified(|known| {
                let is_new = *known != generation;
                *known = generation;
                is_new
            });
        }
        result
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.inner.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for Directory {
    fn default() -> Self {
        Self::new()
    }
}
