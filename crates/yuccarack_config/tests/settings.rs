//! Validation of a daemon's settings: all errors are reported at once, each with its path.

use std::path::Path;

use quickcheck::quickcheck;
use serde_json::{Value, json};
use yuccarack_config::{
    faults::{Fault, FaultKind, FileError},
    settings::{BudgetSettings, DaemonSettings, LogSettings},
};

fn minimal_file() -> Value {
    json!({
        "instance": "sapporo-1",
        "failure_domain": "sapporo",
        "call_address": "127.0.0.1:7000",
        "gate_address": "127.0.0.1:7001",
        "admin_address": "127.0.0.1:7002",
        "control_address": "127.0.0.1:7003",
        "platform_address": "127.0.0.1:7900",
    })
}

fn file_with(path: &str, value: Value) -> Value {
    let mut file = minimal_file();
    let mut node = &mut file;
    for name in path.split('.') {
        node = &mut node[name];
    }
    *node = value;
    file
}

fn faults(file: &Value) -> Vec<Fault> {
    match DaemonSettings::parse(file.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(FileError::Invalid(faults)) => faults.0,
        Err(other) => panic!("{other}"),
    }
}

fn paths(file: &Value) -> Vec<String> {
    faults(file).into_iter().map(|fault| fault.path).collect()
}

#[test]
fn a_minimal_file_gets_the_defaults() {
    let settings = DaemonSettings::parse(minimal_file().to_string().as_bytes()).unwrap();
    assert_eq!(settings.call_threads, 2);
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.budgets, BudgetSettings::default());
    assert_eq!(settings.announce_from, settings.admin_from);
}

#[test]
fn advertised_addresses_need_a_port() {
    let file = file_with("told_gate_address", json!("10.0.0.1:7001"));
    assert_eq!(faults(&file), []);
    let settings = DaemonSettings::parse(file.to_string().as_bytes()).unwrap();
    assert_eq!(settings.told_gate_address, "10.0.0.1:7001".parse().ok());
    let zero_port = file_with("told_control_address", json!("10.0.0.1:0"));
    assert_eq!(paths(&zero_port), ["told_control_address"]);
}

#[test]
fn serialized_settings_parse_to_the_same_settings() {
    let settings = DaemonSettings::parse(minimal_file().to_string().as_bytes()).unwrap();
    let text = serde_json::to_vec(&settings).unwrap();
    assert_eq!(DaemonSettings::parse(&text).unwrap(), settings);
}

// Guards against errors that are reported one at a time, so that an operator has to restart the
// daemon after correcting each of them.
#[test]
fn every_fault_is_reported_with_its_path_and_range() {
    let mut file = minimal_file();
    file["instance"] = json!("two words");
    file["call_thread"] = json!(2);
    file["call_threads"] = json!(0);
    file["seed_peers"] = json!(["127.0.0.1:7003", "127.0.0.1"]);
    file["budgets"] = json!({"drain_max_ms": 10, "gossip_interval_ms": "1s"});
    file["log"] = json!({"level": "loud"});
    file.as_object_mut().unwrap().remove("failure_domain");
    let text = match DaemonSettings::parse(file.to_string().as_bytes()) {
        Err(error) => error.to_string(),
        Ok(_) => panic!("accepted"),
    };
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 9, "{text}");
    for expected in [
        "instance: found \"two words\", accepted 1 to 64 letters",
        "failure_domain: missing",
        "call_thread: unknown field, accepted instance, failure_domain",
        "call_threads: found 0, accepted a whole number from 1 to 64",
        "seed_peers[1]: found \"127.0.0.1\", accepted another's IP number",
        "budgets.drain_max_ms: found 10, accepted a whole number from 100 to 3600000",
        "budgets.gossip_interval_ms: found \"1s\", accepted a whole number from 20 to 10000",
        "budgets.drain_notice_ms: found 1000, accepted less than drain_max_ms, which is 10",
        "log.level: found \"loud\", accepted one of error, warning, info, debug",
    ] {
        assert!(lines.iter().any(|line| line.starts_with(expected)), "{expected}\n{text}");
    }
}

