//! Applies rows that the store returns.

use yuccarack_config::routing::RoutingVersion;
use yuccarack_platform::feed::{FeedRow, FeedRows};
use yuccarack_platform_wire::routing::{self, Substitute};

use super::{STORE, StoreFollower, whole_ms};
use crate::{
    coordination::routed::log_lines::{
        EvacuationChanged, MemberChanged, MemberRowRejected, RoutingDocumentRejected,
        RoutingFieldSubstituted, RoutingInForce,
    },
    protocol::{
        peer_update::{RoutedMember, VersionedEvacuation},
        relay_list::domain_of_relay_list,
    },
    state::routed::update_source::FollowedTable,
};

impl StoreFollower {
    pub(super) fn apply_row(&self, table: FollowedTable, row: FeedRow) {
        match table {
            FollowedTable::Routing => self.apply_routing_row(row),
            FollowedTable::Members => self.apply_member_row(row),
        }
    }

    pub(super) fn apply_full_members(&self, snapshot: FeedRows) {
        let listed: Vec<_> = snapshot.rows.iter().map(|row| row.key.clone()).collect();
        snapshot.rows.into_iter().for_each(|row| self.apply_member_row(row));
        self.members.drop_unlisted(snapshot.revision, &listed);
        self.sync_state.set_members_fully_read(snapshot.revision);
        self.members.mark_loaded();
    }

    /// Applies a full read of the routing rows; evacuations that it doesn't list have ended.
    pub(super) fn apply_full_routing(&self, snapshot: FeedRows) {
        let domains = snapshot.rows.iter().filter_map(|row| routing::evacuated_domain(&row.key));
        let listed: Vec<_> = domains.map(str::to_owned).collect();
        snapshot.rows.into_iter().for_each(|row| self.apply_routing_row(row));
        for ended in self.evacuations.find_cancelled(snapshot.revision, &listed) {
            self.apply_evacuation(ended);
        }
    }

    fn apply_evacuation(&self, evacuation: VersionedEvacuation) {
        if self.evacuations.merge(&evacuation) {
            self.events.write(|| EvacuationChanged::new(evacuation, STORE.to_owned()));
        }
    }

    fn apply_routing_row(&self, row: FeedRow) {
        if let Some(domain) = routing::evacuated_domain(&row.key) {
            let failure_domain = domain.to_owned();
            let (revision, is_evacuated) = (row.revision, row.value.is_some());
            self.apply_evacuation(VersionedEvacuation { failure_domain, revision, is_evacuated });
            return;
        }
        let Some(value) = row.value.filter(|_| row.key == routing::KEY) else { return };
        match routing::decode(&value) {
            Ok(document) => {
                let version = document.table.version;
                let behind_ms = whole_ms(self.routing.behind_for());
                if self.routing.install_if_newer(document.table) {
                    let (revision, from) = (Some(row.revision), STORE.to_owned());
                    self.events.write(|| RoutingInForce { version, revision, from, behind_ms });
                    self.log_substitutes(version, document.substitutes);
                }
            }
            Err(error) => {
                self.counters.add("routing.unreadable");
                self.events.write(|| RoutingDocumentRejected {
                    revision: row.revision,
                    in_force: self.routing.version(),
                    cause: error.to_string(),
                });
            }
        }
    }

    fn log_substitutes(&self, version: RoutingVersion, substitutes: Vec<Substitute>) {
        for substitute in substitutes {
            self.counters.add_many("routing.substituted", substitute.count as u64);
            let Substitute { field, found, taken, count } = substitute;
            self.events.write(|| RoutingFieldSubstituted { version, field, found, taken, count });
        }
    }

    pub(super) fn apply_member_row(&self, row: FeedRow) {
        if let Some(failure_domain) = domain_of_relay_list(&row.key) {
            let list = row.value.and_then(|value| serde_json::from_slice(&value).ok());
            self.relay_lists.merge(failure_domain, row.revision, list);
            return;
        }
        let Some(value) = row.value else {
            self.members.merge(&row.key, row.revision, None);
            return;
        };
        match serde_json::from_slice::<RoutedMember>(&value) {
            Ok(member) => {
                let service = member.service.clone();
                if self.members.merge(&row.key, row.revision, Some(member)) {
                    let FeedRow { key: member, revision, .. } = row;
                    let from = "store";
                    self.events.write(|| MemberChanged { member, service, revision, from });
                }
            }
            Err(error) => {
                self.counters.add("members.unreadable");
                let FeedRow { key: member, revision, .. } = row;
                let cause = error.to_string();
                self.events.write(|| MemberRowRejected { member, revision, cause });
            }
        }
    }
}
