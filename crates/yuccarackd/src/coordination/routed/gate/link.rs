//! The link of this instance, which the responses of its gate to other instances share.

use std::{
    sync::Arc,
    task::{Context, Poll, Waker},
    time::Instant,
};

use http::Response;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::{sync::Notify, time::sleep_until};
use tokio_util::sync::CancellationToken;
use yuccarack_policy::{
    link_pacing::{LinkPacer, LongRequest, ResponseKey, SHORT_MAX_BYTES},
    response_sizes::ResponseSizes,
    work_queue::QueueRefusalReason,
};

use super::{GateRequest, paced_body::PacedBody};
use crate::{
    protocol::{
        body::CallBody,
        gate_capacity::GateCapacity,
        refusal::{Reason, Refusal},
        response_size::declared_size,
    },
    state::{counters::Counters, routed::routing_state::RoutingState},
};

/// Size of a response head with the headers between daemons.
const HEAD_BYTES: u64 = 400;

/// Largest response that is buffered in full while responses are paced. A streamed one would hold the
/// slot of its target until it is sent, 400 ms for 540 kB over 12 Mbit/s.
const BUFFERED_MAX_BYTES: usize = 1024 * 1024;

/// Size assumed for a response that doesn't declare it; shorter ones are buffered and have a size.
const UNKNOWN_SIZE_BYTES: u64 = BUFFERED_MAX_BYTES as u64;

/// Paces the responses to other instances while the settings name the rate of the link and the
/// routing table has routes with large responses; clones share it.
#[derive(Clone)]
pub struct GateLink {
    /// `None` if the settings name no rate.
    pacing: Option<Arc<Pacing>>,
    routing: RoutingState,
    counters: Counters,
}

/// What is known of a response that is sent to another instance.
pub struct SentResponse {
    /// Hash of the name of its route.
    pub route_hash: u64,
    /// When the response is late.
    pub soft_deadline: Instant,
    /// Share in the link that was reserved for it.
    pub share: Option<LinkShare>,
}

/// The pacer with the tasks that wait for it.
struct Pacing {
    state: Mutex<PacingState>,
    has_waiting: Notify,
}

struct PacingState {
    pacer: LinkPacer,
    wakers: SecondaryMap<ResponseKey, Waker>,
    /// Usual sizes by the hash of the route's name.
    sizes: ResponseSizes,
}

impl GateLink {
    /// Creates the link for the rate from the settings; 0 if it is unknown.
    pub fn new(link_kbit_per_s: u32, routing: RoutingState, counters: Counters) -> Self {
        let pacing = (link_kbit_per_s > 0).then(|| {
            let state = PacingState {
                pacer: LinkPacer::new(link_kbit_per_s),
                wakers: SecondaryMap::new(),
                sizes: ResponseSizes::default(),
            };
            Arc::new(Pacing { state: Mutex::new(state), has_waiting: Notify::new() })
        });
        Self { pacing, routing, counters }
    }

    /// Returns whether the settings name the rate of the link.
    pub fn has_rate(&self) -> bool {
        self.pacing.is_some()
    }

    /// Returns the size up to which a response is buffered in full, which is `usual_bytes` while
    /// responses aren't paced.
    pub fn buffered_max_bytes(&self, usual_bytes: usize) -> usize {
        self.active().map_or(usual_bytes, |_| BUFFERED_MAX_BYTES)
    }

    /// Returns the number of bytes of long responses that are still to be sent.
    pub fn waiting_bytes(&self) -> u64 {
        self.pacing.as_ref().map_or(0, |pacing| pacing.state.lock().pacer.waiting_bytes())
    }

    /// Returns the state of the link that goes out with each response; empty while responses aren't
    /// paced.
    pub fn capacity(&self, now: Instant) -> GateCapacity {
        let Some(pacing) = self.active() else { return GateCapacity::default() };
        let pacer = &pacing.state.lock().pacer;
        GateCapacity {
            link_backlog: Some(pacer.backlog(now)),
            link_kbit_per_s: Some(pacer.link_kbit_per_s()),
        }
    }

    /// Reserves a share of the link for a request of another instance whose response is usually
    /// long.
    ///
    /// # Errors
    ///
    /// Refuses a request whose response could not be sent before its deadline, or that may not wait
    /// while many others do.
    pub fn reserve(&self, request: &GateRequest) -> Result<Option<LinkShare>, Refusal> {
        let Some(pacing) = self.active() else { return Ok(None) };
        let mut state = pacing.state.lock();
        let Some(bytes) = state.sizes.usual_long_bytes(request.hop.route_hash) else {
            return Ok(None);
        };
        let (deadline, may_wait) = (request.deadline.at(), request.hop.may_wait);
        let long = LongRequest { deadline, may_wait, bytes };
        state.pacer.admit(Instant::now(), long).map_err(|wait| {
            Refusal::not_run(Reason::Admission(QueueRefusalReason::LinkFull.as_str()))
                .with_retry_after(wait)
        })?;
        let key = state.pacer.reserve(request.soft_deadline, bytes);
        Ok(Some(LinkShare { pacing: Arc::clone(pacing), key }))
    }

    /// Charges a response to another instance, and paces it if it is long.
    pub fn send(&self, response: Response<CallBody>, sent: SentResponse) -> Response<CallBody> {
        let Some(pacing) = self.active() else { return response };
        let size = declared_size(&response);
        let is_success = response.status().is_success();
        let key = pacing.state.lock().charge_or_reserve(size, is_success, &sent);
        let Some(key) = key else { return response };
        self.counters.add("gate.responses_paced");
        let share = sent.share.unwrap_or_else(|| LinkShare { pacing: Arc::clone(pacing), key });
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
    /// Charges a short response; returns the share in the link of a long one.
    fn charge_or_reserve(
        &mut self,
        size: Option<u64>,
        is_success: bool,
        sent: &SentResponse,
    ) -> Option<ResponseKey> {
        let now = Instant::now();
        self.pacer.charge(now, HEAD_BYTES);
        if let Some(bytes) = size.filter(|_| is_success) {
            self.sizes.record(sent.route_hash, bytes);
        }
        let bytes = size.unwrap_or(UNKNOWN_SIZE_BYTES);
        if bytes <= SHORT_MAX_BYTES {
            self.pacer.charge(now, bytes);
            return None;
        }
        let reserved = sent.share.as_ref().map(|share| share.key);
        let key = reserved.unwrap_or_else(|| self.pacer.reserve(sent.soft_deadline, bytes));
        self.pacer.begin(key, bytes);
        Some(key)
    }

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
