//! The operators' reference pages list every field with its default and accepted values.

use std::{fs, path::Path};

use serde_json::{Value, json};
use yuccarack_config::{
    routed_settings::{self, RoutedSettings},
    routing_file::{self, RoutingFile},
    rules::{self, RulesFile},
    schema::{Field, Kind, Presence},
    settings::{self, DaemonSettings},
};

/// Adds the expected starts of the reference's lines: path, default and accepted values.
fn expected_lines(path: &str, kind: &Kind, defaults: &Value, expected: &mut Vec<String>) {
    match kind {
        Kind::Object(fields) => {
            for field in *fields {
                let path = match path.is_empty() {
                    true => field.name.to_owned(),
                    false => format!("{path}.{}", field.name),
                };
                expected_field_lines(&path, field, &defaults[field.name], expected);
            }
        }
        Kind::List { of, .. } => expected_lines(&format!("{path}[]"), of, &defaults[0], expected),
        _ => {}
    }
}

fn expected_field_lines(path: &str, field: &Field, default: &Value, expected: &mut Vec<String>) {
    match &field.kind {
        Kind::Object(_) => expected_lines(path, &field.kind, default, expected),
        Kind::List { of: Kind::Object(_), length_min, length_max, .. } => {
            let accepted = format!("a list of {length_min} to {length_max}");
            expected.push(expected_line(path, field, default, &accepted));
            expected_lines(path, &field.kind, default, expected);
        }
        kind => expected.push(expected_line(path, field, default, &kind.to_string())),
    }
}

fn expected_line(path: &str, field: &Field, default: &Value, accepted: &str) -> String {
    let default = match (field.presence, default) {
        (Presence::Required, _) => "required".to_owned(),
        (_, Value::Null) => "none".to_owned(),
        (_, default) => format!("`{default}`"),
    };
    format!("| `{path}` | {default} | {accepted} |")
}

fn assert_in_operating_page(lines: &[String]) {
    assert_in_page("OPERATING.md", lines);
}

fn assert_in_page(page: &str, lines: &[String]) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(page);
    let text = fs::read_to_string(file).expect("a readable reference page");
    let missing: Vec<_> =
        lines.iter().filter(|start| !text.lines().any(|line| line.starts_with(*start))).collect();
    assert!(missing.is_empty(), "docs/{page} lacks lines that start with:\n{missing:#?}");
}

#[test]
fn every_setting_is_in_the_reference() {
    let minimal = json!({
        "instance": "a", "failure_domain": "b", "call_address": "127.0.0.1:1",
        "gate_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
        "control_address": "127.0.0.1:4", "platform_address": "127.0.0.1:5",
    });
    let settings = DaemonSettings::parse(minimal.to_string().as_bytes()).unwrap();
    let mut expected = Vec::new();
    expected_lines("", &settings::SCHEMA, &serde_json::to_value(settings).unwrap(), &mut expected);
    assert_in_operating_page(&expected);
}

#[test]
fn every_rule_is_in_the_reference() {
    let minimal = json!({
        "format": 1,
        "services": [{"name": "a", "routes": [{"name": "b", "path_prefix": "/"}]}],
    });
    let rules = RulesFile::parse(minimal.to_string().as_bytes()).unwrap();
    let mut expected = Vec::new();
    expected_lines("", &rules::SCHEMA, &serde_json::to_value(rules).unwrap(), &mut expected);
    assert_in_operating_page(&expected);
}

#[test]
fn every_setting_of_a_daemon_for_routed_calls_is_in_the_reference() {
    let minimal = json!({
        "instance": "a", "failure_domain": "b", "service": "c",
        "call_address": "10.0.0.1:1", "gate_address": "10.0.0.1:2",
        "liveness_address": "10.0.0.1:3", "readiness_address": "10.0.0.1:4",
        "metrics_address": "10.0.0.1:5", "store_address": "10.0.0.2:1",
    });
    let settings = RoutedSettings::parse(minimal.to_string().as_bytes()).expect("settings");
    let defaults = serde_json::to_value(settings).expect("settings as JSON");
    let mut expected = Vec::new();
    expected_lines("", &routed_settings::SCHEMA, &defaults, &mut expected);
    assert_in_page("OPERATIONS.md", &expected);
}

#[test]
fn every_field_of_a_routing_file_is_in_the_reference() {
    let file = json!({
        "format": 1, "version": 1,
        "routes": [{
            "name": "a", "host": "b", "path_prefix": "/", "is_repeatable": true,
            "split": [{"service": "c", "weight": 1}], "wait_max_ms": 2, "on_time_ms": 1,
            "targets_max": 1, "rank": 0,
        }],
        "services": [{"name": "c", "load_path": "/", "connections_max": 1}],
    });
    let file = RoutingFile::parse(file.to_string().as_bytes()).expect("a routing file");
    let defaults = serde_json::to_value(file).expect("a file as JSON");
    let mut expected = Vec::new();
    expected_lines("", &routing_file::SCHEMA, &defaults, &mut expected);
    assert_in_page("OPERATIONS.md", &expected);
}
