//! At most once: the keeper of claims, by which a gate runs a request only if nobody else may.
//!
//! The table decides, always: nothing here answers from a cache. See docs/AT_MOST_ONCE.md.

mod batch;
mod breaker;
mod claim;
mod table;
mod tracker;
mod verdict;
mod writer;

pub use claim::{Claim, RunningClaim};
pub use tracker::ClaimTracker;
pub use verdict::{ClaimRequest, ClaimVerdict};
