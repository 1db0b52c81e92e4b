//! Heartbeats, leave notices and load reports of targets, independent of their wire format.

use std::net::SocketAddr;

use crate::ids::{DomainName, ServiceName};

/// Name of a target; a restarted process may reuse it.
pub type TargetId = String;

/// Start time of a target's process, in ms since 1970 by the target's clock; 0 if it reports none.
///
/// Distinguishes processes that have the same name, and orders them.
pub type TargetIncarnation = u64;

wire_kind! {
    /// Whether a target accepts requests.
    pub enum TargetPhase {
        /// It accepts requests.
        Ready,
        /// It completes the requests that it has and then exits.
        Draining,
    }
}

wire_data! {
    /// A periodic liveness report of a target.
    pub struct Heartbeat {
        /// Name of the target.
        pub target: TargetId,
        /// Incarnation of the target.
        pub life: TargetIncarnation,
        /// Sequence number within the incarnation; a heartbeat with a lower one is outdated.
        pub sequence: u64,
        /// Service that the target provides.
        pub service: ServiceName,
        /// Address on which the target accepts requests.
        pub address: SocketAddr,
        /// Failure domain of the target.
        pub failure_domain: DomainName,
        /// Number of requests that the target runs concurrently.
        pub slots: u16,
        /// Whether the target accepts requests.
        pub phase: TargetPhase,
        /// Remaining time for which the target is still cold after its start, in ms.
        pub cold_for_ms: u32,
    }

    /// A notice of a target that it leaves.
    pub struct Leave {
        /// Name of the target.
        pub target: TargetId,
        /// Incarnation of the target, if it reports one.
        pub life: Option<TargetIncarnation>,
    }

    /// Load that a target reports with a response.
    #[derive(Copy, Default)]
    pub struct TargetLoad {
        /// Number of running requests.
        pub running: u16,
        /// Number of requests in the target's own queue.
        pub waiting: u16,
        /// Number of requests that the target runs concurrently.
        pub slots: u16,
        /// Current slowdown: service time in percent of the usual service time.
        pub pace_percent: Option<u16>,
    }
}
