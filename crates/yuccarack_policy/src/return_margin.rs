//! Ends the wait at a gate so early that the refusal reaches the entry before the deadline.
//!
//! Used for routed calls.
//!
//! A request that still waits in a gate's queue when its entry gives up has not run, but the entry
//! has no proof: it can't tell the request from one that a target runs, and its caller must not
//! repeat it. Under high load 1,774 of 60,129 requests ended so. The gate therefore refuses a
//! request that has no slot some time before the deadline. A run that started in that time would
//! end too late anyway, as its response needs the same way.

use std::time::{Duration, Instant};

/// Time by which the wait at a gate ends before the deadline of the entry.
///
/// A request and its refusal take 2 to 7 ms between failure domains, and the queue settles a wait
/// up to 5 ms late. With 10 ms, 1 of 20 refusals arrived after the deadline at a round trip of 6 ms.
/// The time is fixed, since a gate doesn't report how long a request waited and ran, and the
/// smallest duration of an attempt contains the service time.
pub const RETURN_MARGIN: Duration = Duration::from_millis(15);

/// Returns until when a request may wait at a gate whose response is due at `deadline`.
pub fn wait_until(deadline: Instant, margin: Duration) -> Instant {
    deadline.checked_sub(margin).unwrap_or(deadline)
}

/// Returns the remaining time of a request without a response, less the time in which a further
/// gate would only refuse it. An attempt in that time would end at the deadline without a proof,
/// after the gate before it has given one.
pub fn time_for_another_attempt(time_left: Duration, margin: Duration) -> Duration {
    time_left.saturating_sub(margin)
}
