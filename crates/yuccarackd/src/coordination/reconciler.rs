//! Reconciliation of what two daemons know of a service.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Instant,
};

use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::sync::Notify;
use yuccarack_config::ids::ServiceName;
use yuccarack_platform::rows::MemberRow;
use yuccarack_policy::exchange_interval::{EXCHANGE_INTERVAL_MIN, ExchangeInterval};

use crate::{
    protocol::control::{ServiceUpdate, SyncRequest},
    state::{counters::Counters, directory::Directory, is_newer},
};

/// Most members that are sent unless all are requested. Most services don't have more.
const LATEST_ROWS_MAX: usize = 16;

/// Computes and applies updates of services. Clones share all state.
#[derive(Clone)]
pub struct Reconciler {
    directory: Directory,
    counters: Counters,
    logger: Logger,
    /// Notified when the own service changed.
    own_service_changed: Arc<Notify>,
    /// Services whose members still differed after an update with the latest changes only.
    wants_all: Arc<Mutex<HashSet<ServiceName>>>,
    /// Interval at which callers of the own service may exchange with this daemon.
    exchange_interval: Arc<Mutex<ExchangeInterval>>,
}

impl Reconciler {
    /// Creates a reconciler of `directory`, which notifies `own_service_changed`.
    pub fn new(
        directory: Directory,
        counters: Counters,
        logger: Logger,
        own_service_changed: Arc<Notify>,
    ) -> Self {
        let exchange_interval = Arc::new(Mutex::new(ExchangeInterval::new(Instant::now())));
        Self {
            directory,
            counters,
            logger,
            own_service_changed,
            wants_all: Arc::default(),
            exchange_interval,
        }
    }

    /// Returns a request with the state of `service` here, for another daemon to compare with.
    pub fn sync_request(&self, service: &str) -> SyncRequest {
        let directory = &self.directory;
        let wants_all = self.wants_all.lock().remove(service);
        SyncRequest {
            service: service.to_owned(),
            rules_revision: directory.peek(service).map_or(0, |view| view.rules_revision),
            members_digest: directory.members_digest(service),
            is_member: directory.own_service().as_deref() == Some(service),
            wants_all: wants_all || !directory.is_loaded(service),
        }
    }

    /// Applies an update and returns whether it changed anything.
    pub fn apply(&self, update: ServiceUpdate) -> bool {
        let directory = &self.directory;
        let is_own = directory.own_service().as_ref() == Some(&update.service);
        let merged = directory.merge_members(&update.service, update.members.clone());
        if update.has_all_members && !is_own {
            // The members of a service have the authoritative list of its members.
            directory.drop_unlisted(&update.service, &update.members);
        }
        let has_rules = update
            .rules
            .as_ref()
            .is_some_and(|row| directory.merge_rules(&update.service, update.rules_revision, row));
        if has_rules {
            self.counters.add("rules.from_peer");
            info!(self.logger, "rules in force"; "service" => &update.service,
                "revision" => update.rules_revision, "from" => "peer");
        }
        if update.has_all_members {
            directory.complete_lookup(&update.service);
        } else if directory.members_digest(&update.service) != update.members_digest {
            self.wants_all.lock().insert(update.service.clone());
        }
        let has_changes = has_rules || !merged.is_empty();
        if has_changes && is_own {
            self.own_service_changed.notify_one();
        }
        has_changes
    }

    /// Returns the update that the sender of `request` lacks; `None` if nothing is known here.
    pub fn update_for(&self, request: &SyncRequest) -> Option<ServiceUpdate> {
        let directory = &self.directory;
        let view = directory.peek(&request.service)?;
        if view.rules_revision == 0 && view.members.is_empty() {
            return None;
        }
        let members_digest = directory.members_digest(&view.name);
        let differs = members_digest != request.members_digest;
        let sends_all = request.wants_all || (differs && view.members.len() <= LATEST_ROWS_MAX);
        let members = match (sends_all, differs) {
            (true, _) => directory.member_rows(&view.name),
            (false, true) => directory.latest_rows(&view.name, LATEST_ROWS_MAX),
            (false, false) => Vec::new(),
        };
        let is_behind = request.rules_revision < view.rules_revision;
        let rules = if is_behind { directory.rules_row(&view.name) } else { None };
        Some(ServiceUpdate {
            service: view.name.clone(),
            rules_revision: rules.as_ref().map_or(view.rules_revision, |(revision, _)| *revision),
            rules: rules.map(|(_, row)| row),
            members_digest,
            members,
            has_all_members: sends_all,
            pace_ms: self.exchange_interval_ms(request),
        })
    }

    /// Returns the update with what the sender of `update` lacks; `None` if it lacks nothing.
    pub fn missing_update_for(&self, update: &ServiceUpdate) -> Option<ServiceUpdate> {
        let directory = &self.directory;
        let rules = directory.rules_row(&update.service);
        let rules = rules.filter(|(revision, _)| *revision > update.rules_revision);
        let is_own = directory.own_service().as_ref() == Some(&update.service);
        let digest = directory.members_digest(&update.service);
        let members = match is_own && digest != update.members_digest {
            true => self.missing_members_for(update),
            false => Vec::new(),
        };
        if rules.is_none() && members.is_empty() {
            return None;
        }
        let (rules_revision, rules) = rules.map_or((0, None), |(number, row)| (number, Some(row)));
        let members_digest = directory.members_digest(&update.service);
        let service = update.service.clone();
        Some(ServiceUpdate {
            service,
            rules_revision,
            rules,
            members_digest,
            members,
            has_all_members: false,
            pace_ms: 0,
        })
    }

    fn exchange_interval_ms(&self, request: &SyncRequest) -> u32 {
        let is_own = self.directory.own_service().as_ref() == Some(&request.service);
        let exchange_interval = match is_own && !request.is_member {
            true => self.exchange_interval.lock().record_request(Instant::now()),
            false => EXCHANGE_INTERVAL_MIN,
        };
        u32::try_from(exchange_interval.as_millis()).unwrap_or(u32::MAX)
    }

    fn missing_members_for(&self, update: &ServiceUpdate) -> Vec<MemberRow> {
        let directory = &self.directory;
        let rows = match update.has_all_members {
            true => directory.member_rows(&update.service),
            false => directory.latest_rows(&update.service, LATEST_ROWS_MAX),
        };
        let known_rows: HashMap<&str, &MemberRow> =
            update.members.iter().map(|row| (row.instance.as_str(), row)).collect();
        let is_missing = |row: &MemberRow| {
            known_rows.get(row.instance.as_str()).is_none_or(|known| is_newer(row, known))
        };
        rows.into_iter().filter(is_missing).collect()
    }
}
