//! What the head of a routed request says.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, header, request::Parts};
use yuccarack_platform_wire::headers;

use crate::protocol::refusal::{Reason, Refusal};

/// Longest time that a caller may give, so that a nonsense value doesn't hold memory for days.
const TIME_LEFT_MAX: Duration = Duration::from_secs(300);

/// What the head of a routed request says.
#[derive(Clone, Debug)]
pub struct RoutedHead {
    /// The caller's name of the request.
    pub request_id: HeaderValue,
    /// When its caller gives up, where it says so.
    pub deadline: Option<Instant>,
    /// Host without the port.
    pub host: String,
}

impl RoutedHead {
    /// Reads the head of a request that came at `now`.
    ///
    /// # Errors
    ///
    /// A refusal; nothing ran.
    pub fn parse(parts: &Parts, now: Instant) -> Result<Self, Refusal> {
        let bad = || Refusal::not_run(Reason::BadRequest);
        let map = &parts.headers;
        let request_id =
            single_value(map, &headers::REQUEST_ID).ok_or_else(bad)?.ok_or_else(bad)?;
        let left = single_value(map, &headers::TIME_LEFT_MS).ok_or_else(bad)?;
        let deadline = match left {
            None => None,
            Some(text) => Some(now + parse_time_left(text).ok_or_else(bad)?),
        };
        let host = host(parts).ok_or_else(bad)?;
        Ok(Self { request_id: request_id.clone(), deadline, host })
    }
}

/// The one value of a header; two values can't both be meant.
#[expect(clippy::option_option, reason = "twice, absent and there are three cases")]
fn single_value<'a>(
    map: &'a HeaderMap,
    name: &header::HeaderName,
) -> Option<Option<&'a HeaderValue>> {
    let mut values = map.get_all(name).iter();
    let first = values.next();
    match values.next() {
        None => Some(first),
        Some(_) => None,
    }
}

fn parse_time_left(text: &HeaderValue) -> Option<Duration> {
    let ms: f64 = text.to_str().ok()?.trim().parse().ok()?;
    let is_time = (0.0..=1e12).contains(&ms);
    is_time.then(|| Duration::from_secs_f64(ms / 1_000.0).min(TIME_LEFT_MAX))
}

/// The host that a request names, without the port.
pub fn host(parts: &Parts) -> Option<String> {
    if let Some(host) = parts.uri.host() {
        return Some(host.to_owned());
    }
    let host = single_value(&parts.headers, &header::HOST)??.to_str().ok()?;
    host.split(':').next().filter(|name| !name.is_empty()).map(str::to_owned)
}
