//! What runs in a daemon, and the words that end it.

use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Parents of all that a daemon spawns, joined in this order.
#[derive(Clone, Default)]
pub struct Tasks {
    /// Connections of callers.
    pub calls: TaskTracker,
    /// Connections of other daemons, and claimed requests that outlive them.
    pub gate: TaskTracker,
    /// Everything else.
    pub background: TaskTracker,
}

/// Words that end parts of a daemon, said in this order.
#[derive(Clone, Default)]
pub struct StopTokens {
    /// Callers are to take their next call elsewhere.
    pub leaving: CancellationToken,
    /// Other daemons are to send their next request elsewhere.
    pub gate_leaving: CancellationToken,
    /// No call is taken any more.
    pub calls: CancellationToken,
    /// No request of another daemon is taken any more.
    pub gate: CancellationToken,
    /// The rest ends.
    pub background: CancellationToken,
}
