//! Sends requests to the table store, each with its timeout, and counts them.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformClient,
    feed::{FeedError, FeedRequest, FeedRow, FeedRows, FeedWrite},
};
use yuccarack_platform_wire::store;

use crate::state::counters::Counters;

/// Longest wait for the head of a response that isn't held open.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the table store; clones share their connections.
#[derive(Clone)]
pub struct StoreClient {
    client: PlatformClient,
    counters: Counters,
}

impl StoreClient {
    /// Sends requests through `client`.
    pub fn new(client: PlatformClient, counters: Counters) -> Self {
        Self { client, counters }
    }

    /// Returns all rows of `table`, as of one moment or as of the moments of its pages. `on_bytes`
    /// receives the length of each chunk that arrives.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn read(&self, table: &str, on_bytes: impl Fn(usize)) -> Result<FeedRows, FeedError> {
        let mut snapshot = FeedRows::default();
        loop {
            self.counters.add("store.reads");
            let after = snapshot.rows.last().map(|row| row.key.as_str());
            let request = store::read(table, after);
            let page = self.send(request, RESPONSE_TIMEOUT, &on_bytes).await;
            let page = page.and_then(|(status, body)| store::decode_rows(status, &body));
            let page = self.count_failure("store.reads_failed", page)?;
            // The feed returns changes between two pages again, from the first page on.
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

    /// Returns the row of `key` in `table`; none if there is none.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn row(&self, table: &str, key: &str) -> Result<Option<FeedRow>, FeedError> {
        self.counters.add("store.reads");
        let response = self.send(store::row_of(table, key), RESPONSE_TIMEOUT, |_| ()).await;
        let rows = response.and_then(|(status, body)| store::decode_rows(status, &body));
        let rows = self.count_failure("store.reads_failed", rows)?;
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
        table: &str,
        after: Revision,
        wait: Duration,
        on_bytes: impl Fn(usize),
    ) -> Result<FeedRows, FeedError> {
        self.counters.add("store.feeds");
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let request = store::changes(table, after, wait_ms);
        let response = self.send(request, wait + RESPONSE_TIMEOUT, on_bytes).await;
        let rows = response.and_then(|(status, body)| store::decode_rows(status, &body));
        self.count_failure("store.feeds_failed", rows)
    }

    /// Writes one row if its revision is still the one that was seen; returns the new revision.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn write(&self, write: &FeedWrite) -> Result<Revision, FeedError> {
        self.counters.add("store.writes");
        let request = store::write(write)?;
        let response = self.send(request, RESPONSE_TIMEOUT, |_| ()).await;
        let written = response.and_then(|(status, body)| store::decode_written(status, &body));
        self.count_failure("store.writes_failed", written)
    }

    async fn send(
        &self,
        request: FeedRequest,
        response_timeout: Duration,
        on_bytes: impl Fn(usize),
    ) -> Result<(StatusCode, Bytes), FeedError> {
        Ok(self.client.send_feed_request(request, response_timeout, on_bytes).await?)
    }

    fn count_failure<T>(
        &self,
        counter: &'static str,
        result: Result<T, FeedError>,
    ) -> Result<T, FeedError> {
        if result.is_err() {
            self.counters.add(counter);
        }
        result
    }
}
