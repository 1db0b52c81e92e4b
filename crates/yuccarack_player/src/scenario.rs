//! Scenarios: a fleet, its callers, their workload and the faults.

use std::time::Duration;

/// Load balancing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The policies of `yuccarack_policy`.
    Yuccarack,
    /// A random target.
    Random,
    /// Targets in turn, separately at each entry.
    RoundRobin,
    /// Fewest requests in flight, by reports polled every 100 ms plus the requests that the entry
    /// has sent since.
    LeastInFlight,
    /// The less loaded of two random targets, by the same reports.
    PowerOfTwo,
}

/// Targets and entries of one service.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Name in tables.
    pub name: &'static str,
    /// Targets of the service.
    pub targets: usize,
    /// Entries that accept the calls.
    pub entries: usize,
    /// Failure domains, across which targets and entries are spread evenly.
    pub domains: usize,
    /// One-way delay between failure domains.
    pub link_delay: Duration,
    /// Whether the service's requests may run more than once.
    pub is_repeatable: bool,
}

/// Callers and the distribution of calls among them.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Number of callers.
    pub count: u64,
    /// Number of heavy callers among them.
    pub heavy: u64,
    /// Share of all calls that heavy callers make.
    pub heavy_share: f64,
}

/// Service times of requests.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Mean service time of a short request on an idle target.
    pub mean: Duration,
    /// Share of calls that are long, on their own route.
    pub long_share: f64,
    /// Service time of a long request relative to that of a short one.
    pub long_factor: f64,
    /// Share of slots that the long route may fill, in percent.
    pub long_slots_percent: u8,
}

/// Periodic bursts of load.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Time between the starts of two bursts.
    pub interval: Duration,
    /// Duration of one burst.
    pub duration: Duration,
    /// Factor on the load during a burst.
    pub factor: f64,
}

/// Fault of one target or of several.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Every target slows down at random times.
    Stalls {
        /// Mean time between stalls of a target.
        mean_interval: Duration,
        /// Shortest stall.
        shortest: Duration,
        /// Longest stall.
        longest: Duration,
        /// Factor on the service time during a stall.
        factor: f64,
    },
    /// Other load on the hosts moves from target to target and slows each down for a while.
    NoisyNeighbour {
        /// Time that it stays at one target.
        duration: Duration,
        /// Factor on the service time meanwhile.
        factor: f64,
    },
    /// The first target is slow for a period.
    Slow {
        /// Start of the period.
        from: Duration,
        /// End of the period.
        until: Duration,
        /// Factor on the service time meanwhile.
        factor: f64,
    },
    /// The first target fails every request at once for a period.
    FailsFast {
        /// Start of the period.
        from: Duration,
        /// End of the period.
        until: Duration,
    },
    /// The first target always reports that it is idle and fast.
    FalseReports,
    /// All targets start cold and are slow until they have served some requests.
    ColdStart,
    /// Targets announce more slots than they can run without slowing down.
    OverstatedSlots {
        /// Concurrent requests above which a target slows down.
        real_slots: u16,
    },
    /// The first failure domain is cut off for the rest of the run.
    DomainLoss {
        /// Time of the loss.
        from: Duration,
    },
}

/// One simulated load with its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in tables.
    pub name: &'static str,
    /// Targets and entries.
    pub fleet: Fleet,
    /// Offered load as a share of the capacity of healthy targets.
    pub load: f64,
    /// Time in which calls arrive.
    pub duration: Duration,
    /// Time from the arrival of a call to its deadline.
    pub deadline: Duration,
    /// Callers and their shares of the calls.
    pub callers: Callers,
    /// Service times of the requests.
    pub workload: Workload,
    /// Bursts, if any.
    pub burst: Option<Burst>,
    /// Faults during the run.
    pub faults: Vec<Fault>,
}

/// Slots that every target announces.
pub const SLOTS: u16 = 10;

/// Connections that a target accepts; bounds its queue under a baseline, where no gate does.
pub const CONNECTIONS: usize = 250;

impl Policy {
    /// All policies, in the order of the table.
    pub const ALL: [Self; 5] =
        [Self::Yuccarack, Self::Random, Self::RoundRobin, Self::LeastInFlight, Self::PowerOfTwo];

    /// Returns the name in tables.
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
    /// Returns the mean service time over short and long requests.
    pub fn overall_mean(&self) -> Duration {
        self.mean.mul_f64(1.0 + self.long_share * (self.long_factor - 1.0))
    }
}

impl Scenario {
    /// Returns the calls per second that healthy targets can serve.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = self.fleet.targets as f64 * f64::from(SLOTS);
        slots / self.workload.overall_mean().as_secs_f64()
    }
}
