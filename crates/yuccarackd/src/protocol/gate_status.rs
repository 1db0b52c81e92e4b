//! Status of a gate, which goes with each response to a routed request in one header.
//!
//! Responses to other requests carry a [`GateLoadReport`](yuccarack_config::load::GateLoadReport).

use std::{str::FromStr, time::Duration};

use thiserror::Error;
use yuccarack_config::routing::RoutingVersion;
use yuccarack_policy::placement::GateLoad;

use super::target_announcement::TargetAnnouncement;

/// Name of the header.
pub const GATE_STATUS: &str = "yuccarack-gate";

/// Status of a gate: its load and the version of its routing table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateStatus {
    /// Load of the gate.
    pub load: GateLoad,
    /// Version of the gate's routing table, 0 for none.
    pub routing_version: RoutingVersion,
    /// What the target announced with a response; `None` if nothing that holds now.
    pub announcement: Option<TargetAnnouncement>,
}

/// A malformed gate status header.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the gate status header is malformed")]
pub struct GateStatusError;

impl std::fmt::Display for GateStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let GateLoad { running, waiting, limit, mean_service_time, slowdown, .. } = self.load;
        let (service_us, slowdown_percent) =
            (mean_service_time.as_micros(), (slowdown * 100.0).round());
        write!(f, "{running},{waiting},{limit},{service_us},{slowdown_percent},")?;
        write!(f, "{}", self.routing_version)?;
        // Daemons of an earlier version ignore further fields.
        match self.announcement {
            Some(announcement) => {
                write!(f, ",{},{announcement}", self.load.admits_in.as_micros())
            }
            None => Ok(()),
        }
    }
}

impl FromStr for GateStatus {
    type Err = GateStatusError;

    fn from_str(text: &str) -> Result<Self, GateStatusError> {
        let mut fields = text.split(',');
        let mut next = || fields.next().ok_or(GateStatusError);
        let mut load = GateLoad {
            running: value(next()?)?,
            waiting: value(next()?)?,
            limit: value(next()?)?,
            mean_service_time: Duration::from_micros(value(next()?)?),
            slowdown: f64::from(value::<u32>(next()?)?) / 100.0,
            rate_limit: None,
            admits_in: Duration::ZERO,
        };
        let routing_version = value(next()?)?;
        let mut announcement = None;
        if let Ok(admits_in) = next() {
            let announced: TargetAnnouncement = value(next()?)?;
            load.admits_in = Duration::from_micros(value(admits_in)?);
            load.rate_limit = announced.rate_limit;
            announcement = Some(announced);
        }
        Ok(Self { load, routing_version, announcement })
    }
}

fn value<T: FromStr>(text: &str) -> Result<T, GateStatusError> {
    text.parse().map_err(|_| GateStatusError)
}
