//! Signals of the operating system to stop and to reload the settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// I/O error if a signal handler can't be installed.
pub async fn wait() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns a stream that yields once for each SIGHUP.
///
/// # Errors
///
/// I/O error if a signal handler can't be installed.
pub fn reload_signals() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
