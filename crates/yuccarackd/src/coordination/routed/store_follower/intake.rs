//! Takes in rows that the store sends.

use yuccarack_config::routing::RoutingVersion;
use yuccarack_platform::feed::{FeedRow, FeedRows};
use yuccarack_platform_wire::routing::{self, Substitute};

use super::{STORE, StoreFollower, whole_ms};
use crate::{
    coordination::routed::log_lines::{
        EvacuationChanged, MemberChanged, MemberRowRejected, RoutingDocumentRejected,
        RoutingFieldSubstituted, RoutingInForce,
    },
    protocol::peer_news::{DatedEvacuation, RoutedMember},
    state::routed::news_source::Followed,
};

impl StoreFollower {
    pub(super) fn take(&self, what: Followed, row: FeedRow) {
        match what {
            Followed::Routing => self.take_routing(row),
            Followed::Members => self.take_member(row),
        }
    }

    pub(super) fn take_all_members(&self, all: FeedRows) {
        let listed: Vec<_> = all.rows.iter().map(|row| row.key.clone()).collect();
        all.rows.into_iter().for_each(|row| self.take_member(row));
        self.members.drop_unlisted(all.revision, &listed);
        self.news.set_members_listed(all.revision);
        self.members.set_read();
    }

    /// Takes in all that operators have written; evacuations that aren't listed were taken back.
    pub(super) fn take_all_routing(&self, all: FeedRows) {
        let domains = all.rows.iter().filter_map(|row| routing::evacuated_domain(&row.key));
        let listed: Vec<_> = domains.map(str::to_owned).collect();
        all.rows.into_iter().for_each(|row| self.take_routing(row));
        for gone in self.evacuations.unlisted(all.revision, &listed) {
            self.take_evacuation(gone);
        }
    }

    fn take_evacuation(&self, dated: DatedEvacuation) {
        if self.evacuations.merge(&dated) {
            self.events.write(|| EvacuationChanged::new(dated, STORE.to_owned()));
        }
    }

    fn take_routing(&self, row: FeedRow) {
        if let Some(domain) = routing::evacuated_domain(&row.key) {
            let failure_domain = domain.to_owned();
            let (revision, is_evacuated) = (row.revision, row.value.is_some());
            self.take_evacuation(DatedEvacuation { failure_domain, revision, is_evacuated });
            return;
        }
        let Some(text) = row.value.filter(|_| row.key == routing::KEY) else { return };
        match routing::decode(&text) {
            Ok(document) => {
                let version = document.table.version;
                let behind_ms = whole_ms(self.routing.behind_for());
                if self.routing.offer(document.table) {
                    let (revision, from) = (Some(row.revision), STORE.to_owned());
                    self.events.write(|| RoutingInForce { version, revision, from, behind_ms });
                    self.note_substitutes(version, document.substitutes);
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

    fn note_substitutes(&self, version: RoutingVersion, substitutes: Vec<Substitute>) {
        for substitute in substitutes {
            self.counters.add_many("routing.substituted", substitute.count as u64);
            let Substitute { field, found, taken, count } = substitute;
            self.events.write(|| RoutingFieldSubstituted { version, field, found, taken, count });
        }
    }

    fn take_member(&self, row: FeedRow) {
        let Some(text) = row.value else {
            self.members.merge(&row.key, row.revision, None);
            return;
        };
        match serde_json::from_slice::<RoutedMember>(&text) {
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
