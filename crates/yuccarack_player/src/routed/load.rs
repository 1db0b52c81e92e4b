//! Configuration of the simulated chain: three services, their request kinds, and the loads and
//! faults.

use std::time::Duration;

/// Number of services in the chain.
pub const SERVICES: usize = 3;

/// Targets of each service; the first service is called by callers only, the others by services
/// too.
pub const TARGETS: [usize; SERVICES] = [6, 3, 3];

/// Slots of a target.
pub const SLOTS: u16 = 9;

/// Number of failure domains; instances are assigned to them in turn.
pub const DOMAINS: usize = 3;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name in tables.
    pub name: &'static str,
    /// Service that runs it.
    pub service: usize,
    /// Requests per second of callers; 0 for a kind that only services call.
    pub rate_per_s: f64,
    /// Service time at a target that isn't slowed down, without the call that a run makes.
    pub service_time: Duration,
    /// Time within which a response has its full value.
    pub soft_deadline: Duration,
    /// Time after which the caller stops waiting.
    pub deadline: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Value of a response within the soft deadline, and of a later one.
    pub value: (f64, f64),
    /// Request kind that a run calls, and the share of the runs that make the call.
    pub calls: Option<(usize, f64)>,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Request kinds of the Hokkaido office: reads, repair orders, deliveries, and two lookups between
/// services.
pub const REQUEST_KINDS: [RequestKind; 5] = [
    RequestKind {
        name: "read",
        service: 0,
        rate_per_s: 76.7,
        service_time: ms(160),
        soft_deadline: ms(500),
        deadline: ms(2_000),
        rank: 2,
        value: (1.0, 0.1),
        calls: Some((3, 0.5)),
    },
    RequestKind {
        name: "repair",
        service: 1,
        rate_per_s: 22.1,
        service_time: ms(210),
        soft_deadline: ms(600),
        deadline: ms(2_500),
        rank: 1,
        value: (2.0, 0.2),
        calls: Some((4, 0.5)),
    },
    RequestKind {
        name: "delivery",
        service: 2,
        rate_per_s: 16.9,
        service_time: ms(110),
        soft_deadline: ms(300),
        deadline: ms(1_200),
        rank: 0,
        value: (3.0, 0.3),
        calls: None,
    },
    RequestKind {
        name: "repair-history",
        service: 1,
        rate_per_s: 0.0,
        service_time: ms(40),
        soft_deadline: ms(150),
        deadline: ms(500),
        rank: 2,
        value: (0.0, 0.0),
        calls: None,
    },
    RequestKind {
        name: "stock-check",
        service: 2,
        rate_per_s: 0.0,
        service_time: ms(40),
        soft_deadline: ms(150),
        deadline: ms(500),
        rank: 2,
        value: (0.0, 0.0),
        calls: None,
    },
];

/// A scenario on the chain: the load and the faults during it.
#[derive(Clone, Copy, Debug)]
pub struct ChainScenario {
    /// Name in tables.
    pub name: &'static str,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Factor on the usual rate, and the start and end of the burst within each ten seconds.
    pub burst: Option<(f64, Duration, Duration)>,
    /// Share of the callers that retry a refused request at once, up to three times.
    pub immediate_retry_share: f64,
    /// Number of targets of each service that become cold at 4 s, starting with the first.
    pub cold_targets: usize,
    /// Number of targets lost from 4 s on, in each service but the first.
    pub lost_targets: usize,
    /// Runs started within one second that crash a cold target, which restarts cold; `None` if it
    /// never crashes.
    pub crash_threshold: Option<usize>,
}

const CALM: ChainScenario = ChainScenario {
    name: "calm",
    duration: ms(20_000),
    burst: None,
    immediate_retry_share: 0.0,
    cold_targets: 0,
    lost_targets: 0,
    crash_threshold: None,
};

/// Requests per second that a cold target runs without crashing, if the scenario has a crash
/// threshold.
pub const COLD_RATE_PER_S: u32 = 7;

/// All scenarios. In each, targets slow down at random and when their slots are nearly full.
pub const SCENARIOS: [ChainScenario; 8] = [
    CALM,
    ChainScenario { name: "burst 1.4", burst: Some((1.4, ms(3_000), ms(8_000))), ..CALM },
    ChainScenario { name: "burst 2.0", burst: Some((2.0, ms(3_000), ms(5_000))), ..CALM },
    ChainScenario { name: "saturated", burst: Some((2.0, ms(0), ms(10_000))), ..CALM },
    // Some callers retry a refused request at once, earlier than they are asked to.
    ChainScenario {
        name: "early",
        burst: Some((1.6, ms(2_000), ms(7_000))),
        immediate_retry_share: 0.4,
        ..CALM
    },
    ChainScenario { name: "cold", cold_targets: 2, ..CALM },
    ChainScenario { name: "lost", lost_targets: 1, ..CALM },
    ChainScenario {
        name: "all cold",
        cold_targets: 6,
        crash_threshold: Some(COLD_RATE_PER_S as usize + 1),
        ..CALM
    },
];
