//! A chain of three services, the requests of their callers, and what goes wrong.

use std::time::Duration;

/// Services of the chain.
pub const SERVICES: usize = 3;

/// Targets of each service; the first is called by callers only, the others by services too.
pub const TARGETS: [usize; SERVICES] = [6, 3, 3];

/// Slots of a target.
pub const SLOTS: u16 = 9;

/// Failure domains; instances take turns.
pub const DOMAINS: usize = 3;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Its name.
    pub name: &'static str,
    /// Service that runs it.
    pub service: usize,
    /// Requests a second of callers; none for calls that only services make.
    pub rate_per_s: f64,
    /// Own work at the usual pace.
    pub service_time: Duration,
    /// Time within which an answer is of full use.
    pub soft_deadline: Duration,
    /// Time that its caller waits.
    pub deadline: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Worth of an answer in time, and of a late one.
    pub value: (f64, f64),
    /// Kind of the call that a run makes, and the part of the runs that make it.
    pub calls: Option<(usize, f64)>,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Kinds of the Hokkaido office: reads, repair orders, deliveries, and two look-ups between services.
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

/// What goes wrong in a story.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Its name.
    pub name: &'static str,
    /// Time that is played.
    pub duration: Duration,
    /// Times the usual number of requests, and from when until when in each ten seconds.
    pub burst: Option<(f64, Duration, Duration)>,
    /// Part of the callers that return at once, three times, whatever they were told.
    pub immediate_retry_share: f64,
    /// Targets that start cold at 4 s, from the first on, in each service.
    pub cold_targets: usize,
    /// Targets that are gone from 4 s on, in each service but the first.
    pub lost_targets: usize,
    /// Requests within one second of which a cold target crashes, to return cold; none for never.
    pub crash_threshold: Option<usize>,
}

const CALM: Load = Load {
    name: "calm",
    duration: ms(20_000),
    burst: None,
    immediate_retry_share: 0.0,
    cold_targets: 0,
    lost_targets: 0,
    crash_threshold: None,
};

/// Requests a second that a cold target bears in the stories in which it crashes at more.
pub const COLD_RATE_PER_S: u32 = 7;

/// All stories. Pace noise, and slowing near full slots, are in each of them.
pub const LOADS: [Load; 8] = [
    CALM,
    Load { name: "burst 1.4", burst: Some((1.4, ms(3_000), ms(8_000))), ..CALM },
    Load { name: "burst 2.0", burst: Some((2.0, ms(3_000), ms(5_000))), ..CALM },
    Load { name: "saturated", burst: Some((2.0, ms(0), ms(10_000))), ..CALM },
    Load {
        name: "early",
        burst: Some((1.6, ms(2_000), ms(7_000))),
        immediate_retry_share: 0.4,
        ..CALM
    },
    Load { name: "cold", cold_targets: 2, ..CALM },
    Load { name: "lost", lost_targets: 1, ..CALM },
    Load {
        name: "all cold",
        cold_targets: 6,
        crash_threshold: Some(COLD_RATE_PER_S as usize + 1),
        ..CALM
    },
];
