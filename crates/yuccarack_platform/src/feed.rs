//! Requests, rows and errors of tables whose changes can be followed.

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
    /// Revision that the rows are synced up to.
    pub revision: Revision,
    /// The rows, or the changed rows.
    pub rows: Vec<FeedRow>,
    /// Whether more rows follow the last one.
    pub has_more: bool,
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
    /// No response arrived; a write may have taken effect or may still do so.
    #[error(transparent)]
    NoResponse(#[from] crate::errors::PlatformError),
}
