//! Looks whether somebody listens at an address.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, time::timeout};

/// Whether a connection to `address` is taken within `connect_timeout`; it is closed at once.
///
/// A process that is suspended still listens: its system takes connections for it.
pub async fn is_listening(address: SocketAddr, connect_timeout: Duration) -> bool {
    matches!(timeout(connect_timeout, TcpStream::connect(address)).await, Ok(Ok(_)))
}
