//! What a gate asks of the keeper of claims, and what it hears.

use std::time::{Duration, Instant};

use yuccarack_config::ids::{AttemptId, Fingerprint, IdempotencyKey, ServiceName};
use yuccarack_platform::rows::RecordedOutcome;

use super::claim::Claim;

/// A gate's wish to run a request that must not repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Service that the request is for.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// This attempt; no two requests to a keeper may share one.
    pub attempt: AttemptId,
    /// Tells a resend from another request under the same key.
    pub fingerprint: Fingerprint,
    /// Instant from which on the request isn't handed over any more.
    pub dispatch_deadline: Instant,
}

/// Whether the gate may run the request.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// This attempt alone may run.
    Granted(Claim),
    /// An earlier attempt runs, or its outcome is unknown; the request isn't run again.
    InProgress,
    /// An earlier attempt has run; this was its outcome.
    Recorded(RecordedOutcome),
    /// The key was used for another request.
    KeyReused,
    /// The store can't tell; it is proved that this attempt doesn't run.
    StoreUnavailable {
        /// Time after which another try is worth it.
        retry_after: Duration,
    },
}
