//! `show`: prints accepted rules as a file that can be edited and applied.

use yuccarack_config::{ids::ServiceName, rules::RulesFile};
use yuccarack_platform::{PlatformError, accept::read_back, rows::RulesRow};

use super::{platform_client, read_current_rules};
use crate::{errors::CtlError, options::Common, report::Report};

/// Version of the rules file format.
const RULES_FILE_FORMAT: u32 = 1;

pub(super) async fn show(common: &Common, services: &[ServiceName]) -> Result<Report, CtlError> {
    let current = read_current_rules(common).await?;
    let mut file = RulesFile {
        format: RULES_FILE_FORMAT,
        based_on: current.revision,
        services: Vec::new(),
        removed: Vec::new(),
    };
    for service in current.services {
        let is_selected = services.is_empty() || services.contains(&service.name);
        if let (true, RulesRow::InForce(rules)) = (is_selected, service.rules) {
            file.services.push(rules);
        }
    }
    for name in services {
        if file.services.iter().all(|service| service.name != *name) {
            return Err(CtlError::NotFound { what: format!("service {name}") });
        }
    }
    file_report(&file)
}

/// Returns an applied file with `based_on` set to the current revision, so that applying it again
/// restores its rules.
pub(super) async fn show_applied(common: &Common, apply_id: &str) -> Result<Report, CtlError> {
    let client = platform_client(common)?;
    let not_found = |what: String| CtlError::NotFound { what };
    let accepted = read_back(&client, apply_id)
        .await?
        .ok_or_else(|| not_found(format!("apply id {apply_id}")))?;
    let text = client
        .object(&accepted.applied.object)
        .await?
        .ok_or_else(|| not_found(format!("object {}", accepted.applied.object)))?;
    let mut file = RulesFile::parse(&text)?;
    file.based_on = read_current_rules(common).await?.revision;
    file_report(&file)
}

fn file_report(file: &RulesFile) -> Result<Report, CtlError> {
    let json = serde_json::to_value(file).map_err(PlatformError::Unserializable)?;
    let text = serde_json::to_string_pretty(file).map_err(PlatformError::Unserializable)?;
    Ok(Report::new(text, json))
}
