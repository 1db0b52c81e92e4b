//! A validated rules file and the commit that applies it.

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

/// A validated rules file that an operator applies.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Id of this apply; retrying it with the same id is safe.
    pub apply_id: String,
    /// Operator who applies the file.
    pub operator: String,
    /// The validated rules.
    pub rules: RulesFile,
    /// Text of the file, which is written to the object store.
    pub text: Bytes,
}

impl Proposal {
    /// Creates a proposal from the validated `rules` and their `text`.
    pub fn new(apply_id: String, operator: String, rules: RulesFile, text: Bytes) -> Self {
        Self { apply_id, operator, rules, text }
    }

    /// Returns the name of the object that contains the file; equal files share it.
    pub fn object_name(&self) -> String {
        format!("rules-file-{:032x}", xxh3_128(&self.text))
    }

    /// Returns the commit that accepts the file.
    ///
    /// # Errors
    ///
    /// The rules can't be serialized as JSON.
    pub fn commit(&self, applied: &AppliedRow) -> Result<Commit, serde_json::Error> {
        let mut commit = Commit::default();
        let key = applied_key(&self.apply_id);
        commit.conditions.push(Condition::new(&key, Precondition::BeAbsent));
        let history_key = history_key(applied.applied_at_unix_ms, &self.apply_id);
        for key in [key, history_key] {
            commit.writes.push(Write::put(key, serde_json::to_value(applied)?));
        }
        for service in &self.rules.services {
            self.add_change(&service.name, &RulesRow::InForce(service.clone()), &mut commit)?;
        }
        for service in &self.rules.removed {
            self.add_change(service, &RulesRow::Removed, &mut commit)?;
        }
        Ok(commit)
    }

    /// Adds the change of one service to `commit`.
    ///
    /// A removed service keeps its row: if the row were deleted, the condition of a file written
    /// before the removal would hold, and applying it would bring the service back unnoticed.
    fn add_change(
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

    /// Returns the row that records the file.
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

    /// Returns the conflict with the services whose conditions did not hold.
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
