//! Sends requests to the table store, each with its timeout, and counts them by purpose and result.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformClient,
    feed::{FeedError, FeedRequest, FeedRow, FeedRows, FeedWrite},
};
use yuccarack_platform_wire::store;

use crate::state::{counters::Counters, routed::store_clock::StoreClock};

/// Longest wait for the head of a response that isn't held open.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Group of the counters of requests; purpose and result follow.
pub const REQUESTS_BY_PURPOSE: &str = "store.requests";

/// Why a request is sent to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePurpose {
    /// Writes the first rows of instances at the first start of the fleet.
    FirstRow,
    /// Writes the row of an instance that joins, serves something else or was deleted.
    OwnRow,
    /// Deletes rows of instances that are lost, have left or had the address of this one.
    RowDeletion,
    /// Reads the departure of the own target at a start.
    DepartureRead,
    /// Stores or revokes the departure of the own target.
    DepartureWrite,
    /// Reads the list of relays at the first start of the fleet.
    RelayList,
    /// Stores the list of relays of a failure domain.
    RelayListWrite,
    /// Reads the first members at a start.
    FirstMembers,
    /// Reads all members.
    AllMembers,
    /// Reads all routing rows.
    AllRouting,
    /// Polls for changes of the members.
    MembersPoll,
    /// Polls for changes of the routing rows.
    RoutingPoll,
    /// Checks whether a store that serves no relay serves this daemon.
    OutageProbe,
}

impl StorePurpose {
    /// Returns the purpose's name in counters.
    const fn as_str(self) -> &'static str {
        match self {
            Self::FirstRow => "first_row",
            Self::OwnRow => "own_row",
            Self::RowDeletion => "row_deletion",
            Self::DepartureRead => "departure_read",
            Self::DepartureWrite => "departure_write",
            Self::RelayList => "relay_list",
            Self::RelayListWrite => "relay_list_write",
            Self::FirstMembers => "first_members",
            Self::AllMembers => "all_members",
            Self::AllRouting => "all_routing",
            Self::MembersPoll => "members_poll",
            Self::RoutingPoll => "routing_poll",
            Self::OutageProbe => "outage_probe",
        }
    }
}

/// Returns the name of a request's result in counters.
fn result_name<T>(result: &Result<T, FeedError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(FeedError::Conflict { .. }) => "conflict",
        Err(FeedError::HistoryLost) => "history_lost",
        Err(FeedError::Refused { status: 429 }) => "rate_limited",
        Err(FeedError::Refused { .. }) => "refused",
        Err(FeedError::Malformed(_)) => "malformed",
        Err(FeedError::NoResponse(_)) => "no_response",
    }
}

/// Client of the table store; clones share their connections.
#[derive(Clone)]
pub struct StoreClient {
    client: PlatformClient,
    counters: Counters,
    clock: StoreClock,
}

impl StoreClient {
    /// Sends requests through `client`.
    pub fn new(client: PlatformClient, counters: Counters) -> Self {
        Self { client, counters, clock: StoreClock::new() }
    }

    /// Returns the time on the store's clock.
    pub fn time(&self) -> Duration {
        self.clock.now()
    }

