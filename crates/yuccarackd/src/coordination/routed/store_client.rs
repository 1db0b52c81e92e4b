//! Questions to the table store, each with its wait.

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

/// Longest wait for the head of an answer that isn't held back.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the table store; clones share their connections.
#[derive(Clone)]
pub struct StoreClient {
    client: PlatformClient,
    counters: Counters,
}

impl StoreClient {
    /// Asks through `client`.
    pub fn new(client: PlatformClient, counters: Counters) -> Self {
        Self { client, counters }
    }

    /// All rows of `table` as of one moment, or as of the moments of its pages; `on_bytes` gets the
    /// length of each piece that arrives.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn read(&self, table: &str, on_bytes: impl Fn(usize)) -> Result<FeedRows, FeedError> {
        let mut all = FeedRows::default();
        loop {
            self.counters.add("store.reads");
            let after = all.rows.last().map(|row| row.key.as_str());
            let question = store::read(table, after);
            let page = self.ask(question, ANSWER_TIMEOUT, &on_bytes).await;
            let page = page.and_then(|(status, body)| store::decode_rows(status, &body));
            let page = self.counted("store.reads_failed", page)?;
            // Changes between two pages are told again by the feed, from the first page on.
            if all.revision == 0 {
                all.revision = page.revision;
            }
            let is_last = !page.has_more || page.rows.is_empty();
            all.rows.extend(page.rows);
            if is_last {
                return Ok(all);
            }
        }
    }

    /// The row of `key` in `table`; none if there is none.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn row(&self, table: &str, key: &str) -> Result<Option<FeedRow>, FeedError> {
        self.counters.add("store.reads");
        let answer = self.ask(store::row_of(table, key), ANSWER_TIMEOUT, |_| ()).await;
        let rows = answer.and_then(|(status, body)| store::decode_rows(status, &body));
        let rows = self.counted("store.reads_failed", rows)?;
        Ok(rows.rows.into_iter().find(|row| row.key == key))
    }

    /// What has changed in `table` since `after`, as soon as there is something; `on_bytes` gets the
    /// length of each piece that arrives.
    ///
    /// # Errors
    ///
    /// [`FeedError`]; [`FeedError::HistoryLost`] asks for a new reading of all.
    pub async fn changes(
        &self,
        table: &str,
        after: Revision,
        wait: Duration,
        on_bytes: impl Fn(usize),
    ) -> Result<FeedRows, FeedError> {
        self.counters.add("store.feeds");
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let question = store::changes(table, after, wait_ms);
        let answer = self.ask(question, wait + ANSWER_TIMEOUT, on_bytes).await;
        let rows = answer.and_then(|(status, body)| store::decode_rows(status, &body));
        self.counted("store.feeds_failed", rows)
    }

    /// Writes one row if it is still the one that was seen.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    pub async fn write(&self, write: &FeedWrite) -> Result<Revision, FeedError> {
        self.counters.add("store.writes");
        let question = store::write(write)?;
        let answer = self.ask(question, ANSWER_TIMEOUT, |_| ()).await;
        let written = answer.and_then(|(status, body)| store::decode_written(status, &body));
        self.counted("store.writes_failed", written)
    }

    async fn ask(
        &self,
        question: FeedRequest,
        answer_timeout: Duration,
        on_bytes: impl Fn(usize),
    ) -> Result<(StatusCode, Bytes), FeedError> {
        Ok(self.client.send_feed_request(question, answer_timeout, on_bytes).await?)
    }

    fn counted<T>(
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
