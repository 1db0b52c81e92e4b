//! Parses and validates the head of a routed request.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, header, request::Parts};
use yuccarack_platform_wire::headers;

use crate::protocol::refusal::{Reason, Refusal};

/// Upper limit of the caller's deadline, so that an absurd value doesn't hold memory for days.
const TIME_LEFT_MAX: Duration = Duration::from_secs(300);

/// Validated head of a routed request.
#[derive(Clone, Debug)]
pub struct RoutedHead {
    /// Request ID that the caller chose.
    pub request_id: HeaderValue,
    /// When the caller gives up; `None` if it sends no deadline.
    pub deadline: Option<Instant>,
    /// Requested host without the port.
    pub host: String,
}

impl RoutedHead {
    /// Parses the head of a request that arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Reason::BadRequest`] if the request ID or the host is missing, if a
    /// header that must be unique occurs twice, or if the deadline isn't a number of milliseconds.
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
        let host = request_host(parts).ok_or_else(bad)?;
        Ok(Self { request_id: request_id.clone(), deadline, host })
    }
}

/// Returns the value of a header that may occur only once; the outer `None` means it occurs twice.
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

/// Returns the host of the request URI or else of the `Host` header, without the port.
pub fn request_host(parts: &Parts) -> Option<String> {
    if let Some(host) = parts.uri.host() {
        return Some(host.to_owned());
    }
    let host = single_value(&parts.headers, &header::HOST)??.to_str().ok()?;
    host.split(':').next().filter(|name| !name.is_empty()).map(str::to_owned)
}
