//! Schema and consistency checks of a routing file.

use serde_json::Value;

use crate::{
    faults::{Fault, FaultKind},
    schema::{Field, Kind, Unique, excerpt},
};

/// Maximum number of routes in a table; each takes about 300 bytes in each daemon.
const ROUTES_MAX: usize = 10_000;

/// Maximum number of services in a table, several times as many as the design size has.
const SERVICES_MAX: usize = 1_000;

/// Maximum number of services that a route is split among.
const SPLIT_MAX: usize = 16;

/// Maximum number of home regions of a route.
const REGIONS_MAX: usize = 64;

/// Maximum cold rate in requests per 1,000 seconds; a target that serves 1,000 per second when cold
/// needs no limit.
const COLD_RATE_MAX: u64 = 1_000_000;

/// Maximum time for which a target is cold after its start, in ms.
const COLD_START_MAX_MS: u64 = 3_600_000;

/// Maximum version, 2^53 - 1: JSON tools that store numbers as doubles keep no larger integer
/// exactly.
const VERSION_MAX: u64 = 9_007_199_254_740_991;

/// Maximum wait of a request, in ms, and the longest deadline that a daemon accepts from a caller.
const WAIT_MAX_MS: u64 = 300_000;

/// Schema of a routing file.
pub(super) const ROUTING: Kind = Kind::Object(&[
    Field::required("format", Kind::number(1, 1)),
    Field::required("version", Kind::number(1, VERSION_MAX)),
    Field::required("routes", list(&ROUTE, ROUTES_MAX, 1)),
    Field::required("services", list(&SERVICE, SERVICES_MAX, 1)),
    Field::optional("caller_limits", CALLER_LIMITS),
]);

const ROUTE: Kind = Kind::Object(&[
    Field::required("name", Kind::Name),
    Field::required("host", Kind::ServiceName),
    Field::required("path_prefix", Kind::PathPrefix),
    Field::required("is_repeatable", Kind::Bool),
    Field::optional("is_upload", Kind::Bool),
    Field::required("split", SPLIT),
    Field::required("wait_max_ms", Kind::number(1, WAIT_MAX_MS)),
    Field::required("on_time_ms", Kind::number(1, WAIT_MAX_MS)),
    Field::required("targets_max", Kind::number(1, 10)),
    Field::required("rank", Kind::number(0, 255)),
    Field::optional("home_regions", HOME_REGIONS),
]);

const HOME_REGIONS: Kind =
    Kind::List { of: &Kind::Name, length_min: 0, length_max: REGIONS_MAX, unique: Unique::Value };

const SPLIT: Kind = Kind::List {
    of: &SHARE,
    length_min: 1,
    length_max: SPLIT_MAX,
    unique: Unique::Field("service"),
};

const SHARE: Kind = Kind::Object(&[
    Field::required("service", Kind::ServiceName),
    Field::required("weight", Kind::number(0, 1_000_000)),
]);

const SERVICE: Kind = Kind::Object(&[
    Field::required("name", Kind::ServiceName),
    Field::required("load_path", Kind::PathPrefix),
    Field::required("connections_max", Kind::number(1, 65_535)),
    Field::optional("cold_rate_per_1000_s", Kind::number(0, COLD_RATE_MAX)),
    Field::optional("cold_start_ms", Kind::number(0, COLD_START_MAX_MS)),
]);

const CALLER_LIMITS: Kind = Kind::Object(&[
    Field::optional("head_max_bytes", Kind::number(1_024, 32_768)),
    Field::optional("body_max_bytes", Kind::number(0, 1 << 40)),
]);

/// Returns all validation errors of `file`; empty if it is valid.
pub(super) fn find_faults(file: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    ROUTING.check(file, "", &mut faults);
    for (index, route) in items(file, "routes").iter().enumerate() {
        let path = format!("routes[{index}]");
        check_prefix(route, &path, &mut faults);
        check_upload(route, &path, &mut faults);
        check_split(file, route, &path, &mut faults);
        check_duplicate(file, index, &mut faults);
    }
    faults
}

/// Rejects a prefix without a trailing slash: paths are looked up by their slashes, so such a
/// prefix would never match.
fn check_prefix(route: &Value, path: &str, faults: &mut Vec<Fault>) {
    let prefix = route.get("path_prefix").and_then(Value::as_str);
    if let Some(prefix) = prefix.filter(|prefix| !prefix.ends_with('/')) {
        let (found, accepted) = (format!("{prefix:?}"), "a path that ends with '/'".to_owned());
        let kind = FaultKind::Value { found, accepted };
        faults.push(Fault::new(format!("{path}.path_prefix"), kind));
    }
}

/// Rejects a repeatable upload: large bodies aren't buffered, so they can't be sent again.
fn check_upload(route: &Value, path: &str, faults: &mut Vec<Fault>) {
    let is_set = |name: &str| route.get(name) == Some(&Value::Bool(true));
    if is_set("is_upload") && is_set("is_repeatable") {
        let accepted = "false if is_upload is true".to_owned();
        let kind = FaultKind::Value { found: "true".to_owned(), accepted };
        faults.push(Fault::new(format!("{path}.is_repeatable"), kind));
    }
}

/// Rejects shares of services that the file doesn't define, and splits without a positive weight:
/// requests for them would always be refused.
fn check_split(file: &Value, route: &Value, path: &str, faults: &mut Vec<Fault>) {
    let services = items(file, "services");
    let shares = items(route, "split");
    for (index, share) in shares.iter().enumerate() {
        let Some(service) = share.get("service") else { continue };
        if !services.iter().any(|defined| defined.get("name") == Some(service)) {
            let accepted = "the name of a service under services".to_owned();
            let kind = FaultKind::Value { found: excerpt(service), accepted };
            faults.push(Fault::new(format!("{path}.split[{index}].service"), kind));
        }
    }
    let is_zero = |share: &Value| share.get("weight").and_then(Value::as_u64) == Some(0);
    if !shares.is_empty() && shares.iter().all(is_zero) {
        let accepted = "a weight above 0 for at least one service".to_owned();
        let kind = FaultKind::Value { found: "only weights of 0".to_owned(), accepted };
        faults.push(Fault::new(format!("{path}.split"), kind));
    }
}

/// Rejects two routes with the same host and path prefix: one of them would never be matched.
fn check_duplicate(file: &Value, index: usize, faults: &mut Vec<Fault>) {
    let routes = items(file, "routes");
    let key = |route: &Value| Some((route.get("host")?.clone(), route.get("path_prefix")?.clone()));
    let Some(own_key) = key(&routes[index]) else { return };
    let first = routes[..index].iter().position(|route| key(route).as_ref() == Some(&own_key));
    if let Some(first) = first {
        let found = format!("{} {}", excerpt(&own_key.0), excerpt(&own_key.1));
        let kind = FaultKind::Doubled { found, first: format!("routes[{first}]") };
        faults.push(Fault::new(format!("routes[{index}]"), kind));
    }
}

fn items<'a>(object: &'a Value, name: &str) -> &'a [Value] {
    object.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

const fn list(of: &'static Kind, length_max: usize, length_min: usize) -> Kind {
    Kind::List { of, length_min, length_max, unique: Unique::Field("name") }
}
