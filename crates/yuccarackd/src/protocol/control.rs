//! Messages between daemons, written with postcard; each question gets one answer.

use std::net::SocketAddr;

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use yuccarack_config::{
    ids::{InstanceId, Revision, ServiceName},
    wire_data,
};
use yuccarack_platform::rows::{MemberRow, RulesRow};

use super::suspect_update::SuspectUpdate;

/// Largest control message that is sent or read, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 512 * 1024;

wire_data! {
    /// What a daemon asks or tells another.
    pub enum ControlRequest {
        /// Compares what both know of a service; answered by [`ControlResponse::News`].
        Sync(SyncRequest),
        /// Tells what the other was seen to lack; answered by [`ControlResponse::Taken`].
        Push(ServiceUpdate),
        /// Tells what can't wait; answered by [`ControlResponse::Taken`].
        Urgent(UrgentUpdate),
        /// Asks whether the other reaches a member of its own service; answered by
        /// [`ControlResponse::Probed`].
        Probe {
            /// Instance of the member.
            instance: InstanceId,
        },
        /// Asks for a sign of life; answered by [`ControlResponse::Taken`].
        Ping,
    }

    /// What the asker knows of a service.
    pub struct SyncRequest {
        /// The service.
        pub service: ServiceName,
        /// Version of its rules, 0 for none.
        pub rules_revision: Revision,
        /// Hash over its members, 0 for none.
        pub members_digest: u64,
        /// Whether the asker is a member of the service itself.
        pub is_member: bool,
        /// Whether to answer with all members instead of the latest changes.
        pub wants_all: bool,
    }

    /// What a daemon answers.
    pub enum ControlResponse {
        /// What the asker lacks.
        News(ServiceUpdate),
        /// The service isn't known here; these daemons may know it.
        Elsewhere {
            /// Control addresses of members of other services.
            peers: Vec<SocketAddr>,
        },
        /// Whether the member answers.
        Probed {
            /// Whether it does.
            is_reachable: bool,
        },
        /// It was taken in.
        Taken,
        /// The question can't be read, as after an upgrade of the asker.
        NotUnderstood,
    }

    /// What somebody lacks of a service.
    pub struct ServiceUpdate {
        /// The service.
        pub service: ServiceName,
        /// Version of the rules that the sender has, 0 for none.
        pub rules_revision: Revision,
        /// The rules of that version, when the receiver's are older.
        pub rules: Option<RulesRow>,
        /// Hash over the sender's members, 0 for none.
        pub members_digest: u64,
        /// Members, those that have gone included.
        pub members: Vec<MemberRow>,
        /// Whether these are all members that the sender knows.
        pub has_all_members: bool,
        /// Time after which the receiver may ask again, if it isn't a member, in ms.
        pub pace_ms: u32,
    }

    /// What can't wait for the next exchange; goes to members of the own service.
    pub enum UrgentUpdate {
        /// What became known of requests that may crash targets, in the order it happened.
        Suspects(Vec<SuspectUpdate>),
    }
}

/// Why a message can't be written or read.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is longer than [`MESSAGE_MAX_BYTES`].
    #[error("a control message of {length_bytes} bytes is too long")]
    TooLong {
        /// Its length.
        length_bytes: usize,
    },
    /// It has another form.
    #[error("a control message has another form")]
    Malformed(#[from] postcard::Error),
}

/// Writes a message.
///
/// # Errors
///
/// [`MessageError::TooLong`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, MessageError> {
    let bytes = postcard::to_stdvec(message)?;
    check_length(bytes.len())?;
    Ok(bytes)
}

/// Reads a message.
///
/// # Errors
///
/// Any [`MessageError`].
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
