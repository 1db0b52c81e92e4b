//! Schema and consistency checks of a rules file.

use serde::Deserialize;
use serde_json::Value;

use super::RouteRules;
use crate::{
    faults::{Fault, FaultKind},
    schema::{Field, Kind, Unique, excerpt},
};

/// Maximum number of services that one file defines or removes.
const SERVICES_MAX: usize = 1_000;

/// Maximum number of routes of one service.
const ROUTES_MAX: usize = 64;

/// Maximum number of methods of one route.
const METHODS_MAX: usize = 16;

/// Maximum revision, 2^53 - 1: JSON tools that store numbers as doubles keep no larger integer
/// exactly.
const REVISION_MAX: u64 = 9_007_199_254_740_991;

/// Maximum deadline of a call, in ms, and the longest one that a daemon accepts from a caller.
const DEADLINE_MAX_MS: u64 = 300_000;

/// Maximum wait at a gate or before a hedge, in ms.
const WAIT_MAX_MS: u64 = 60_000;

/// Schema of a rules file.
pub(super) const RULES: Kind = Kind::Group(&[
    Field::required("format", Kind::number(1, 1)),
    Field::defaulted("based_on", Kind::number(0, REVISION_MAX)),
    Field::required("services", list(&SERVICE, SERVICES_MAX, 0, Unique::Field("name"))),
    Field::defaulted("removed", list(&Kind::ServiceName, SERVICES_MAX, 0, Unique::Value)),
]);

const SERVICE: Kind = Kind::Group(&[
    Field::required("name", Kind::ServiceName),
    Field::required("routes", list(&ROUTE, ROUTES_MAX, 1, Unique::Field("name"))),
    Field::defaulted("limits", LIMITS),
    Field::defaulted("retry", RETRY),
    Field::defaulted("hedge", HEDGE),
    Field::defaulted("measuring", MEASURING),
    Field::defaulted("ejection", EJECTION),
]);

const ROUTE: Kind = Kind::Group(&[
    Field::required("name", Kind::Name),
    Field::defaulted("methods", list(&Kind::Method, METHODS_MAX, 0, Unique::Value)),
    Field::required("path_prefix", Kind::PathPrefix),
    Field::nullable("repeatable", Kind::Flag),
    Field::defaulted("deadline_ms", Kind::number(1, DEADLINE_MAX_MS)),
    Field::defaulted("slot_share_percent", Kind::number(1, 100)),
]);

const LIMITS: Kind = Kind::Group(&[
    Field::defaulted("queue_length_max", Kind::number(0, 10_000)),
    Field::defaulted("queue_wait_max_ms", Kind::number(0, WAIT_MAX_MS)),
    Field::defaulted("caller_share_percent", Kind::number(1, 100)),
]);

const RETRY: Kind = Kind::Group(&[
    Field::defaulted("budget_percent", Kind::number(0, 100)),
    Field::defaulted("tries_max", Kind::number(1, 10)),
]);

const HEDGE: Kind = Kind::Group(&[
    Field::defaulted("budget_percent", Kind::number(0, 100)),
    Field::defaulted("after_percentile", Kind::number(50, 99)),
    Field::defaulted("delay_min_ms", Kind::number(0, WAIT_MAX_MS)),
]);

const MEASURING: Kind = Kind::Group(&[
    Field::defaulted("bytes_per_s_max", Kind::number(0, 1_048_576)),
    Field::defaulted("requests_per_1000s_max", Kind::number(0, 1_000_000)),
    Field::defaulted("time_ms_per_s_max", Kind::number(0, 1_000)),
]);

const EJECTION: Kind = Kind::Group(&[
    Field::defaulted("share_max_percent", Kind::number(0, 100)),
    Field::defaulted("failures_in_row", Kind::number(1, 100)),
]);

/// Returns all validation errors of `file`; empty if it is valid.
pub(super) fn faults(file: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    RULES.check(file, "", &mut faults);
    check_removed(file, &mut faults);
    check_not_empty(file, &mut faults);
    for (index, service) in items(file, "services").iter().enumerate() {
        check_routes(service, &format!("services[{index}]"), &mut faults);
    }
    faults
}

/// Rejects a file that both defines and removes a service.
fn check_removed(file: &Value, faults: &mut Vec<Fault>) {
    let services = items(file, "services");
    for (index, removed) in items(file, "removed").iter().enumerate() {
        let named = services.iter().position(|service| service.get("name") == Some(removed));
        if let Some(named) = named {
            let first = format!("services[{named}].name");
            let kind = FaultKind::Doubled { found: excerpt(removed), first };
            faults.push(Fault::new(format!("removed[{index}]"), kind));
        }
    }
}

/// Rejects a file without any service, which is most likely the wrong file.
fn check_not_empty(file: &Value, faults: &mut Vec<Fault>) {
    let is_empty_list = |value: &Value| value.as_array().is_some_and(Vec::is_empty);
    if file.get("services").is_some_and(is_empty_list) && items(file, "removed").is_empty() {
        let accepted = "at least one service here or in removed".to_owned();
        let kind = FaultKind::Value { found: "[]".to_owned(), accepted };
        faults.push(Fault::new("services", kind));
    }
}

/// Rejects routes that are shadowed by earlier ones, since the first match applies: their requests
/// would get the earlier route's deadline, and might be repeated although the later route forbids
/// it.
fn check_routes(service: &Value, path: &str, faults: &mut Vec<Fault>) {
    let routes: Vec<_> =
        items(service, "routes").iter().map(|route| RouteRules::deserialize(route).ok()).collect();
    for (index, route) in routes.iter().enumerate() {
        let Some(route) = route else { continue };
        let mut report = |found: String, by: usize| {
            let kind = FaultKind::Unreachable { found, by: format!("{path}.routes[{by}]") };
            faults.push(Fault::new(format!("{path}.routes[{index}]"), kind));
        };
        let earlier = &routes[..index];
        if let Some(by) = all_methods_shadowed_by(earlier, route) {
            report(format!("{:?}", route.path_prefix), by);
            continue;
        }
        for method in &route.methods {
            if let Some(by) = method_shadowed_by(earlier, method, &route.path_prefix) {
                report(format!("{method} {:?}", route.path_prefix), by);
            }
        }
    }
}

fn all_methods_shadowed_by(earlier: &[Option<RouteRules>], route: &RouteRules) -> Option<usize> {
    earlier.iter().position(|other| {
        other.as_ref().is_some_and(|other| {
            other.methods.is_empty() && route.path_prefix.starts_with(&other.path_prefix)
        })
    })
}

fn method_shadowed_by(earlier: &[Option<RouteRules>], method: &str, path: &str) -> Option<usize> {
    earlier.iter().position(|other| other.as_ref().is_some_and(|other| other.matches(method, path)))
}

fn items<'a>(group: &'a Value, name: &str) -> &'a [Value] {
    group.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

const fn list(of: &'static Kind, length_max: usize, length_min: usize, unique: Unique) -> Kind {
    Kind::List { of, length_min, length_max, unique }
}
