//! Questions to the table service and their answers, as JSON.

use serde_json::Value;
use yuccarack_config::{ids::Revision, wire_data};

wire_data! {
    /// A transaction: all writes happen if all conditions hold, else none.
    #[derive(Default)]
    pub struct Commit {
        /// What has to hold.
        pub conditions: Vec<Condition>,
        /// What is written.
        pub writes: Vec<Write>,
    }

    /// What has to hold of one row.
    pub struct Condition {
        /// The row's key.
        pub key: String,
        /// What has to hold of it.
        pub must: Precondition,
    }

    /// What has to hold of one row.
    #[serde(rename_all = "snake_case")]
    pub enum Precondition {
        /// The row doesn't exist.
        BeAbsent,
        /// The row was last written by this revision.
        BeAt(Revision),
        /// The row doesn't exist or was last written at or before this revision.
        NotBeNewerThan(Revision),
    }

    /// One write; without a value the row is taken away.
    pub struct Write {
        /// The row's key.
        pub key: String,
        /// The row's new value.
        pub value: Option<Value>,
    }

    /// Answer to a commit that took effect.
    pub struct CommitResponse {
        /// The commit's revision.
        pub revision: Revision,
    }

    /// A condition that did not hold.
    pub struct FailedCondition {
        /// The row's key.
        pub key: String,
        /// The revision that the row has, 0 for none.
        pub revision: Revision,
    }

    /// Answer to a commit whose conditions did not all hold.
    pub struct ConflictResponse {
        /// The conditions that did not hold.
        pub failed: Vec<FailedCondition>,
    }

    /// One row.
    pub struct Row {
        /// Its key.
        pub key: String,
        /// The revision that last wrote it.
        pub revision: Revision,
        /// Its value.
        pub value: Value,
    }

    /// Rows whose keys start alike, in order of their keys.
    pub struct Rows {
        /// Revision of the table when it was read.
        pub revision: Revision,
        /// The rows.
        pub rows: Vec<Row>,
    }
}

impl Write {
    /// Puts `value` into the row of `key`.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self { key: key.into(), value: Some(value) }
    }

    /// Takes the row of `key` away.
    pub fn delete(key: impl Into<String>) -> Self {
        Self { key: key.into(), value: None }
    }
}

impl Condition {
    /// Asks that `must` holds of the row of `key`.
    pub fn new(key: impl Into<String>, must: Precondition) -> Self {
        Self { key: key.into(), must }
    }
}
