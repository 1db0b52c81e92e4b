//! Availability of the platform's table at the latest request.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use yuccarack_platform::PlatformError;

/// Whether the store responds; clones share it.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    is_unavailable: Arc<AtomicBool>,
}

impl StoreHealth {
    /// Starts with the store considered available.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the latest request got no response.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable.load(Ordering::Relaxed)
    }

    /// Records the result of a request; returns whether the availability changed.
    pub fn record<T>(&self, result: &Result<T, PlatformError>) -> bool {
        let is_unavailable = match result {
            Ok(_) | Err(PlatformError::Conflict { .. }) => false,
            Err(_) => true,
        };
        self.is_unavailable.swap(is_unavailable, Ordering::Relaxed) != is_unavailable
    }
}
