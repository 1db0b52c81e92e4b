//! The commands, one module for each group.

mod apply;
mod check;
mod claim;
mod daemons;
mod diff;
mod history;
mod logs;
mod show;

use std::net::SocketAddr;

use yuccarack_platform::{
    PlatformClient,
    rows::{MemberRow, RULES_PREFIX, RulesRow, member_prefix},
};

use crate::{
    errors::CtlError,
    options::{Command, Common, DaemonSelection},
    report::Report,
};

/// Runs `command` and returns its report.
///
/// # Errors
///
/// See [`CtlError`], which also has the exit code.
pub async fn run(command: Command) -> Result<Report, CtlError> {
    match command {
        Command::Check { file, .. } => check::check(&file),
        Command::Apply { common, operator, apply_id, wait, file } => {
            apply::apply(&common, apply::ApplyRequest { operator, apply_id, wait, file }).await
        }
        Command::Diff { common, file } => diff::diff(&common, &file).await,
        Command::Show { common, applied: Some(apply_id), .. } => {
            show::show_applied(&common, &apply_id).await
        }
        Command::Show { common, services, .. } => show::show(&common, &services).await,
        Command::History { common, limit, days } => history::history(&common, limit, days).await,
        Command::Status { common, daemon_selection } => {
            daemons::status(&common, &daemon_selection).await
        }
        Command::Targets { common, daemon_selection } => {
            daemons::targets(&common, &daemon_selection).await
        }
        Command::Counters { common, daemon_selection, prefix } => {
            daemons::counters(&common, &daemon_selection, &prefix).await
        }
        Command::Claim { claim_command } => claim::claim(claim_command).await,
        Command::Explain { common, daemon_selection, logs, request } if logs.is_empty() => {
            daemons::explain(&common, &daemon_selection, &request).await
        }
        Command::Explain { logs, request, .. } => logs::explain(&logs, &request),
        Command::Report { logs, bucket_s, slow_ms, svg, .. } => {
            let summary = crate::logs::Summary::new(bucket_s, slow_ms);
            logs::report(&logs, summary, svg.as_deref())
        }
    }
}

fn platform_client(common: &Common) -> Result<PlatformClient, CtlError> {
    let address = common.platform.ok_or(CtlError::NoPlatform)?;
    // Leaves time for several attempts within the timeout of the command.
    Ok(PlatformClient::new(address, common.timeout() / 4))
}

/// Returns the daemons given on the command line and the members of the service in the table.
/// Malformed member rows are skipped.
async fn resolve_daemons(
    common: &Common,
    selection: &DaemonSelection,
) -> Result<Vec<SocketAddr>, CtlError> {
    let mut daemons = common.daemons.clone();
    if let Some(service) = &selection.members_of {
        let rows = platform_client(common)?.rows(&member_prefix(service)).await?;
        for row in rows.rows {
            let Ok(member) = serde_json::from_value::<MemberRow>(row.value) else { continue };
            if !daemons.contains(&member.admin_address) {
                daemons.push(member.admin_address);
            }
        }
    }
    match daemons.is_empty() {
        true => Err(CtlError::NoDaemon),
        false => Ok(daemons),
    }
}

/// Reads the accepted rules of all services at one revision of the table.
async fn read_current_rules(common: &Common) -> Result<CurrentRules, CtlError> {
    let rows = platform_client(common)?.rows(RULES_PREFIX).await?;
    let services = rows.rows.into_iter().map(|row| {
        let rules = serde_json::from_value(row.value)
            .map_err(yuccarack_platform::PlatformError::Malformed)?;
        let name = row.key.trim_start_matches(RULES_PREFIX).to_owned();
        Ok(CurrentService { name, revision: row.revision, rules })
    });
    let services = services.collect::<Result<Vec<_>, CtlError>>()?;
    Ok(CurrentRules { revision: rows.revision, services })
}

/// Rules of all services at one revision of the table.
#[derive(Clone, Debug)]
struct CurrentRules {
    /// Revision of the table.
    revision: u64,
    /// All services, including removed ones.
    services: Vec<CurrentService>,
}

/// Rules of one service, with the revision of their last change.
#[derive(Clone, Debug)]
struct CurrentService {
    name: String,
    revision: u64,
    rules: RulesRow,
}
