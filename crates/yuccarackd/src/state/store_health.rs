//! Whether the platform's table answered when it was last asked.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use yuccarack_platform::PlatformError;

/// Whether the store answers; clones share it.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    is_unavailable: Arc<AtomicBool>,
}

impl StoreHealth {
    /// Starts with the store taken for present.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the last question got no answer.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable.load(Ordering::Relaxed)
    }

    /// Takes the result of a question in; says whether the store went or came back with it.
    pub fn record<T>(&self, result: &Result<T, PlatformError>) -> bool {
        let is_unavailable = match result {
            Ok(_) | Err(PlatformError::Conflict { .. }) => false,
            Err(_) => true,
        };
        self.is_unavailable.swap(is_unavailable, Ordering::Relaxed) != is_unavailable
    }
}
