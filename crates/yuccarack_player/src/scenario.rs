//! What is played: a fleet, its callers, their work and the faults.

use std::time::Duration;

/// How requests are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decisions of this project.
    Yuccarack,
    /// Any target.
    Random,
    /// One after the other at each entry.
    RoundRobin,
    /// Least in flight on reports 100 ms old, with the entry's own requests since then.
    LeastInFlight,
    /// The better of two random targets on the same reports.
    PowerOfTwo,
}

/// Targets and entries of one service.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The fleet's name in tables.
    pub name: &'static str,
    /// Targets of the service.
    pub targets: usize,
    /// Entries through which callers come.
    pub entries: usize,
    /// Failure domains, over which targets and entries are spread evenly.
    pub domains: usize,
    /// One way between failure domains.
    pub link_delay: Duration,
    /// Whether the service's requests may run more than once.
    pub is_repeatable: bool,
}

/// Who calls.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Callers in all.
    pub count: u64,
    /// The first so many of them are heavy.
    pub heavy: u64,
    /// Share of all calls that heavy callers make.
    pub heavy_share: f64,
}

/// What calls ask for.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Mean time of a short request on an idle target.
    pub mean: Duration,
    /// Share of calls that are long, on their own route.
    pub long_share: f64,
    /// How many times longer a long request is.
    pub long_factor: f64,
    /// Share of slots that the long route may fill, in percent.
    pub long_slots_percent: u8,
}

/// More load now and then.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Time between two bursts' starts.
    pub interval: Duration,
    /// How long one lasts.
    pub duration: Duration,
    /// How many times the load it is.
    pub factor: f64,
}

/// What goes wrong with targets.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Every target stalls at random times.
    Stalls {
        /// Mean time between two stalls of a target.
        mean_interval: Duration,
        /// Shortest stall.
        shortest: Duration,
        /// Longest stall.
        longest: Duration,
        /// How many times slower it is meanwhile.
        factor: f64,
    },
    /// A neighbour moves on from target to target and slows each for a while.
    NoisyNeighbour {
        /// How long it stays.
        duration: Duration,
        /// How many times slower the target is meanwhile.
        factor: f64,
    },
    /// The first target is slow for a time.
    Slow {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
        /// How many times slower it is.
        factor: f64,
    },
    /// The first target fails every request at once for a time.
    FailsFast {
        /// From when.
        from: Duration,
        /// Until when.
        until: Duration,
    },
    /// The first target says it is idle and quick, whatever is true.
    FalseReports,
    /// Targets are slow until they have answered some requests.
    ColdStart,
    /// Targets slow down beyond this many requests at once.
    OverstatedSlots {
        /// Requests that a target really runs at once.
        real_slots: u16,
    },
    /// The first failure domain is cut off from a time on.
    DomainLoss {
        /// From when.
        from: Duration,
    },
}

/// One thing to play.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The story's name in tables.
    pub name: &'static str,
    /// Targets and entries.
    pub fleet: Fleet,
    /// Offered load as a share of the capacity of healthy targets.
    pub load: f64,
    /// Time in which calls arrive.
    pub duration: Duration,
    /// Time that each call has.
    pub deadline: Duration,
    /// Who calls.
    pub callers: Callers,
    /// What they ask for.
    pub workload: Workload,
    /// Bursts, if any.
    pub burst: Option<Burst>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// Slots of every target.
pub const SLOTS: u16 = 10;

/// Connections that a target takes, which bounds its queue where no gate does.
pub const CONNECTIONS: usize = 250;

impl Policy {
    /// All that are compared.
    pub const ALL: [Self; 5] =
        [Self::Yuccarack, Self::Random, Self::RoundRobin, Self::LeastInFlight, Self::PowerOfTwo];

    /// The policy's name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yuccarack => "yuccarack",
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::PowerOfTwo => "power_of_two",
        }
    }
}

impl Workload {
    /// Mean time over short and long requests.
    pub fn overall_mean(&self) -> Duration {
        self.mean.mul_f64(1.0 + self.long_share * (self.long_factor - 1.0))
    }
}

impl Scenario {
    /// Calls a second that healthy targets can do.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = self.fleet.targets as f64 * f64::from(SLOTS);
        slots / self.workload.overall_mean().as_secs_f64()
    }
}
