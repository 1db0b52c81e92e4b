//! `diff`: what applying a file would change, and whether it would conflict.

use std::path::Path;

use serde::Serialize;
use serde_json::{Value, json};
use yuccarack_config::{ids::Revision, rules::RulesFile};
use yuccarack_platform::{PlatformError, rows::RulesRow};

use super::{CurrentRules, CurrentService, rules_now};
use crate::{
    difference::{FieldChange, changes},
    errors::CtlError,
    options::Common,
    report::Report,
};

/// What a file would do to one service.
#[derive(Debug, Serialize)]
struct ServiceChange {
    service: String,
    change: Change,
    fields: Vec<FieldChange>,
    /// Revision of the service's last change, if that came after the file's `based_on`.
    conflict: Option<Revision>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Change {
    Add,
    Alter,
    Remove,
    Keep,
}

pub(super) async fn diff(common: &Common, file: &Path) -> Result<Report, CtlError> {
    let rules = RulesFile::load(file)?;
    let now = rules_now(common).await?;
    let mut found = Vec::new();
    for service in &rules.services {
        let new = to_value(service)?;
        found.push(change_of(&now, &service.name, Some(new), rules.based_on)?);
    }
    for service in &rules.removed {
        found.push(change_of(&now, service, None, rules.based_on)?);
    }
    let text = found.iter().map(lines).collect::<Vec<_>>().join("\n");
    let json = json!({"based_on": rules.based_on, "revision": now.revision, "services": found});
    Ok(Report::new(text, json))
}

fn change_of(
    now: &CurrentRules,
    name: &str,
    new: Option<Value>,
    based_on: Revision,
) -> Result<ServiceChange, CtlError> {
    let current = now.services.iter().find(|service| service.name == name);
    let old = match current {
        Some(CurrentService { rules: RulesRow::InForce(rules), .. }) => Some(to_value(rules)?),
        _ => None,
    };
    let fields = match (&old, &new) {
        (Some(old), Some(new)) => changes(old, new),
        _ => Vec::new(),
    };
    let change = match (&old, &new) {
        (None, Some(_)) => Change::Add,
        (Some(_), None) => Change::Remove,
        (Some(_), Some(_)) if !fields.is_empty() => Change::Alter,
        _ => Change::Keep,
    };
    let conflict = current.map(|service| service.revision).filter(|newest| *newest > based_on);
    Ok(ServiceChange { service: name.to_owned(), change, fields, conflict })
}

fn lines(change: &ServiceChange) -> String {
    let mark = match change.change {
        Change::Add => "+",
        Change::Alter => "~",
        Change::Remove => "-",
        Change::Keep => "=",
    };
    let mut text = format!("{mark} {}", change.service);
    if let Some(revision) = change.conflict {
        text.push_str(&format!(" (conflict: changed at revision {revision})"));
    }
    for field in &change.fields {
        text.push_str(&format!("\n    {field}"));
    }
    text
}

fn to_value<T: Serialize>(rules: &T) -> Result<Value, CtlError> {
    Ok(serde_json::to_value(rules).map_err(PlatformError::Unserializable)?)
}
