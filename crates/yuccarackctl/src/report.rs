//! What a command found out, for a person and for a script.

use std::fmt::Write;

use serde_json::Value;

use crate::errors::ExitStatus;

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// For a person at a terminal, without a line end.
    pub text: String,
    /// For a script.
    pub json: Value,
    /// The code by which the command ends; not that of success when only a part was found out.
    pub exit_status: ExitStatus,
}

impl Report {
    /// Makes a report of both.
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self { text: text.into(), json, exit_status: ExitStatus::Ok }
    }

    /// Sets the code by which the command ends.
    pub fn with_exit_status(mut self, exit_status: ExitStatus) -> Self {
        self.exit_status = exit_status;
        self
    }
}

/// Lines of equal columns, each as wide as its widest cell.
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

/// Lines `path: value` of all that `value` holds.
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
