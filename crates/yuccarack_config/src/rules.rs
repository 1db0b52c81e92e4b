//! The operators' rules: services, routes, limits and budgets.

mod check;

use std::path::Path;

use crate::{
    faults::{self, FileError},
    ids::{Revision, ServiceName},
    schema::Kind,
};

/// What may stand in a rules file.
pub const SCHEMA: Kind = check::RULES;

/// Why a rules file is refused.
pub type RulesError = FileError;

wire_data! {
    /// One file of an operator, applied whole or not at all.
    pub struct RulesFile {
        /// Version of this file's form, 1 today.
        pub format: u32,
        /// Revision that the operator had seen when writing; a service changed since is a conflict.
        #[serde(default)]
        pub based_on: Revision,
        /// Services that the file describes; those it doesn't name stay as they are.
        pub services: Vec<ServiceRules>,
        /// Services that the file takes away.
        #[serde(default)]
        pub removed: Vec<ServiceName>,
    }

    /// Rules of one service.
    pub struct ServiceRules {
        /// The service's name.
        pub name: ServiceName,
        /// Routes, the first that fits a request counts.
        pub routes: Vec<RouteRules>,
        /// Limits at each gate.
        #[serde(default)]
        pub limits: LimitRules,
        /// When an entry tries again.
        #[serde(default)]
        pub retry: RetryRules,
        /// When an entry asks a second target.
        #[serde(default)]
        pub hedge: HedgeRules,
        /// What measuring a target's load may cost.
        #[serde(default)]
        pub measuring: MeasuringRules,
        /// How failing targets are left out.
        #[serde(default)]
        pub ejection: EjectionRules,
    }

    /// Rules of one route of a service.
    pub struct RouteRules {
        /// The route's name in counters.
        pub name: String,
        /// Methods that the route takes; none named means all.
        #[serde(default)]
        pub methods: Vec<String>,
        /// Start of the paths that the route takes.
        pub path_prefix: String,
        /// Whether a request may run more than once; unset, only safe methods may.
        #[serde(default)]
        pub repeatable: Option<bool>,
        /// Time a call has when its caller names none, in ms.
        #[serde(default = "defaults::deadline_ms")]
        pub deadline_ms: u32,
        /// Share of a target's slots that this route may fill, in percent.
        #[serde(default = "defaults::slot_share_percent")]
        pub slot_share_percent: u8,
    }

    /// Limits at each gate.
    #[serde(default)]
    pub struct LimitRules {
        /// Most requests that wait at a gate.
        pub queue_length_max: u16,
        /// Longest wait at a gate, in ms.
        pub queue_wait_max_ms: u32,
        /// Share of slots and queue that one caller may fill while others want them, in percent.
        pub caller_share_percent: u8,
    }

    /// When an entry tries a request again.
    #[serde(default)]
    pub struct RetryRules {
        /// Retries for each hundred first tries.
        pub budget_percent: u8,
        /// Most tries of one request, the first included.
        pub tries_max: u8,
    }

    /// When an entry asks a second target before the first has answered.
    #[serde(default)]
    pub struct HedgeRules {
        /// Hedges for each hundred first tries; 0 turns hedging off.
        pub budget_percent: u8,
        /// Percentile of observed answer times after which a hedge goes out.
        pub after_percentile: u8,
        /// Shortest wait before a hedge, in ms.
        pub delay_min_ms: u32,
    }

    /// What measuring a target's load may cost it.
    #[serde(default)]
    pub struct MeasuringRules {
        /// Bytes read of load reports in a second.
        pub bytes_per_s_max: u32,
        /// Load reports asked for in a second, in thousandths.
        pub requests_per_1000s_max: u32,
        /// Time a load report may be in flight, in ms for each second.
        pub time_ms_per_s_max: u32,
    }

    /// How failing targets are left out.
    #[serde(default)]
    pub struct EjectionRules {
        /// Share of a service's targets that may be left out at once, in percent.
        pub share_max_percent: u8,
        /// Failures in a row after which a target is left out.
        pub failures_in_row: u8,
    }
}

impl RulesFile {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// The file can't be read, or all of its faults.
    pub fn load(path: &Path) -> Result<Self, RulesError> {
        Self::parse(&faults::read(path)?)
    }

    /// Checks `text` whole and makes rules of it.
    ///
    /// # Errors
    ///
    /// All faults of the text.
    pub fn parse(text: &[u8]) -> Result<Self, RulesError> {
        faults::parse(text, check::faults)
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
    /// Whether a request of `method` for `path` is this route's.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_fits && path.starts_with(&self.path_prefix)
    }

    /// Whether a request of `method` may run more than once.
    ///
    /// Without word from the operator only methods that HTTP calls safe may repeat (RFC 9110,
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
