//! Settings file of a daemon.

mod check;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
};

use crate::{
    faults::{self, FileError},
    ids::{DomainName, InstanceId},
    schema::Kind,
};

/// Schema of the settings file.
pub const SCHEMA: Kind = check::SETTINGS;

pub(crate) use check::LOG;

/// Error of loading a settings file.
pub type SettingsError = FileError;

wire_data! {
    /// Settings of a daemon, read at its start.
    pub struct DaemonSettings {
        /// Name of this instance, unique in the fleet.
        pub instance: InstanceId,
        /// Failure domain of this instance.
        pub failure_domain: DomainName,
        /// Listen address of the entry, for callers.
        pub call_address: SocketAddr,
        /// Listen address of the gate, for other daemons.
        pub gate_address: SocketAddr,
        /// Listen address for announcements of targets, requests of operators and counters.
        pub admin_address: SocketAddr,
        /// Listen address for control messages of other daemons.
        pub control_address: SocketAddr,
        /// Advertised address of the gate; defaults to `gate_address`.
        #[serde(default)]
        pub told_gate_address: Option<SocketAddr>,
        /// Advertised address for control messages; defaults to `control_address`.
        #[serde(default)]
        pub told_control_address: Option<SocketAddr>,
        /// Address of the platform's table service and object store.
        pub platform_address: SocketAddr,
        /// Control addresses of the daemons to query if the platform is unavailable at start.
        #[serde(default)]
        pub seed_peers: Vec<SocketAddr>,
        /// Address that counters are sent to; unset, they are available only on the admin address.
        #[serde(default)]
        pub statsd_address: Option<SocketAddr>,
        /// Addresses from which targets may announce themselves.
        #[serde(default = "defaults::loopback")]
        pub announce_from: Vec<IpAddr>,
        /// Addresses from which operators may send requests.
        #[serde(default = "defaults::loopback")]
        pub admin_from: Vec<IpAddr>,
        /// Number of threads that serve calls.
        #[serde(default = "defaults::call_threads")]
        pub call_threads: u8,
        /// Format and level of the logs.
        #[serde(default)]
        pub log: LogSettings,
        /// Times and sizes that rarely need another value.
        #[serde(default)]
        pub budgets: BudgetSettings,
    }

    /// How state changes are logged.
    #[serde(default)]
    pub struct LogSettings {
        /// Format of a line.
        pub format: LogFormat,
        /// Lowest level that is written.
        pub level: LogLevel,
    }

    /// Times and sizes of the daemon itself.
    #[serde(default)]
    pub struct BudgetSettings {
        /// Maximum size of a request head, in bytes.
        pub head_max_bytes: u32,
        /// Maximum size of a body that is buffered for another attempt, in bytes.
        pub replay_body_max_bytes: u32,
        /// Time without an announcement after which a target counts as leaving, in ms.
        pub announce_timeout_ms: u32,
        /// Interval between two exchanges with the peers of a service, in ms.
        pub gossip_interval_ms: u32,
        /// Time for which a stopping daemon still accepts new calls as an entry, in ms.
        pub drain_notice_ms: u32,
        /// Maximum time that a stopping daemon waits for requests in flight, in ms.
        pub drain_max_ms: u32,
        /// Timeout for a response of the platform, in ms.
        pub platform_timeout_ms: u32,
    }
}

wire_kind! {
    /// Format of a log line.
    #[derive(Default)]
    pub enum LogFormat {
        /// One JSON object per line.
        #[default]
        Json,
        /// Readable text for a terminal.
        Terminal,
    }

    /// Severity of a log line.
    #[derive(Default)]
    pub enum LogLevel {
        /// A failure that needs an operator.
        Error,
        /// A degraded state that needs no operator at once.
        Warning,
        /// A change of state.
        #[default]
        Info,
        /// Details for developers.
        Debug,
    }
}

impl DaemonSettings {
    /// Loads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// [`FileError::Unreadable`], or [`FileError::Invalid`] with all errors of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&faults::read(path)?)
    }

    /// Parses and validates `text`.
    ///
    /// # Errors
    ///
    /// [`FileError::Invalid`] with all errors of the text.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        faults::parse(text, check::find_faults)
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info }
    }
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            head_max_bytes: 32 * 1024,
            replay_body_max_bytes: 64 * 1024,
            announce_timeout_ms: 3_000,
            gossip_interval_ms: 1_000,
            drain_notice_ms: 1_000,
            drain_max_ms: 30_000,
            platform_timeout_ms: 500,
        }
    }
}

mod defaults {
    use super::{IpAddr, Ipv4Addr};

    pub fn loopback() -> Vec<IpAddr> {
        vec![IpAddr::V4(Ipv4Addr::LOCALHOST)]
    }

    pub fn call_threads() -> u8 {
        2
    }
}
