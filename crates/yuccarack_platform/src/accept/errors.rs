//! Why a rules file was not accepted, or isn't known to be.

use thiserror::Error;
use yuccarack_config::{
    ids::{Revision, ServiceName},
    wire_data,
};

use crate::errors::PlatformError;

wire_data! {
    /// A service that changed after the file's `based_on`.
    pub struct ServiceConflict {
        /// The service.
        pub service: ServiceName,
        /// Revision of its last change.
        pub revision: Revision,
    }
}

/// Why it isn't said that a file was accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// Services changed since; nothing was written, and this attempt never will be.
    #[error("{} service(s) changed since revision {based_on}", .services.len())]
    Conflict {
        /// Revision that the file was based on.
        based_on: Revision,
        /// The services that changed.
        services: Vec<ServiceConflict>,
    },
    /// Another file was accepted under this apply id; nothing was written.
    #[error("apply id {apply_id} stands for another file, accepted at revision {revision}")]
    ApplyIdTaken {
        /// The apply id.
        apply_id: String,
        /// Revision of the other file.
        revision: Revision,
    },
    /// Nothing was written, for certain.
    #[error("not accepted, nothing was written: {0}")]
    NotAccepted(#[source] PlatformError),
    /// A write went out and its fate could not be found out in time.
    #[error("unknown whether apply id {apply_id} was accepted: {source}")]
    UnknownOutcome {
        /// The apply id, to ask or to run again with.
        apply_id: String,
        /// Why it could not be found out.
        source: PlatformError,
    },
}
