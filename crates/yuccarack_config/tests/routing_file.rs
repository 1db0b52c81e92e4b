//! Routing files in this project's own format: what is accepted, and all faults of what is not.

use serde_json::{Value, json};
use yuccarack_config::{faults::FileError, routing_file::RoutingFile};

fn file() -> Value {
    json!({
        "format": 1, "version": 4,
        "routes": [{
            "name": "notes", "host": "huts.example", "path_prefix": "/notes/", "is_repeatable": true,
            "split": [{"service": "board", "weight": 3}, {"service": "spare", "weight": 1}],
            "wait_max_ms": 2000, "on_time_ms": 500, "targets_max": 2, "rank": 1,
        }],
        "services": [
            {"name": "board", "load_path": "/health", "connections_max": 240},
            {"name": "spare", "load_path": "/health", "connections_max": 240},
        ],
    })
}

/// Paths of the faults of a file.
fn faults(file: &Value) -> Vec<String> {
    match RoutingFile::parse(file.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(FileError::Invalid(faults)) => faults.0.into_iter().map(|fault| fault.path).collect(),
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn a_whole_file_is_accepted_with_defaults() {
    let file = RoutingFile::parse(file().to_string().as_bytes()).expect("an accepted file");
    let table = file.into_table();
    assert_eq!((table.version, table.routes.len()), (4, 1));
    assert_eq!(table.caller_limits.head_max_bytes, 16 * 1024);
}

/// An operator makes five mistakes at once. Told one after the other, the file would be applied five
/// times; all of them are told together, each with its place.
#[test]
fn all_faults_are_told_at_once() {
    let mut file = file();
    let mut doubled = file["routes"][0].clone();
    doubled["name"] = json!("other");
    doubled["split"] = json!([{"service": "nobody", "weight": 0}]);
    doubled["targets_max"] = json!(0);
    file["routes"].as_array_mut().expect("routes").push(doubled);
    file["routes"][0]["path_prefix"] = json!("/notes");
    file["routes"][1]["path_prefix"] = json!("/notes");
    let found = faults(&file);
    for path in [
        "routes[1].targets_max",
        "routes[0].path_prefix",
        "routes[1].path_prefix",
        "routes[1].split[0].service",
        "routes[1].split",
        "routes[1]",
    ] {
        assert!(found.iter().any(|found| found == path), "{path} is not among {found:?}");
    }
}

#[test]
fn a_file_without_a_version_or_of_another_format_is_refused() {
    let mut without = file();
    without.as_object_mut().expect("an object").remove("version");
    assert_eq!(faults(&without), ["version"]);
    let mut other = file();
    other["format"] = json!(2);
    assert_eq!(faults(&other), ["format"]);
}

/// An upload is sent once; a file that says otherwise is a mistake, and so is a field that isn't known.
#[test]
fn an_upload_does_not_repeat() {
    let mut upload = file();
    upload["routes"][0]["is_upload"] = json!(true);
    assert_eq!(faults(&upload), ["routes[0].is_repeatable"]);
    upload["routes"][0]["is_repeatable"] = json!(false);
    let table = RoutingFile::parse(upload.to_string().as_bytes()).expect("a file").into_table();
    assert!(table.routes[0].is_upload && !table.routes[0].is_repeatable);
    upload["routes"][0]["is_uplaod"] = json!(true);
    assert_eq!(faults(&upload), ["routes[0].is_uplaod"]);
}
