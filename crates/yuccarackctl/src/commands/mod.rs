//! What each command does.

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
    options::{Command, Common, Members},
    report::Report,
};

/// Does what `command` asks for.
///
/// # Errors
///
/// See [`CtlError`]; its exit status tells a script.
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
        Command::Status { common, members } => daemons::status(&common, &members).await,
        Command::Targets { common, members } => daemons::targets(&common, &members).await,
        Command::Counters { common, members, prefix } => {
            daemons::counters(&common, &members, &prefix).await
        }
        Command::Claim { claim_command } => claim::claim(claim_command).await,
        Command::Explain { common, members, logs, request } if logs.is_empty() => {
            daemons::explain(&common, &members, &request).await
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
    // Several tries fit into the time of the whole command.
    Ok(PlatformClient::new(address, common.timeout() / 4))
}

/// The daemons named on the command line, and those that the table names.
async fn resolve_daemons(common: &Common, members: &Members) -> Result<Vec<SocketAddr>, CtlError> {
    let mut daemons = common.daemons.clone();
    if let Some(service) = &members.members_of {
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

/// The accepted rules of all services, as the table has them at one moment.
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

/// All rules of the table.
#[derive(Clone, Debug)]
struct CurrentRules {
    /// Revision of the table when they were read.
    revision: u64,
    /// The services, removed ones included.
    services: Vec<CurrentService>,
}

/// One service of the table.
#[derive(Clone, Debug)]
struct CurrentService {
    name: String,
    revision: u64,
    rules: RulesRow,
}
