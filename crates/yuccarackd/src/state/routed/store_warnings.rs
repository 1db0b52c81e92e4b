//! Warnings that the store may have lost polls.

use std::sync::Arc;

use tokio::sync::watch;

/// Warnings that the store may have lost polls, raised by this daemon or received from another one;
/// clones share them.
#[derive(Clone, Debug, Default)]
pub struct StoreWarnings {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Number of warnings raised by this daemon.
    raised: watch::Sender<u64>,
    /// Number of all warnings.
    all: watch::Sender<u64>,
}

impl StoreWarnings {
    /// Starts without warnings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises a warning, which is also sent to other daemons.
    pub fn raise(&self) {
        self.inner.raised.send_modify(|count| *count += 1);
        self.receive();
    }

    /// Notes a warning of another daemon.
    pub fn receive(&self) {
        self.inner.all.send_modify(|count| *count += 1);
    }

    /// Subscribes to the warnings that this daemon raises.
    pub fn subscribe_raised(&self) -> watch::Receiver<u64> {
        self.inner.raised.subscribe()
    }

    /// Subscribes to all warnings.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.all.subscribe()
    }
}
