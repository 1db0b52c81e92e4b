//! Updates on requests that may crash targets, exchanged by the daemons of one service.

use yuccarack_config::{
    ids::{Fingerprint, InstanceId, ServiceName},
    wire_data, wire_kind,
};

wire_kind! {
    /// Change in the state of a crash suspect.
    pub enum SuspectEvent {
        /// A target died while it ran the request.
        TargetDied,
        /// The request crashed a second target and isn't run for some time.
        Quarantined,
        /// The request runs alone on one target.
        TrialStarted,
        /// The trial ended without a result.
        TrialAbandoned,
        /// The request ran alone and its target survived.
        Cleared,
    }
}

wire_data! {
    /// One event of one crash suspect.
    pub struct SuspectUpdate {
        /// Service that the request is for.
        pub service: ServiceName,
        /// Fingerprint that identifies the request.
        pub fingerprint: Fingerprint,
        /// The event.
        pub event: SuspectEvent,
        /// Instance that observed the event.
        pub instance: InstanceId,
    }
}
