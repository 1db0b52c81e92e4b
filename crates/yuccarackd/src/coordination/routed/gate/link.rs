//! The link of this instance, which the responses of its gate to other instances share.

use std::{
    sync::Arc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use http::{HeaderMap, Response, header};
use http_body::Body;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::{sync::Notify, time::sleep_until};
use tokio_util::sync::CancellationToken;
use yuccarack_policy::link_pacing::{LinkPacer, ResponseKey, SHORT_MAX_BYTES};

use super::paced_body::PacedBody;
use crate::{
    protocol::body::CallBody,
    state::{counters::Counters, routed::routing_state::RoutingState},
};

/// Size of a response head with the headers between daemons.
const HEAD_BYTES: u64 = 400;

/// Size assumed for a response that doesn't declare it; shorter ones are buffered and have a size.
const UNKNOWN_SIZE_BYTES: u64 = 256 * 1024;

/// Paces the responses to other instances while the settings name the rate of the link and the
/// routing table has routes with large responses; clones share it.
#[derive(Clone)]
pub struct GateLink {
    /// `None` if the settings name no rate.
    pacing: Option<Arc<Pacing>>,
    routing: RoutingState,
    counters: Counters,
}

/// The pacer with the tasks that wait for it.
struct Pacing {
    state: Mutex<PacingState>,
    has_waiting: Notify,
}

struct PacingState {
    pacer: LinkPacer,
    wakers: SecondaryMap<ResponseKey, Waker>,
}

impl GateLink {
    /// Creates the link for the rate from the settings; 0 if it is unknown.
    pub fn new(link_kbit_per_s: u32, routing: RoutingState, counters: Counters) -> Self {
        let pacing = (link_kbit_per_s > 0).then(|| {
            let state =
                PacingState { pacer: LinkPacer::new(link_kbit_per_s), wakers: SecondaryMap::new() };
            Arc::new(Pacing { state: Mutex::new(state), has_waiting: Notify::new() })
        });
        Self { pacing, routing, counters }
    }

    /// Returns whether the settings name the rate of the link.
    pub fn has_rate(&self) -> bool {
        self.pacing.is_some()
    }

    /// Returns the number of bytes of long responses that are still to be sent.
    pub fn waiting_bytes(&self) -> u64 {
        self.pacing.as_ref().map_or(0, |pacing| pacing.state.lock().pacer.waiting_bytes())
    }

    /// Returns the time that the link needs for everything that is to be sent; `None` while
    /// responses aren't paced.
    pub fn backlog(&self, now: Instant) -> Option<Duration> {
        self.active().map(|pacing| pacing.state.lock().pacer.backlog(now))
    }

    /// Charges a response to another instance, and paces it if it is long. `deadline` orders long
    /// responses.
    pub fn pace(&self, deadline: Instant, response: Response<CallBody>) -> Response<CallBody> {
        let Some(pacing) = self.active() else { return response };
        let size = declared_size(&response);
        let mut state = pacing.state.lock();
        state.pacer.charge(Instant::now(), HEAD_BYTES);
        if let Some(size) = size.filter(|size| *size <= SHORT_MAX_BYTES) {
            state.pacer.charge(Instant::now(), size);
            return response;
        }
        let key = state.pacer.reserve(deadline, size.unwrap_or(UNKNOWN_SIZE_BYTES));
        drop(state);
        self.counters.add("gate.responses_paced");
        let share = LinkShare { pacing: Arc::clone(pacing), key };
        response.map(|body| PacedBody::new(body, share).boxed_unsync())
    }

    /// Wakes the responses whose turn on the link has come, until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let Some(pacing) = &self.pacing else { return };
        loop {
            let next = pacing.state.lock().grant_pieces(Instant::now());
            tokio::select! {
                () = stop.cancelled() => return,
                () = pacing.wait_for(next) => {}
            }
        }
    }

    fn active(&self) -> Option<&Arc<Pacing>> {
        let pacing = self.pacing.as_ref()?;
        self.routing.current().is_some_and(|routing| routing.has_downloads()).then_some(pacing)
    }
}

impl Pacing {
    /// Waits until `at`, or without a time until a response waits for the link.
    async fn wait_for(&self, at: Option<Instant>) {
        match at {
            Some(at) => sleep_until(at.into()).await,
            None => self.has_waiting.notified().await,
        }
    }
}

impl PacingState {
    /// Grants the pieces that the link has room for, and returns when it has room for a further one.
    fn grant_pieces(&mut self, now: Instant) -> Option<Instant> {
        while let Some(key) = self.pacer.grant(now) {
            if let Some(waker) = self.wakers.remove(key) {
                waker.wake();
            }
        }
        self.pacer.next_grant_at(now)
    }
}

/// Share of one long response in the link; dropping it frees the share.
pub struct LinkShare {
    pacing: Arc<Pacing>,
    key: ResponseKey,
}

impl LinkShare {
    /// Waits until a piece of at most `available_bytes` may be sent, and returns its size.
    pub fn poll_piece(&self, cx: &Context<'_>, available_bytes: usize) -> Poll<usize> {
        let mut state = self.pacing.state.lock();
        state.pacer.request(self.key, available_bytes);
        state.grant_pieces(Instant::now());
        if let Some(bytes) = state.pacer.take(self.key) {
            return Poll::Ready(bytes);
        }
        state.wakers.insert(self.key, cx.waker().clone());
        self.pacing.has_waiting.notify_one();
        Poll::Pending
    }
}

impl Drop for LinkShare {
    fn drop(&mut self) {
        let mut state = self.pacing.state.lock();
        state.pacer.remove(self.key);
        state.wakers.remove(self.key);
    }
}

/// Returns the size of a response's body, if it is known before its end.
fn declared_size(response: &Response<CallBody>) -> Option<u64> {
    let hint = response.body().size_hint();
    hint.exact().or_else(|| content_length(response.headers()))
}

fn content_length(map: &HeaderMap) -> Option<u64> {
    map.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
