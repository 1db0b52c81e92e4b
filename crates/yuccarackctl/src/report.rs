//! Reports of commands, as text for operators and as JSON for scripts.

use std::fmt::Write;

use serde_json::Value;

use crate::errors::ExitStatus;

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Text for a terminal, without a trailing newline.
    pub text: String,
    /// JSON for scripts, printed with `--json`.
    pub json: Value,
    /// Exit code; an error code if only part of the information could be gathered.
    pub exit_status: ExitStatus,
}

impl Report {
    /// Creates a report of a successful command.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self { text: text.into(), json, exit_status: ExitStatus::Ok }
    }

    /// Replaces the exit code.
    pub fn with_exit_status(mut self, exit_status: ExitStatus) -> Self {
        self.exit_status = exit_status;
        self
    }
}

/// Formats a table whose columns are as wide as their widest cells.
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let lines: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let widths: Vec<usize> = (0..header.len())
        .map(|column| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or(0))
        .collect();
    let lines = lines.iter().map(|line| {
        let mut text = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            // Writing to a string can't fail.
            let _ = write!(text, "{cell:width$}  ");
        }
        text.trim_end().to_owned()
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Formats each leaf of `value` as a line `path: value`.
pub fn format_fields(value: &Value) -> String {
    let mut lines = Vec::new();
    collect_field_lines("", value, &mut lines);
    lines.join("\n")
}

fn collect_field_lines(path: &str, value: &Value, lines: &mut Vec<String>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                collect_field_lines(&path, value, lines);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (index, item) in items.iter().enumerate() {
                collect_field_lines(&format!("{path}[{index}]"), item, lines);
            }
        }
        Value::String(text) => lines.push(format!("{path}: {text}")),
        other => lines.push(format!("{path}: {other}")),
    }
}
