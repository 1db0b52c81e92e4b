//! `status`, `targets`, `counters` and `explain`: queries to the admin addresses of daemons.

use std::{collections::BTreeMap, net::SocketAddr};

use futures_util::{StreamExt, stream};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value, json};
use yuccarack_platform::rows::MemberRow;

use super::resolve_daemons;
use crate::{
    admin_client::AdminClient,
    errors::CtlError,
    options::{Common, DaemonSelection},
    report::{Report, format_fields, format_table},
};

/// Number of daemons that are queried concurrently.
const CONCURRENT_REQUESTS_MAX: usize = 32;

/// Results of a query to several daemons.
struct DaemonResponses<T> {
    received: Vec<(SocketAddr, T)>,
    /// Daemons that responded with status 404.
    not_found: Vec<SocketAddr>,
    failed: Vec<(SocketAddr, CtlError)>,
}

pub(super) async fn status(
    common: &Common,
    selection: &DaemonSelection,
) -> Result<Report, CtlError> {
    let responses = query_daemons::<Value>(common, selection, "/status").await?;
    responses.not_found_as_failed().into_report(format_status)
}

pub(super) async fn targets(
    common: &Common,
    selection: &DaemonSelection,
) -> Result<Report, CtlError> {
    let responses = query_daemons::<Vec<MemberRow>>(common, selection, "/targets").await?;
    let header = ["service", "instance", "domain", "state", "slots", "gate", "admin"];
    responses
        .not_found_as_failed()
        .into_report(|rows| format_table(&header, &rows.iter().map(target_row).collect::<Vec<_>>()))
}

pub(super) async fn counters(
    common: &Common,
    selection: &DaemonSelection,
    prefix: &str,
) -> Result<Report, CtlError> {
    let mut responses =
        query_daemons::<BTreeMap<String, u64>>(common, selection, "/counters").await?;
    for (_, counters) in &mut responses.received {
        counters.retain(|name, _| name.starts_with(prefix));
    }
    let line = |(name, count): (&String, &u64)| vec![name.clone(), count.to_string()];
    responses.not_found_as_failed().into_report(|counters| {
        format_table(&["counter", "count"], &counters.iter().map(line).collect::<Vec<_>>())
    })
}

/// Each daemon records only its own steps, so daemons that don't know the request are left out.
pub(super) async fn explain(
    common: &Common,
    selection: &DaemonSelection,
    request: &str,
) -> Result<Report, CtlError> {
    let responses =
        query_daemons::<Value>(common, selection, &format!("/explain/{request}")).await?;
    if responses.received.is_empty() && responses.failed.is_empty() {
        return Err(CtlError::NotFound { what: format!("request {request}") });
    }
    responses.into_report(format_steps)
}

async fn query_daemons<T: DeserializeOwned>(
    common: &Common,
    selection: &DaemonSelection,
    path: &str,
) -> Result<DaemonResponses<T>, CtlError> {
    let client = &AdminClient::new(common.timeout());
    let daemons = resolve_daemons(common, selection).await?;
    let requests = daemons.into_iter().map(async |daemon| (daemon, client.get(daemon, path).await));
    let results: Vec<_> = stream::iter(requests).buffered(CONCURRENT_REQUESTS_MAX).collect().await;
    let mut responses =
        DaemonResponses { received: Vec::new(), not_found: Vec::new(), failed: Vec::new() };
    for (daemon, result) in results {
        match result {
            Ok(Some(response)) => responses.received.push((daemon, response)),
            Ok(None) => responses.not_found.push(daemon),
            Err(error) => responses.failed.push((daemon, error)),
        }
    }
    Ok(responses)
}

impl<T: Serialize> DaemonResponses<T> {
    /// Counts status 404 as a failure, for paths that every daemon serves: such an address belongs
    /// to no daemon, or to one of another version.
    fn not_found_as_failed(mut self) -> Self {
        for address in self.not_found.drain(..) {
            self.failed.push((address, CtlError::NotADaemon { address }));
        }
        self
    }

    /// Reports the responses and the failures, with the exit code of the first failure.
    ///
    /// Operators often run these commands during an outage. Unreachable daemons must not hide the
    /// responses of the others, and the exit code shows a script that the result is incomplete.
    fn into_report(mut self, format: impl Fn(&T) -> String) -> Result<Report, CtlError> {
        if self.received.is_empty() && !self.failed.is_empty() {
            return Err(self.failed.remove(0).1);
        }
        let mut sections = Vec::new();
        let mut by_daemon = Map::new();
        for (daemon, response) in &self.received {
            sections.push(format!("daemon {daemon}\n{}", format(response)));
            by_daemon.insert(daemon.to_string(), json!(response));
        }
        for (daemon, error) in &self.failed {
            sections.push(format!("daemon {daemon}\n{error}"));
            by_daemon.insert(daemon.to_string(), error.to_json());
        }
        let report = Report::new(sections.join("\n\n"), Value::Object(by_daemon));
        Ok(match self.failed.first() {
            Some((_, error)) => report.with_exit_status(error.exit_status()),
            None => report,
        })
    }
}

/// Formats the services as a table and all other fields as lines.
fn format_status(status: &Value) -> String {
    let mut rest = status.clone();
    let services = rest.as_object_mut().and_then(|fields| fields.remove("services"));
    let services = services.as_ref().and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let columns = ["name", "is_own", "rules_revision", "members"];
    let lines: Vec<Vec<String>> = services
        .iter()
        .map(|service| columns.iter().map(|column| unquoted(&service[*column])).collect())
        .collect();
    let header = ["service", "own", "rules_revision", "members"];
    format!("{}\n{}", format_fields(&rest), format_table(&header, &lines))
}

/// Formats one line per step of a call: time, event and details.
fn format_steps(steps: &Value) -> String {
    let Some(steps) = steps.as_array() else { return format_fields(steps) };
    let line = |step: &Value| {
        let mut line =
            format!("{:>10} us  {}", unquoted(&step["after_us"]), unquoted(&step["event"]));
        for (name, value) in step.as_object().into_iter().flatten() {
            if !matches!(name.as_str(), "after_us" | "event") && !value.is_null() {
                line.push_str(&format!("  {name}={}", unquoted(value)));
            }
        }
        line
    };
    steps.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Formats a value, without the JSON quotes if it is a string.
fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn target_row(row: &MemberRow) -> Vec<String> {
    let state = serde_json::to_value(row.state).unwrap_or_default();
    vec![
        row.service.clone(),
        row.instance.clone(),
        row.failure_domain.clone(),
        state.as_str().unwrap_or_default().to_owned(),
        row.slots.to_string(),
        row.gate_address.to_string(),
        row.admin_address.to_string(),
    ]
}
