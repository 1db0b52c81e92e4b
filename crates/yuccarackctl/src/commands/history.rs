//! `history`: lists the applied rules files.

use serde_json::json;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    PlatformClient, PlatformError,
    accept::now_unix_ms,
    rows::{AppliedRow, HISTORY_SPAN_MS, history_prefix},
};

use super::platform_client;
use crate::{
    errors::CtlError,
    options::Common,
    report::{Report, format_table},
};

/// Revision of a commit and the row of the file it applied.
type HistoryEntry = (Revision, AppliedRow);

pub(super) async fn history(common: &Common, limit: usize, days: u32) -> Result<Report, CtlError> {
    let entries = read_newest(&platform_client(common)?, limit, days).await?;
    let table_rows: Vec<_> = entries.iter().map(table_row).collect();
    let json = entries
        .iter()
        .map(|(revision, applied)| json!({"revision": revision, "applied": applied}))
        .collect();
    let header = ["revision", "at_unix_ms", "operator", "set", "took_away", "apply_id"];
    Ok(Report::new(format_table(&header, &table_rows), json))
}

/// Reads the history backwards day by day until it has `limit` entries or is `days` back.
async fn read_newest(
    platform: &PlatformClient,
    limit: usize,
    days: u32,
) -> Result<Vec<HistoryEntry>, CtlError> {
    // The clock of another operator may be some minutes ahead, and so be in the next day.
    let start_unix_ms = now_unix_ms() + HISTORY_SPAN_MS;
    let mut entries = Vec::new();
    for day in 0..=u64::from(days) {
        let prefix = history_prefix(start_unix_ms.saturating_sub(day * HISTORY_SPAN_MS));
        for row in platform.rows(&prefix).await?.rows {
            let applied = serde_json::from_value(row.value).map_err(PlatformError::Malformed)?;
            entries.push((row.revision, applied));
        }
        if entries.len() >= limit {
            break;
        }
    }
    entries.sort_by_key(|(revision, _)| std::cmp::Reverse(*revision));
    entries.truncate(limit);
    Ok(entries)
}

fn table_row((revision, applied): &HistoryEntry) -> Vec<String> {
    vec![
        revision.to_string(),
        applied.applied_at_unix_ms.to_string(),
        applied.operator.clone(),
        applied.services.join(","),
        applied.removed.join(","),
        applied.apply_id.clone(),
    ]
}
