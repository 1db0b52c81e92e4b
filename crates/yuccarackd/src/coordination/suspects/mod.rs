//! Quarantine of requests that crash targets. A suspect is announced to up to 64 other members of
//! the service within milliseconds, and to the rest when they poll the table. It runs alone on one
//! target at a time, and is refused once the targets of two instances have crashed with it.
//!
//! A trial is a conditional write to the suspect's row in the table, so that two gates can't both
//! run it. See docs/AT_MOST_ONCE.md.

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
