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
pub(super) const RULES: Kind = Kind::Object(&[
    Field::required("format", Kind::number(1, 1)),
    Field::optional("based_on", Kind::number(0, REVISION_MAX)),
    Field::required("services", list(&SERVICE, SERVICES_MAX, 0, Unique::Field("name"))),
    Field::optional("removed", list(&Kind::ServiceName, SERVICES_MAX, 0, Unique::Value)),
]);

const SERVICE: Kind = Kind::Object(&[
    Field::required("name", Kind::ServiceName),
    Field::required("routes", list(&ROUTE, ROUTES_MAX, 1, Unique::Field("name"))),
    Field::optional("limits", LIMITS),
    Field::optional("retry", RETRY),
    Field::optional("hedge", HEDGE),
    Field::optional("measuring", MEASURING),
    Field::optional("ejection", EJECTION),
]);

const ROUTE: Kind = Kind::Object(&[
    Field::required("name", Kind::Name),
    Field::optional("methods", list(&Kind::Method, METHODS_MAX, 0, Unique::Value)),
    Field::required("path_prefix", Kind::PathPrefix),
    Field::nullable("repeatable", Kind::Bool),
    Field::optional("deadline_ms", Kind::number(1, DEADLINE_MAX_MS)),
    Field::optional("slot_share_percent", Kind::number(1, 100)),
]);

const LIMITS: Kind = Kind::Object(&[
    Field::optional("queue_length_max", Kind::number(0, 10_000)),
    Field::optional("queue_wait_max_ms", Kind::number(0, WAIT_MAX_MS)),
    Field::optional("caller_share_percent", Kind::number(1, 100)),
]);

const RETRY: Kind = Kind::Object(&[
    Field::optional("budget_percent", Kind::number(0, 100)),
    Field::optional("tries_max", Kind::number(1, 10)),
]);

const HEDGE: Kind = Kind::Object(&[
    Field::optional("budget_percent", Kind::number(0, 100)),
    Field::optional("after_percentile", Kind::number(50, 99)),
    Field::optional("delay_min_ms", Kind::number(0, WAIT_MAX_MS)),
]);

const MEASURING: Kind = Kind::Object(&[
    Field::optional("bytes_per_s_max", Kind::number(0, 1_048_576)),
    Field::optional("requests_per_1000s_max", Kind::number(0, 1_000_000)),
    Field::optional("time_ms_per_s_max", Kind::number(0, 1_000)),
]);

const EJECTION: Kind = Kind::Object(&[
    Field::optional("share_max_percent", Kind::number(0, 100)),
    Field::optional("failures_in_row", Kind::number(1, 100)),
]);

/// Returns all validation errors of `file`; empty if it is valid.
pub(super) fn find_faults(file: &Value) -> Vec<Fault> {
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
        let earlier_routes = &routes[..index];
        if let Some(by) = all_methods_shadowed_by(earlier_routes, route) {
            report(format!("{:?}", route.path_prefix), by);
            continue;
        }
        for method in &route.methods {
            if let Some(by) = method_shadowed_by(earlier_routes, method, &route.path_prefix) {
                report(format!("{method} {:?}", route.path_prefix), by);
            }
        }
    }
}

fn all_methods_shadowed_by(
    earlier_routes: &[Option<RouteRules>],
    route: &RouteRules,
) -> Option<usize> {
    earlier_routes.iter().position(|other| {
        other.as_ref().is_some_and(|other| {
            other.methods.is_empty() && route.path_prefix.starts_with(&other.path_prefix)
        })
    })
}

fn method_shadowed_by(
    earlier_routes: &[Option<RouteRules>],
    method: &str,
    path: &str,
) -> Option<usize> {
    earlier_routes
        .iter()
        .position(|other| other.as_ref().is_some_and(|other| other.matches(method, path)))
}

fn items<'a>(object: &'a Value, name: &str) -> &'a [Value] {
    object.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

const fn list(of: &'static Kind, length_max: usize, length_min: usize, unique: Unique) -> Kind {
    Kind::List { of, length_min, length_max, unique }
}
