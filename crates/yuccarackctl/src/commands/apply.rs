//! `apply`: brings a rules file into the table, and tells daemons.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep};
use yuccarack_config::{
    faults::FileError,
    ids::{Revision, ServiceName},
    rules::RulesFile,
};
use yuccarack_platform::{
    PlatformClient,
    accept::{AcceptedFile, Proposal, accept},
    rows::applied_key,
};

use super::platform;
use crate::{admin_client::AdminClient, errors::CtlError, options::Common, report::Report};

/// Longest wait for one daemon's answer.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two questions whether rules are in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What is to be applied, by whom.
#[derive(Clone, Debug)]
pub(super) struct Application {
    pub operator: String,
    pub apply_id: Option<String>,
    pub wait: bool,
    pub file: PathBuf,
}

/// The part of a daemon's status that tells which rules it has in force.
#[derive(Debug, Deserialize)]
struct DaemonRules {
    services: Vec<ServiceRevision>,
}

#[derive(Debug, Deserialize)]
struct ServiceRevision {
    name: ServiceName,
    rules_revision: Revision,
}

pub(super) async fn apply(common: &Common, application: Application) -> Result<Report, CtlError> {
    let deadline = Instant::now() + common.timeout();
    let proposal = proposal(&application)?;
    let platform = platform(common)?;
    check_based_on(&platform, &proposal).await?;
    let accepted = accept(&platform, &proposal, deadline).await?;
    let client = AdminClient::new(DAEMON_TIMEOUT);
    for daemon in &common.daemons {
        // A hint saves a poll's delay and no more: the rules are accepted without it.
        let _ = client.post(*daemon, "/hint").await;
    }
    if !application.wait {
        return Ok(report(&accepted, &[]));
    }
    let late = wait_in_force(&client, &common.daemons, &accepted, deadline).await;
    if late.is_empty() {
        return Ok(report(&accepted, &common.daemons));
    }
    Err(CtlError::NotInForce { revision: accepted.revision, daemons: late })
}

/// Without an id of the operator's, the same file has the same id: whoever runs the same command
/// again, since the tool was killed or its answer got lost, hears the fate of the first run.
fn proposal(application: &Application) -> Result<Proposal, CtlError> {
    let file = &application.file;
    let text = std::fs::read(file)
        .map_err(|source| FileError::Unreadable { path: file.clone(), source })?;
    let rules = RulesFile::parse(&text)?;
    let operator = application.operator.clone();
    let mut proposal = Proposal::new(String::new(), operator, rules, Bytes::from(text));
    proposal.apply_id = application.apply_id.clone().unwrap_or_else(|| proposal.object_name());
    Ok(proposal)
}

/// Refuses a file that is based on a revision still to come.
///
/// No service can be newer than such a revision, so the file would undo whatever others changed.
/// It shows when a file comes from another platform, whose numbers are higher. The revision only
/// rises, so the check holds when the commit comes later. Without an answer the commit goes on:
/// the check guards against a slip, not against a race.
async fn check_based_on(platform: &PlatformClient, proposal: &Proposal) -> Result<(), CtlError> {
    let Ok(rows) = platform.rows(&applied_key(&proposal.apply_id)).await else { return Ok(()) };
    let based_on = proposal.rules.based_on;
    match based_on > rows.revision {
        true => Err(CtlError::BasedOnFuture { based_on, revision: rows.revision }),
        false => Ok(()),
    }
}

/// Daemons that don't have the rules in force at `deadline`.
async fn wait_in_force(
    client: &AdminClient,
    daemons: &[SocketAddr],
    accepted: &AcceptedFile,
    deadline: Instant,
) -> Vec<SocketAddr> {
    let mut late = daemons.to_vec();
    loop {
        let mut still_late = Vec::new();
        for daemon in late {
            if !has_in_force(client, daemon, accepted).await {
                still_late.push(daemon);
            }
        }
        late = still_late;
        if late.is_empty() || Instant::now() >= deadline {
            return late;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// A daemon that doesn't know a service has nothing older of it in force.
async fn has_in_force(client: &AdminClient, daemon: SocketAddr, accepted: &AcceptedFile) -> bool {
    let status = client.get::<DaemonRules>(daemon, "/status").await;
    let Ok(Some(status)) = status else { return false };
    let changed = |name: &ServiceName| {
        accepted.applied.services.contains(name) || accepted.applied.removed.contains(name)
    };
    let known = status.services.iter().filter(|service| changed(&service.name));
    known.into_iter().all(|service| service.rules_revision >= accepted.revision)
}

fn report(accepted: &AcceptedFile, in_force_at: &[SocketAddr]) -> Report {
    let applied = &accepted.applied;
    let mut text = format!("accepted at revision {} as {}", accepted.revision, applied.apply_id);
    for service in &applied.services {
        text.push_str(&format!("\nset {service}"));
    }
    for service in &applied.removed {
        text.push_str(&format!("\ntook away {service}"));
    }
    for daemon in in_force_at {
        text.push_str(&format!("\nin force at {daemon}"));
    }
    let json = json!({
        "revision": accepted.revision,
        "applied": applied,
        "in_force_at": in_force_at,
    });
    Report::new(text, json)
}
