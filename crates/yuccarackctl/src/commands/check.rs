//! `check`: validates a rules file or a routing file without a platform.

use std::path::Path;

use serde_json::{Value, json};
use yuccarack_config::{errors::FileError, routing_file::RoutingFile, rules::RulesFile};

use crate::{errors::CtlError, report::Report};

/// Field that identifies a routing file.
const ROUTING_FIELD: &str = "routes";

pub(super) fn check(file: &Path) -> Result<Report, CtlError> {
    let unreadable = |source| FileError::Unreadable { path: file.to_owned(), source };
    let content = std::fs::read(file).map_err(unreadable)?;
    // The syntax error of a file that isn't JSON is reported by the rules parser.
    let parsed: Value = serde_json::from_slice(&content).unwrap_or_default();
    match parsed.get(ROUTING_FIELD) {
        Some(_) => check_routing(file, &content),
        None => check_rules(file, &content),
    }
}

fn check_rules(file: &Path, content: &[u8]) -> Result<Report, CtlError> {
    let rules = RulesFile::parse(content)?;
    let (services, removed) = (rules.services.len(), rules.removed.len());
    Ok(Report::new(
        format!("{}: valid, {services} service(s), {removed} removed", file.display()),
        json!({"services": services, "removed": removed, "based_on": rules.based_on}),
    ))
}

fn check_routing(file: &Path, content: &[u8]) -> Result<Report, CtlError> {
    let routing = RoutingFile::parse(content)?;
    let (routes, services) = (routing.routes.len(), routing.services.len());
    Ok(Report::new(
        format!(
            "{}: valid, version {}, {routes} route(s) to {services} service(s)",
            file.display(),
            routing.version
        ),
        json!({"version": routing.version, "routes": routes, "services": services}),
    ))
}
