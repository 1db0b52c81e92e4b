//! `apply`: commits a rules file to the platform's table and notifies daemons.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep};
use yuccarack_config::{
    errors::FileError,
    ids::{Revision, ServiceName},
    rules::RulesFile,
};
use yuccarack_platform::{
    PlatformClient,
    accept::{AcceptedFile, Proposal, accept},
    rows::applied_key,
};

use super::platform_client;
use crate::{admin_client::AdminClient, errors::CtlError, options::Common, report::Report};

/// Timeout of a request to a daemon.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which daemons are polled for the rules in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Arguments of the command.
#[derive(Clone, Debug)]
pub(super) struct ApplyRequest {
    pub operator: String,
    pub apply_id: Option<String>,
    pub wait: bool,
    pub file: PathBuf,
}

/// Part of a daemon's status with the revisions of the rules in force.
#[derive(Debug, Deserialize)]
struct DaemonStatus {
    services: Vec<ServiceRevision>,
}

#[derive(Debug, Deserialize)]
struct ServiceRevision {
    name: ServiceName,
    rules_revision: Revision,
}

pub(super) async fn apply(common: &Common, request: ApplyRequest) -> Result<Report, CtlError> {
    let deadline = Instant::now() + common.timeout();
    let proposal = read_proposal(&request)?;
    let platform = platform_client(common)?;
    check_based_on(&platform, &proposal).await?;
    let accepted = accept(&platform, &proposal, deadline).await?;
    let client = AdminClient::new(DAEMON_TIMEOUT);
    for daemon in &common.daemons {
        // The hint only makes daemons poll earlier; they also find the rules without it.
        let _ = client.post(*daemon, "/hint").await;
    }
    if !request.wait {
        return Ok(apply_report(&accepted, &[]));
    }
    let pending = wait_in_force(&client, &common.daemons, &accepted, deadline).await;
    if pending.is_empty() {
        return Ok(apply_report(&accepted, &common.daemons));
    }
    Err(CtlError::NotInForce { revision: accepted.revision, daemons: pending })
}

/// Builds the proposal from the file. The apply id defaults to a hash of the file, so that a
/// repeated command returns the outcome of the first run after the tool was killed or a response
/// was lost.
fn read_proposal(request: &ApplyRequest) -> Result<Proposal, CtlError> {
    let file = &request.file;
    let text = std::fs::read(file)
        .map_err(|source| FileError::Unreadable { path: file.clone(), source })?;
    let rules = RulesFile::parse(&text)?;
    let operator = request.operator.clone();
    let mut proposal = Proposal::new(String::new(), operator, rules, Bytes::from(text));
    proposal.apply_id = request.apply_id.clone().unwrap_or_else(|| proposal.object_name());
    Ok(proposal)
}

/// Rejects a file that is based on a future revision, such as a file from another platform with
/// higher revisions.
///
/// No service can be newer than such a revision, so the file would silently overwrite the changes
/// of others. Revisions only increase, so the result still holds at the later commit. If the
/// revision can't be read, the commit proceeds: the check guards against mistakes, not races.
async fn check_based_on(platform: &PlatformClient, proposal: &Proposal) -> Result<(), CtlError> {
    let Ok(rows) = platform.rows(&applied_key(&proposal.apply_id)).await else { return Ok(()) };
    let based_on = proposal.rules.based_on;
    match based_on > rows.revision {
        true => Err(CtlError::BasedOnFuture { based_on, revision: rows.revision }),
        false => Ok(()),
    }
}

/// Waits until all daemons have the rules in force; returns those that don't at `deadline`.
async fn wait_in_force(
    client: &AdminClient,
    daemons: &[SocketAddr],
    accepted: &AcceptedFile,
    deadline: Instant,
) -> Vec<SocketAddr> {
    let mut pending = daemons.to_vec();
    loop {
        let mut still_pending = Vec::new();
        for daemon in pending {
            if !is_in_force_at(client, daemon, accepted).await {
                still_pending.push(daemon);
            }
        }
        pending = still_pending;
        if pending.is_empty() || Instant::now() >= deadline {
            return pending;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether the daemon has no older rules of the changed services in force. A daemon that
/// doesn't list a service has no older rules of it.
async fn is_in_force_at(client: &AdminClient, daemon: SocketAddr, accepted: &AcceptedFile) -> bool {
    let status = client.get::<DaemonStatus>(daemon, "/status").await;
    let Ok(Some(status)) = status else { return false };
    let is_affected = |name: &ServiceName| {
        accepted.applied.services.contains(name) || accepted.applied.removed.contains(name)
    };
    let affected = status.services.iter().filter(|service| is_affected(&service.name));
    affected.into_iter().all(|service| service.rules_revision >= accepted.revision)
}

fn apply_report(accepted: &AcceptedFile, in_force_at: &[SocketAddr]) -> Report {
    let applied = &accepted.applied;
    let mut text = format!("accepted at revision {} as {}", accepted.revision, applied.apply_id);
    for service in &applied.services {
        text.push_str(&format!("\nset {service}"));
    }
    for service in &applied.removed {
        text.push_str(&format!("\nremoved {service}"));
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
