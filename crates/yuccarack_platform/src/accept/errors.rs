//! Errors of accepting a rules file.

use thiserror::Error;
use yuccarack_config::{
    ids::{Revision, ServiceName},
    wire_data,
};

use crate::errors::PlatformError;

wire_data! {
    /// A service that changed after the `based_on` revision of the file.
    pub struct ServiceConflict {
        /// Name of the service.
        pub service: ServiceName,
        /// Revision of the service's latest change.
        pub revision: Revision,
    }
}

/// Error of accepting a rules file.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// Services changed after `based_on`; nothing was written, and no copy of this commit will be.
    #[error("conflict: {} service(s) changed since revision {based_on}", .services.len())]
    Conflict {
        /// Revision that the file is based on.
        based_on: Revision,
        /// The services that changed.
        services: Vec<ServiceConflict>,
    },
    /// The apply id was already used for another file; nothing was written.
    #[error("apply id {apply_id} was used for another file, accepted at revision {revision}")]
    ApplyIdTaken {
        /// The apply id.
        apply_id: String,
        /// Revision of the other file.
        revision: Revision,
    },
    /// It is certain that nothing was written.
    #[error("the file was not accepted, nothing was written: {0}")]
    NotAccepted(#[source] PlatformError),
    /// A commit was sent, and its outcome could not be determined before the deadline.
    #[error("whether apply id {apply_id} was accepted is unknown: {source}")]
    UnknownOutcome {
        /// The apply id, with which the outcome can be queried or the apply retried.
        apply_id: String,
        /// Error of the last request.
        source: PlatformError,
    },
}
