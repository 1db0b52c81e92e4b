//! Schema and consistency checks of a daemon's settings.

use serde_json::Value;

use crate::{
    faults::{Fault, FaultKind},
    schema::{Field, Kind, Unique, excerpt},
};

/// Maximum number of addresses in a list of the settings.
const ADDRESSES_MAX: usize = 64;

/// The fields with the addresses that a daemon listens on.
const LISTEN_ADDRESSES: [&str; 4] =
    ["call_address", "gate_address", "admin_address", "control_address"];

/// Schema of the settings file.
pub(super) const SETTINGS: Kind = Kind::Object(&[
    Field::required("instance", Kind::Name),
    Field::required("failure_domain", Kind::Name),
    Field::required("call_address", Kind::ListenAddress),
    Field::required("gate_address", Kind::AdvertisedAddress),
    Field::required("admin_address", Kind::AdvertisedAddress),
    Field::required("control_address", Kind::AdvertisedAddress),
    Field::nullable("told_gate_address", Kind::PeerAddress),
    Field::nullable("told_control_address", Kind::PeerAddress),
    Field::required("platform_address", Kind::PeerAddress),
    Field::optional("seed_peers", list(&Kind::PeerAddress, 0)),
    Field::nullable("statsd_address", Kind::PeerAddress),
    Field::optional("announce_from", list(&Kind::IpAddress, 1)),
    Field::optional("admin_from", list(&Kind::IpAddress, 0)),
    Field::optional("call_threads", Kind::number(1, 64)),
    Field::optional("log", LOG),
    Field::optional("budgets", BUDGETS),
]);

/// Schema of the log settings.
pub(crate) const LOG: Kind = Kind::Object(&[
    Field::optional("format", Kind::OneOf(&["json", "terminal"])),
    Field::optional("level", Kind::OneOf(&["error", "warning", "info", "debug"])),
]);

const BUDGETS: Kind = Kind::Object(&[
    Field::optional("head_max_bytes", Kind::number(8_192, 1_048_576)),
    Field::optional("replay_body_max_bytes", Kind::number(0, 16_777_216)),
    Field::optional("announce_timeout_ms", Kind::number(100, 10_000)),
    Field::optional("gossip_interval_ms", Kind::number(20, 10_000)),
    Field::optional("drain_notice_ms", Kind::number(0, 30_000)),
    Field::optional("drain_max_ms", Kind::number(100, 3_600_000)),
    Field::optional("platform_timeout_ms", Kind::number(10, 30_000)),
]);

/// Returns all validation errors of `file`; empty if it is valid.
pub(super) fn find_faults(file: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    SETTINGS.check(file, "", &mut faults);
    check_listen_addresses(file, &mut faults);
    check_drain(file, &mut faults);
    faults
}

/// Rejects two listen addresses that are equal, unless the kernel chooses their ports.
fn check_listen_addresses(file: &Value, faults: &mut Vec<Fault>) {
    for (index, name) in LISTEN_ADDRESSES.iter().enumerate() {
        let Some(address) = file.get(name).and_then(Value::as_str) else { continue };
        if address.ends_with(":0") {
            continue;
        }
        let earlier_names = &LISTEN_ADDRESSES[..index];
        let has_same_address =
            |other: &&&str| file.get(**other).and_then(Value::as_str) == Some(address);
        if let Some(first) = earlier_names.iter().find(has_same_address) {
            let found = format!("{address:?}");
            let kind = FaultKind::Doubled { found, first: (*first).to_owned() };
            faults.push(Fault::new(*name, kind));
        }
    }
}

/// Rejects a notice that isn't shorter than the drain: requests that arrive during the notice would
/// be aborted.
fn check_drain(file: &Value, faults: &mut Vec<Fault>) {
    let defaults = super::BudgetSettings::default();
    let budget = |name: &str, default: u32| {
        let value = file.get("budgets").and_then(|budgets| budgets.get(name));
        value.map_or(Some(u64::from(default)), Value::as_u64)
    };
    let notice_ms = budget("drain_notice_ms", defaults.drain_notice_ms);
    let drain_max_ms = budget("drain_max_ms", defaults.drain_max_ms);
    if let (Some(notice_ms), Some(drain_max_ms)) = (notice_ms, drain_max_ms)
        && notice_ms >= drain_max_ms
    {
        let found = excerpt(&Value::from(notice_ms));
        let accepted = format!("less than drain_max_ms, which is {drain_max_ms}");
        faults.push(Fault::new("budgets.drain_notice_ms", FaultKind::Value { found, accepted }));
    }
}

const fn list(of: &'static Kind, length_min: usize) -> Kind {
    Kind::List { of, length_min, length_max: ADDRESSES_MAX, unique: Unique::Value }
}
