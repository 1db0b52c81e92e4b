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
const LATEST_MAX: usize = 16;

/// Works out who lacks what; clones share all.
#[derive(Clone)]
pub struct Reconciler {
    directory: Directory,
    counters: Counters,
    logger: Logger,
    /// Told when something about the own service changed.
    changed: Arc<Notify>,
    /// Services of which the latest changes weren't enough.
    wants_all: Arc<Mutex<HashSet<ServiceName>>>,
    /// How often callers of the own service may ask.
    pace: Arc<Mutex<ExchangeInterval>>,
}

impl Reconciler {
    /// Works on `directory`, and tells `changed` when the own service did.
    pub fn new(
        directory: Directory,
        counters: Counters,
        logger: Logger,
        changed: Arc<Notify>,
    ) -> Self {
        let pace = Arc::new(Mutex::new(ExchangeInterval::new(Instant::now())));
        Self { directory, counters, logger, changed, wants_all: Arc::default(), pace }
    }

    /// What is known here of `service`, for another daemon to compare with.
    pub fn question(&self, service: &str) -> SyncRequest {
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
    pub fn take(&self, news: ServiceUpdate) -> bool {
        let directory = &self.directory;
        let is_own = directory.own_service().as_ref() == Some(&news.service);
        let changed = directory.merge_members(&news.service, news.members.clone());
        if news.has_all_members && !is_own {
            // Members of a service know best who they are.
            directory.drop_unlisted(&news.service, &news.members);
        }
        let has_rules = news
            .rules
            .as_ref()
            .is_some_and(|row| directory.merge_rules(&news.service, news.rules_revision, row));
        if has_rules {
            self.counters.add("rules.from_peer");
            info!(self.logger, "rules in force"; "service" => &news.service,
                "revision" => news.rules_revision, "from" => "peer");
        }
        if news.has_all_members {
            directory.complete_lookup(&news.service);
        } else if directory.members_digest(&news.service) != news.members_digest {
            self.wants_all.lock().insert(news.service.clone());
        }
        let is_news = has_rules || !changed.is_empty();
        if is_news && is_own {
            self.changed.notify_one();
        }
        is_news
    }

    /// What another daemon lacks, which asked with `question`; none when nothing is known here.
    pub fn news_for(&self, question: &SyncRequest) -> Option<ServiceUpdate> {
        let directory = &self.directory;
        let view = directory.peek(&question.service)?;
        if view.rules_revision == 0 && view.members.is_empty() {
            return None;
        }
        let members_digest = directory.members_digest(&view.name);
        let differs = members_digest != question.members_digest;
        let sends_all = question.wants_all || (differs && view.members.len() <= LATEST_MAX);
        let members = match (sends_all, differs) {
            (true, _) => directory.member_rows(&view.name),
            (false, true) => directory.latest_rows(&view.name, LATEST_MAX),
            (false, false) => Vec::new(),
        };
        let is_behind = question.rules_revision < view.rules_revision;
        let rules = if is_behind { directory.rules_row(&view.name) } else { None };
        Some(ServiceUpdate {
            service: view.name.clone(),
            rules_revision: rules.as_ref().map_or(view.rules_revision, |(revision, _)| *revision),
            rules: rules.map(|(_, row)| row),
            members_digest,
            members,
            has_all_members: sends_all,
            pace_ms: self.pace_ms(question),
        })
    }

    /// What the sender of `news` lacks.
    pub fn lacking(&self, news: &ServiceUpdate) -> Option<ServiceUpdate> {
        let directory = &self.directory;
        let rules = directory.rules_row(&news.service);
        let rules = rules.filter(|(revision, _)| *revision > news.rules_revision);
        let is_own = directory.own_service().as_ref() == Some(&news.service);
        let digest = directory.members_digest(&news.service);
        let members = match is_own && digest != news.members_digest {
            true => self.members_lacking(news),
            false => Vec::new(),
        };
        if rules.is_none() && members.is_empty() {
            return None;
        }
        let (rules_revision, rules) = rules.map_or((0, None), |(number, row)| (number, Some(row)));
        let members_digest = directory.members_digest(&news.service);
        let service = news.service.clone();
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

    fn pace_ms(&self, question: &SyncRequest) -> u32 {
        let is_own = self.directory.own_service().as_ref() == Some(&question.service);
        let pace = match is_own && !question.is_member {
            true => self.pace.lock().record_request(Instant::now()),
            false => EXCHANGE_INTERVAL_MIN,
        };
        u32::try_from(pace.as_millis()).unwrap_or(u32::MAX)
    }

    fn members_lacking(&self, news: &ServiceUpdate) -> Vec<MemberRow> {
        let directory = &self.directory;
        let rows = match news.has_all_members {
            true => directory.member_rows(&news.service),
            false => directory.latest_rows(&news.service, LATEST_MAX),
        };
        let theirs: HashMap<&str, &MemberRow> =
            news.members.iter().map(|row| (row.instance.as_str(), row)).collect();
        let is_lacking = |row: &MemberRow| {
            theirs.get(row.instance.as_str()).is_none_or(|known| is_newer(row, known))
        };
        rows.into_iter().filter(is_lacking).collect()
    }
}
