//! What is proved of a request over all its tries.

use std::sync::atomic::{AtomicUsize, Ordering};

use http::{HeaderValue, Response};
use yuccarack_config::headers;

use crate::protocol::{body::CallBody, refusal::Outcome};

/// Counts the tries that may have run.
///
/// Failure: the first try's link breaks after hand-over, the second try is refused, and its
/// `not_run` reaches the caller although the first one ran. So `not_run` goes out only when it is
/// proved of every try, abandoned hedges included.
#[derive(Debug, Default)]
pub struct OutcomeTracker {
    may_have_run_count: AtomicUsize,
}

impl OutcomeTracker {
    /// Starts before the first try.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a try goes out.
    pub fn record_sent(&self) {
        self.may_have_run_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes the proof that a try did not run.
    pub fn record_not_run(&self) {
        self.may_have_run_count.fetch_sub(1, Ordering::AcqRel);
    }

    /// What is proved now.
    pub fn outcome(&self) -> Outcome {
        match self.may_have_run_count.load(Ordering::Acquire) {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Corrects an answer that speaks of its own try only.
    pub fn correct_outcome(&self, response: &mut Response<CallBody>) {
        let is_reported_not_run =
            Outcome::from_headers(response.headers()) == Some(Outcome::NotRun);
        if is_reported_not_run && self.outcome() == Outcome::Unknown {
            let unknown = HeaderValue::from_static(Outcome::Unknown.as_str());
            response.headers_mut().insert(headers::OUTCOME, unknown);
        }
    }
}
