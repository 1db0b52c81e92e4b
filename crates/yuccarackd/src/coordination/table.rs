//! The table as control tasks use it: each question counted, its failure noted.

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

/// Why the table gave nothing that can be used.
#[derive(Debug, Error)]
pub enum TableError {
    /// The platform gave no result.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row holds what this version of the daemon can't read.
    #[error("row {key} can't be read")]
    Unreadable {
        /// The row's key.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// The table; clones share their connections.
#[derive(Clone)]
pub struct Table {
    client: PlatformClient,
    health: StoreHealth,
    counters: Counters,
    logger: Logger,
}

impl Table {
    /// Asks over `client` and keeps `health` up to date.
    pub fn new(
        client: PlatformClient,
        health: StoreHealth,
        counters: Counters,
        logger: Logger,
    ) -> Self {
        Self { client, health, counters, logger }
    }

    /// Whether the last question got no answer.
    pub fn is_away(&self) -> bool {
        self.health.is_unavailable()
    }

    /// Reads the rules of `service` and their revision.
    ///
    /// # Errors
    ///
    /// Any [`TableError`].
    pub async fn rules(&self, service: &str) -> Result<Option<(Revision, RulesRow)>, TableError> {
        let row = self.read(&rules_key(service)).await?;
        row.map(|row| Ok((row.revision, read_value(row)?))).transpose()
    }

    /// Reads the rows of all members of `service`; those that can't be read are counted and
    /// left out, so that one bad row doesn't hide the others.
    ///
    /// # Errors
    ///
    /// Any [`TableError`].
    pub async fn members(&self, service: &str) -> Result<Vec<MemberRow>, TableError> {
        self.counters.add("store.reads");
        let result = self.client.rows(&member_prefix(service)).await;
        self.note(&result);
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
    /// Any [`TableError`].
    pub async fn member(
        &self,
        service: &str,
        instance: &str,
    ) -> Result<Option<(Revision, MemberRow)>, TableError> {
        let row = self.read(&member_key(service, instance)).await?;
        row.map(|row| Ok((row.revision, read_value(row)?))).transpose()
    }

    /// Writes the row of one member, if the row there is still that of `seen`.
    ///
    /// # Errors
    ///
    /// Any [`TableError`]; a conflict when the row has changed since.
    pub async fn put_member(
        &self,
        member: &MemberRow,
        seen: Option<Revision>,
    ) -> Result<CommitResponse, TableError> {
        let key = member_key(&member.service, &member.instance);
        let write = Write::put(key.clone(), to_value(member)?);
        self.commit(key, write, seen).await
    }

    /// Takes the row of one member away, if the row there is still that of `seen`.
    ///
    /// # Errors
    ///
    /// Any [`TableError`]; a conflict when the row has changed since.
    pub async fn delete_member(
        &self,
        member: &MemberRow,
        seen: Revision,
    ) -> Result<CommitResponse, TableError> {
        let key = member_key(&member.service, &member.instance);
        let write = Write::delete(key.clone());
        self.commit(key, write, Some(seen)).await
    }

    async fn commit(
        &self,
        key: String,
        write: Write,
        seen: Option<Revision>,
    ) -> Result<CommitResponse, TableError> {
        let must = seen.map_or(Precondition::BeAbsent, Precondition::BeAt);
        let commit = Commit { conditions: vec![Condition::new(key, must)], writes: vec![write] };
        self.counters.add("store.writes");
        let result = self.client.commit(&commit).await;
        self.note(&result);
        Ok(result?)
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.counters.add("store.reads");
        let result = self.client.row(key).await;
        self.note(&result);
        Ok(result?)
    }

    fn note<T>(&self, result: &Result<T, PlatformError>) {
        if let Err(error) = result {
            self.counters.add_reason("store.failed", reason(error));
        }
        if !self.health.record(result) {
            return;
        }
        match result {
            Err(error) => warn!(self.logger, "the store is away"; "error" => %error),
            Ok(_) => info!(self.logger, "the store is back"),
        }
    }
}

fn reason(error: &PlatformError) -> &'static str {
    match error {
        PlatformError::Conflict { .. } => "conflict",
        PlatformError::Refused { .. } => "refused",
        PlatformError::Unreachable => "unreachable",
        PlatformError::UnknownOutcome | PlatformError::Stalled { .. } => "no_answer",
        PlatformError::Malformed(_) => "malformed",
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
