//! Responses of the admin endpoint.

use yuccarack_config::{
    ids::{DomainName, Incarnation, InstanceId, Revision, ServiceName},
    wire_data, wire_kind,
};
use yuccarack_platform::rows::TargetState;

use super::announce::Announcement;

wire_kind! {
    /// Availability of the platform's table at the last request.
    pub enum StoreStatus {
        /// The table responded.
        Reachable,
        /// The table did not respond.
        Away,
    }
}

wire_data! {
    /// Response to `GET /status`.
    pub struct StatusReport {
        /// Id of this instance.
        pub instance: InstanceId,
        /// Failure domain of this instance.
        pub failure_domain: DomainName,
        /// Incarnation of this instance, once its target has announced itself.
        pub incarnation: Option<Incarnation>,
        /// Lifecycle state of the target; one that stopped announcing itself counts as draining.
        pub target_state: Option<TargetState>,
        /// Latest announcement of the target.
        pub target: Option<Announcement>,
        /// Services known to this daemon.
        pub services: Vec<ServiceStatus>,
        /// Availability of the store.
        pub store: StoreStatus,
        /// Whether this daemon is stopping.
        pub is_draining: bool,
    }

    /// What this daemon knows of one service.
    pub struct ServiceStatus {
        /// Name of the service.
        pub name: ServiceName,
        /// Whether the target of this instance belongs to the service.
        pub is_own: bool,
        /// Whether rules are in force.
        pub has_rules: bool,
        /// Version of the rules, or of their removal.
        pub rules_revision: Revision,
        /// Number of its targets.
        pub members: usize,
        /// Number that rises with each change.
        pub generation: u64,
    }

    /// Response to a request that the admin endpoint refused.
    pub struct Refusal {
        /// Reason, in snake case.
        pub reason: String,
        /// Details for the operator.
        pub detail: String,
    }
}
