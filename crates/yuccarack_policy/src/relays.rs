//! Relays of a failure domain: the daemons that pass updates of the store on to the others.
//!
//! Used for routed calls.
//!
//! They form a tree. Two daemons of each failure domain poll the store. The other relays follow one
//! of these, and all remaining daemons follow any relay.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use yuccarack_config::ids::InstanceId;

/// Relays of a failure domain that poll the store, so that one may be lost without a gap in the
/// updates. Their number doesn't depend on the size of the failure domain: each change of a table is
/// sent to each daemon that polls it, and each poll is paid for.
const STORE_RELAYS: usize = 2;

/// Most followers of one relay on average, without other relays. A persistent connection costs about
/// 170 bytes a second, TCP/IP headers included, so ten of them stay within the 2 KB a second that a
/// daemon may use for control traffic.
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
    StoreRelay,
    /// The daemon receives updates from one of these, in order of preference, and passes them on to
    /// those that follow it.
    Follower(Vec<InstanceId>),
}

/// Returns the role of `own` in a failure domain of `members`, to which it belongs even if its row is
/// not known yet.
///
/// Each change of a row is sent to each daemon that receives the table. If all of them polled the
/// store, 2,500 daemons that restart together would read 2,500 rows each and the store would send
/// 1.25 GB at once; on a usual day each poll is paid for. With a tree in each failure domain the
/// store's load depends on the number of failure domains only, and what is passed on stays inside
/// the failure domain.
///
/// Each daemon computes its role from the members that it knows, without a request to anybody.
/// Views that differ for a moment cost a few more polls but no updates: a relay without updates says
/// so. A daemon only follows relays that rank before it by a hash of their names, so no views, however
/// different, make daemons follow each other in a circle.
pub fn relay_role<'a>(own: &'a str, members: impl IntoIterator<Item = &'a str>) -> RelayRole {
    role_by_relays(own, &relays_of(members.into_iter().chain([own])))
}

/// Returns the role of `own` in a failure domain whose relays are `relays`, by rank.
pub fn role_by_relays(own: &str, relays: &[&str]) -> RelayRole {
    let own_hash = xxh3_64(own.as_bytes());
    // A list that is out of date may have relays that rank after this daemon.
    let before = relays.iter().take_while(|relay| xxh3_64(relay.as_bytes()) < own_hash).count();
    let is_relay = before < relays.len();
    if relays.len() < STORE_RELAYS || (is_relay && before < STORE_RELAYS) {
        return RelayRole::StoreRelay;
    }
    // Each daemon has its own order, so that the relays have about equally many followers.
    let by_own_order = |relays: &[&str]| {
        let mut relays: Vec<InstanceId> = relays.iter().map(|&relay| relay.to_owned()).collect();
        relays.sort_by_cached_key(|relay| xxh3_64(format!("{own} {relay}").as_bytes()));
        relays
    };
    RelayRole::Follower(match is_relay {
        false => by_own_order(relays),
        true => {
            let (store_relays, others) = relays.split_at(STORE_RELAYS);
            let mut upstreams = by_own_order(store_relays);
            // Without the store relays the next in rank polls the store, and the others follow it.
            let earlier = &others[..before - STORE_RELAYS];
            upstreams.extend(earlier.iter().map(|&relay| relay.to_owned()));
            upstreams
        }
    })
}

/// Returns the relays of a failure domain of `members` by rank; the first ones poll the store.
pub fn relays_of<'a>(members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        members.into_iter().map(|member| (xxh3_64(member.as_bytes()), member)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(STORE_RELAYS.max(ranked.len().div_ceil(FOLLOWERS_PER_RELAY_MAX + 1)));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the relays of a failure domain of `members` that poll the store, by rank.
pub fn store_relays_of<'a>(members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut relays = relays_of(members);
    relays.truncate(STORE_RELAYS);
    relays
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
