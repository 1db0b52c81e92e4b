//! What a relay tells, on a clock that stands still between events.

use std::time::Duration;

use http_body_util::BodyExt;
use slog::{Discard, Logger, o};
use tokio::time::{sleep, timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use yuccarackd::{
    coordination::routed::{
        events::EventLog,
        peers::{Peers, PeersParts},
        relay_stream::{RELAY_KEEPALIVE_INTERVAL, RelayStream},
    },
    protocol::{
        body::CallBody,
        peer_news::{ChangesTaken, NewsQuestion, PeerNews, RoutedMember},
    },
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
    transport::upstream::Upstream,
};

/// A relay that the store serves, and the lines that it tells one daemon.
struct Relay {
    members: Members,
    news: News,
    leaving: CancellationToken,
    lines: CallBody,
}

impl Relay {
    fn new() -> Self {
        let (members, news) = (Members::new(), News::new());
        news.set_source(NewsSource::Store);
        news.set_known(Followed::Routing, Some(1));
        news.set_known(Followed::Members, Some(1));
        let (counters, leaving) = (Counters::new(), CancellationToken::new());
        let peers = Peers::new(PeersParts {
            own_address: ([127, 0, 0, 1], 9).into(),
            routing: RoutingState::new(),
            members: members.clone(),
            evacuations: Evacuations::new(),
            news: news.clone(),
            transfers: Transfers::new(),
            leaving: leaving.clone(),
            upstream: Upstream::new(TaskTracker::new()),
            counters: counters.clone(),
            events: EventLog::new(Logger::root(Discard, o!()), counters, 100),
        });
        let question = NewsQuestion {
            routing_version: 0,
            members_after: Some(1),
            is_lasting: true,
            changes: ChangesTaken::Small,
        };
        let lines = RelayStream::new(peers, question).into_body();
        Self { members, news, leaving, lines }
    }

    /// The next line; none at the end. An empty one only says that the relay is there.
    async fn next(&mut self) -> Option<Vec<u8>> {
        let line = timeout(RELAY_KEEPALIVE_INTERVAL * 2, self.lines.frame())
            .await
            .expect("a line in time");
        let data = line?.expect("a line").into_data().expect("data");
        Some(data.to_vec())
    }

    async fn next_news(&mut self) -> PeerNews {
        let line = self.next().await.expect("a line");
        serde_json::from_slice(&line).expect("news")
    }
}

/// Takes a member's row in as the store tells it.
fn change_member(members: &Members, news: &News, revision: u64) {
    let member = RoutedMember {
        instance: "n1".to_owned(),
        failure_domain: "a".to_owned(),
        gate_address: ([127, 0, 0, 1], 9).into(),
        service: None,
    };
    members.merge("n1", revision, Some(member));
    news.set_known(Followed::Members, Some(revision));
}

/// Story: a change comes just before the moment at which a relay says that it is there. The relay
/// waited a little for more changes, the moment passed meanwhile, and it said no more than that: who is
/// told by it heard of the change with the next one only, or never.
#[tokio::test(start_paused = true)]
async fn a_change_just_before_an_empty_line_is_told() {
    for early_ms in 0..30 {
        let mut relay = Relay::new();
        assert!(relay.next_news().await.known.is_some());
        let (members, news) = (relay.members.clone(), relay.news.clone());
        let telling = async {
            let first = relay.next().await.expect("a line");
            if first != b"\n" { first } else { relay.next().await.expect("a line") }
        };
        let changing = async {
            sleep(RELAY_KEEPALIVE_INTERVAL - Duration::from_millis(early_ms)).await;
            change_member(&members, &news, 7);
        };
        let (line, ()) = tokio::join!(telling, changing);
        let told: PeerNews = serde_json::from_slice(&line)
            .unwrap_or_else(|error| panic!("{early_ms} ms before: {error}"));
        assert_eq!(told.members.len(), 1, "{early_ms} ms before");
    }
}

#[tokio::test(start_paused = true)]
async fn an_empty_line_says_that_the_relay_is_there() {
    let mut relay = Relay::new();
    relay.next_news().await;
    for _ in 0..3 {
        assert_eq!(relay.next().await.as_deref(), Some(b"\n".as_slice()));
    }
}

/// Story: a relay is asked to stop, or the store no longer answers it. It says so at once and ends, so
/// that those whom it tells don't wait for its silence.
#[tokio::test(start_paused = true)]
async fn who_is_no_relay_any_more_says_so_and_ends() {
    for is_leaving in [true, false] {
        let mut relay = Relay::new();
        relay.next_news().await;
        match is_leaving {
            true => relay.leaving.cancel(),
            false => {
                relay.news.set_source(NewsSource::Nobody);
            }
        }
        assert_eq!(relay.next_news().await.known, None);
        assert_eq!(relay.next().await, None);
    }
}
