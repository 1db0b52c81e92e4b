//! Table access of the control tasks, which counts each request and records failures.
//!
//! The store is the platform's transactional table service, which is reached through a
//! [`PlatformClient`]; the table is the set of its rows.

use serde::{Serialize, de::DeserializeOwned};
use slog::{Logger, info, warn};
use thiserror::Error;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformClient, PlatformError,
    messages::{Commit, CommitResponse, Condition, Precondition, Row, Write},
    rows::{MemberRow, RulesRow, member_key, member_prefix, rules_key},
};

use crate::state::{counters::Counters, store_health::StoreHealth};

/// Why an access to the table failed.
#[derive(Debug, Error)]
pub enum TableError {
    /// The store returned an error or didn't respond.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// This version of the daemon can't parse the value of a row.
    #[error("the value of table row {key} can't be parsed")]
    Unreadable {
        /// Key of the row.
        key: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Table access. Clones share their connections.
#[derive(Clone)]
pub struct Table {
    client: PlatformClient,
    health: StoreHealth,
    counters: Counters,
    logger: Logger,
}

impl Table {
    /// Creates table access over `client`, which keeps `health` up to date.
    pub fn new(
        client: PlatformClient,
        health: StoreHealth,
        counters: Counters,
        logger: Logger,
    ) -> Self {
        Self { client, health, counters, logger }
    }

    /// Returns whether the last request to the store failed; a conflict isn't a failure.
    pub fn is_unavailable(&self) -> bool {
        self.health.is_unavailable()
    }

    /// Reads the rules of `service` and their revision.
    ///
    /// # Errors
    ///
    /// Returns any [`TableError`].
    pub async fn rules(&self, service: &str) -> Result<Option<(Revision, RulesRow)>, TableError> {
        let row = self.read(&rules_key(service)).await?;
        row.map(|row| Ok((row.revision, read_value(row)?))).transpose()
    }

    /// Reads the rows of all members of `service`. Rows that can't be parsed are counted and
    /// skipped, so that one invalid row doesn't hide the others.
    ///
    /// # Errors
    ///
    /// Returns any [`TableError`].
    pub async fn members(&self, service: &str) -> Result<Vec<MemberRow>, TableError> {
        self.counters.add("store.reads");
        let result = self.client.rows(&member_prefix(service)).await;
        self.record_result(&result);
        let mut members = Vec::new();
        for row in result?.rows {
            match read_value(row) {
                Ok(member) => members.push(member),
                Err(_) => self.counters.add("store.unreadable_rows"),
            }
        }
        Ok(members)
    }

    /// Reads the row of one member and its revision.
    ///
    /// # Errors
    ///
    /// Returns any [`TableError`].
    pub async fn member(
        &self,
        service: &str,
        instance: &str,
    ) -> Result<Option<(Revision, MemberRow)>, TableError> {
        let row = self.read(&member_key(service, instance)).await?;
        row.map(|row| Ok((row.revision, read_value(row)?))).transpose()
    }

    /// Writes the row of one member if the row is still at `expected_revision`; without a revision,
    /// if there is no row.
    ///
    /// # Errors
    ///
    /// Returns any [`TableError`]; a conflict if the row has changed since.
    pub async fn put_member(
        &self,
        member: &MemberRow,
        expected_revision: Option<Revision>,
    ) -> Result<CommitResponse, TableError> {
        let key = member_key(&member.service, &member.instance);
        let write = Write::put(key.clone(), to_value(member)?);
        self.commit(key, write, expected_revision).await
    }

    /// Deletes the row of one member if it is still at `expected_revision`.
    ///
    /// # Errors
    ///
    /// Returns any [`TableError`]; a conflict if the row has changed since.
    pub async fn delete_member(
        &self,
        member: &MemberRow,
        expected_revision: Revision,
    ) -> Result<CommitResponse, TableError> {
        let key = member_key(&member.service, &member.instance);
        let write = Write::delete(key.clone());
        self.commit(key, write, Some(expected_revision)).await
    }

    async fn commit(
        &self,
        key: String,
        write: Write,
        expected_revision: Option<Revision>,
    ) -> Result<CommitResponse, TableError> {
        let precondition = expected_revision.map_or(Precondition::BeAbsent, Precondition::BeAt);
        let commit =
            Commit { conditions: vec![Condition::new(key, precondition)], writes: vec![write] };
        self.counters.add("store.writes");
        let result = self.client.commit(&commit).await;
        self.record_result(&result);
        Ok(result?)
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.counters.add("store.reads");
        let result = self.client.row(key).await;
        self.record_result(&result);
        Ok(result?)
    }

    fn record_result<T>(&self, result: &Result<T, PlatformError>) {
        if let Err(error) = result {
            self.counters.add_reason("store.failed", failure_reason(error));
        }
        if !self.health.record(result) {
            return;
        }
        match result {
            Err(error) => {
                warn!(self.logger, "store is unavailable; using peers only"; "error" => %error)
            }
            Ok(_) => info!(self.logger, "store is available again"),
        }
    }
}

fn failure_reason(error: &PlatformError) -> &'static str {
    match error {
        PlatformError::Conflict { .. } => "conflict",
        PlatformError::Refused { .. } => "refused",
        PlatformError::Unreachable => "unreachable",
        PlatformError::UnknownOutcome | PlatformError::Stalled { .. } | PlatformError::TooLong => {
            "no_answer"
        }
        PlatformError::MalformedHead(_) | PlatformError::Malformed(_) => "malformed",
        PlatformError::Unserializable(_) => "unwritable",
    }
}

fn read_value<T: DeserializeOwned>(row: Row) -> Result<T, TableError> {
    let key = row.key;
    serde_json::from_value(row.value).map_err(|source| TableError::Unreadable { key, source })
}

fn to_value<T: Serialize>(value: &T) -> Result<serde_json::Value, TableError> {
    serde_json::to_value(value).map_err(|error| PlatformError::Unserializable(error).into())
}
