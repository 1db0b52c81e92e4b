//! Plays a chain of services against the decisions of routed calls, with a virtual clock.
//!
//! Targets shift their pace several times a second, slow down near full slots and after a start;
//! requests of services call other services; callers come in bursts, and some return early. It shows
//! what queue and placement decide, and nothing of networks, processes or faults.

mod chain;
mod credit;
pub mod load;
mod queue;

pub use self::{
    chain::play_chain,
    credit::{Credit, OutcomeCounts, RequestOutcome},
    load::{LOADS, Load, REQUEST_KINDS},
};

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// This project's queue and placement.
    Yuccarack,
    /// First come, first served in all slots, at a target drawn at random.
    FifoRandom,
    /// The same at the shorter of two queues, known without delay.
    FifoShortest,
}

impl Policy {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Yuccarack, Self::FifoRandom, Self::FifoShortest];

    /// Its name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yuccarack => "decided",
            Self::FifoRandom => "fifo_random",
            Self::FifoShortest => "fifo_shortest",
        }
    }
}
