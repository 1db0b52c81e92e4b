//! What a request's head says of the call: service, caller, deadline, key, ids.

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

/// Longest time a caller may give a call.
const DEADLINE_MAX: Duration = Duration::from_secs(300);

/// Longest idempotency key that is kept.
const KEY_MAX_BYTES: usize = 200;

/// Deepest chain of calls; a deeper one is a loop of services calling each other.
const DEPTH_MAX: u8 = 32;

/// A head that can't be understood.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// Neither the service header nor the host names a service.
    #[error("no service is named")]
    NoService,
    /// A header's value is out of its range.
    #[error("header {0} can't be understood")]
    BadHeader(&'static str),
}

/// What a request's head says of the call.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Service it is for.
    pub service: ServiceName,
    /// Who is counted for it.
    pub caller: CallerId,
    /// When its caller gives up, where the caller said so.
    pub deadline: Option<Instant>,
    /// Its idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Its name along all attempts.
    pub request_id: RequestId,
    /// Its attempt, where a daemon has given it one.
    pub attempt: Option<AttemptId>,
    /// How many services it has come through.
    pub depth: u8,
}

impl CallHead {
    /// Reads the head of a request that came from `peer` at `now`.
    ///
    /// # Errors
    ///
    /// [`CallError`] names the header at fault.
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

/// Spells an id as headers do.
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}

/// Time left until `deadline`, as the deadline header spells it; what has passed leaves 0.
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

/// The one value of a header; two values of one name can't both be meant.
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
