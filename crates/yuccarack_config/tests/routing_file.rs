//! Validation of routing files: defaults of valid files, and all errors of invalid ones.

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

/// Returns the paths of the errors of a file.
fn faults(file: &Value) -> Vec<String> {
    match RoutingFile::parse(file.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(FileError::Invalid(faults)) => faults.0.into_iter().map(|fault| fault.path).collect(),
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn a_valid_file_gets_the_defaults() {
    let file = RoutingFile::parse(file().to_string().as_bytes()).expect("a valid file");
    let table = file.into_table();
    assert_eq!((table.version, table.routes.len()), (4, 1));
    assert_eq!(table.caller_limits.head_max_bytes, 16 * 1024);
}

/// Guards against errors that are reported one at a time, so that an operator has to apply a file
/// once for each of them.
#[test]
fn all_faults_are_reported_at_once() {
    let mut file = file();
    let mut duplicate = file["routes"][0].clone();
    duplicate["name"] = json!("other");
    duplicate["split"] = json!([{"service": "nobody", "weight": 0}]);
    duplicate["targets_max"] = json!(0);
    file["routes"].as_array_mut().expect("routes").push(duplicate);
    file["routes"][0]["path_prefix"] = json!("/notes");
    file["routes"][1]["path_prefix"] = json!("/notes");
    let found_paths = faults(&file);
    for path in [
        "routes[1].targets_max",
        "routes[0].path_prefix",
        "routes[1].path_prefix",
        "routes[1].split[0].service",
        "routes[1].split",
        "routes[1]",
    ] {
        assert!(
            found_paths.iter().any(|found| found == path),
            "{path} is missing in {found_paths:?}"
        );
    }
}

#[test]
fn a_file_without_a_version_or_of_another_format_is_rejected() {
    let mut unversioned = file();
    unversioned.as_object_mut().expect("an object").remove("version");
    assert_eq!(faults(&unversioned), ["version"]);
    let mut unknown_format = file();
    unknown_format["format"] = json!(2);
    assert_eq!(faults(&unknown_format), ["format"]);
}

/// Guards against uploads that are sent more than once, and against misspelled field names that
/// are ignored.
#[test]
fn an_upload_is_not_repeatable() {
    let mut upload = file();
    upload["routes"][0]["is_upload"] = json!(true);
    assert_eq!(faults(&upload), ["routes[0].is_repeatable"]);
    upload["routes"][0]["is_repeatable"] = json!(false);
    let table =
        RoutingFile::parse(upload.to_string().as_bytes()).expect("a valid file").into_table();
    assert!(table.routes[0].is_upload && !table.routes[0].is_repeatable);
    upload["routes"][0]["is_uplaod"] = json!(true);
    assert_eq!(faults(&upload), ["routes[0].is_uplaod"]);
}
