//! A rules file on its way into the table.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_128;
use yuccarack_config::rules::RulesFile;

use super::{
    errors::{AcceptError, ServiceConflict},
    now_unix_ms,
};
use crate::{
    messages::{Commit, Condition, FailedCondition, Precondition, Write},
    rows::{AppliedRow, RULES_PREFIX, RulesRow, applied_key, history_key, rules_key},
};

/// A checked rules file that an operator wants in force.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Name of this attempt; running it again under the same name is safe.
    pub apply_id: String,
    /// Who applies it.
    pub operator: String,
    /// The checked file.
    pub rules: RulesFile,
    /// The file as it was written, kept in the object store.
    pub text: Bytes,
}

impl Proposal {
    /// Makes a proposal of the checked `rules`, written as `text`.
    pub fn new(apply_id: String, operator: String, rules: RulesFile, text: Bytes) -> Self {
        Self { apply_id, operator, rules, text }
    }

    /// Name of the object that keeps the file; equal files share it.
    pub fn object_name(&self) -> String {
        format!("rules-file-{:032x}", xxh3_128(&self.text))
    }

    /// The commit by which the file is accepted.
    ///
    /// # Errors
    ///
    /// The rules have no form in JSON.
    pub fn commit(&self, applied: &AppliedRow) -> Result<Commit, serde_json::Error> {
        let mut commit = Commit::default();
        let key = applied_key(&self.apply_id);
        commit.conditions.push(Condition::new(&key, Precondition::BeAbsent));
        let history_key = history_key(applied.applied_at_unix_ms, &self.apply_id);
        for key in [key, history_key] {
            commit.writes.push(Write::put(key, serde_json::to_value(applied)?));
        }
        for service in &self.rules.services {
            self.change(&service.name, &RulesRow::InForce(service.clone()), &mut commit)?;
        }
        for service in &self.rules.removed {
            self.change(service, &RulesRow::Removed, &mut commit)?;
        }
        Ok(commit)
    }

    /// A service that is taken away keeps its row. Were the row deleted, a file written before
    /// would meet no condition and bring the service back: the operator who took it away would
    /// find it running again.
    fn change(
        &self,
        service: &str,
        row: &RulesRow,
        commit: &mut Commit,
    ) -> Result<(), serde_json::Error> {
        let key = rules_key(service);
        commit
            .conditions
            .push(Condition::new(&key, Precondition::NotBeNewerThan(self.rules.based_on)));
        commit.writes.push(Write::put(key, serde_json::to_value(row)?));
        Ok(())
    }

    /// The row that records the file.
    pub(super) fn applied_row(&self) -> AppliedRow {
        let services = self.rules.services.iter().map(|service| service.name.clone()).collect();
        AppliedRow {
            apply_id: self.apply_id.clone(),
            operator: self.operator.clone(),
            services,
            removed: self.rules.removed.clone(),
            object: self.object_name(),
            applied_at_unix_ms: now_unix_ms(),
        }
    }

    /// The services that stand in the way.
    pub(super) fn conflict(&self, failed: &[FailedCondition]) -> AcceptError {
        let services = failed
            .iter()
            .filter_map(|failed| {
                let service = failed.key.strip_prefix(RULES_PREFIX)?.to_owned();
                Some(ServiceConflict { service, revision: failed.revision })
            })
            .collect();
        AcceptError::Conflict { based_on: self.rules.based_on, services }
    }
}
