//! Plays loads against the decisions, with a virtual clock and one service, or a chain of them.
//!
//! It is a test of decisions, not a simulator of clusters: targets with slots and slowdowns,
//! entries with links to them, callers with deadlines, and nothing else. A fixed seed gives the
//! same run every time.

mod baseline;
mod clock;
mod entry;
mod gate;
mod player;
pub mod routed;
pub mod scenario;
pub mod scenarios;
mod tally;
mod target;

pub use self::{
    player::play,
    scenario::{Fleet, Policy, Scenario},
    tally::{Summary, Tally},
};
