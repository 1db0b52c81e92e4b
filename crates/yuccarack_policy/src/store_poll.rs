//! Interval at which a daemon polls the store for changes of its service.
//!
//! Used for calls by service.
//!
//! The store is the platform's table service; its table holds the rules and the members of each
//! service as rows. Updates travel between daemons; the store is only polled for changes that none
//! of them has received. If every daemon polled at a fixed interval, the store's reads would grow
//! with the fleet, and a service of 100 targets would cost as much as 100 services. With an
//! interval that grows with the number of members the store's reads per service stay constant, and
//! whoever finds an update passes it on to the others.

use std::time::{Duration, Instant};

use rand::Rng;

/// Mean time between two polls by all members of a service together.
///
/// A change then remains unseen for 3 s with a probability of about 5 % (the polls of many members
/// come like a Poisson process, e^-3), and 230 services cost 230 of the store's 2,000 reads a
/// second.
pub const BASE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval of one member, which bounds what is missed when the others are unreachable.
pub const INTERVAL_MAX: Duration = Duration::from_secs(300);

/// Returns when a daemon polls next whose service has `members` members, itself included.
pub fn next_poll(now: Instant, members: usize, rng: &mut impl Rng) -> Instant {
    now + interval(members, rng)
}

/// Returns the interval of one member: the base interval times the number of members, spread by
/// half to both sides so that daemons that started together don't poll together.
pub fn interval(members: usize, rng: &mut impl Rng) -> Duration {
    let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
    let mean = BASE_INTERVAL.saturating_mul(members).min(INTERVAL_MAX);
    mean.mul_f64(rng.random_range(0.5..1.5))
}
