//! Simulates load on one service or on a chain of services to evaluate the policies of
//! `yuccarack_policy`, on a virtual clock.
//!
//! It tests policies and doesn't simulate a cluster: there are targets with slots and slowdowns,
//! entries with links to them and callers with deadlines, and nothing else. A fixed seed gives the
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
