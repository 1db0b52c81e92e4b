//! What a target says of itself, whatever the form in which it says so.

use std::net::SocketAddr;

use crate::ids::{DomainName, ServiceName};

/// Name of a target; a later process may have the same one.
pub type TargetId = String;

/// Start of a target's process, in ms since 1970 of its own clock; 0 where it says none.
///
/// It tells two processes of one name apart, and which of them is the later one.
pub type TargetIncarnation = u64;

wire_kind! {
    /// Whether a target takes work.
    pub enum TargetPhase {
        /// It takes work.
        Ready,
        /// It finishes what it has and will end.
        Draining,
    }
}

wire_data! {
    /// One sign of life of a target.
    pub struct Heartbeat {
        /// The target.
        pub target: TargetId,
        /// Its process.
        pub life: TargetIncarnation,
        /// Number of the heartbeat within that life; a lower one is older news.
        pub sequence: u64,
        /// Service that it serves.
        pub service: ServiceName,
        /// Where it takes requests.
        pub address: SocketAddr,
        /// Failure domain in which it runs.
        pub failure_domain: DomainName,
        /// Requests that it runs at once.
        pub slots: u16,
        /// Whether it takes work.
        pub phase: TargetPhase,
        /// Time for which it is still slow after its start, in ms.
        pub cold_for_ms: u32,
    }

    /// The word of a target that it leaves.
    pub struct Leave {
        /// The target.
        pub target: TargetId,
        /// Its process, where it says so.
        pub life: Option<TargetIncarnation>,
    }

    /// What a target says of its load with an answer.
    #[derive(Copy, Default)]
    pub struct TargetLoad {
        /// Requests that it runs.
        pub running: u16,
        /// Requests that wait at it.
        pub waiting: u16,
        /// Requests that it runs at once.
        pub slots: u16,
        /// How long work takes there at this moment, in percent of the usual time.
        pub pace_percent: Option<u16>,
    }
}
