//! Schema of the settings of a daemon for routed calls.

use serde_json::Value;

use crate::{
    faults::Fault,
    schema::{Field, Kind, Unique},
    settings::LOG,
};

/// Schema of the settings file.
pub(super) const SETTINGS: Kind = Kind::Group(&[
    Field::required("instance", Kind::Name),
    Field::required("failure_domain", Kind::Name),
    Field::defaulted("regions", REGIONS),
    Field::required("service", Kind::ServiceName),
    Field::required("call_address", Kind::ListenAddress),
    Field::required("gate_address", Kind::AdvertisedAddress),
    Field::defaulted("gate_told_address", Kind::PeerAddress),
    Field::required("liveness_address", Kind::ListenAddress),
    Field::required("readiness_address", Kind::ListenAddress),
    Field::required("metrics_address", Kind::ListenAddress),
    Field::required("store_address", Kind::PeerAddress),
    Field::defaulted("is_first_start", Kind::Flag),
    Field::defaulted("routing_file", Kind::PathPrefix),
    Field::defaulted("log", LOG),
    Field::defaulted("log_lines_percent", Kind::number(0, 1_000)),
    Field::defaulted("bounds", BOUNDS),
    Field::defaulted("decisions", DECISIONS),
]);

/// Maximum number of failure domains in a fleet.
const DOMAINS_MAX: usize = 1_000;

const REGIONS: Kind = Kind::List {
    of: &DOMAIN_REGION,
    length_min: 0,
    length_max: DOMAINS_MAX,
    unique: Unique::Field("failure_domain"),
};

const DOMAIN_REGION: Kind = Kind::Group(&[
    Field::required("failure_domain", Kind::Name),
    Field::required("region", Kind::Name),
]);

const DECISIONS: Kind = Kind::Group(&[
    Field::defaulted("early_reads", Kind::Flag),
    Field::defaulted("offered_bodies", Kind::Flag),
    Field::defaulted("patience", Kind::Flag),
    Field::defaulted("futile_runs", Kind::Flag),
    Field::defaulted("pace_looks", Kind::Flag),
    Field::defaulted("likely_times", Kind::Flag),
    Field::defaulted("short_first", Kind::Flag),
    Field::defaulted("slow_passed_over", Kind::Flag),
    Field::defaulted("home_first", Kind::Flag),
    Field::defaulted("cold_spread", Kind::Flag),
    Field::defaulted("cold_by_rank", Kind::Flag),
]);

const BOUNDS: Kind = Kind::Group(&[
    Field::defaulted("heartbeat_ms", Kind::rounded(10, 60_000)),
    Field::defaulted("stop_max_ms", Kind::rounded(100, 3_600_000)),
    Field::defaulted("gone_after_ms", Kind::rounded(1_000, 86_400_000)),
    Field::defaulted("extra_tries_percent", Kind::rounded(0, 100)),
    Field::defaulted("extra_tries", Kind::rounded(0, 1_000_000)),
    Field::defaulted("cold_excess_percent", Kind::rounded(0, 100_000)),
    Field::defaulted("cold_slack", Kind::rounded(0, 1_000_000)),
]);

/// Returns all validation errors of `file`; empty if it is valid.
pub(super) fn faults(file: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    SETTINGS.check(file, "", &mut faults);
    faults
}
