//! Which share of a kind of request is let in while its runs fail for want of another service.
//!
//! The pattern is a small service that many runs of another one call. When it is short, a run whose
//! call is turned away fails after it has held a slot, its other calls have taken room for nothing,
//! and its caller comes back at once: most of what both services do is then done in vain. So an entry
//! lets in fewer of that kind for each run that fails while some other service turns requests away,
//! and more for each that ends well. What isn't let in has not run, and its caller is told when to
//! come back.

use std::time::{Duration, Instant};

use rand::Rng;

/// Part of the share that a failed run takes; ten to one against [`MORE`], so that one in ten fails
/// where the share settles.
const LESS: f64 = 0.1;

/// What a good run adds to the share.
const MORE: f64 = 0.01;

/// Least share that is let in, by which it is seen that there is room again.
const SHARE_MIN: f64 = 0.1;

/// Time for which one refusal means that a service is short.
const SHORT_FOR: Duration = Duration::from_millis(500);

/// Whether a service has turned requests away just now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    refused_at: Option<Instant>,
}

impl Shortage {
    /// Notes that it turned a request away for want of room.
    pub fn refused(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Whether it is short.
    pub fn is_short(&self, now: Instant) -> bool {
        self.refused_at.is_some_and(|at| now.saturating_duration_since(at) < SHORT_FOR)
    }
}

/// How the run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// Its target answered well.
    Good,
    /// Its target answered that it failed.
    Failed,
}

/// The share of one kind of request that is let in.
#[derive(Clone, Copy, Debug)]
pub struct FutileRuns {
    share: f64,
}

impl FutileRuns {
    /// Starts with letting all in.
    pub fn new() -> Self {
        Self { share: 1.0 }
    }

    /// The share that is let in.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether a request that comes now is let in.
    pub fn lets_in(&self, rng: &mut impl Rng) -> bool {
        self.share >= 1.0 || rng.random::<f64>() < self.share
    }

    /// Notes how a run ended while another service `is_short` or not.
    pub fn ended(&mut self, result: RunResult, is_short: bool) {
        self.share = match result {
            RunResult::Failed if is_short => (self.share * (1.0 - LESS)).max(SHARE_MIN),
            RunResult::Failed => self.share,
            RunResult::Good => (self.share + MORE).min(1.0),
        };
    }
}

impl Default for FutileRuns {
    fn default() -> Self {
        Self::new()
    }
}
