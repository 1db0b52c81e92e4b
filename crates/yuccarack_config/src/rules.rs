//! Rules files of operators: services with their routes, limits and budgets.

mod check;

use std::path::Path;

use crate::{
    faults::{self, FileError},
    ids::{Revision, ServiceName},
    schema::Kind,
};

/// Schema of a rules file.
pub const SCHEMA: Kind = check::RULES;

/// Error of loading a rules file.
pub type RulesError = FileError;

wire_data! {
    /// A rules file, which is applied completely or not at all.
    pub struct RulesFile {
        /// Version of the file format, always 1.
        pub format: u32,
        /// Revision that the file was written against; a service that changed later is a conflict.
        #[serde(default)]
        pub based_on: Revision,
        /// Services that the file defines; services that it doesn't name stay unchanged.
        pub services: Vec<ServiceRules>,
        /// Services that the file removes.
        #[serde(default)]
        pub removed: Vec<ServiceName>,
    }

    /// Rules of one service.
    pub struct ServiceRules {
        /// Name of the service.
        pub name: ServiceName,
        /// Routes of the service; the first one that matches a request applies.
        pub routes: Vec<RouteRules>,
        /// Queue limits of each gate.
        #[serde(default)]
        pub limits: LimitRules,
        /// Retries by the entry.
        #[serde(default)]
        pub retry: RetryRules,
        /// Hedged requests by the entry.
        #[serde(default)]
        pub hedge: HedgeRules,
        /// Cost limits of measuring a target's load.
        #[serde(default)]
        pub measuring: MeasuringRules,
        /// Ejection of failing targets.
        #[serde(default)]
        pub ejection: EjectionRules,
    }

    /// Rules of one route of a service.
    pub struct RouteRules {
        /// Name of the route in counters.
        pub name: String,
        /// HTTP methods that the route matches; empty for all.
        #[serde(default)]
        pub methods: Vec<String>,
        /// Path prefix that the route matches.
        pub path_prefix: String,
        /// Whether a request may run more than once; unset, only safe methods may.
        #[serde(default)]
        pub repeatable: Option<bool>,
        /// Deadline of a call whose caller sends none, in ms.
        #[serde(default = "defaults::deadline_ms")]
        pub deadline_ms: u32,
        /// Share of a target's slots that the route may occupy, in percent.
        #[serde(default = "defaults::slot_share_percent")]
        pub slot_share_percent: u8,
    }

    /// Queue limits of each gate.
    #[serde(default)]
    pub struct LimitRules {
        /// Maximum number of requests in a gate's queue.
        pub queue_length_max: u16,
        /// Maximum wait in a gate's queue, in ms.
        pub queue_wait_max_ms: u32,
        /// Share of slots and queue that one caller may occupy while others compete for them, in
        /// percent.
        pub caller_share_percent: u8,
    }

    /// Retries of a request by the entry.
    #[serde(default)]
    pub struct RetryRules {
        /// Retries per hundred first attempts.
        pub budget_percent: u8,
        /// Maximum number of attempts of one request, including the first.
        pub tries_max: u8,
    }

    /// Hedged requests: the entry sends a request to a second target before the first one responds.
    #[serde(default)]
    pub struct HedgeRules {
        /// Hedges per hundred first attempts; 0 turns hedging off.
        pub budget_percent: u8,
        /// Percentile of the observed response times after which a hedge is sent.
        pub after_percentile: u8,
        /// Minimum delay before a hedge, in ms.
        pub delay_min_ms: u32,
    }

    /// Cost limits of measuring the load of a target.
    #[serde(default)]
    pub struct MeasuringRules {
        /// Bytes of load reports read per second.
        pub bytes_per_s_max: u32,
        /// Load reports requested per 1,000 seconds.
        pub requests_per_1000s_max: u32,
        /// Time that load reports may be in flight, in ms per second.
        pub time_ms_per_s_max: u32,
    }

    /// Ejection of failing targets.
    #[serde(default)]
    pub struct EjectionRules {
        /// Maximum share of a service's targets that may be ejected at the same time, in percent.
        pub share_max_percent: u8,
        /// Number of consecutive failures after which a target is ejected.
        pub failures_in_row: u8,
    }
}

impl RulesFile {
    /// Loads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// [`FileError::Unreadable`], or [`FileError::Invalid`] with all errors of the file.
    pub fn load(path: &Path) -> Result<Self, RulesError> {
        Self::parse(&faults::read(path)?)
    }

    /// Parses and validates `text`.
    ///
    /// # Errors
    ///
    /// [`FileError::Invalid`] with all errors of the text.
    pub fn parse(text: &[u8]) -> Result<Self, RulesError> {
        faults::parse(text, check::find_faults)
    }
}

impl Default for LimitRules {
    fn default() -> Self {
        Self { queue_length_max: 128, queue_wait_max_ms: 250, caller_share_percent: 50 }
    }
}

impl Default for RetryRules {
    fn default() -> Self {
        Self { budget_percent: 10, tries_max: 3 }
    }
}

impl Default for HedgeRules {
    fn default() -> Self {
        Self { budget_percent: 5, after_percentile: 95, delay_min_ms: 2 }
    }
}

impl Default for MeasuringRules {
    fn default() -> Self {
        Self { bytes_per_s_max: 512, requests_per_1000s_max: 1000, time_ms_per_s_max: 20 }
    }
}

impl Default for EjectionRules {
    fn default() -> Self {
        Self { share_max_percent: 50, failures_in_row: 5 }
    }
}

impl RouteRules {
    /// Returns whether the route matches a request of `method` for `path`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && path.starts_with(&self.path_prefix)
    }

    /// Returns whether a request of `method` may run more than once.
    ///
    /// Unless the operator sets `repeatable`, only the safe methods of HTTP may (RFC 9110,
    /// section 9.2.1).
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE"))
    }
}

mod defaults {
    pub fn deadline_ms() -> u32 {
        2_000
    }

    pub fn slot_share_percent() -> u8 {
        100
    }
}
