//! Validation of rules files: all errors are reported at once, each with its path.

use quickcheck::quickcheck;
use serde_json::{Value, json};
use yuccarack_config::{
    faults::{Fault, FaultKind, FileError},
    rules::{EjectionRules, HedgeRules, LimitRules, MeasuringRules, RetryRules, RulesFile},
};

fn route(name: &str, methods: &[&str], path_prefix: &str) -> Value {
    json!({"name": name, "methods": methods, "path_prefix": path_prefix})
}

fn file(routes: &[Value]) -> Value {
    json!({"format": 1, "services": [{"name": "conditions", "routes": routes}]})
}

fn faults(file: &Value) -> Vec<Fault> {
    match RulesFile::parse(file.to_string().as_bytes()) {
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
    let text = file(&[route("all", &[], "/")]).to_string();
    let rules = RulesFile::parse(text.as_bytes()).unwrap();
    assert_eq!(rules.based_on, 0);
    let service = &rules.services[0];
    assert_eq!(service.limits, LimitRules::default());
    assert_eq!(service.routes[0].deadline_ms, 2_000);
    assert_eq!(service.routes[0].slot_share_percent, 100);
    assert!(!service.routes[0].is_repeatable("POST"));
    assert!(service.routes[0].is_repeatable("GET"));
}

#[test]
fn serialized_rules_parse_to_the_same_rules() {
    let text = file(&[route("all", &[], "/")]).to_string();
    let rules = RulesFile::parse(text.as_bytes()).unwrap();
    let serialized = serde_json::to_vec(&rules).unwrap();
    assert_eq!(RulesFile::parse(&serialized).unwrap(), rules);
}

#[test]
fn every_fault_of_every_service_is_reported() {
    let mut file = file(&[route("all", &[], "/")]);
    file["format"] = json!(2);
    file["services"].as_array_mut().unwrap().push(json!({
        "name": "Repairs",
        "routes": [
            {"name": "orders", "path_prefix": "orders", "deadline_ms": 0},
            {"name": "orders", "path_prefix": "/", "methods": ["post"], "slot_share_percent": 101},
        ],
        "retry": {"tries": 3},
    }));
    file["services"].as_array_mut().unwrap().push(json!({"name": "conditions", "routes": []}));
    let mut found_paths = paths(&file);
    found_paths.sort();
    let expected = [
        "format",
        "services[1].name",
        "services[1].retry.tries",
        "services[1].routes[0].deadline_ms",
        "services[1].routes[0].path_prefix",
        "services[1].routes[1].methods[0]",
        "services[1].routes[1].name",
        "services[1].routes[1].slot_share_percent",
        "services[2].name",
        "services[2].routes",
    ];
    assert_eq!(found_paths, expected);
}

// Guards against a route that is shadowed by a broader one before it. The first match applies, so
// orders would get the deadline of the broader route and might be repeated.
#[test]
fn a_route_shadowed_by_a_broader_one_is_rejected() {
    let file = file(&[route("all", &[], "/"), route("orders", &["POST"], "/orders")]);
    let kind = FaultKind::Unreachable {
        found: "\"/orders\"".to_owned(),
        by: "services[0].routes[0]".to_owned(),
    };
    assert_eq!(faults(&file), [Fault::new("services[0].routes[1]", kind)]);
}

#[test]
fn a_method_shadowed_by_an_earlier_route_is_rejected() {
    let routes = [
        route("reads", &["GET"], "/"),
        route("notes", &["GET", "PUT"], "/notes"),
        route("rest", &[], "/"),
    ];
    let kind = FaultKind::Unreachable {
        found: "GET \"/notes\"".to_owned(),
        by: "services[0].routes[0]".to_owned(),
    };
    assert_eq!(faults(&file(&routes)), [Fault::new("services[0].routes[1]", kind)]);
}

#[test]
fn specific_routes_before_broader_ones_are_accepted() {
    let routes = [
        route("notes", &["GET"], "/notes/"),
        route("reads", &["GET"], "/"),
        route("orders", &["POST"], "/orders"),
        route("rest", &[], "/"),
    ];
    assert_eq!(faults(&file(&routes)), []);
}

#[test]
fn a_service_both_defined_and_removed_is_rejected() {
    let mut file = file(&[route("all", &[], "/")]);
    file["removed"] = json!(["repairs", "conditions"]);
    assert_eq!(paths(&file), ["removed[1]"]);
}

#[test]
fn a_file_without_any_service_is_rejected() {
    assert_eq!(paths(&json!({"format": 1, "services": []})), ["services"]);
    assert_eq!(paths(&json!({"format": 1, "services": [], "removed": ["repairs"]})), [""; 0]);
}

#[test]
fn every_number_has_a_range_that_contains_its_default() {
    let groups = [
        ("limits", serde_json::to_value(LimitRules::default()).unwrap()),
        ("retry", serde_json::to_value(RetryRules::default()).unwrap()),
        ("hedge", serde_json::to_value(HedgeRules::default()).unwrap()),
        ("measuring", serde_json::to_value(MeasuringRules::default()).unwrap()),
        ("ejection", serde_json::to_value(EjectionRules::default()).unwrap()),
    ];
    for (group, defaults) in groups {
        let mut file = file(&[route("all", &[], "/")]);
        file["services"][0][group] = defaults.clone();
        assert_eq!(faults(&file), []);
        for name in defaults.as_object().unwrap().keys() {
            file["services"][0][group] = json!({name.as_str(): u64::MAX});
            assert_eq!(paths(&file), [format!("services[0].{group}.{name}")]);
        }
    }
}

quickcheck! {
    /// In every accepted file, the first match for each method of a route is the route itself.
    fn an_accepted_route_matches_its_own_methods(seeds: Vec<(u8, u8)>) -> bool {
        let prefixes = ["/", "/a", "/a/", "/a/b", "/b"];
        let methods: [&[&str]; 4] = [&[], &["GET"], &["POST"], &["GET", "POST"]];
        let routes: Vec<_> = seeds
            .iter()
            .take(6)
            .enumerate()
            .map(|(index, (prefix, method))| {
                let prefix = prefixes[usize::from(*prefix) % prefixes.len()];
                let methods = methods[usize::from(*method) % methods.len()];
                route(&format!("r{index}"), methods, prefix)
            })
            .collect();
        let Ok(rules) = RulesFile::parse(file(&routes).to_string().as_bytes()) else {
            return true;
        };
        let routes = &rules.services[0].routes;
        let matching = |method: &str, path: &str| routes.iter().find(|r| r.matches(method, path));
        routes.iter().all(|route| {
            let methods: Vec<&str> = match route.methods.is_empty() {
                true => vec!["PATCH"],
                false => route.methods.iter().map(String::as_str).collect(),
            };
            methods.iter().all(|method| matching(method, &route.path_prefix) == Some(route))
        })
    }
}
