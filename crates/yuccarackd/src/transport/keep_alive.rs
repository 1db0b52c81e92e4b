//! Idle timeout that a server announces for a connection in its `Keep-Alive` header.

use std::time::Duration;

use http::HeaderMap;

/// Name of the header (RFC 2068, section 19.7.1.1).
const KEEP_ALIVE: &str = "keep-alive";

/// Time before the announced timeout from which a connection is no longer used. A request that is
/// sent while the server closes the connection has an unknown outcome.
const CLOSE_MARGIN: Duration = Duration::from_millis(200);

/// Returns for how long the connection may be idle and still be used; `None` without a timeout.
pub fn idle_time_max(map: &HeaderMap) -> Option<Duration> {
    let parameters = map.get(KEEP_ALIVE)?.to_str().ok()?.split(',');
    let timeout = parameters.filter_map(|parameter| parameter.split_once('=')).find_map(
        |(name, value)| {
            let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
            is_timeout.then(|| value.trim().parse().ok()).flatten()
        },
    )?;
    Some(Duration::from_secs(timeout).saturating_sub(CLOSE_MARGIN))
}
