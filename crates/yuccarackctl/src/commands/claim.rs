//! `claim`: claims of requests that must not repeat.

use serde_json::json;
use tokio::time::{Instant, sleep};
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformClient, PlatformError,
    messages::{Commit, Condition, Precondition, Row, Write},
    rows::{ClaimRow, ClaimState, claim_key, claim_prefix},
};

use super::platform;
use crate::{
    errors::CtlError,
    options::{ClaimCommand, Common},
    report::{Report, outline, table},
};

/// Wait between two tries to release.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// A claim as the table has it.
#[derive(Clone, Debug)]
struct FoundClaim {
    revision: Revision,
    row: ClaimRow,
}

pub(super) async fn claim(command: ClaimCommand) -> Result<Report, CtlError> {
    match command {
        ClaimCommand::List { common, open, instance, service } => {
            let rows = platform(&common)?.rows(&claim_prefix(&service)).await?.rows;
            let mut claims = rows.into_iter().map(parse).collect::<Result<Vec<_>, _>>()?;
            claims.retain(|claim| !open || claim.row.state == ClaimState::Open);
            claims.retain(|claim| instance.as_ref().is_none_or(|i| *i == claim.row.instance));
            Ok(report_list(&claims))
        }
        ClaimCommand::Show { common, service, key } => {
            let found = find(&platform(&common)?, &service, &key).await?;
            Ok(report_one(&found, "found"))
        }
        ClaimCommand::Release { common, yes, revision, service, key } => {
            let client = platform(&common)?;
            let found = find(&client, &service, &key).await?;
            if revision.is_some_and(|revision| revision != found.revision) {
                return Err(CtlError::ClaimChanged { revision: found.revision });
            }
            if found.row.state == ClaimState::Done {
                return Err(CtlError::ClaimDone);
            }
            if !yes {
                let instance = found.row.instance;
                return Err(CtlError::NotConfirmed { instance, revision: found.revision });
            }
            release(&client, &common, &found).await?;
            Ok(report_one(&found, "released"))
        }
    }
}

/// Takes the claim's row away as it was seen, and no later one.
///
/// Between the look and the release the holder may have recorded an outcome, or a new attempt may
/// have claimed the key: releasing that one would let a request run twice. So the row must be at
/// the revision that the operator saw. An answer that got lost is read back.
async fn release(
    client: &PlatformClient,
    common: &Common,
    found: &FoundClaim,
) -> Result<(), CtlError> {
    let deadline = Instant::now() + common.timeout();
    let key = claim_key(&found.row.service, &found.row.key);
    let commit = Commit {
        conditions: vec![Condition::new(&key, Precondition::BeAt(found.revision))],
        writes: vec![Write::delete(&key)],
    };
    let mut in_doubt = false;
    loop {
        let error = match client.commit(&commit).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Conflict { failed }) => {
                let revision = failed.first().map_or(0, |failed| failed.revision);
                // Nobody else takes an open claim's row away without having held it, so an absent
                // row is the effect of the try whose answer was lost.
                if in_doubt && revision == 0 {
                    return Ok(());
                }
                return Err(CtlError::ClaimChanged { revision });
            }
            Err(error) => error,
        };
        in_doubt |= !error.is_not_written();
        if Instant::now() >= deadline {
            return Err(match in_doubt {
                true => CtlError::ReleaseUnknown,
                false => error.into(),
            });
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn find(client: &PlatformClient, service: &str, key: &str) -> Result<FoundClaim, CtlError> {
    match client.row(&claim_key(service, key)).await? {
        Some(row) => parse(row),
        None => Err(CtlError::NotFound { what: format!("claim {key} of {service}") }),
    }
}

fn parse(row: Row) -> Result<FoundClaim, CtlError> {
    let revision = row.revision;
    let row = serde_json::from_value(row.value).map_err(PlatformError::Malformed)?;
    Ok(FoundClaim { revision, row })
}

fn report_one(found: &FoundClaim, word: &str) -> Report {
    let row = readable(&found.row);
    let text = format!("{word} at revision {}\n{}", found.revision, outline(&row));
    Report::new(text, json!({"result": word, "revision": found.revision, "claim": row}))
}

fn report_list(claims: &[FoundClaim]) -> Report {
    let lines: Vec<_> = claims.iter().map(line).collect();
    let header = ["key", "state", "instance", "claimed_at_unix_ms", "revision"];
    let json = claims
        .iter()
        .map(|found| json!({"revision": found.revision, "claim": readable(&found.row)}))
        .collect();
    Report::new(table(&header, &lines), json)
}

fn line(found: &FoundClaim) -> Vec<String> {
    let row = &found.row;
    vec![
        row.key.clone(),
        state(row.state).to_owned(),
        row.instance.clone(),
        row.claimed_at_unix_ms.to_string(),
        found.revision.to_string(),
    ]
}

/// The attempt as callers and targets see it; the recorded body by its length only.
fn readable(row: &ClaimRow) -> serde_json::Value {
    json!({
        "service": row.service,
        "key": row.key,
        "attempt": format!("{:032x}", row.attempt),
        "instance": row.instance,
        "fingerprint": format!("{:016x}", row.fingerprint),
        "state": state(row.state),
        "claimed_at_unix_ms": row.claimed_at_unix_ms,
        "outcome": row.outcome.as_ref().map(|outcome| json!({
            "status": outcome.status,
            "content_type": outcome.content_type,
            "body_bytes": outcome.body.as_ref().map(Vec::len),
        })),
    })
}

fn state(state: ClaimState) -> &'static str {
    match state {
        ClaimState::Open => "open",
        ClaimState::Done => "done",
    }
}
