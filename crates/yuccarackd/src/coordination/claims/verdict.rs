//! A gate's request for a claim, and the verdict.

use std::time::{Duration, Instant};

use yuccarack_config::ids::{AttemptId, Fingerprint, IdempotencyKey, ServiceName};
use yuccarack_platform::rows::RecordedOutcome;

use super::claim::Claim;

/// Request for a claim on the idempotency key of one attempt, which must not run without it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Idempotency key that the caller chose.
    pub key: IdempotencyKey,
    /// Id of this attempt; each claim request of a tracker needs its own.
    pub attempt: AttemptId,
    /// Fingerprint of the request, which distinguishes a resend from another request with the same
    /// key.
    pub fingerprint: Fingerprint,
    /// Time after which the request isn't dispatched any more.
    pub dispatch_deadline: Instant,
}

/// Verdict whether the gate may run the request.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// Only this attempt may run.
    Granted(Claim),
    /// An earlier attempt is running or its outcome is unknown; the request isn't run again.
    InProgress,
    /// An earlier attempt has run, with this outcome.
    Recorded(RecordedOutcome),
    /// The key was used for another request.
    KeyReused,
    /// The store is unavailable; this attempt is confirmed not to run.
    StoreUnavailable {
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
}
