//! JSON requests to the table service and their responses.

use serde::{Deserialize, Deserializer};
use serde_json::{Value, value::RawValue};
use yuccarack_config::{ids::Revision, wire_data};

wire_data! {
    /// A transaction: either all conditions hold and all writes are made, or none is made.
    #[derive(Default)]
    pub struct Commit {
        /// Conditions that have to hold.
        pub conditions: Vec<Condition>,
        /// Writes that are made.
        pub writes: Vec<Write>,
    }

    /// A condition on one row.
    pub struct Condition {
        /// Key of the row.
        pub key: String,
        /// Precondition on the state of the row.
        pub must: Precondition,
    }

    /// Precondition on the state of one row.
    #[serde(rename_all = "snake_case")]
    pub enum Precondition {
        /// The row doesn't exist.
        BeAbsent,
        /// The row was last written at this revision.
        BeAt(Revision),
        /// The row doesn't exist, or was last written at or before this revision.
        NotBeNewerThan(Revision),
    }

    /// A write of one row; without a value the row is deleted.
    pub struct Write {
        /// Key of the row.
        pub key: String,
        /// New value of the row.
        pub value: Option<Value>,
    }

    /// Response to a commit that took effect.
    pub struct CommitResponse {
        /// Revision of the commit.
        pub revision: Revision,
    }

    /// A condition that did not hold.
    pub struct FailedCondition {
        /// Key of the row.
        pub key: String,
        /// Current revision of the row; 0 if it doesn't exist.
        pub revision: Revision,
    }

    /// Response to a commit whose conditions did not all hold.
    pub struct ConflictResponse {
        /// The conditions that did not hold.
        pub failed: Vec<FailedCondition>,
    }

    /// A row of the table.
    pub struct Row {
        /// Key of the row.
        pub key: String,
        /// Revision at which the row was last written.
        pub revision: Revision,
        /// Value of the row; null if it is nested too deeply or has a number out of range.
        #[serde(deserialize_with = "value_or_null")]
        pub value: Value,
    }

    /// Rows whose keys have a common prefix, sorted by key.
    pub struct Rows {
        /// Revision of the table at the time of the read.
        pub revision: Revision,
        /// The rows, sorted by key.
        pub rows: Vec<Row>,
    }
}

/// Deserializes a value that another writer may have written. One that [`Value`] can't hold would
/// otherwise fail the whole response, and hide all other rows.
fn value_or_null<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or_default())
}

impl Write {
    /// Creates a write that sets the row of `key` to `value`.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self { key: key.into(), value: Some(value) }
    }

    /// Creates a write that deletes the row of `key`.
    pub fn delete(key: impl Into<String>) -> Self {
        Self { key: key.into(), value: None }
    }
}

impl Condition {
    /// Creates the condition that `must` holds for the row of `key`.
    pub fn new(key: impl Into<String>, must: Precondition) -> Self {
        Self { key: key.into(), must }
    }
}
