//! Selects the headers that are forwarded to the next hop.

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{self, IntoHeaderName},
};
use yuccarack_config::headers;

use super::{
    gate_status::GATE_STATUS,
    hop::HOP,
    peer_update::{ACCEPTED_CHANGES, CRASH_SUSPECTS, UPDATE_REQUEST},
};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Headers that daemons exchange among themselves. External callers can't set them.
const INTERNAL_HEADERS: [&str; 12] = [
    headers::OUTCOME,
    headers::REASON,
    headers::INSTANCE,
    headers::LOAD,
    headers::RULES_REVISION,
    headers::ATTEMPT_ID,
    headers::ONCE,
    HOP,
    GATE_STATUS,
    UPDATE_REQUEST,
    ACCEPTED_CHANGES,
    CRASH_SUSPECTS,
];

/// Removes the headers that apply only to the connection that carried the message.
pub fn strip_hop_by_hop(map: &mut HeaderMap) {
    for name in connection_options(map) {
        map.remove(name);
    }
    for name in HOP_BY_HOP {
        map.remove(name);
    }
    // The server of this daemon answers an Expect header itself. Forwarding it would request a
    // second interim response.
    map.remove(header::EXPECT);
}

/// Removes the headers that only a daemon may set.
pub fn strip_internal_headers(map: &mut HeaderMap) {
    for name in INTERNAL_HEADERS {
        map.remove(name);
    }
}

/// Sets header `name` to `value`; does nothing if `value` isn't a valid header value.
pub fn set_header(map: &mut HeaderMap, name: impl IntoHeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(name, value);
    }
}

fn connection_options(map: &HeaderMap) -> Vec<HeaderName> {
    map.get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
