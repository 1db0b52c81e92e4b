//! News about requests that may crash targets, from daemon to daemon of one service.

use yuccarack_config::{
    ids::{Fingerprint, InstanceId, ServiceName},
    wire_data, wire_kind,
};

wire_kind! {
    /// What became known of a suspect.
    pub enum SuspectEvent {
        /// A target died with it in flight.
        TargetDied,
        /// It crashed a second target and isn't run for a time.
        Quarantined,
        /// It runs alone on one target.
        TrialStarted,
        /// Its trial ended before anything was learned.
        TrialAbandoned,
        /// It ran alone and its target lives.
        Cleared,
    }
}

wire_data! {
    /// One event of one suspect.
    pub struct SuspectUpdate {
        /// Service that the request is for.
        pub service: ServiceName,
        /// What the request is recognised by.
        pub fingerprint: Fingerprint,
        /// What became known.
        pub event: SuspectEvent,
        /// Instance that saw it.
        pub instance: InstanceId,
    }
}
