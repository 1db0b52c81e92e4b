//! Settings of a daemon that serves routed calls beside one target.

mod check;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Deserializer, de::Error};

use crate::{
    decisions::Decisions,
    faults::{self, FileError},
    ids::{DomainName, InstanceId, RegionName, ServiceName},
    routing::RoutingTable,
    routing_file::RoutingFile,
    schema::Kind,
    settings::LogSettings,
};

/// What may stand in such a settings file.
pub const SCHEMA: Kind = check::SETTINGS;

wire_data! {
    /// All that a daemon for routed calls is told at its start.
    pub struct RoutedSettings {
        /// Name of this instance.
        pub instance: InstanceId,
        /// Failure domain of this instance.
        pub failure_domain: DomainName,
        /// Region of each failure domain of the fleet.
        #[serde(default)]
        pub regions: Vec<DomainRegion>,
        /// Service of the target on this instance.
        pub service: ServiceName,
        /// Address on which callers of this instance reach the entry.
        pub call_address: SocketAddr,
        /// Address on which other daemons reach the gate.
        pub gate_address: SocketAddr,
        /// Address that other daemons are told for the gate; unset, the one that it listens on.
        #[serde(default)]
        pub gate_told_address: Option<SocketAddr>,
        /// Address on which the target says that it lives.
        pub liveness_address: SocketAddr,
        /// Address on which it is asked whether this daemon takes calls.
        pub readiness_address: SocketAddr,
        /// Address on which counters and histograms are read.
        pub metrics_address: SocketAddr,
        /// Address of the table service.
        pub store_address: SocketAddr,
        /// Whether the whole fleet starts for the first time: no rows stand yet, and all daemons come
        /// within a second of each other.
        #[serde(default)]
        pub is_first_start: bool,
        /// File with a routing table in this project's own format; unset, the store has it.
        #[serde(default)]
        pub routing_file: Option<PathBuf>,
        /// Logs.
        #[serde(default)]
        pub log: LogSettings,
        /// Lines about requests a second, in percent of the usual bounds; 0 writes none.
        #[serde(default = "defaults::log_lines_percent")]
        pub log_lines_percent: u16,
        /// Times and shares that the operators set for the whole fleet.
        #[serde(default)]
        pub bounds: RoutedBounds,
        /// Decisions under load that are in use.
        #[serde(default)]
        pub decisions: Decisions,
    }

    /// The region of one failure domain.
    pub struct DomainRegion {
        /// The failure domain.
        pub failure_domain: DomainName,
        /// Its region.
        pub region: RegionName,
    }

    /// Times and shares that hold for the whole fleet.
    #[serde(default)]
    pub struct RoutedBounds {
        /// Time between two heartbeats of a target, in ms.
        #[serde(deserialize_with = "rounded_down")]
        pub heartbeat_ms: u32,
        /// Time between the word to stop and the end of the process, in ms.
        #[serde(deserialize_with = "rounded_down")]
        pub stop_max_ms: u32,
        /// Time out of reach after which an instance is taken for gone, in ms.
        #[serde(deserialize_with = "rounded_down")]
        pub gone_after_ms: u32,
        /// Tries beyond the first for each hundred requests of a service.
        #[serde(deserialize_with = "rounded_down")]
        pub extra_tries_percent: u8,
        /// Tries beyond the first that all daemons together may make besides.
        #[serde(deserialize_with = "rounded_down")]
        pub extra_tries: u32,
        /// Requests that a cold target may get, in percent of the rate that its service bears.
        #[serde(deserialize_with = "rounded_down")]
        pub cold_excess_percent: u32,
        /// Requests that a cold target may get in a second besides.
        #[serde(deserialize_with = "rounded_down")]
        pub cold_slack: u32,
    }
}

impl RoutedSettings {
    /// Reads and checks the file at `path`, and the routing file that it names.
    ///
    /// # Errors
    ///
    /// A file can't be read, or all of its faults.
    pub fn load(path: &Path) -> Result<Self, FileError> {
        let settings = Self::parse(&faults::read(path)?)?;
        settings.routing()?;
        Ok(settings)
    }

    /// Checks `text` whole and makes settings of it.
    ///
    /// # Errors
    ///
    /// All faults of the text.
    pub fn parse(text: &[u8]) -> Result<Self, FileError> {
        faults::parse(text, check::faults)
    }

    /// The routing table of the file that is named, if one is.
    ///
    /// # Errors
    ///
    /// The file can't be read, or all of its faults.
    pub fn routing(&self) -> Result<Option<RoutingTable>, FileError> {
        let file = self.routing_file.as_deref().map(RoutingFile::load).transpose()?;
        Ok(file.map(RoutingFile::into_table))
    }

    /// Region of `failure_domain`, where it is known.
    pub fn region_of(&self, failure_domain: &str) -> Option<&RegionName> {
        let known = self.regions.iter().find(|known| known.failure_domain == failure_domain);
        known.map(|known| &known.region)
    }

    /// Where other daemons reach the gate.
    pub fn advertised_gate_address(&self) -> SocketAddr {
        self.gate_told_address.unwrap_or(self.gate_address)
    }
}

/// Reads a number that may have a fraction: operators derive bounds from figures for a whole fleet.
///
/// # Errors
///
/// It is no number, or none of the type.
fn rounded_down<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = f64::deserialize(deserializer)?;
    // Below zero or beyond the type, a cast gives the nearest number, which the check has refused.
    T::try_from(number as u64).map_err(|_| D::Error::custom(format!("{number} is out of range")))
}

mod defaults {
    /// The usual bounds fit a tenth of a core: at the most 160 lines a second, 20 us each, 0.3 % of one.
    pub fn log_lines_percent() -> u16 {
        100
    }
}

impl Default for RoutedBounds {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_500,
            stop_max_ms: 6_000,
            gone_after_ms: 600_000,
            extra_tries_percent: 20,
            extra_tries: 60,
            cold_excess_percent: 100,
            cold_slack: 0,
        }
    }
}
