//! `show`: the accepted rules as a file that can be edited and applied.

use yuccarack_config::{ids::ServiceName, rules::RulesFile};
use yuccarack_platform::{PlatformError, accept::read_back, rows::RulesRow};

use super::{platform, rules_now};
use crate::{errors::CtlError, options::Common, report::Report};

/// Version of the form of a rules file.
const FORMAT: u32 = 1;

pub(super) async fn show(common: &Common, services: &[ServiceName]) -> Result<Report, CtlError> {
    let now = rules_now(common).await?;
    let mut file = RulesFile {
        format: FORMAT,
        based_on: now.revision,
        services: Vec::new(),
        removed: Vec::new(),
    };
    for service in now.services {
        let is_wanted = services.is_empty() || services.contains(&service.name);
        if let (true, RulesRow::InForce(rules)) = (is_wanted, service.rules) {
            file.services.push(rules);
        }
    }
    for wanted in services {
        if file.services.iter().all(|service| service.name != *wanted) {
            return Err(CtlError::NotFound { what: format!("service {wanted}") });
        }
    }
    as_file(&file)
}

/// The file keeps its services and gets the revision of now, so that applying it goes back to it.
pub(super) async fn show_applied(common: &Common, apply_id: &str) -> Result<Report, CtlError> {
    let client = platform(common)?;
    let not_found = |what: String| CtlError::NotFound { what };
    let accepted = read_back(&client, apply_id)
        .await?
        .ok_or_else(|| not_found(format!("apply id {apply_id}")))?;
    let text = client
        .object(&accepted.applied.object)
        .await?
        .ok_or_else(|| not_found(format!("object {}", accepted.applied.object)))?;
    let mut file = RulesFile::parse(&text)?;
    file.based_on = rules_now(common).await?.revision;
    as_file(&file)
}

fn as_file(file: &RulesFile) -> Result<Report, CtlError> {
    let json = serde_json::to_value(file).map_err(PlatformError::Unserializable)?;
    let text = serde_json::to_string_pretty(file).map_err(PlatformError::Unserializable)?;
    Ok(Report::new(text, json))
}
