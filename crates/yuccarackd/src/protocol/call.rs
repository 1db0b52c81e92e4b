//! Parses the head of a request: service, caller, deadline, idempotency key and ids.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use http::{HeaderMap, header, request::Parts};
use rand::Rng;
use thiserror::Error;
use yuccarack_config::{
    headers,
    ids::{AttemptId, CallerId, IdempotencyKey, RequestId, ServiceName},
};

/// Longest deadline that a caller may set.
const DEADLINE_MAX: Duration = Duration::from_secs(300);

/// Longest idempotency key that is accepted.
const KEY_MAX_BYTES: usize = 200;

/// Largest depth of nested calls. A deeper chain is a loop of services that call each other.
const DEPTH_MAX: u8 = 32;

/// An invalid request head.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// Neither the service header nor the host names a service.
    #[error("neither the service header nor the host names a service")]
    NoService,
    /// The value of a header is malformed or out of range.
    #[error("header {0} has an invalid value")]
    BadHeader(&'static str),
}

/// Properties of a call according to the head of its request.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Service that the call is for.
    pub service: ServiceName,
    /// Caller that the call is accounted to.
    pub caller: CallerId,
    /// Instant at which the caller gives up, if the caller set a deadline.
    pub deadline: Option<Instant>,
    /// Idempotency key, if the caller set one.
    pub key: Option<IdempotencyKey>,
    /// Id shared by all attempts of the call.
    pub request_id: RequestId,
    /// Id of the attempt, if a daemon has assigned one.
    pub attempt: Option<AttemptId>,
    /// Number of services that the chain of calls has passed through.
    pub depth: u8,
}

impl CallHead {
    /// Parses the head of a request that came from `peer` at `now`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that names the header at fault.
    pub fn parse(
        parts: &Parts,
        peer: IpAddr,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Self, CallError> {
        let map = &parts.headers;
        let caller = text(map, headers::CALLER)?.map_or_else(|| peer.to_string(), str::to_owned);
        Ok(Self {
            service: service(parts)?,
            caller,
            deadline: deadline(map, now)?,
            key: key(map)?,
            request_id: id(map, headers::REQUEST_ID)?.unwrap_or_else(|| rng.random()),
            attempt: id(map, headers::ATTEMPT_ID)?,
            depth: depth(map)?,
        })
    }
}

/// Formats an id as headers carry it.
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}

/// Returns the time until `deadline` in ms, as the deadline header carries it; 0 once it has
/// passed.
pub fn remaining_ms(deadline: Instant, now: Instant) -> u64 {
    let left = deadline.saturating_duration_since(now).as_millis();
    u64::try_from(left).unwrap_or(u64::MAX)
}

fn service(parts: &Parts) -> Result<ServiceName, CallError> {
    if let Some(name) = text(&parts.headers, headers::SERVICE)? {
        return Ok(name.to_owned());
    }
    let host = match parts.uri.host() {
        Some(host) => host,
        None => text(&parts.headers, header::HOST.as_str())?.ok_or(CallError::NoService)?,
    };
    match host.split(':').next() {
        None | Some("") => Err(CallError::NoService),
        Some(name) => Ok(name.to_owned()),
    }
}

fn deadline(map: &HeaderMap, now: Instant) -> Result<Option<Instant>, CallError> {
    let Some(text) = text(map, headers::DEADLINE_MS)? else {
        return Ok(None);
    };
    let ms: u64 = text.parse().map_err(|_| CallError::BadHeader(headers::DEADLINE_MS))?;
    Ok(Some(now + Duration::from_millis(ms).min(DEADLINE_MAX)))
}

fn key(map: &HeaderMap) -> Result<Option<IdempotencyKey>, CallError> {
    match text(map, headers::IDEMPOTENCY_KEY)? {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > KEY_MAX_BYTES => {
            Err(CallError::BadHeader(headers::IDEMPOTENCY_KEY))
        }
        Some(key) => Ok(Some(key.to_owned())),
    }
}

fn depth(map: &HeaderMap) -> Result<u8, CallError> {
    let Some(text) = text(map, headers::DEPTH)? else {
        return Ok(1);
    };
    match text.parse() {
        Ok(depth) if (1..=DEPTH_MAX).contains(&depth) => Ok(depth),
        _ => Err(CallError::BadHeader(headers::DEPTH)),
    }
}

fn id(map: &HeaderMap, name: &'static str) -> Result<Option<u128>, CallError> {
    let Some(text) = text(map, name)? else {
        return Ok(None);
    };
    u128::from_str_radix(text, 16).map(Some).map_err(|_| CallError::BadHeader(name))
}

/// Returns the only value of a header. Two values are rejected, since they contradict each other.
fn text<'a>(map: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, CallError> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(CallError::BadHeader(name));
    }
    value.to_str().map(Some).map_err(|_| CallError::BadHeader(name))
}
