//! Checks whether a process listens on an address.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, time::timeout};

/// Returns whether a connection to `address` is accepted within `connect_timeout`, and closes it.
///
/// A suspended process still counts as listening: its kernel completes connections for it.
pub async fn is_listening(address: SocketAddr, connect_timeout: Duration) -> bool {
    matches!(timeout(connect_timeout, TcpStream::connect(address)).await, Ok(Ok(_)))
}