    /// Returns all rows of `table`. Pages are read one after the other, so they may differ in age;
    /// the revision is that of the first page, after which the feed returns the changes made
    /// meanwhile. `on_bytes` receives the length of each chunk that arrives.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn read(
        &self,
        purpose: StorePurpose,
        table: &str,
        on_bytes: impl Fn(usize),
    ) -> Result<FeedRows, FeedError> {
        let mut snapshot = FeedRows::default();
        loop {
            let after = snapshot.rows.last().map(|row| row.key.as_str());
            let request = store::read_rows(table, after, None);
            let page = self.read_page(purpose, request, &on_bytes).await?;
            // The feed is read from the first page's revision on, so that it returns changes made
            // between two pages again.
            if snapshot.revision == 0 {
                snapshot.revision = page.revision;
            }
            let is_last = !page.has_more || page.rows.is_empty();
            snapshot.rows.extend(page.rows);
            if is_last {
                return Ok(snapshot);
            }
        }
    }

    /// Returns the first rows of `table`, at most `limit`.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn first_rows(
        &self,
        purpose: StorePurpose,
        table: &str,
        limit: usize,
    ) -> Result<FeedRows, FeedError> {
        self.read_page(purpose, store::read_rows(table, None, Some(limit)), |_| ()).await
    }

    async fn read_page(
        &self,
        purpose: StorePurpose,
        request: FeedRequest,
        on_bytes: impl Fn(usize),
    ) -> Result<FeedRows, FeedError> {
        self.counters.add("store.reads");
        let page = self.send(request, RESPONSE_TIMEOUT, on_bytes).await;
        let page = page.and_then(|(status, body)| store::decode_rows(status, &body));
        self.record_time(&page);
        self.count_result(purpose, "store.reads_failed", page)
    }

    /// Returns the row of `key` in `table`; none if there is none.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn row(
        &self,
        purpose: StorePurpose,
        table: &str,
        key: &str,
    ) -> Result<Option<FeedRow>, FeedError> {
        let rows = self.read_page(purpose, store::read_row(table, key), |_| ()).await?;
        Ok(rows.rows.into_iter().find(|row| row.key == key))
    }

    /// Returns the changes of `table` since `after` as soon as there are any, or nothing after
    /// `wait`. `on_bytes` receives the length of each chunk that arrives.
    ///
    /// # Errors
    ///
    /// [`FeedError`]; after [`FeedError::HistoryLost`] the whole table has to be read again.
    pub async fn changes(
        &self,
        purpose: StorePurpose,
        table: &str,
        after: Revision,
        wait: Duration,
        on_bytes: impl Fn(usize),
    ) -> Result<FeedRows, FeedError> {
        self.counters.add("store.feeds");
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let request = store::read_changes(table, after, wait_ms);
        let response = self.send(request, wait + RESPONSE_TIMEOUT, on_bytes).await;
        let rows = response.and_then(|(status, body)| store::decode_rows(status, &body));
        self.record_time(&rows);
        self.count_result(purpose, "store.feeds_failed", rows)
    }

    /// Writes one row if its revision is still the one that was seen; returns the new revision.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn write(
        &self,
        purpose: StorePurpose,
        write: &FeedWrite,
    ) -> Result<Revision, FeedError> {
        self.write_all(purpose, std::slice::from_ref(write)).await
    }

    /// Writes all rows or none, if each still has the revision that was seen; returns their new
    /// revision.
    ///
    /// # Errors
    ///
    /// [`FeedError`]; a conflict names the revision of the first row that has another one.
    pub async fn write_all(
        &self,
        purpose: StorePurpose,
        writes: &[FeedWrite],
    ) -> Result<Revision, FeedError> {
        self.counters.add("store.writes");
        let request = store::write_rows(writes)?;
        let response = self.send(request, RESPONSE_TIMEOUT, |_| ()).await;
        let written = response.and_then(|(status, body)| store::decode_write(status, &body));
        self.count_result(purpose, "store.writes_failed", written)
    }

    async fn send(
        &self,
        request: FeedRequest,
        response_timeout: Duration,
        on_bytes: impl Fn(usize),
    ) -> Result<(StatusCode, Bytes), FeedError> {
        Ok(self.client.send_feed_request(request, response_timeout, on_bytes).await?)
    }

    fn record_time(&self, rows: &Result<FeedRows, FeedError>) {
        if let Ok(rows) = rows {
            self.clock.record(rows.store_time_ms);
        }
    }

    fn count_result<T>(
        &self,
        purpose: StorePurpose,
        counter: &'static str,
        result: Result<T, FeedError>,
    ) -> Result<T, FeedError> {
        let reason = format!("{}.{}", purpose.as_str(), result_name(&result));
        self.counters.add_reason(REQUESTS_BY_PURPOSE, &reason);
        if result.is_err() {
            self.counters.add(counter);
        }
        result
    }
}
