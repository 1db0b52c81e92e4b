//! Follows the operators' document and the members' table in the store.

mod intake;

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use yuccarack_platform::feed::FeedError;
use yuccarack_platform_wire::routing;

use super::{
    events::EventLog,
    log_lines::{RoutingNotFetched, StoreAvailable, StoreUnavailable},
    store_client::StoreClient,
};
use crate::{
    coordination::jitter::jittered,
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations,
            members::Members,
            news_source::{Followed, News, NewsSource},
            routing_state::RoutingState,
            transfers::Transfers,
        },
    },
};

/// Table in which each daemon keeps the row of its instance.
pub const MEMBERS_TABLE: &str = "members";

/// The store as the source of a routing table in log lines.
const STORE: &str = "store";

/// How long the store holds back an answer that tells of nothing new; each such question is paid
/// for, and the store takes no longer ones than 30 s.
const FEED_WAIT: Duration = Duration::from_secs(25);

/// The same for a while after the store didn't answer.
///
/// Failure: a store falls silent and comes back, answers none of the older questions, and its
/// changes aren't heard of until those are given up. Changes have to be in force within seconds.
const FEED_WAIT_WARY: Duration = Duration::from_secs(2);

/// The same for the first question of a daemon that is not served by the store yet.
///
/// Failure: a notified daemon becomes a relay, and its first question is held back for as long as nothing
/// changes. Until then it doesn't know that the store serves it and says that it is no relay. Two pairs of
/// daemons that take each other for relays wait for each other so.
const FEED_WAIT_FIRST: Duration = Duration::ZERO;

/// Time for which one failure makes wary.
const WARY: Duration = Duration::from_secs(12);

/// Pause after a change of the routing table, so that a series of them costs few questions; small
/// against the seconds in which a change has to be in force.
const ROUTING_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a change of the members, so that targets that join in a row are heard of together; it
/// is well within the 4 s in which they have to get work. At 90 daemons with 13 joining in 6 s, a
/// pause of 1.2 s cost 1,336 calls to the store in 40 s.
const MEMBERS_PAUSE: Duration = Duration::from_millis(2_500);

/// Longest wait for the first answer of a store that isn't slow; it usually takes some 10 ms.
const PROMPT_ANSWER_MAX: Duration = Duration::from_millis(60);

/// First wait after a question that failed.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest such wait while no routes are known: a daemon is ready within a second of the store's return.
const RETRY_MAX_WITHOUT_ROUTES: Duration = Duration::from_millis(800);

/// Longest such wait of one that serves by what it knows and asks peers meanwhile. Refused questions
/// are paid for too: one that is turned away asks 17 times in 8 s, and 27 times at waits of up to 0.8 s.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Follows tables of the store.
#[derive(Clone)]
pub struct StoreFollower {
    /// The store.
    pub store: StoreClient,
    /// The routing table in force.
    pub routing: RoutingState,
    /// All members.
    pub members: Members,
    /// Failure domains that are evacuated.
    pub evacuations: Evacuations,
    /// Counters.
    pub counters: Counters,
    /// Log lines.
    pub events: EventLog,
    /// Who tells of changes, and up to where they are known.
    pub news: News,
    /// When it answered last.
    pub last_response: LastStoreResponse,
    /// Transfers of the routing table.
    pub transfers: Transfers,
    /// When the members are read for the first time.
    pub first_read_at: Instant,
}

/// When the store answered last; clones share it.
#[derive(Clone, Debug)]
pub struct LastStoreResponse {
    last_at: Arc<Mutex<Instant>>,
}

