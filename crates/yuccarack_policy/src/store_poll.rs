//! How often a daemon looks at the table for its service.
//!
//! News travels between daemons; the table is only looked at for news that none of them has heard.
//! The pattern is growth: when every daemon polls at a fixed interval, the store's reads rise with
//! the fleet, and a service of 100 targets costs what 100 services should. With an interval
//! that rises with the members, the reads per service stay constant, and whoever finds something
//! new tells the others.

use std::time::{Duration, Instant};

use rand::Rng;

/// Mean time between two looks of all members of a service together.
///
/// A change is then unseen for 3 s with a chance of about 5 % (looks of many members come
/// like a Poisson stream, e^-3), and 230 services cost 230 of the store's 2,000 reads a second.
pub const BASE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval of one member, which bounds what is missed when the others are cut off.
pub const INTERVAL_MAX: Duration = Duration::from_secs(300);

/// When a daemon with `members` members in its service, itself included, looks again.
pub fn next_poll(now: Instant, members: usize, rng: &mut impl Rng) -> Instant {
    now + interval(members, rng)
}

/// Interval of one member: the base times the number of members, spread by half to both sides so
/// that daemons that started together don't look together.
pub fn interval(members: usize, rng: &mut impl Rng) -> Duration {
    let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
    let mean = BASE_INTERVAL.saturating_mul(members).min(INTERVAL_MAX);
    mean.mul_f64(rng.random_range(0.5..1.5))
}
