//! Parts that the stand-in programs share: the ready line and the wait for a stop signal.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use tokio::signal::unix::{SignalKind, signal};
use yuccarack_config::wire_data;

wire_data! {
    /// JSON line that a stand-in prints once it serves.
    pub struct ReadyLine {
        /// Address that it listens on.
        pub listening: SocketAddr,
        /// Control address for faults, if it has a separate one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub control: Option<SocketAddr>,
    }
}

/// Prints the ready line on the standard output.
///
/// # Errors
///
/// The standard output can't be written.
pub fn print_ready_line(ready: &ReadyLine) -> io::Result<()> {
    let line = serde_json::to_string(ready)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The signal handlers can't be installed.
pub async fn wait_for_shutdown() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