impl LastStoreResponse {
    /// Starts with now.
    pub fn new() -> Self {
        Self { last_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Time since the last answer; up to half a minute of it is usual.
    pub fn age(&self) -> Duration {
        self.last_at.lock().elapsed()
    }

    fn note(&self) {
        *self.last_at.lock() = Instant::now();
    }
}

impl Default for LastStoreResponse {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreFollower {
    /// Follows the operators' document until `stop`.
    pub async fn follow_routing(self, stop: CancellationToken) {
        self.follow(Followed::Routing, stop).await;
    }

    /// Follows the members until `stop`.
    pub async fn follow_members(self, stop: CancellationToken) {
        let first_read = async {
            self.read_members().await;
            // When all start at once, the others are still writing their rows.
            sleep(MEMBERS_PAUSE).await;
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = first_read => {}
        }
        self.follow(Followed::Members, stop).await;
    }

    /// Reads the members for the first time. Whether the store is asked after that depends on them.
    async fn read_members(&self) {
        sleep_until(self.first_read_at).await;
        let mut retry = RETRY_FIRST;
        while let Err(error) = self.ask_members().await {
            self.news.set_asks_store(false);
            self.failed(Followed::Members, &error);
            sleep(jittered(retry)).await;
            retry = (retry * 2).min(self.retry_max());
        }
        self.served(Followed::Members);
    }

    /// Asks for the members once, and beside that for the operators' document where the answer is late.
    ///
    /// Failure: the store is slow when all power returns. One answer after the other, from the store and then
    /// from a relay that has waited as long, callers wait twice as long for the first routes.
    async fn ask_members(&self) -> Result<bool, FeedError> {
        let mut step = std::pin::pin!(self.step(Followed::Members, FEED_WAIT));
        if let Ok(result) = timeout(PROMPT_ANSWER_MAX, &mut step).await {
            return result;
        }
        self.news.set_asks_store(true);
        step.await
    }

    /// Reads the operators' document once.
    pub async fn fetch_routing_table(&self) {
        let started_at = Instant::now();
        let transfer = self.transfers.begin();
        match self.store.read(routing::TABLE, |bytes| transfer.note(bytes)).await {
            Ok(all) => self.take_all_routing(all),
            Err(error) => {
                self.counters.add("store.failures");
                let cause = error.to_string();
                let source = STORE.to_owned();
                self.events.write(|| not_read(source, &self.routing, started_at, cause));
            }
        }
    }

    async fn follow(&self, what: Followed, stop: CancellationToken) {
        let mut retry = RETRY_FIRST;
        let mut wary_until = Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.news.wait_asks_store(true) => {}
            }
            let wait = match self.news.source() {
                NewsSource::Store if Instant::now() >= wary_until => FEED_WAIT,
                NewsSource::Store => FEED_WAIT_WARY,
                NewsSource::Relay | NewsSource::Nobody => FEED_WAIT_FIRST,
            };
            let step = tokio::select! {
                () = stop.cancelled() => return,
                // What a held question has not told yet, a relay tells.
                () = self.news.wait_asks_store(false) => continue,
                step = self.step(what, wait) => step,
            };
            let pause = match step {
                Ok(has_changes) => {
                    self.served(what);
                    retry = RETRY_FIRST;
                    if has_changes { pause_after(what) } else { Duration::ZERO }
                }
                Err(error) => {
                    if matches!(error, FeedError::HistoryLost) {
                        // Only what stands in the table now tells what was missed.
                        self.news.set_known(what, None);
                    }
                    self.failed(what, &error);
                    wary_until = Instant::now() + WARY;
                    let pause = jittered(retry);
                    retry = (retry * 2).min(self.retry_max());
                    pause
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

    /// Asks once; says whether there were changes.
    async fn step(&self, what: Followed, wait: Duration) -> Result<bool, FeedError> {
        let transfer = (what == Followed::Routing).then(|| self.transfers.begin());
        let on_bytes = |bytes| {
            if let Some(transfer) = &transfer {
                transfer.note(bytes);
            }
        };
        let Some(after) = self.news.known_up_to(what) else {
            let all = self.store.read(table(what), on_bytes).await?;
            let revision = all.revision;
            match what {
                Followed::Routing => self.take_all_routing(all),
                Followed::Members => self.take_all_members(all),
            }
            self.news.set_known(what, Some(revision));
            return Ok(what == Followed::Members);
        };
        let changes = self.store.changes(table(what), after, wait, on_bytes).await?;
        let has_changes = !changes.rows.is_empty();
        changes.rows.into_iter().for_each(|row| self.take(what, row));
        self.news.set_known(what, Some(changes.revision.max(after)));
        Ok(has_changes)
    }

    fn served(&self, what: Followed) {
        self.last_response.note();
        if self.news.set_source(NewsSource::Store) == NewsSource::Nobody {
            self.events.write(|| StoreAvailable { table: table(what) });
        }
    }

    fn failed(&self, what: Followed, error: &FeedError) {
        self.counters.add("store.failures");
        if self.news.set_source(NewsSource::Nobody) != NewsSource::Nobody {
            let (table, cause) = (table(what), error.to_string());
            self.events.write(|| StoreUnavailable { table, cause });
        }
    }
}

/// Line of a routing table that could not be fetched from `source` since `started_at`.
pub(super) fn not_read(
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

/// A time in whole ms, for log lines.
pub(super) fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn table(what: Followed) -> &'static str {
    match what {
        Followed::Routing => routing::TABLE,
        Followed::Members => MEMBERS_TABLE,
    }
}

fn pause_after(what: Followed) -> Duration {
    match what {
        Followed::Routing => ROUTING_PAUSE,
        Followed::Members => MEMBERS_PAUSE,
    }
}
