//! `claim`: lists, shows and releases the claims of non-repeatable requests.

use serde_json::json;
use tokio::time::{Instant, sleep};
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformClient, PlatformError,
    messages::{Commit, Condition, Precondition, Row, Write},
    rows::{ClaimRow, ClaimState, claim_key, claim_prefix},
};

use super::platform_client;
use crate::{
    errors::CtlError,
    options::{ClaimCommand, Common},
    report::{Report, format_fields, format_table},
};

/// Delay between two attempts to release a claim.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// A claim and the revision of its row in the table.
#[derive(Clone, Debug)]
struct StoredClaim {
    revision: Revision,
    row: ClaimRow,
}

pub(super) async fn claim(command: ClaimCommand) -> Result<Report, CtlError> {
    match command {
        ClaimCommand::List { common, open, instance, service } => {
            let rows = platform_client(&common)?.rows(&claim_prefix(&service)).await?.rows;
            let mut claims = rows.into_iter().map(parse_claim).collect::<Result<Vec<_>, _>>()?;
            claims.retain(|claim| !open || claim.row.state == ClaimState::Open);
            claims.retain(|claim| instance.as_ref().is_none_or(|i| *i == claim.row.instance));
            Ok(list_report(&claims))
        }
        ClaimCommand::Show { common, service, key } => {
            let claim = find_claim(&platform_client(&common)?, &service, &key).await?;
            Ok(claim_report(&claim, "found"))
        }
        ClaimCommand::Release { common, yes, revision, service, key } => {
            let client = platform_client(&common)?;
            let claim = find_claim(&client, &service, &key).await?;
            if revision.is_some_and(|revision| revision != claim.revision) {
                return Err(CtlError::ClaimChanged { revision: claim.revision });
            }
            if claim.row.state == ClaimState::Done {
                return Err(CtlError::ClaimDone);
            }
            if !yes {
                let instance = claim.row.instance;
                return Err(CtlError::NotConfirmed { instance, revision: claim.revision });
            }
            release(&client, &common, &claim).await?;
            Ok(claim_report(&claim, "released"))
        }
    }
}

/// Deletes the row of the claim if it is still at the revision that was read.
///
/// The holder may have recorded an outcome since, or a new attempt may have claimed the key:
/// releasing that claim would let a request run twice. A commit whose response was lost is sent
/// again, and its conflict shows whether the row was deleted.
async fn release(
    client: &PlatformClient,
    common: &Common,
    claim: &StoredClaim,
) -> Result<(), CtlError> {
    let deadline = Instant::now() + common.timeout();
    let key = claim_key(&claim.row.service, &claim.row.key);
    let commit = Commit {
        conditions: vec![Condition::new(&key, Precondition::BeAt(claim.revision))],
        writes: vec![Write::delete(&key)],
    };
    let mut is_outcome_unknown = false;
    loop {
        let error = match client.commit(&commit).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Conflict { failed }) => {
                let revision = failed.first().map_or(0, |failed| failed.revision);
                // Apart from this tool only the holder deletes the row of an open claim, so a
                // missing row is the effect of the earlier attempt whose response was lost.
                if is_outcome_unknown && revision == 0 {
                    return Ok(());
                }
                return Err(CtlError::ClaimChanged { revision });
            }
            Err(error) => error,
        };
        is_outcome_unknown |= !error.is_not_written();
        if Instant::now() >= deadline {
            return Err(match is_outcome_unknown {
                true => CtlError::ReleaseOutcomeUnknown,
                false => error.into(),
            });
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn find_claim(
    client: &PlatformClient,
    service: &str,
    key: &str,
) -> Result<StoredClaim, CtlError> {
    match client.row(&claim_key(service, key)).await? {
        Some(row) => parse_claim(row),
        None => Err(CtlError::NotFound { what: format!("claim {key} of {service}") }),
    }
}

fn parse_claim(row: Row) -> Result<StoredClaim, CtlError> {
    let revision = row.revision;
    let row = serde_json::from_value(row.value).map_err(PlatformError::Malformed)?;
    Ok(StoredClaim { revision, row })
}

fn claim_report(claim: &StoredClaim, result: &str) -> Report {
    let row = claim_json(&claim.row);
    let text = format!("{result} at revision {}\n{}", claim.revision, format_fields(&row));
    Report::new(text, json!({"result": result, "revision": claim.revision, "claim": row}))
}

fn list_report(claims: &[StoredClaim]) -> Report {
    let table_rows: Vec<_> = claims.iter().map(table_row).collect();
    let header = ["key", "state", "instance", "claimed_at_unix_ms", "revision"];
    let json = claims
        .iter()
        .map(|claim| json!({"revision": claim.revision, "claim": claim_json(&claim.row)}))
        .collect();
    Report::new(format_table(&header, &table_rows), json)
}

fn table_row(claim: &StoredClaim) -> Vec<String> {
    let row = &claim.row;
    vec![
        row.key.clone(),
        state_name(row.state).to_owned(),
        row.instance.clone(),
        row.claimed_at_unix_ms.to_string(),
        claim.revision.to_string(),
    ]
}

/// Returns the claim as JSON, with the attempt id in the form that callers and targets see, and
/// only the length of the recorded body.
fn claim_json(row: &ClaimRow) -> serde_json::Value {
    json!({
        "service": row.service,
        "key": row.key,
        "attempt": format!("{:032x}", row.attempt),
        "instance": row.instance,
        "fingerprint": format!("{:016x}", row.fingerprint),
        "state": state_name(row.state),
        "claimed_at_unix_ms": row.claimed_at_unix_ms,
        "outcome": row.outcome.as_ref().map(|outcome| json!({
            "status": outcome.status,
            "content_type": outcome.content_type,
            "body_bytes": outcome.body.as_ref().map(Vec::len),
        })),
    })
}

fn state_name(state: ClaimState) -> &'static str {
    match state {
        ClaimState::Open => "open",
        ClaimState::Done => "done",
    }
}
