//! Requests, rows and errors of the store for routed calls. It has a change feed, which returns the
//! rows changed since a revision. The transactional table service has its own types, in
//! [`messages`](crate::messages) and [`errors`](crate::errors).

use bytes::Bytes;
use http::Method;
use thiserror::Error;
use yuccarack_config::ids::Revision;

/// A row of a table, or the deletion of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRow {
    /// Key of the row.
    pub key: String,
    /// Revision at which the row was written or deleted.
    pub revision: Revision,
    /// Value of the row; `None` if it was deleted.
    pub value: Option<Bytes>,
}

/// The rows of a table at one revision, or the changes since an earlier revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedRows {
    /// Revision of the table at which this page of rows was read.
    pub revision: Revision,
    /// The rows, or the changed rows.
    pub rows: Vec<FeedRow>,
    /// Whether further pages follow, which may be read at later revisions.
    pub has_more: bool,
    /// Time of the response on the store's steady clock, in ms; 0 if the store reports none.
    pub store_time_ms: u64,
}

/// An HTTP request to the store, independent of the client that sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub path: String,
    /// Request body.
    pub body: Bytes,
}

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedWrite {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: String,
    /// Revision that the row must still have; 0 if it must not exist.
    pub expected_revision: Revision,
    /// New value of the row; `None` deletes it.
    pub value: Option<Bytes>,
    /// Another table that must not have a row with this key.
    pub absent_in: Option<&'static str>,
}

/// Error of a request to the store.
#[derive(Debug, Error)]
pub enum FeedError {
    /// The store no longer has the requested changes; the table has to be read in full.
    #[error("the store no longer has the requested history")]
    HistoryLost,
    /// The row has another revision than expected, or a row exists where none may; nothing was
    /// written.
    #[error("write conflict: the row is at revision {current_revision}")]
    Conflict {
        /// Current revision of the conflicting row; 0 if it doesn't exist.
        current_revision: Revision,
    },
    /// The store refused the request; nothing was written.
    #[error("the store refused the request with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The response can't be parsed.
    #[error("malformed response from the store: {0}")]
    Malformed(String),
    /// No complete response arrived. Unless
    /// [`is_not_written`](crate::errors::PlatformError::is_not_written), a write may have taken
    /// effect or may still do so.
    #[error(transparent)]
    NoResponse(#[from] crate::errors::PlatformError),
}
