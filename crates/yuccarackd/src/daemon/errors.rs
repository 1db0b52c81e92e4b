//! Errors that end a daemon.

use std::{io, net::SocketAddr};

use thiserror::Error;

use crate::coordination::control_plane::ControlError;

/// Why a daemon failed to start, to run or to stop without cutting off calls.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The Tokio runtime could not be built.
    #[error("can't build the async runtime")]
    Runtime(#[source] io::Error),
    /// A listener could not be bound.
    #[error("can't listen on {address}: {cause}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// I/O error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// The socket to the statsd collector could not be opened.
    #[error("can't open the socket for sending counters")]
    Counters(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("can't install a signal handler")]
    Signal(#[source] io::Error),
    /// The control plane failed to start or to stop.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// Tasks were still running when the time for stopping was over.
    #[error("calls or tasks still ran at the stop deadline (drain_max_ms or stop_max_ms)")]
    DrainTimeout,
}
