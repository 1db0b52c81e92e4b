//! Control messages between daemons, encoded with postcard. Each request gets one response.

use std::net::SocketAddr;

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use yuccarack_config::{
    ids::{InstanceId, Revision, ServiceName},
    wire_data,
};
use yuccarack_platform::rows::{MemberRow, RulesRow};

use super::suspect_update::SuspectUpdate;

/// Largest control message that is sent or accepted, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 512 * 1024;

wire_data! {
    /// Request of one daemon to another.
    pub enum ControlRequest {
        /// Compares what both daemons know of a service; answered by [`ControlResponse::News`].
        Sync(SyncRequest),
        /// Sends what the other daemon was found to lack; answered by [`ControlResponse::Taken`].
        Push(ServiceUpdate),
        /// Sends an update that can't wait for the next exchange; answered by
        /// [`ControlResponse::Taken`].
        Urgent(UrgentUpdate),
        /// Asks whether the other daemon reaches a member of its own service; answered by
        /// [`ControlResponse::Probed`].
        Probe {
            /// Instance of the member.
            instance: InstanceId,
        },
        /// Checks that the other daemon is alive; answered by [`ControlResponse::Taken`].
        Ping,
    }

    /// What the requesting daemon knows of a service.
    pub struct SyncRequest {
        /// The service.
        pub service: ServiceName,
        /// Version of the rules that the requester has, 0 for none.
        pub rules_revision: Revision,
        /// Hash over the members that the requester knows, 0 for none.
        pub members_digest: u64,
        /// Whether the requester is a member of the service itself.
        pub is_member: bool,
        /// Whether to respond with all members instead of the latest changes.
        pub wants_all: bool,
    }

    /// Response of a daemon to a [`ControlRequest`].
    pub enum ControlResponse {
        /// What the requester lacks.
        News(ServiceUpdate),
        /// The service isn't known to the responding daemon, but these daemons may know it.
        Elsewhere {
            /// Control addresses of members of other services.
            peers: Vec<SocketAddr>,
        },
        /// Result of a probe.
        Probed {
            /// Whether the member responded.
            is_reachable: bool,
        },
        /// The request was applied.
        Taken,
        /// The request can't be decoded, for example after an upgrade of the requester.
        NotUnderstood,
    }

    /// What the receiver lacks of a service.
    pub struct ServiceUpdate {
        /// The service.
        pub service: ServiceName,
        /// Version of the rules that the sender has, 0 for none.
        pub rules_revision: Revision,
        /// The rules of that version, if the receiver has older ones.
        pub rules: Option<RulesRow>,
        /// Hash over the sender's members, 0 for none.
        pub members_digest: u64,
        /// Member rows, including those of removed members.
        pub members: Vec<MemberRow>,
        /// Whether these are all members that the sender knows.
        pub has_all_members: bool,
        /// Least time until the next exchange if the receiver isn't a member, in ms.
        pub pace_ms: u32,
    }

    /// Update that can't wait for the next exchange; sent to members of the own service.
    pub enum UrgentUpdate {
        /// Changes of crash suspects, in the order in which they happened.
        Suspects(Vec<SuspectUpdate>),
    }
}

/// Reason why a message can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is longer than [`MESSAGE_MAX_BYTES`].
    #[error("a control message of {length_bytes} bytes exceeds the size limit")]
    TooLong {
        /// Length of the message.
        length_bytes: usize,
    },
    /// The message isn't valid postcard for its type.
    #[error("malformed control message")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`MessageError::TooLong`] for a message beyond the size limit.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, MessageError> {
    let bytes = postcard::to_stdvec(message)?;
    check_length(bytes.len())?;
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns a [`MessageError`] for a message that is malformed or beyond the size limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    check_length(bytes.len())?;
    Ok(postcard::from_bytes(bytes)?)
}

fn check_length(length_bytes: usize) -> Result<(), MessageError> {
    if length_bytes > MESSAGE_MAX_BYTES {
        return Err(MessageError::TooLong { length_bytes });
    }
    Ok(())
}
