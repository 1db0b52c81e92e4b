//! `explain --logs` and `report`: evaluate the log files of many daemons.

use std::path::{Path, PathBuf};

use serde_json::json;

use crate::{
    errors::CtlError,
    logs::{Announcements, Event, RequestTrace, Summary, draw_chart, for_each_event},
    report::{Report, format_table},
};

pub(super) fn explain(files: &[PathBuf], request: &str) -> Result<Report, CtlError> {
    let mut trace = RequestTrace::default();
    let mut omitted_lines = 0;
    for file in files {
        for_each_event(file, |event| {
            omitted_lines += event.omitted_lines().unwrap_or(0);
            trace.record(request, event);
        })?;
    }
    if trace.events.is_empty() {
        let what = format!("request {request} in {} log(s)", files.len());
        return Err(CtlError::NotFound { what });
    }
    trace.sort();
    let lines: Vec<String> = trace.events.iter().map(format_event).collect();
    let mut text = format!("{}\n\n{}", lines.join("\n"), trace.explanation(request));
    if omitted_lines > 0 {
        text.push_str(&format!(
            "\n{omitted_lines} other log lines were dropped by the rate limits of daemons."
        ));
    }
    let json = json!({
        "request": request, "cause": trace.cause(), "sentence": trace.explanation(request),
        "events": trace.events, "lines_left_out": omitted_lines,
    });
    Ok(Report::new(text, json))
}

pub(super) fn report(
    files: &[PathBuf],
    mut summary: Summary,
    svg: Option<&Path>,
) -> Result<Report, CtlError> {
    let mut announcements = Announcements::default();
    let mut other_lines = 0;
    for file in files {
        other_lines += for_each_event(file, |event| {
            summary.record(&event);
            announcements.record(&event);
        })?;
    }
    if let Some(svg) = svg {
        draw_chart(&summary, svg)?;
    }
    let totals: Vec<Vec<String>> =
        summary.causes().into_iter().map(|(name, count)| vec![name, count.to_string()]).collect();
    let (header, rows) = summary.rows();
    let header: Vec<&str> = header.iter().map(String::as_str).collect();
    let mut text = format!(
        "{}\n\n{}\n\n{} log lines were dropped by the rate limits of daemons; {other_lines} lines \
         are not from a daemon.",
        format_table(&["cause", "calls"], &totals),
        format_table(&header, &rows),
        summary.omitted_lines(),
    );
    if !announcements.is_empty() {
        let header = ["time", "instance", "target", "announcement"];
        text.push_str(&format!("\n\n{}", format_table(&header, &announcements.rows())));
    }
    if announcements.omitted() > 0 {
        text.push_str(&format!("\n{} later announcements are omitted.", announcements.omitted()));
    }
    let mut json = summary.to_json();
    json["other_lines"] = json!(other_lines);
    json["announcements"] = announcements.to_json();
    Ok(Report::new(text, json))
}

/// Formats a log line for operators: time, instance, message and details.
fn format_event(event: &Event) -> String {
    let time = event.ts.time();
    let clock = format!(
        "{:02}:{:02}:{:02}.{:03}",
        time.hour(),
        time.minute(),
        time.second(),
        time.millisecond()
    );
    let mut text = format!("{clock}  {:<24} {}", event.instance, event.msg);
    let details = match serde_json::to_value(event) {
        Ok(details) => details,
        Err(error) => return format!("{text}  (details can't be formatted: {error})"),
    };
    for (name, value) in details.as_object().into_iter().flatten() {
        let is_shown_before =
            matches!(name.as_str(), "ts" | "instance" | "msg" | "event" | "request");
        if !is_shown_before {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!("  {name}={value}"));
        }
    }
    text
}
