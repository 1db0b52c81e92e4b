//! Exit code and output of the daemon's binary for valid and invalid settings files.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use serde_json::{Value, json};
use yuccarack_config::routed_settings::RoutedSettings;

fn run_daemon(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccarackd"))
        .args(args)
        .output()
        .expect("the daemon's binary runs")
}

fn write_settings(name: &str, settings: &Value) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, settings.to_string()).expect("the target folder is writable");
    path.display().to_string()
}

fn invalid_settings() -> Value {
    json!({
        "instance": "sapporo 1",
        "failure_domain": "sapporo",
        "call_address": "127.0.0.1:0",
        "gate_address": "0.0.0.0:7001",
        "admin_address": "127.0.0.1:0",
        "control_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:7900",
        "budgets": {"drain_max_s": 30},
    })
}

// Guards against settings faults that are reported one at a time. All three faults are printed,
// each on its own line with its path. The daemon exits before it opens a socket, so that a running
// one isn't disturbed.
#[test]
fn invalid_settings_are_reported_with_one_line_per_fault() {
    let file = write_settings("faulty.json", &invalid_settings());
    for option in ["--check", "--settings"] {
        let output = run_daemon(&[option, &file]);
        assert_eq!(output.status.code(), Some(2), "{option}");
        assert!(output.stdout.is_empty(), "{option}: the daemon printed its ready line");
        let text = String::from_utf8(output.stderr).unwrap();
        let paths: Vec<_> = text.lines().filter_map(|line| line.split(':').next()).collect();
        assert_eq!(paths, ["instance", "gate_address", "budgets.drain_max_s"], "{text}");
    }
}

#[test]
fn missing_settings_file_is_named() {
    let output = run_daemon(&["--check", "/nowhere/settings.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().starts_with("/nowhere/settings.json: "));
}

#[test]
fn examples_pass_the_check() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for example in ["hokkaido/settings-sapporo-1.json", "kemiaplus/settings-turku-1.json"] {
        let path = examples.join(example).display().to_string();
        let output = run_daemon(&["--check", &path]);
        assert_eq!(output.status.code(), Some(0), "{example}");
        assert!(output.stderr.is_empty(), "{example}");
    }
}

/// Guards against daemons that don't start because bounds that operators computed have a fraction.
#[test]
fn bounds_with_a_fraction_are_rounded_down() {
    let settings = r#"{
        "instance": "n1", "failure_domain": "a", "service": "board",
        "call_address": "127.0.0.1:0", "gate_address": "127.0.0.1:0",
        "liveness_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0",
        "metrics_address": "127.0.0.1:0", "store_address": "127.0.0.1:9",
        "bounds": {
            "heartbeat_ms": 1500.5, "stop_max_ms": 2.5e3,
            "extra_tries_percent": 0.2e2, "extra_tries": 30.714285714285715
        }
    }"#;
    let bounds = RoutedSettings::parse(settings.as_bytes()).expect("settings").bounds;
    assert_eq!((bounds.heartbeat_ms, bounds.stop_max_ms), (1_500, 2_500));
    assert_eq!((bounds.extra_tries_percent, bounds.extra_tries), (20, 30));
}
