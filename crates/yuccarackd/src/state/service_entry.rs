//! State of one service, and the order that decides which rules and member rows replace others.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use xxhash_rust::xxh3::Xxh3;
use yuccarack_config::{
    ids::{InstanceId, Revision, ServiceName},
    rules::ServiceRules,
};
use yuccarack_platform::rows::{MemberRow, RulesRow, TargetState};

/// Immutable view of a service for the request path; each change replaces it by a new one.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Name of the service.
    pub name: ServiceName,
    /// Rules of the service; `None` before any were accepted and after their removal.
    pub rules: Option<Arc<ServiceRules>>,
    /// Version of the rules, or of their removal; 0 before any.
    pub rules_revision: Revision,
    /// Its present targets, ordered by instance.
    pub members: Arc<Vec<MemberRow>>,
    /// Number that rises with each change of this view.
    pub generation: u64,
}

/// A member row and the time at which it was applied.
struct MemberEntry {
    row: MemberRow,
    since: Instant,
}

/// Everything known of one service.
pub(super) struct ServiceEntry {
    view: Arc<ServiceView>,
    members: BTreeMap<InstanceId, MemberEntry>,
    digest: u64,
    is_loaded: bool,
    used_at_ms: AtomicU64,
}

impl ServiceEntry {
    /// Starts with nothing known of `name`.
    pub(super) fn new(name: &str, now_ms: u64) -> Self {
        let view = ServiceView {
            name: name.to_owned(),
            rules: None,
            rules_revision: 0,
            members: Arc::default(),
            generation: 0,
        };
        let used_at_ms = AtomicU64::new(now_ms);
        let view = Arc::new(view);
        Self { view, members: BTreeMap::new(), digest: 0, is_loaded: false, used_at_ms }
    }

    pub(super) fn view(&self) -> &Arc<ServiceView> {
        &self.view
    }

    pub(super) fn mark_used(&self, now_ms: u64) {
        self.used_at_ms.store(now_ms, Ordering::Relaxed);
    }

    pub(super) fn used_at_ms(&self) -> u64 {
        self.used_at_ms.load(Ordering::Relaxed)
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    pub(super) fn mark_loaded(&mut self) {
        self.is_loaded = true;
    }

    /// Returns a hash over the present members, which is equal on daemons that know the same
    /// members.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all member rows, including those of removed members.
    pub(super) fn rows(&self) -> Vec<MemberRow> {
        self.members.values().map(|entry| entry.row.clone()).collect()
    }

    /// Returns the `count` member rows that were applied last, including those of removed members.
    pub(super) fn latest_rows(&self, count: usize) -> Vec<MemberRow> {
        let mut entries: Vec<&MemberEntry> = self.members.values().collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.since));
        entries.into_iter().take(count).map(|entry| entry.row.clone()).collect()
    }

    /// Returns the rules and their revision as sent to other daemons.
    pub(super) fn rules_row(&self) -> Option<(Revision, RulesRow)> {
        if self.view.rules_revision == 0 {
            return None;
        }
        let row = match &self.view.rules {
            Some(rules) => RulesRow::InForce(ServiceRules::clone(rules)),
            None => RulesRow::Removed,
        };
        Some((self.view.rules_revision, row))
    }

    pub(super) fn row(&self, instance: &str) -> Option<&MemberRow> {
        self.members.get(instance).map(|entry| &entry.row)
    }

    /// Applies rules if they are newer; returns whether they were.
    ///
    /// Guards against reverting to older rules, which a lagging peer or a late response of the
    /// table may bring. The table only raises revisions, so the higher one was accepted last. A
    /// removal has a revision too, so rules from before it are rejected as well.
    pub(super) fn merge_rules(&mut self, revision: Revision, row: &RulesRow) -> bool {
        if revision <= self.view.rules_revision {
            return false;
        }
        let mut view = self.next_view();
        view.rules_revision = revision;
        view.rules = match row {
            RulesRow::InForce(rules) => Some(Arc::new(rules.clone())),
            RulesRow::Removed => None,
        };
        self.view = Arc::new(view);
        true
    }

    /// Applies the rows that are newer than the known ones and returns them.
    pub(super) fn merge_members(&mut self, rows: Vec<MemberRow>, now: Instant) -> Vec<MemberRow> {
        let mut newer = Vec::new();
        for row in rows {
            let is_accepted = match self.members.get(&row.instance) {
                Some(known) => is_newer(&row, &known.row),
                // The removal of an unknown member isn't applied, since it would circulate among
                // the daemons for ever.
                None => row.state != TargetState::Gone,
            };
            if !is_accepted {
                continue;
            }
            newer.push(row.clone());
            self.members.insert(row.instance.clone(), MemberEntry { row, since: now });
        }
        if !newer.is_empty() {
            self.rebuild_members();
        }
        newer
    }

    /// Drops members that are not in `listed`.
    pub(super) fn drop_unlisted(&mut self, listed: &[MemberRow]) {
        let names: HashSet<&str> = listed.iter().map(|row| row.instance.as_str()).collect();
        let count = self.members.len();
        self.members.retain(|instance, _| names.contains(instance.as_str()));
        if self.members.len() != count {
            self.rebuild_members();
        }
    }

    /// Drops members that have been removed since before `before`, and returns their rows.
    pub(super) fn forget_removed(&mut self, before: Instant) -> Vec<MemberRow> {
        let is_old =
            |entry: &MemberEntry| entry.row.state == TargetState::Gone && entry.since < before;
        let old: Vec<MemberRow> =
            self.members.extract_if(.., |_, entry| is_old(entry)).map(|(_, e)| e.row).collect();
        if !old.is_empty() {
            self.rebuild_members();
        }
        old
    }

    fn rebuild_members(&mut self) {
        let present = self.members.values().filter(|entry| entry.row.state != TargetState::Gone);
        let members: Vec<MemberRow> = present.map(|entry| entry.row.clone()).collect();
        let mut view = self.next_view();
        view.members = Arc::new(members);
        self.view = Arc::new(view);
        self.digest = digest(self.view.members.iter());
    }

    fn next_view(&self) -> ServiceView {
        let mut view = ServiceView::clone(&self.view);
        view.generation += 1;
        view
    }
}

/// Returns whether `new` may replace `known`.
///
/// Guards against outdated rows that restore a removed member or undo a drain, such as those that a
/// peer repeats after a partition. The sequence rises with each change within an incarnation, and a
/// restart raises the incarnation. A removal written by a peer keeps the sequence of the row that
/// it ends, so at equal numbers the removal wins.
pub fn is_newer(new: &MemberRow, known: &MemberRow) -> bool {
    let order = |row: &MemberRow| (row.incarnation, row.sequence, row.state == TargetState::Gone);
    order(new) > order(known)
}

/// Returns a hash over the numbers that order rows; 0 for no rows.
fn digest<'a>(rows: impl Iterator<Item = &'a MemberRow>) -> u64 {
    let mut hash = Xxh3::new();
    let mut is_empty = true;
    for row in rows {
        is_empty = false;
        hash.update(row.instance.as_bytes());
        hash.update(&row.incarnation.to_le_bytes());
        hash.update(&row.sequence.to_le_bytes());
    }
    if is_empty { 0 } else { hash.digest() }
}
