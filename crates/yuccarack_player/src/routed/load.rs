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
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Service that runs it.
    pub service: usize,
    /// Requests a second of callers; none for calls that only services make.
    pub rate_per_s: f64,
    /// Own work at the usual pace.
    pub work: Duration,
    /// Time within which an answer is of full use.
    pub aim: Duration,
    /// Time that its caller waits.
    pub deadline: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Worth of an answer in time, and of a late one.
    pub worth: (f64, f64),
    /// Kind of the call that a run makes, and the part of the runs that make it.
    pub calls: Option<(usize, f64)>,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Kinds of the Hokkaido office: reads, repair orders, deliveries, and two look-ups between services.
pub const KINDS: [Kind; 5] = [
    Kind {
        name: "read",
        service: 0,
        rate_per_s: 76.7,
        work: ms(160),
        aim: ms(500),
        deadline: ms(2_000),
        rank: 2,
        worth: (1.0, 0.1),
        calls: Some((3, 0.5)),
    },
    Kind {
        name: "repair",
        service: 1,
        rate_per_s: 22.1,
        work: ms(210),
        aim: ms(600),
        deadline: ms(2_500),
        rank: 1,
        worth: (2.0, 0.2),
        calls: Some((4, 0.5)),
    },
    Kind {
        name: "delivery",
        service: 2,
        rate_per_s: 16.9,
        work: ms(110),
        aim: ms(300),
        deadline: ms(1_200),
        rank: 0,
        worth: (3.0, 0.3),
        calls: None,
    },
    Kind {
        name: "repair-history",
        service: 1,
        rate_per_s: 0.0,
        work: ms(40),
        aim: ms(150),
        deadline: ms(500),
        rank: 2,
        worth: (0.0, 0.0),
        calls: None,
    },
    Kind {
        name: "stock-check",
        service: 2,
        rate_per_s: 0.0,
        work: ms(40),
        aim: ms(150),
        deadline: ms(500),
        rank: 2,
        worth: (0.0, 0.0),
        calls: None,
    },
];

/// What goes wrong in a story.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Its name.
    pub name: &'static str,
    /// Time that is played.
    pub lasts: Duration,
    /// Times the usual number of requests, and from when until when in each ten seconds.
    pub burst: Option<(f64, Duration, Duration)>,
    /// Part of the callers that return at once, three times, whatever they were told.
    pub early_share: f64,
    /// Targets that start cold at 4 s, from the first on, in each service.
    pub cold: usize,
    /// Targets that are gone from 4 s on, in each service but the first.
    pub lost: usize,
    /// Requests within one second of which a cold target crashes, to return cold; none for never.
    pub crashes_at: Option<usize>,
}

const CALM: Load = Load {
    name: "calm",
    lasts: ms(20_000),
    burst: None,
    early_share: 0.0,
    cold: 0,
    lost: 0,
    crashes_at: None,
};

/// Requests a second that a cold target bears in the stories in which it crashes at more.
pub const COLD_PER_S: u32 = 7;

/// All stories. Pace noise, and slowing near full slots, are in each of them.
pub const LOADS: [Load; 8] = [
    CALM,
    Load { name: "burst 1.4", burst: Some((1.4, ms(3_000), ms(8_000))), ..CALM },
    Load { name: "burst 2.0", burst: Some((2.0, ms(3_000), ms(5_000))), ..CALM },
    Load { name: "saturated", burst: Some((2.0, ms(0), ms(10_000))), ..CALM },
    Load { name: "early", burst: Some((1.6, ms(2_000), ms(7_000))), early_share: 0.4, ..CALM },
    Load { name: "cold", cold: 2, ..CALM },
    Load { name: "lost", lost: 1, ..CALM },
    Load { name: "all cold", cold: 6, crashes_at: Some(COLD_PER_S as usize + 1), ..CALM },
];
