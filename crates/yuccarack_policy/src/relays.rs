//! Relays of a failure domain: the daemons that poll the store and pass updates on to the others.
//!
//! Used for routed calls.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use yuccarack_config::ids::InstanceId;

/// Fewest relays of a failure domain, so that one may be lost without a gap in the updates.
const RELAYS_MIN: usize = 2;

/// Most followers of one relay on average. A persistent connection costs about 170 bytes a second,
/// TCP/IP headers included, so ten of them stay within the 2 KB a second that a daemon may use for
/// control traffic.
const FOLLOWERS_PER_RELAY_MAX: usize = 10;

/// Polls of the store a second by all followers of a failure domain together. They show whether the
/// store serves one of them although it serves none of their relays.
const STORE_POLLS_PER_S: f64 = 2.0;

/// Shortest time between two such polls of one follower.
const STORE_POLL_INTERVAL_MIN: Duration = Duration::from_secs(2);

/// Role of a daemon in the distribution of updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// The daemon polls the store and passes updates on.
    Relay,
    /// The daemon receives updates from these relays, in order of preference.
    Follower(Vec<InstanceId>),
}

/// Returns the role of `own` in a failure domain of `members`.
///
/// Each change of a row is sent to each daemon that receives the table. If all of them polled the
/// store, 2,500 daemons that restart together would read 2,500 rows each and the store would send
/// 1.25 GB at once; on a usual day each poll is paid for. With relays in each failure domain the
/// store serves a tenth of the daemons, and what is passed on stays inside the failure domain.
///
/// Each daemon computes its role from the members that it knows, without a request to anybody.
/// Views that differ for a moment cost a few more polls but no updates: a relay that doesn't poll
/// the store says so.
pub fn relay_role<'a>(own: &str, members: impl IntoIterator<Item = &'a str>) -> RelayRole {
    let mut relays = relays_of(members);
    if relays.len() < RELAYS_MIN || relays.contains(&own) {
        return RelayRole::Relay;
    }
    // Each daemon has its own order, so that the relays have about equally many followers.
    relays.sort_by_cached_key(|relay| xxh3_64(format!("{own} {relay}").as_bytes()));
    RelayRole::Follower(relays.into_iter().map(str::to_owned).collect())
}

/// Returns the relays of a failure domain of `members`.
pub fn relays_of<'a>(members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        members.into_iter().map(|member| (xxh3_64(member.as_bytes()), member)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(RELAYS_MIN.max(ranked.len().div_ceil(FOLLOWERS_PER_RELAY_MAX + 1)));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the time between two polls of the store by a follower while its relays respond and the
/// store serves none of them; `size` daemons are in the failure domain.
///
/// When the store is unavailable for eight seconds, each of 245 daemons would poll it for two of
/// its tables again and again. Relays poll it anyway and hear of each other. The followers only
/// need to find out now and then whether the store fails for the relays alone, so their polls
/// together don't grow with their number.
pub fn store_poll_interval(size: usize) -> Duration {
    STORE_POLL_INTERVAL_MIN.max(Duration::from_secs(1).mul_f64(size as f64 / STORE_POLLS_PER_S))
}