#[test]
fn a_fault_is_serialized_with_its_path_and_kind() {
    let fault = &faults(&file_with("call_threads", json!(65)))[0];
    let serialized = serde_json::to_value(fault).unwrap();
    let expected = json!({
        "path": "call_threads",
        "fault": "value",
        "found": "65",
        "accepted": "a whole number from 1 to 64",
    });
    assert_eq!(serialized, expected);
}

#[test]
fn listen_addresses_must_differ_unless_the_kernel_chooses_the_port() {
    let same = file_with("gate_address", json!("127.0.0.1:7000"));
    let kind = FaultKind::Doubled {
        found: "\"127.0.0.1:7000\"".to_owned(),
        first: "call_address".to_owned(),
    };
    assert_eq!(faults(&same), [Fault::new("gate_address", kind)]);

    let mut kernel_chosen = file_with("gate_address", json!("127.0.0.1:0"));
    kernel_chosen["control_address"] = json!("127.0.0.1:0");
    assert_eq!(faults(&kernel_chosen), []);
}

// Guards against an advertised address of 0.0.0.0, on which a daemon listens but which no other
// daemon can reach.
#[test]
fn an_advertised_address_is_not_unspecified() {
    assert_eq!(paths(&file_with("call_address", json!("0.0.0.0:7000"))), [""; 0]);
    for name in ["gate_address", "admin_address", "control_address"] {
        assert_eq!(paths(&file_with(name, json!("0.0.0.0:7009"))), [name]);
    }
    assert_eq!(paths(&file_with("platform_address", json!("127.0.0.1:0"))), ["platform_address"]);
}

#[test]
fn announce_from_must_not_be_empty_but_admin_from_may() {
    assert_eq!(paths(&file_with("announce_from", json!([]))), ["announce_from"]);
    assert_eq!(paths(&file_with("admin_from", json!([]))), [""; 0]);
}

// Guards against a duplicate field: serde_json silently keeps the last one, and the operator's
// first value is lost.
#[test]
fn a_duplicate_field_is_rejected() {
    let text = minimal_file().to_string().replacen('{', "{\"instance\":\"sapporo-2\",", 1);
    let error = DaemonSettings::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(error.contains("duplicate field `instance`"), "{error}");
}

#[test]
fn a_syntax_error_has_its_line_and_column() {
    let error = DaemonSettings::parse(b"{\n  \"instance\": ,\n}").unwrap_err().to_string();
    assert!(error.starts_with("file: line 2, column 15: "), "{error}");
    assert_eq!(paths(&json!([1])), ["file"]);
}

#[test]
fn the_error_of_a_missing_file_names_its_path() {
    let error = DaemonSettings::load(Path::new("/nowhere/settings.json")).unwrap_err();
    assert!(matches!(error, FileError::Unreadable { .. }));
    assert!(error.to_string().starts_with("/nowhere/settings.json: "));
}

#[test]
fn every_budget_has_a_range_that_contains_its_default() {
    let defaults = serde_json::to_value(BudgetSettings::default()).unwrap();
    for name in defaults.as_object().unwrap().keys() {
        let path = format!("budgets.{name}");
        let file = file_with("budgets", json!({name.as_str(): u64::MAX}));
        assert!(paths(&file).contains(&path), "{path} has no upper bound");
    }
    assert_eq!(faults(&file_with("budgets", defaults)), []);
}

quickcheck! {
    fn settings_that_pass_the_check_also_parse(threads: u64, notice: u32, name: String) -> bool {
        let mut file = file_with("call_threads", json!(threads % 70));
        file["budgets"] = json!({"drain_notice_ms": notice % 40_000});
        file["instance"] = json!(name);
        let text = file.to_string();
        match DaemonSettings::parse(text.as_bytes()) {
            Ok(settings) => settings.instance == name,
            Err(FileError::Invalid(faults)) => {
                faults.0.iter().all(|fault| !matches!(fault.kind, FaultKind::Syntax { .. }))
            }
            Err(FileError::Unreadable { .. }) => false,
        }
    }
}
