//! Requests that crash the targets that run them: known to all members of a service within
//! milliseconds, run alone on one target at a time, refused after the second crash.
//!
//! Between two deaths a request passes through the table: a trial is a conditional write on the
//! suspect's row, so two gates can't both run it. See docs/AT_MOST_ONCE.md.

mod attempt;
mod cache;
mod event_handler;
pub mod fingerprint;
mod recorder;
mod row;
mod shared;
mod tracker;
mod trial;

pub use tracker::SuspectTracker;
pub use trial::{RunningTrial, Trial, TrialVerdict};
