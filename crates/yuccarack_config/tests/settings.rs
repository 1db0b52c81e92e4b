//! Checks of a daemon's settings: all faults at once, each with its path.

use std::path::Path;

use quickcheck::quickcheck;
use serde_json::{Value, json};
use yuccarack_config::{
    faults::{Fault, FaultKind, FileError},
    settings::{BudgetSettings, DaemonSettings, LogSettings},
};

fn smallest() -> Value {
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

fn with(path: &str, value: Value) -> Value {
    let mut file = smallest();
    let mut place = &mut file;
    for name in path.split('.') {
        place = &mut place[name];
    }
    *place = value;
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
fn the_smallest_file_gets_the_defaults() {
    let settings = DaemonSettings::parse(smallest().to_string().as_bytes()).unwrap();
    assert_eq!(settings.call_threads, 2);
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.budgets, BudgetSettings::default());
    assert_eq!(settings.announce_from, settings.admin_from);
}

#[test]
fn told_addresses_need_a_port() {
    let told = with("told_gate_address", json!("10.0.0.1:7001"));
    assert_eq!(faults(&told), []);
    let settings = DaemonSettings::parse(told.to_string().as_bytes()).unwrap();
    assert_eq!(settings.told_gate_address, "10.0.0.1:7001".parse().ok());
    let any_port = with("told_control_address", json!("10.0.0.1:0"));
    assert_eq!(paths(&any_port), ["told_control_address"]);
}

#[test]
fn written_settings_are_accepted_again() {
    let settings = DaemonSettings::parse(smallest().to_string().as_bytes()).unwrap();
    let text = serde_json::to_vec(&settings).unwrap();
    assert_eq!(DaemonSettings::parse(&text).unwrap(), settings);
}

// An operator mends a file fault by fault, and starts the daemon in vain after each, when only
// the first fault is named. So all of them are, with what would be accepted.
#[test]
fn every_fault_is_listed_with_its_path_and_range() {
    let mut file = smallest();
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
fn a_fault_is_readable_by_a_script() {
    let fault = &faults(&with("call_threads", json!(65)))[0];
    let written = serde_json::to_value(fault).unwrap();
    let expected = json!({
        "path": "call_threads",
        "fault": "value",
        "found": "65",
        "accepted": "a whole number from 1 to 64",
    });
    assert_eq!(written, expected);
}

#[test]
fn own_addresses_must_differ_unless_the_kernel_gives_the_port() {
    let same = with("gate_address", json!("127.0.0.1:7000"));
    let kind = FaultKind::Doubled {
        found: "\"127.0.0.1:7000\"".to_owned(),
        first: "call_address".to_owned(),
    };
    assert_eq!(faults(&same), [Fault::new("gate_address", kind)]);

    let mut given_by_kernel = with("gate_address", json!("127.0.0.1:0"));
    given_by_kernel["control_address"] = json!("127.0.0.1:0");
    assert_eq!(faults(&given_by_kernel), []);
}

// A gate that tells the others "0.0.0.0" is never reached by them, though it listens well.
#[test]
fn an_address_that_others_are_told_is_a_single_one() {
    assert_eq!(paths(&with("call_address", json!("0.0.0.0:7000"))), [""; 0]);
    for name in ["gate_address", "admin_address", "control_address"] {
        assert_eq!(paths(&with(name, json!("0.0.0.0:7009"))), [name]);
    }
    assert_eq!(paths(&with("platform_address", json!("127.0.0.1:0"))), ["platform_address"]);
}

#[test]
fn nobody_to_announce_is_refused_and_nobody_to_order_is_not() {
    assert_eq!(paths(&with("announce_from", json!([]))), ["announce_from"]);
    assert_eq!(paths(&with("admin_from", json!([]))), [""; 0]);
}

// serde_json keeps the last of two equal names in silence, and the operator's first is lost.
#[test]
fn a_field_named_twice_is_refused() {
    let text = smallest().to_string().replacen('{', "{\"instance\":\"sapporo-2\",", 1);
    let error = DaemonSettings::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(error.contains("duplicate field `instance`"), "{error}");
}

#[test]
fn text_that_is_not_json_names_its_place() {
    let error = DaemonSettings::parse(b"{\n  \"instance\": ,\n}").unwrap_err().to_string();
    assert!(error.starts_with("file: line 2, column 15: "), "{error}");
    assert_eq!(paths(&json!([1])), ["file"]);
}

#[test]
fn a_missing_file_is_named() {
    let error = DaemonSettings::load(Path::new("/nowhere/settings.json")).unwrap_err();
    assert!(matches!(error, FileError::Unreadable { .. }));
    assert!(error.to_string().starts_with("/nowhere/settings.json: "));
}

#[test]
fn every_budget_has_a_range_and_its_default_lies_within() {
    let defaults = serde_json::to_value(BudgetSettings::default()).unwrap();
    for name in defaults.as_object().unwrap().keys() {
        let path = format!("budgets.{name}");
        let file = with("budgets", json!({name.as_str(): u64::MAX}));
        assert!(paths(&file).contains(&path), "{path} has no upper bound");
    }
    assert_eq!(faults(&with("budgets", defaults)), []);
}

quickcheck! {
    fn whatever_the_check_accepts_the_parser_accepts(threads: u64, notice: u32, name: String) -> bool {
        let mut file = with("call_threads", json!(threads % 70));
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
