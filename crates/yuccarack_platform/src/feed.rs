//! Tables whose changes can be followed: what is asked and what comes back.

use bytes::Bytes;
use http::Method;
use thiserror::Error;
use yuccarack_config::ids::Revision;

/// One row of a table, as it stands or as it went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRow {
    /// Its key.
    pub key: String,
    /// The revision that wrote it or took it away.
    pub revision: Revision,
    /// What it holds; none once it has been taken away.
    pub value: Option<Bytes>,
}

/// Rows of a table as of one moment, or the changes since an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedRows {
    /// Revision up to which the rows tell all.
    pub revision: Revision,
    /// The rows.
    pub rows: Vec<FeedRow>,
    /// Whether more rows stand behind the last one.
    pub has_more: bool,
}

/// A question as it goes over HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// One row that is to be written if it is still the one that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedWrite {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: String,
    /// Revision at which the row was seen; 0 for none.
    pub expected_revision: Revision,
    /// What it is to hold; none takes it away.
    pub value: Option<Bytes>,
    /// Another table in which no row of this key may stand.
    pub absent_in: Option<&'static str>,
}

/// Why an answer of the store gives no result.
#[derive(Debug, Error)]
pub enum FeedError {
    /// The changes that were asked for are no longer kept; the table has to be read whole.
    #[error("the store has dropped the history that was asked for")]
    HistoryLost,
    /// The row isn't the one that was seen, or one stands where none may; nothing was written.
    #[error("a row stands at revision {current_revision}")]
    Conflict {
        /// Revision at which that row stands; 0 for none.
        current_revision: Revision,
    },
    /// The store answered with another status; nothing was done.
    #[error("the store refused with status {status}")]
    Refused {
        /// The status.
        status: u16,
    },
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
    /// No answer came; a write may have taken effect or may do so later.
    #[error(transparent)]
    NoResponse(#[from] crate::errors::PlatformError),
}
