//! The operating system's words to stop and to read the settings anew.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The operating system's, when signals can't be watched.
pub async fn wait() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Tells of each SIGHUP.
///
/// # Errors
///
/// The operating system's, when signals can't be watched.
pub fn reload_signals() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
