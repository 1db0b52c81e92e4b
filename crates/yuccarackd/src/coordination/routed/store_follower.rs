//! Follows the store's routing rows, which are the routing table and the evacuations, and its
//! members table by long polls.

mod intake;
mod load;
mod poll_slots;
mod polls;

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use yuccarack_config::ids::{DomainName, InstanceId};
use yuccarack_platform::feed::FeedError;
use yuccarack_platform_wire::routing;

pub use self::load::FIRST_MEMBERS_MAX;
use self::{load::LoadSource, polls::OpenPolls};
use super::{
    events::EventLog,
    log_lines::{RoutingNotFetched, StoreAvailable, StoreUnavailable},
    store_client::{StoreClient, StorePurpose},
};
use crate::{
    coordination::jitter::jittered,
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations,
            known_relays::KnownRelays,
            members::Members,
            relay_lists::RelayLists,
            routing_state::RoutingState,
            transfers::Transfers,
            update_source::{FollowedTable, SyncState, UpdateSource},
        },
    },
};

/// Table in which each daemon keeps the row of its instance.
pub const MEMBERS_TABLE: &str = "members";

/// Name of the store as a source in log lines.
const STORE: &str = "store";

/// Poll time while the store is not this daemon's source of updates; it then responds at once.
///
/// A daemon that becomes a relay would otherwise have its first poll held open for as long as
/// nothing changes, and report until then that it is no relay. Two pairs of daemons whose lists of
/// members differ, so that each takes the other for the relays, would wait for each other.
const FEED_WAIT_UNCONFIRMED: Duration = Duration::ZERO;

/// Wait of the first poll of the routing table after a change.
const ROUTING_FIRST_WAIT: Duration = Duration::from_secs(1);

/// Wait of the first poll of the members after a change. Targets that join have to receive requests
/// within 4 s.
const MEMBERS_FIRST_WAIT: Duration = Duration::from_secs(2);

/// Pause after a change of the routing table, so that a series of changes costs few polls. It is
/// small against the seconds within which a change has to be in force.
const ROUTING_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a change of the members, so that targets that join in a row are read together. It is
/// well within the 4 s in which they have to receive requests.
const MEMBERS_PAUSE: Duration = Duration::from_millis(2_500);

/// First delay after a failed query.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// First delay before a table is read again whose changes the store no longer has. It doubles while
/// what the store returns is older than what this daemon knows: after a loss of its history the
/// store may serve stale reads for seconds.
const STALE_READ_RETRY_FIRST: Duration = Duration::from_millis(500);

/// Longest delay between two such reads.
const STALE_READ_RETRY_MAX: Duration = Duration::from_secs(4);

/// Longest retry delay while no routes are known: a daemon has to be ready within a second of the
/// store's recovery.
const RETRY_MAX_WITHOUT_ROUTES: Duration = Duration::from_millis(800);

/// Longest retry delay of a daemon that has routes and queries peers meanwhile. Refused requests
/// are billed too.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Follows tables of the store and applies their changes to this daemon's state.
#[derive(Clone)]
pub struct StoreFollower {
    /// Client of the store.
    pub store: StoreClient,
    /// The routing table in force, to which newer versions are offered.
    pub routing: RoutingState,
    /// Members known to this daemon.
    pub members: Members,
    /// Evacuated failure domains.
    pub evacuations: Evacuations,
    /// Counters of store failures and unreadable rows.
    pub counters: Counters,
    /// Log for changes and store failures.
    pub events: EventLog,
    /// Source of this daemon's updates, and the revision up to which each table is synced.
    pub sync_state: SyncState,
    /// Time of the store's last response.
    pub last_response: LastStoreResponse,
    /// Transfers of the routing table in progress.
    pub transfers: Transfers,
    /// Relays found at the start.
    pub known_relays: KnownRelays,
    /// Lists of relays that the store has.
    pub relay_lists: RelayLists,
    /// This instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: DomainName,
    /// Earliest time of the first read of the members.
    pub first_read_at: Instant,
}

