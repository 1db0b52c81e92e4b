//! At-most-once execution: a gate claims the idempotency key of a request before it runs it.
//!
//! Each decision is a conditional write to the table; no claim is granted or denied from a cache.
//! See docs/AT_MOST_ONCE.md.

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
