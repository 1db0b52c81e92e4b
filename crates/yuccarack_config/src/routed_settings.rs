//! Settings file of a daemon in routed mode, where a [routing table](crate::routing) assigns requests
//! to services. The daemon runs next to one target.

mod check;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Deserializer, de::Error};

use crate::{
    decisions::FeatureSwitches,
    errors::{self, FileError},
    ids::{DomainName, InstanceId, RegionName, ServiceName},
    routing::RoutingTable,
    routing_file::RoutingFile,
    schema::Kind,
    settings::LogSettings,
};

/// Schema of the settings file.
pub const SCHEMA: Kind = check::SETTINGS;

wire_data! {
    /// Settings of a daemon for routed calls, read at its start.
    pub struct RoutedSettings {
        /// Name of this instance, unique in the fleet.
        pub instance: InstanceId,
        /// Failure domain of this instance.
        pub failure_domain: DomainName,
        /// Region of each failure domain of the fleet.
        #[serde(default)]
        pub regions: Vec<DomainRegion>,
        /// Service of the target on this instance.
        pub service: ServiceName,
        /// Listen address of the entry, for callers on this instance.
        pub call_address: SocketAddr,
        /// Listen address of the gate, for other daemons.
        pub gate_address: SocketAddr,
        /// Advertised address of the gate; defaults to `gate_address`.
        #[serde(default)]
        pub gate_told_address: Option<SocketAddr>,
        /// Listen address for the heartbeats of the target.
        pub liveness_address: SocketAddr,
        /// Listen address for readiness probes of this daemon.
        pub readiness_address: SocketAddr,
        /// Listen address for scrapes of counters and histograms.
        pub metrics_address: SocketAddr,
        /// Address of the store.
        pub store_address: SocketAddr,
        /// Whether the fleet starts for the first time: the store has no rows yet, and all daemons
        /// start within a second of each other.
        #[serde(default)]
        pub is_first_start: bool,
        /// Path of a routing file; unset, the routing table comes from the store.
        #[serde(default)]
        pub routing_file: Option<PathBuf>,
        /// Format and level of the logs.
        #[serde(default)]
        pub log: LogSettings,
        /// Rate limit of log lines about requests, in percent of the usual limits; 0 writes none.
        #[serde(default = "defaults::log_lines_percent")]
        pub log_lines_percent: u16,
        /// Rate of the link of this instance, in kbit/s; 0 if unknown, and responses aren't paced.
        #[serde(default, deserialize_with = "rounded_down")]
        pub link_kbit_per_s: u32,
        /// Times and limits that operators set for the whole fleet.
        #[serde(default)]
        pub bounds: RoutedBounds,
        /// Switches of the scheduling and overload decisions.
        #[serde(default)]
        pub decisions: FeatureSwitches,
    }

    /// Assigns a failure domain to its region.
    pub struct DomainRegion {
        /// The failure domain.
        pub failure_domain: DomainName,
        /// The region that it belongs to.
        pub region: RegionName,
    }

    /// Times and limits that apply to the whole fleet.
    #[serde(default)]
    pub struct RoutedBounds {
        /// Interval between two heartbeats of a target, in ms.
        #[serde(deserialize_with = "rounded_down")]
        pub heartbeat_ms: u32,
        /// Longest time from the stop signal to the exit of the process, in ms.
        #[serde(deserialize_with = "rounded_down")]
        pub stop_max_ms: u32,
        /// Time after which an unreachable instance is removed from the membership, in ms.
        #[serde(deserialize_with = "rounded_down")]
        pub gone_after_ms: u32,
        /// Extra attempts per hundred requests of a service.
        #[serde(deserialize_with = "rounded_down")]
        pub extra_tries_percent: u8,
        /// Reserve of extra attempts that all daemons share, on top of the percentage.
        #[serde(deserialize_with = "rounded_down")]
        pub extra_tries: u32,
        /// Requests per second that a cold target may get, in percent of its service's cold rate; 100
        /// allows exactly that rate.
        #[serde(deserialize_with = "rounded_down")]
        pub cold_excess_percent: u32,
        /// Requests per second that a cold target may get on top of the percentage.
        #[serde(deserialize_with = "rounded_down")]
        pub cold_slack: u32,
        /// Window in which the requests of an organisation count towards its quota, in ms.
        #[serde(deserialize_with = "rounded_down")]
        pub quota_window_ms: u32,
        /// Requests of an organisation in a window above its quota, in percent of that.
        #[serde(deserialize_with = "rounded_down")]
        pub quota_excess_percent: u32,
        /// Requests of an organisation in a window above its quota, on top of the percentage.
        #[serde(deserialize_with = "rounded_down")]
        pub quota_slack: u32,
    }
}

impl RoutedSettings {
    /// Loads and validates the file at `path`, and the routing file that it names.
    ///
    /// # Errors
    ///
    /// [`FileError::Unreadable`] for either file, or [`FileError::Invalid`] with all its errors.
    pub fn load(path: &Path) -> Result<Self, FileError> {
        let settings = Self::parse(&errors::read(path)?)?;
        settings.routing()?;
        Ok(settings)
    }

    /// Parses and validates `text`.
    ///
    /// # Errors
    ///
    /// [`FileError::Invalid`] with all errors of the text.
    pub fn parse(text: &[u8]) -> Result<Self, FileError> {
        errors::parse(text, check::find_errors)
    }

    /// Loads the routing table of `routing_file`, if that is set.
    ///
    /// # Errors
    ///
    /// [`FileError::Unreadable`], or [`FileError::Invalid`] with all errors of the file.
    pub fn routing(&self) -> Result<Option<RoutingTable>, FileError> {
        let file = self.routing_file.as_deref().map(RoutingFile::load).transpose()?;
        Ok(file.map(RoutingFile::into_table))
    }

    /// Returns the region of `failure_domain`, if it is configured.
    pub fn region_of(&self, failure_domain: &str) -> Option<&RegionName> {
        let domain = self.regions.iter().find(|domain| domain.failure_domain == failure_domain);
        domain.map(|domain| &domain.region)
    }

    /// Returns the address that other daemons use for the gate.
    pub fn advertised_gate_address(&self) -> SocketAddr {
        self.gate_told_address.unwrap_or(self.gate_address)
    }
}

/// Deserializes a number rounded down: operators derive limits from figures for a whole fleet, so a
/// value may have a fraction.
///
/// # Errors
///
/// The value isn't a number, or doesn't fit into `T`.
fn rounded_down<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = f64::deserialize(deserializer)?;
    // A cast saturates below zero and above the type; the schema check has rejected such values.
    T::try_from(number as u64).map_err(|_| D::Error::custom(format!("{number} is out of range")))
}

mod defaults {
    /// At the usual limits at most 160 lines per second are written. At 20 us each they take 0.3 %
    /// of a core, well within the budget of a tenth of a core.
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
            quota_window_ms: 5_000,
            quota_excess_percent: 10,
            quota_slack: 20,
        }
    }
}
