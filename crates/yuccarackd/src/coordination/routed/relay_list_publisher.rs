//! Keeps the stored list of the relays of a failure domain up to date.

use std::time::Duration;

use tokio::time::sleep;
use yuccarack_config::ids::{DomainName, InstanceId};

use super::{
    registrar::{relay_list, relay_list_write},
    store_client::{StoreClient, StorePurpose},
    store_follower::FIRST_MEMBERS_MAX,
};
use crate::{
    coordination::jitter::jittered,
    state::routed::{
        members::Members,
        relay_lists::RelayLists,
        update_source::{SyncState, UpdateSource},
    },
};

/// Time between two comparisons of the stored list with the members. A list that is out of date costs
/// a starting daemon some attempts at relays that are gone.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Stores the list of relays, at the first relay of a failure domain.
///
/// A fleet whose members fit into the first page of the table needs no list.
pub struct RelayListPublisher {
    /// This instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: DomainName,
    /// Client of the store.
    pub store: StoreClient,
    /// Members known to this daemon.
    pub members: Members,
    /// Source of this daemon's updates, which shows whether it queries the store.
    pub sync_state: SyncState,
    /// The stored lists.
    pub stored: RelayLists,
}

impl RelayListPublisher {
    /// Runs until it is dropped.
    pub async fn run(self) {
        loop {
            sleep(jittered(CHECK_INTERVAL)).await;
            let is_served = self.sync_state.source() == UpdateSource::Store;
            if is_served && self.members.count() > FIRST_MEMBERS_MAX {
                self.update_list().await;
            }
        }
    }

    async fn update_list(&self) {
        let list = relay_list(&self.members, &self.failure_domain, &[]);
        let is_first = list.relays.first().is_some_and(|relay| relay.instance == self.instance);
        let stored = self.stored.get(&self.failure_domain);
        if !is_first || stored.as_ref().is_some_and(|(_, stored)| *stored == list) {
            return;
        }
        let expected_revision = stored.map_or(0, |(revision, _)| revision);
        let Ok(write) = relay_list_write(&self.failure_domain, &list, expected_revision) else {
            return;
        };
        // After a conflict or a lost response the changes of the table show what is stored.
        if let Ok(revision) = self.store.write(StorePurpose::RelayListWrite, &write).await {
            self.stored.merge(&self.failure_domain, revision, Some(list));
        }
    }
}
