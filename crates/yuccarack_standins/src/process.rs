//! What the stand-ins' programs share: the ready line and the wait for their end.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use tokio::signal::unix::{SignalKind, signal};
use yuccarack_config::wire_data;

wire_data! {
    /// The line that a stand-in prints when it serves.
    pub struct ReadyLine {
        /// Address it listens on.
        pub listening: SocketAddr,
        /// Address for its faults, when that is another one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub control: Option<SocketAddr>,
    }
}

/// Prints the ready line.
///
/// # Errors
///
/// Nothing can be written to the standard output.
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
/// The signals can't be listened for.
pub async fn wait_for_shutdown() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
