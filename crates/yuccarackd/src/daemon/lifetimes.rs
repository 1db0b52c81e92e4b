//! Trackers of a daemon's tasks and the tokens that stop them.

use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Trackers of all tasks that a daemon spawns; a stop waits for them in this order.
#[derive(Clone, Default)]
pub struct Tasks {
    /// Connections of callers.
    pub calls: TaskTracker,
    /// Connections of other daemons, and claimed requests that outlive them.
    pub gate: TaskTracker,
    /// All other tasks.
    pub background: TaskTracker,
}

/// Tokens that stop parts of a daemon; a stop cancels them in this order.
#[derive(Clone, Default)]
pub struct StopTokens {
    /// The daemon is draining. Callers should send their next call elsewhere: responses close their
    /// connections.
    pub leaving: CancellationToken,
    /// The gate is draining. Other daemons should send their next request elsewhere: the gate
    /// refuses them. Used for routed calls only; [`Daemon::stop`](super::Daemon::stop) calls the
    /// gate's `drain` instead.
    pub gate_leaving: CancellationToken,
    /// No call is accepted any more.
    pub calls: CancellationToken,
    /// Calls whose bodies have not arrived are abandoned. Used for routed calls only.
    pub late_bodies: CancellationToken,
    /// No request of another daemon is accepted any more.
    pub gate: CancellationToken,
    /// All other tasks end.
    pub background: CancellationToken,
}
