//! Tracks the outcome of a request over all its attempts.

use std::sync::atomic::{AtomicUsize, Ordering};

use http::{HeaderValue, Response};
use yuccarack_config::headers;

use crate::protocol::{body::CallBody, refusal::Outcome};

/// Counts the attempts that may have run.
///
/// A caller gets `not_run` only if it is confirmed for every attempt, abandoned hedges included.
/// Otherwise the connection of a first attempt could break after its dispatch, a second attempt be
/// refused, and the second one's `not_run` reach the caller although the first one ran.
#[derive(Debug, Default)]
pub struct OutcomeTracker {
    may_have_run_count: AtomicUsize,
}

impl OutcomeTracker {
    /// Creates a tracker for a request without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an attempt is sent, so it may run.
    pub fn record_sent(&self) {
        self.may_have_run_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that an attempt is confirmed not to have run.
    pub fn record_not_run(&self) {
        self.may_have_run_count.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns `NotRun` if that is confirmed for all attempts, and `Unknown` otherwise.
    pub fn outcome(&self) -> Outcome {
        match self.may_have_run_count.load(Ordering::Acquire) {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Replaces `not_run` in a response by `unknown` if another attempt may have run, as a response
    /// reports the outcome of its own attempt only.
    pub fn correct_outcome(&self, response: &mut Response<CallBody>) {
        let is_reported_not_run =
            Outcome::from_headers(response.headers()) == Some(Outcome::NotRun);
        if is_reported_not_run && self.outcome() == Outcome::Unknown {
            let unknown = HeaderValue::from_static(Outcome::Unknown.as_str());
            response.headers_mut().insert(headers::OUTCOME, unknown);
        }
    }
}
