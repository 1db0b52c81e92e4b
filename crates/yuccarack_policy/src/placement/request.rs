//! What is expected of a request whose gate is chosen.

use std::time::Duration;

use crate::link_pacing::SHORT_MAX_BYTES;

/// Response time by which a gate in another failure domain must be better than a local one.
///
/// A round trip between failure domains takes 1 to 3 ms of it. The rest stands for the traffic
/// between them, which operators pay for: 5 kB cost as much as 6 % of the value of a response that
/// arrives in time.
pub const REMOTE_PENALTY: Duration = Duration::from_millis(150);

/// Size of a response for which the penalty is [`REMOTE_PENALTY`].
const PENALTY_BYTES: f64 = 5_000.0;

/// Largest penalty, about the longest time that callers wait.
const PENALTY_MAX: Duration = Duration::from_secs(3);

/// Expected cost of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedRequest {
    /// Mean service time, for gates that have not reported one.
    pub mean_service_time: Duration,
    /// Usual size of the response; `None` while no route has large responses or the size is unknown.
    pub response_bytes: Option<u64>,
}

impl ExpectedRequest {
    /// Returns whether the response is paced.
    pub fn has_long_response(&self) -> bool {
        self.response_bytes.is_some_and(|bytes| bytes > SHORT_MAX_BYTES)
    }

    /// Returns the response time by which a gate in another failure domain must be better than a
    /// local one. It grows with the size of the response, as the traffic does. For short ones it stays
    /// the same: with less, gates that are full in one domain overload those of the others.
    pub fn remote_penalty(&self) -> Duration {
        self.response_bytes.map_or(REMOTE_PENALTY, |bytes| {
            let penalty = REMOTE_PENALTY.mul_f64(bytes as f64 / PENALTY_BYTES);
            penalty.clamp(REMOTE_PENALTY, PENALTY_MAX)
        })
    }
}

impl From<Duration> for ExpectedRequest {
    fn from(mean_service_time: Duration) -> Self {
        Self { mean_service_time, response_bytes: None }
    }
}
