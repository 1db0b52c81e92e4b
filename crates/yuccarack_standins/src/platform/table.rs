//! The table: rows, a revision for each commit, conditions.

use std::collections::BTreeMap;

use serde_json::Value;
use yuccarack_config::ids::Revision;
use yuccarack_platform::messages::{
    Commit, CommitResponse, Condition, ConflictResponse, FailedCondition, Precondition, Row, Rows,
};

/// All rows, in memory.
#[derive(Debug, Default)]
pub struct Table {
    revision: Revision,
    rows: BTreeMap<String, (Revision, Value)>,
}

impl Table {
    /// Writes all of `commit`, or nothing.
    ///
    /// # Errors
    ///
    /// The conditions that don't hold.
    pub fn commit(&mut self, commit: Commit) -> Result<CommitResponse, ConflictResponse> {
        let failed: Vec<_> = commit
            .conditions
            .iter()
            .filter(|condition| !self.holds(condition))
            .map(|condition| FailedCondition {
                key: condition.key.clone(),
                revision: self.revision_of(&condition.key),
            })
            .collect();
        if !failed.is_empty() {
            return Err(ConflictResponse { failed });
        }
        self.revision += 1;
        for write in commit.writes {
            match write.value {
                Some(value) => self.rows.insert(write.key, (self.revision, value)),
                None => self.rows.remove(&write.key),
            };
        }
        Ok(CommitResponse { revision: self.revision })
    }

    /// The row of `key`.
    pub fn row(&self, key: &str) -> Option<Row> {
        let (revision, value) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), revision: *revision, value: value.clone() })
    }

    /// All rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Rows {
        let from = self.rows.range(prefix.to_owned()..);
        let rows = from
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (revision, value))| Row {
                key: key.clone(),
                revision: *revision,
                value: value.clone(),
            })
            .collect();
        Rows { revision: self.revision, rows }
    }

    fn holds(&self, condition: &Condition) -> bool {
        let revision = self.revision_of(&condition.key);
        match condition.must {
            Precondition::BeAbsent => revision == 0,
            Precondition::BeAt(expected) => revision == expected,
            Precondition::NotBeNewerThan(newest) => revision <= newest,
        }
    }

    fn revision_of(&self, key: &str) -> Revision {
        self.rows.get(key).map_or(0, |(revision, _)| *revision)
    }
}
