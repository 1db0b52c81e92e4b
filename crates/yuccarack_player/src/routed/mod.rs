//! Simulates a chain of services to evaluate the policies for routed calls, on a virtual clock.
//!
//! The slowdown of a target changes several times a second, and grows near full slots and after a
//! start. Runs of services call other services; callers arrive in bursts, and some retry at once.
//! Only the queueing and placement policies are tested: networks and processes aren't simulated.

mod chain;
mod credit;
pub mod load;
mod queue;

pub use self::{
    chain::play_chain,
    credit::{EarnedValue, OutcomeCounts, RequestOutcome},
    load::{ChainScenario, REQUEST_KINDS, SCENARIOS},
};

/// Queueing and placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The work queue and placement of `yuccarack_policy`; named `decided` in tables.
    Yuccarack,
    /// FIFO queue over all slots, at a random target.
    FifoRandom,
    /// FIFO queue at the shorter of two random queues, whose lengths are known without delay.
    FifoShortest,
}

impl Policy {
    /// All policies, in the order of the table.
    pub const ALL: [Self; 3] = [Self::Yuccarack, Self::FifoRandom, Self::FifoShortest];

    /// Returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yuccarack => "decided",
            Self::FifoRandom => "fifo_random",
            Self::FifoShortest => "fifo_shortest",
        }
    }
}
