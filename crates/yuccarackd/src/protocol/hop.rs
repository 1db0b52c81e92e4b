//! What an entry tells a gate of a routed request, in one header.

use std::{net::SocketAddr, str::FromStr};

use thiserror::Error;
use yuccarack_config::{
    ids::{AttemptId, ServiceName},
    routing::RoutingVersion,
};

use super::call::format_id;

/// Name of the header.
pub const HOP: &str = "yuccarack-hop";

/// Separator of the fields; no service name and no address has it.
const SEPARATOR: char = ';';

/// What an entry tells a gate of a routed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// This try.
    pub attempt: AttemptId,
    /// Service that has to run it.
    pub service: ServiceName,
    /// Requests of one kind take alike long.
    pub kind: u64,
    /// Time after which nobody waits for the answer, in ms from the sending on.
    pub left_ms: u32,
    /// Time within which the answer is of full use, in ms from the sending on.
    pub on_time_left_ms: u32,
    /// How urgent it is; 0 is the most urgent.
    pub rank: u8,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether it may wait at the gate.
    pub may_wait: bool,
    /// Routing table of the entry.
    pub routing_version: RoutingVersion,
    /// Gate address of the entry's daemon, where its news can be had.
    pub sender: SocketAddr,
}

/// A hop header in another form.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the hop header can't be read")]
pub struct HopError;

impl std::fmt::Display for Hop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{};{};{:x};{};{};{};{};{};{};{}",
            format_id(self.attempt),
            self.service,
            self.kind,
            self.left_ms,
            self.on_time_left_ms,
            self.rank,
            u8::from(self.is_repeatable),
            u8::from(self.may_wait),
            self.routing_version,
            self.sender,
        )
    }
}

impl FromStr for Hop {
    type Err = HopError;

    fn from_str(text: &str) -> Result<Self, HopError> {
        let mut fields = text.split(SEPARATOR);
        let mut next = || fields.next().ok_or(HopError);
        // What a newer daemon says behind these is passed over.
        Ok(Self {
            attempt: u128::from_str_radix(next()?, 16).map_err(|_| HopError)?,
            service: next()?.to_owned(),
            kind: u64::from_str_radix(next()?, 16).map_err(|_| HopError)?,
            left_ms: value(next()?)?,
            on_time_left_ms: value(next()?)?,
            rank: value(next()?)?,
            is_repeatable: flag(next()?)?,
            may_wait: flag(next()?)?,
            routing_version: value(next()?)?,
            sender: value(next()?)?,
        })
    }
}

fn value<T: FromStr>(text: &str) -> Result<T, HopError> {
    text.parse().map_err(|_| HopError)
}

fn flag(text: &str) -> Result<bool, HopError> {
    match text {
        "0" => Ok(false),
        "1" => Ok(true),
        _ => Err(HopError),
    }
}
