//! Announcement that a target sends to the daemon of its instance.

use std::net::SocketAddr;

use yuccarack_config::{ids::ServiceName, wire_data};
use yuccarack_platform::rows::TargetState;

wire_data! {
    /// Body of `POST /announce`, sent about once a second and on each change.
    pub struct Announcement {
        /// Service that the target serves.
        pub service: ServiceName,
        /// Number that differs between two starts of the target.
        pub boot_id: u64,
        /// Address on which the target accepts calls.
        pub call_address: SocketAddr,
        /// Path of the load report of the target, if it serves one.
        #[serde(default)]
        pub load_path: Option<String>,
        /// Number of requests that the target runs at once.
        pub slots: u16,
        /// Number of connections that the target accepts.
        pub connections_max: u16,
        /// Lifecycle state of the target.
        pub state: TargetState,
    }
}

impl Announcement {
    /// Checks the constraints that the types don't express.
    ///
    /// # Errors
    ///
    /// Returns the first constraint that is violated.
    pub fn check(&self) -> Result<(), AnnounceError> {
        if self.service.is_empty() || !self.service.bytes().all(is_service_byte) {
            return Err(AnnounceError::Service);
        }
        if self.slots == 0 {
            return Err(AnnounceError::Slots);
        }
        if self.connections_max == 0 {
            return Err(AnnounceError::Connections);
        }
        let path_is_right = self.load_path.as_ref().is_none_or(|path| path.starts_with('/'));
        if !path_is_right {
            return Err(AnnounceError::LoadPath);
        }
        Ok(())
    }
}

/// Reason why an announcement is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnnounceError {
    /// The service name is empty or contains a byte that isn't allowed in a host name.
    #[error("service: letters, digits, '-', '.' and '_' are accepted")]
    Service,
    /// A target without slots can't serve requests.
    #[error("slots: 1 to 65535 are accepted")]
    Slots,
    /// A target that accepts no connections can't be reached.
    #[error("connections_max: 1 to 65535 are accepted")]
    Connections,
    /// The load path doesn't start with `/`.
    #[error("load_path: has to start with '/'")]
    LoadPath,
}

fn is_service_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_')
}
