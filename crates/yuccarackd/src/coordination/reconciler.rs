//! Works out what each of two daemons lacks of a service, and takes it in.

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

/// Members that are sent when not all are asked for; most services have no more at all.
const LATEST_ROWS_MAX: usize = 16;

/// Works out who lacks what; clones share all.
#[derive(Clone)]
pub struct Reconciler {
    directory: Directory,
    counters: Counters,
    logger: Logger,
    /// Told when something about the own service changed.
    own_service_changed: Arc<Notify>,
    /// Services of which the latest changes weren't enough.
    wants_all: Arc<Mutex<HashSet<ServiceName>>>,
    /// How often callers of the own service may ask.
    exchange_interval: Arc<Mutex<ExchangeInterval>>,
}

impl Reconciler {
    /// Works on `directory`, and tells `changed` when the own service did.
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

    /// What is known here of `service`, for another daemon to compare with.
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

    /// Takes news in; says whether they were any.
    pub fn apply(&self, update: ServiceUpdate) -> bool {
        let directory = &self.directory;
        let is_own = directory.own_service().as_ref() == Some(&update.service);
        let merged = directory.merge_members(&update.service, update.members.clone());
        if update.has_all_members && !is_own {
            // Members of a service know best who they are.
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

    /// What another daemon lacks, which asked with `question`; none when nothing is known here.
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

    /// What the sender of `news` lacks.
    pub fn update_lacked_by(&self, update: &ServiceUpdate) -> Option<ServiceUpdate> {
        let directory = &self.directory;
        let rules = directory.rules_row(&update.service);
        let rules = rules.filter(|(revision, _)| *revision > update.rules_revision);
        let is_own = directory.own_service().as_ref() == Some(&update.service);
        let digest = directory.members_digest(&update.service);
        let members = match is_own && digest != update.members_digest {
            true => self.members_lacked_by(update),
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

    fn members_lacked_by(&self, update: &ServiceUpdate) -> Vec<MemberRow> {
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
