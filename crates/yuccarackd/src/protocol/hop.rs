//! Metadata of a routed request that an entry sends to a gate in one header.

use std::{net::SocketAddr, str::FromStr};

use thiserror::Error;
use yuccarack_config::{
    ids::{AttemptId, ServiceName},
    organisations::OrganisationId,
    routing::RoutingVersion,
};

use super::{call::format_id, target_announcement::TargetAnnouncement};

/// Name of the header.
pub const HOP: &str = "yuccarack-hop";

/// Separator of the fields. Neither service names nor addresses contain it.
const SEPARATOR: char = ';';

/// Metadata of a routed request, from the entry to the gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Service that has to run the request.
    pub service: ServiceName,
    /// Hash of the name of the request's route, computed by the entry. Requests of one route have
    /// similar service times.
    pub route_hash: u64,
    /// Time until nobody waits for the response any more, in ms from sending.
    pub left_ms: u32,
    /// Time within which the response counts as on time, in ms from sending.
    pub soft_deadline_left_ms: u32,
    /// Priority of the request; 0 is the most urgent.
    pub rank: u8,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the request may wait at the gate.
    pub may_wait: bool,
    /// Version of the entry's routing table.
    pub routing_version: RoutingVersion,
    /// Gate address of the entry's daemon, which serves updates to the gate.
    pub sender: SocketAddr,
    /// What the gate's target announced with a response that the entry passed on; `None` if nothing
    /// that holds by what the entry knows.
    pub announcement: Option<TargetAnnouncement>,
    /// Organisation of the request; `None` for an anonymous one.
    pub organisation: Option<HopOrganisation>,
}

/// Organisation of a request, from the entry that authenticated it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopOrganisation {
    /// Priority of the organisation; 0 is the most urgent.
    pub rank: u8,
    /// Id of the organisation.
    pub id: OrganisationId,
}

/// A malformed hop header.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the hop header is malformed")]
pub struct HopError;

impl std::fmt::Display for Hop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{};{};{:x};{};{};{};{};{};{};{}",
            format_id(self.attempt),
            self.service,
            self.route_hash,
            self.left_ms,
            self.soft_deadline_left_ms,
            self.rank,
            u8::from(self.is_repeatable),
            u8::from(self.may_wait),
            self.routing_version,
            self.sender,
        )?;
        if let Some(announcement) = self.announcement {
            write!(f, "{SEPARATOR}{announcement}")?;
        }
        if let Some(HopOrganisation { rank, id }) = self.organisation {
            // The fields have fixed positions, so that of the announcement stays empty without one.
            let filler = if self.announcement.is_none() { ";" } else { "" };
            write!(f, "{filler}{SEPARATOR}{rank}{SEPARATOR}{id:x}")?;
        }
        Ok(())
    }
}

impl FromStr for Hop {
    type Err = HopError;

    fn from_str(text: &str) -> Result<Self, HopError> {
        let mut fields = text.split(SEPARATOR);
        let mut next = || fields.next().ok_or(HopError);
        // Further fields, which a newer daemon may append, are ignored.
        Ok(Self {
            attempt: u128::from_str_radix(next()?, 16).map_err(|_| HopError)?,
            service: next()?.to_owned(),
            route_hash: u64::from_str_radix(next()?, 16).map_err(|_| HopError)?,
            left_ms: value(next()?)?,
            soft_deadline_left_ms: value(next()?)?,
            rank: value(next()?)?,
            is_repeatable: flag(next()?)?,
            may_wait: flag(next()?)?,
            routing_version: value(next()?)?,
            sender: value(next()?)?,
            announcement: next().ok().and_then(|text| text.parse().ok()),
            organisation: match (next(), next()) {
                (Ok(rank), Ok(id)) => Some(HopOrganisation {
                    rank: value(rank)?,
                    id: u64::from_str_radix(id, 16).map_err(|_| HopError)?,
                }),
                _ => None,
            },
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
