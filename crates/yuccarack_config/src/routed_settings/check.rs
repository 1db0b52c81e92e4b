//! Schema of the settings of a daemon for routed calls.

use serde_json::Value;

use crate::{
    errors::ValidationError,
    schema::{Field, Kind, Unique},
    settings::LOG,
};

/// Schema of the settings file.
pub(super) const SETTINGS: Kind = Kind::Object(&[
    Field::required("instance", Kind::Name),
    Field::required("failure_domain", Kind::Name),
    Field::optional("regions", REGIONS),
    Field::required("service", Kind::ServiceName),
    Field::required("call_address", Kind::ListenAddress),
    Field::required("gate_address", Kind::AdvertisedAddress),
    Field::optional("gate_told_address", Kind::PeerAddress),
    Field::required("liveness_address", Kind::ListenAddress),
    Field::required("readiness_address", Kind::ListenAddress),
    Field::required("metrics_address", Kind::ListenAddress),
    Field::required("store_address", Kind::PeerAddress),
    Field::optional("is_first_start", Kind::Bool),
    Field::optional("routing_file", Kind::AbsolutePath),
    Field::optional("log", LOG),
    Field::optional("log_lines_percent", Kind::number(0, 1_000)),
    Field::optional("link_kbit_per_s", Kind::rounded(0, 100_000_000)),
    Field::optional("bounds", BOUNDS),
    Field::optional("decisions", DECISIONS),
]);

/// Maximum number of failure domains in a fleet.
const DOMAINS_MAX: usize = 1_000;

const REGIONS: Kind = Kind::List {
    of: &DOMAIN_REGION,
    length_min: 0,
    length_max: DOMAINS_MAX,
    unique: Unique::Field("failure_domain"),
};

const DOMAIN_REGION: Kind = Kind::Object(&[
    Field::required("failure_domain", Kind::Name),
    Field::required("region", Kind::Name),
]);

const DECISIONS: Kind = Kind::Object(&[
    Field::optional("early_reads", Kind::Bool),
    Field::optional("offered_bodies", Kind::Bool),
    Field::optional("patience", Kind::Bool),
    Field::optional("futile_runs", Kind::Bool),
    Field::optional("pace_looks", Kind::Bool),
    Field::optional("likely_times", Kind::Bool),
    Field::optional("short_first", Kind::Bool),
    Field::optional("slow_passed_over", Kind::Bool),
    Field::optional("home_first", Kind::Bool),
    Field::optional("cold_spread", Kind::Bool),
    Field::optional("cold_by_rank", Kind::Bool),
]);

const BOUNDS: Kind = Kind::Object(&[
    Field::optional("heartbeat_ms", Kind::rounded(10, 60_000)),
    Field::optional("stop_max_ms", Kind::rounded(100, 3_600_000)),
    Field::optional("gone_after_ms", Kind::rounded(1_000, 86_400_000)),
    Field::optional("extra_tries_percent", Kind::rounded(0, 100)),
    Field::optional("extra_tries", Kind::rounded(0, 1_000_000)),
    Field::optional("cold_excess_percent", Kind::rounded(0, 100_000)),
    Field::optional("cold_slack", Kind::rounded(0, 1_000_000)),
    Field::optional("quota_window_ms", Kind::rounded(100, 3_600_000)),
    Field::optional("quota_excess_percent", Kind::rounded(0, 1_000)),
    Field::optional("quota_slack", Kind::rounded(0, 1_000_000)),
]);

/// Returns all validation errors of `file`; empty if it is valid.
pub(super) fn find_errors(file: &Value) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    SETTINGS.check(file, "", &mut errors);
    errors
}
