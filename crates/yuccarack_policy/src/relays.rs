//! Which daemons of a failure domain ask the store for news, and which are told by those.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use yuccarack_config::ids::InstanceId;

/// Fewest daemons of a failure domain that ask the store: one may be lost without a gap in the news.
const RELAYS_MIN: usize = 2;

/// Most daemons that one relay tells on average. A kept line costs some 170 bytes a second, headers of
/// TCP/IP included, so ten of them stay within the 2 KB a second that a daemon may spend on control.
const FOLLOWERS_PER_RELAY_MAX: usize = 10;

/// Questions a second of all notified daemons of a failure domain together, by which they find out that
/// the store serves one of them though it serves none of their relays.
const STORE_POLLS_PER_S: f64 = 2.0;

/// Shortest time between two such questions of one daemon.
const STORE_POLL_INTERVAL_MIN: Duration = Duration::from_secs(2);

/// How a daemon gets its news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayRole {
    /// It asks the store itself, and tells others.
    Relay,
    /// These tell it, the first one by preference.
    Follower(Vec<InstanceId>),
}

/// How `own` gets its news in a failure domain of `members`.
///
/// Load: each change of a row is told to each daemon that follows the table. With all of them asking,
/// 2,500 daemons that restart together read 2,500 rows each, and the store sends 1.25 GB at once; on a
/// usual day each question is paid for. With some in each failure domain asking, the store serves a
/// tenth of the daemons, and what is told on stays inside the domain.
///
/// Each daemon works this out from the members that it knows, without asking anybody. Views that
/// differ for a moment cost a few questions more and no news: a relay that doesn't ask the store says so.
pub fn relay_role<'a>(own: &str, members: impl IntoIterator<Item = &'a str>) -> RelayRole {
    let mut relays = relays_of(members);
    if relays.len() < RELAYS_MIN || relays.contains(&own) {
        return RelayRole::Relay;
    }
    // Each daemon has an order of its own, so that relays tell about equally many.
    relays.sort_by_cached_key(|relay| xxh3_64(format!("{own} {relay}").as_bytes()));
    RelayRole::Follower(relays.into_iter().map(str::to_owned).collect())
}

/// Those of a failure domain of `members` that ask the store.
pub fn relays_of<'a>(members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        members.into_iter().map(|member| (xxh3_64(member.as_bytes()), member)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(RELAYS_MIN.max(ranked.len().div_ceil(FOLLOWERS_PER_RELAY_MAX + 1)));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Time between two questions of a notified daemon to the store, while its relays answer and the store
/// serves none of them; `size` daemons are in the failure domain.
///
/// Load: the store is away for eight seconds, and each of 245 daemons asks it for two tables again and
/// again. Relays ask anyway, and hear of each other; the others need only find out now and then whether
/// the store refuses the relays alone, so their questions together don't grow with their number.
pub fn store_poll_interval(size: usize) -> Duration {
    STORE_POLL_INTERVAL_MIN.max(Duration::from_secs(1).mul_f64(size as f64 / STORE_POLLS_PER_S))
}