/// What a poll of a table asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollScope {
    /// The changes since the synced revision.
    Changes,
    /// All rows, because the store no longer has the changes.
    FullTable,
}

/// Result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollResult {
    /// The table is known as of the response.
    Synced {
        /// Whether further changes are likely to follow soon.
        has_changes: bool,
    },
    /// The store returned an older state than this daemon knows, which was not applied.
    Stale,
}

/// Time of the store's last response; clones share it.
#[derive(Clone, Debug)]
pub struct LastStoreResponse {
    received_at: Arc<Mutex<Instant>>,
}

impl LastStoreResponse {
    /// Starts with the current time.
    pub fn new() -> Self {
        Self { received_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Returns the time since the last response. Up to half a minute is normal, as the store holds
    /// polls open.
    pub fn age(&self) -> Duration {
        self.received_at.lock().elapsed()
    }

    fn record(&self) {
        *self.received_at.lock() = Instant::now();
    }
}

impl Default for LastStoreResponse {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreFollower {
    /// Follows the routing rows until `stop` is cancelled.
    pub async fn follow_routing(self, stop: CancellationToken) {
        self.follow(FollowedTable::Routing, stop).await;
    }

    /// Follows the members until `stop` is cancelled.
    pub async fn follow_members(self, stop: CancellationToken) {
        let load = async {
            if self.load_members().await == LoadSource::Store {
                // When all daemons start at once, the others are still writing their rows.
                sleep(MEMBERS_PAUSE).await;
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = load => {}
        }
        self.follow(FollowedTable::Members, stop).await;
    }

    /// Reads the routing rows once and applies them; a failure is logged.
    pub async fn fetch_routing_table(&self) {
        let started_at = Instant::now();
        let transfer = self.transfers.begin();
        match self
            .store
            .read(StorePurpose::AllRouting, routing::TABLE, |bytes| transfer.record_bytes(bytes))
            .await
        {
            Ok(snapshot) => self.apply_full_routing(snapshot),
            Err(error) => {
                self.counters.add("store.failures");
                let cause = error.to_string();
                let source = STORE.to_owned();
                self.events.write(|| routing_not_fetched(source, &self.routing, started_at, cause));
            }
        }
    }

    async fn follow(&self, table: FollowedTable, stop: CancellationToken) {
        let mut retry = RETRY_FIRST;
        let mut stale_read_retry = STALE_READ_RETRY_FIRST;
        let mut scope = PollScope::Changes;
        let mut polls = OpenPolls::new(self, table);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.sync_state.wait_queries_store(true) => {}
            }
            let result = tokio::select! {
                () = stop.cancelled() => return,
                // A relay sends what the cancelled polls have not returned yet.
                () = self.sync_state.wait_queries_store(false) => {
                    polls.cancel();
                    continue;
                }
                result = polls.next_result(scope) => result,
            };
            let pause = match result {
                Ok(PollResult::Stale) => {
                    self.mark_available(table);
                    next_delay(&mut stale_read_retry, STALE_READ_RETRY_MAX)
                }
                Ok(PollResult::Synced { has_changes }) => {
                    self.mark_available(table);
                    retry = RETRY_FIRST;
                    if scope == PollScope::Changes {
                        stale_read_retry = STALE_READ_RETRY_FIRST;
                    }
                    scope = PollScope::Changes;
                    if has_changes { pause_after(table) } else { Duration::ZERO }
                }
                Err(FeedError::HistoryLost) => {
                    // The store responds, and what this daemon knows stays valid for its followers.
                    self.mark_available(table);
                    self.counters.add("store.history_lost");
                    scope = PollScope::FullTable;
                    next_delay(&mut stale_read_retry, STALE_READ_RETRY_MAX)
                }
                Err(error) => {
                    self.mark_unavailable(table, &error);
                    next_delay(&mut retry, self.retry_max())
                }
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(pause) => {}
            }
        }
    }

    fn retry_max(&self) -> Duration {
        match self.routing.version() {
            0 => RETRY_MAX_WITHOUT_ROUTES,
            _ => RETRY_MAX,
        }
    }

    /// Polls the store once; a table that isn't synced yet is read in full whatever `scope` is.
    async fn poll(
        &self,
        table: FollowedTable,
        scope: PollScope,
        wait: Duration,
    ) -> Result<PollResult, FeedError> {
        let transfer = (table == FollowedTable::Routing).then(|| self.transfers.begin());
        let on_bytes = |bytes| {
            if let Some(transfer) = &transfer {
                transfer.record_bytes(bytes);
            }
        };
        let synced_up_to = self.sync_state.synced_up_to(table);
        let Some(after) = synced_up_to.filter(|_| scope == PollScope::Changes) else {
            let snapshot =
                self.store.read(read_purpose(table), table_name(table), on_bytes).await?;
            let revision = snapshot.revision;
            if synced_up_to.is_some_and(|synced_up_to| revision < synced_up_to) {
                return Ok(PollResult::Stale);
            }
            match table {
                FollowedTable::Routing => self.apply_full_routing(snapshot),
                FollowedTable::Members => self.apply_full_members(snapshot),
            }
            self.sync_state.set_synced_up_to(table, Some(revision));
            return Ok(PollResult::Synced { has_changes: table == FollowedTable::Members });
        };
        let changes = self
            .store
            .changes(poll_purpose(table), table_name(table), after, wait, on_bytes)
            .await?;
        let has_changes = !changes.rows.is_empty();
        changes.rows.into_iter().for_each(|row| self.apply_row(table, row));
        self.sync_state.set_synced_up_to(table, Some(changes.revision.max(after)));
        Ok(PollResult::Synced { has_changes })
    }

    fn mark_available(&self, table: FollowedTable) {
        self.last_response.record();
        if self.sync_state.set_source(UpdateSource::Store) == UpdateSource::None {
            self.events.write(|| StoreAvailable { table: table_name(table) });
        }
    }

    fn mark_unavailable(&self, table: FollowedTable, error: &FeedError) {
        self.counters.add("store.failures");
        if self.sync_state.set_source(UpdateSource::None) != UpdateSource::None {
            let (table, cause) = (table_name(table), error.to_string());
            self.events.write(|| StoreUnavailable { table, cause });
        }
    }
}

/// Returns the log line of a routing table that could not be fetched from `source` since
/// `started_at`.
pub(super) fn routing_not_fetched(
    source: String,
    routing: &RoutingState,
    started_at: Instant,
    cause: String,
) -> RoutingNotFetched {
    RoutingNotFetched {
        from: source,
        in_force: routing.version(),
        newest: routing.newest_version(),
        behind_ms: whole_ms(routing.behind_for()),
        took_ms: whole_ms(started_at.elapsed()),
        cause,
    }
}

/// Converts a duration to whole milliseconds for log lines.
pub(super) fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn table_name(table: FollowedTable) -> &'static str {
    match table {
        FollowedTable::Routing => routing::TABLE,
        FollowedTable::Members => MEMBERS_TABLE,
    }
}

fn read_purpose(table: FollowedTable) -> StorePurpose {
    match table {
        FollowedTable::Routing => StorePurpose::AllRouting,
        FollowedTable::Members => StorePurpose::AllMembers,
    }
}

fn poll_purpose(table: FollowedTable) -> StorePurpose {
    match table {
        FollowedTable::Routing => StorePurpose::RoutingPoll,
        FollowedTable::Members => StorePurpose::MembersPoll,
    }
}

/// Returns the jittered delay and doubles it for the next time, up to `delay_max`.
fn next_delay(delay: &mut Duration, delay_max: Duration) -> Duration {
    let current = *delay;
    *delay = (current * 2).min(delay_max);
    jittered(current)
}

fn first_wait(table: FollowedTable) -> Duration {
    match table {
        FollowedTable::Routing => ROUTING_FIRST_WAIT,
        FollowedTable::Members => MEMBERS_FIRST_WAIT,
    }
}

fn pause_after(table: FollowedTable) -> Duration {
    match table {
        FollowedTable::Routing => ROUTING_PAUSE,
        FollowedTable::Members => MEMBERS_PAUSE,
    }
}
