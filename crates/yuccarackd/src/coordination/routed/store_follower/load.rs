//! Loads the members for the first time, from the store or through a relay.

use std::time::Duration;

use tokio::time::{sleep, sleep_until, timeout};
use yuccarack_platform::feed::FeedError;
use yuccarack_policy::relays::RelayRole;

use super::{
    FEED_WAIT_UNCONFIRMED, MEMBERS_TABLE, PollScope, RETRY_FIRST, StoreFollower, next_delay,
};
use crate::{
    coordination::routed::store_client::StorePurpose, state::routed::update_source::FollowedTable,
};

/// Members in the first page of the table. A fleet that fits into it is read at once; in a larger one
/// a daemon that starts follows the relays whose lists the page begins with.
pub const FIRST_MEMBERS_MAX: usize = 100;

/// Longest wait for the first response of a store that is not slow; a response usually takes about
/// 10 ms.
const PROMPT_RESPONSE_MAX: Duration = Duration::from_millis(60);

/// Source from which the members were loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadSource {
    Store,
    Relay,
}

impl StoreFollower {
    /// Loads the members for the first time. They decide whether this daemon keeps querying the
    /// store.
    pub(super) async fn load_members(&self) -> LoadSource {
        sleep_until(self.first_read_at).await;
        let mut retry = RETRY_FIRST;
        loop {
            let error = match self.query_members().await {
                Ok(LoadSource::Relay) => return LoadSource::Relay,
                Ok(LoadSource::Store) => break,
                Err(error) => error,
            };
            self.sync_state.set_queries_store(false);
            self.mark_unavailable(FollowedTable::Members, &error);
            sleep(next_delay(&mut retry, self.retry_max())).await;
        }
        self.mark_available(FollowedTable::Members);
        LoadSource::Store
    }

    /// Queries the members once, and lets the routing rows be queried beside them when the response
    /// is late.
    ///
    /// After a loss of power the store is slow. With one query after the other, first to the store
    /// and then to a relay that has waited as long, callers would wait twice as long for the first
    /// routes.
    async fn query_members(&self) -> Result<LoadSource, FeedError> {
        if !self.known_relays.is_known() {
            let mut first_rows = std::pin::pin!(self.read_first_members());
            let is_complete = match timeout(PROMPT_RESPONSE_MAX, &mut first_rows).await {
                Ok(result) => result?,
                Err(_) => {
                    self.sync_state.set_queries_store(true);
                    first_rows.await?
                }
            };
            if is_complete {
                return Ok(LoadSource::Store);
            }
        }
        if self.has_relays_to_follow() {
            tokio::select! {
                () = self.members.wait_loaded() => return Ok(LoadSource::Relay),
                () = self.known_relays.wait_failed() => {}
            }
        }
        self.poll(FollowedTable::Members, PollScope::Changes, FEED_WAIT_UNCONFIRMED).await?;
        Ok(LoadSource::Store)
    }

    /// Reads the first page of the members table, and returns whether it has all members.
    async fn read_first_members(&self) -> Result<bool, FeedError> {
        let purpose = StorePurpose::FirstMembers;
        let page = self.store.first_rows(purpose, MEMBERS_TABLE, FIRST_MEMBERS_MAX).await?;
        if !page.has_more {
            let revision = page.revision;
            self.apply_full_members(page);
            self.sync_state.set_synced_up_to(FollowedTable::Members, Some(revision));
            return Ok(true);
        }
        page.rows.into_iter().for_each(|row| self.apply_member_row(row));
        if let Some((_, list)) = self.relay_lists.get(&self.failure_domain) {
            self.known_relays.set(list);
        }
        Ok(false)
    }

    /// Returns whether a relay is known that this daemon follows.
    fn has_relays_to_follow(&self) -> bool {
        let list = self.known_relays.get();
        list.is_some_and(|list| list.role_of(&self.instance) != RelayRole::StoreRelay)
    }
}
