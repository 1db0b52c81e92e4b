//! One routed request on its way to the target, and the answer back.

use std::{sync::Arc, time::Instant};

use http::Response;
use http_body_util::BodyExt;
use tokio::time::timeout_at;
use yuccarack_platform_wire::{headers, load};

use super::{ActiveTarget, Gate, GateRequest, is_encoded, work_slots::SlotLease};
use crate::{
    protocol::{
        body::{BodyStart, CallBody},
        forwarding,
        refusal::{Outcome, Reason, Refusal},
    },
    transport::{connection::SendError, upstream::Freshness},
};

/// Largest answer that is read whole before any of it is passed on, so that one that breaks off is
/// told as broken and not passed on in part; a larger one is streamed.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 256 * 1024;

/// A request that holds a slot of its target.
pub struct Exchange<'a> {
    /// The gate.
    pub gate: &'a Gate,
    /// The target.
    pub active: &'a Arc<ActiveTarget>,
    /// The slot.
    pub lease: SlotLease,
}

impl Exchange<'_> {
    /// Hands the request over and reads the answer; dropping this cancels it at the target.
    ///
    /// # Errors
    ///
    /// A refusal with what is proved.
    pub async fn run(self, request: &mut GateRequest) -> Result<Response<CallBody>, Refusal> {
        let deadline = request.deadline.at();
        if deadline <= Instant::now() {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        }
        let dispatched_at = Instant::now();
        let response = match timeout_at(deadline.into(), self.send(request)).await {
            Ok(response) => response?,
            Err(_) => return Err(Refusal::unknown(Reason::DeadlinePassed)),
        };
        self.gate.parts.metrics.first_byte(dispatched_at.elapsed());
        self.record_slowdown(&response);
        if headers::proves_not_run(response.status(), response.headers()) {
            return Err(
                Refusal::not_run(Reason::Shed).with_retry_after(super::UNAVAILABLE_RETRY_AFTER)
            );
        }
        check_response(request, &response)?;
        match timeout_at(deadline.into(), self.read_response(response)).await {
            Ok(response) => response,
            Err(_) => Err(Refusal::unknown(Reason::DeadlinePassed)),
        }
    }

    /// Sends the request over a connection that fits its kind.
    ///
    /// Failure: a target drops an idle connection without a word, and whatever is sent next on it
    /// is reset. A request that must not repeat goes over a new connection, since what came of it
    /// would be unknown for good; after such a reset others do so too for a while, where they would
    /// have waited long for a kept one.
    async fn send(&self, request: &mut GateRequest) -> Result<Response<CallBody>, Refusal> {
        let view = &self.active.view;
        let target_request = request.target_request(&view.target);
        let freshness = match request.hop.is_repeatable {
            true => self.active.pooled.freshness(Instant::now()),
            false => Freshness::New,
        };
        let sent = self.gate.parts.upstream.send(view.address, target_request, freshness).await;
        sent.map_err(|error| self.record_send_error(&error))
    }

    fn record_send_error(&self, error: &SendError) -> Refusal {
        if error.is_unreachable() {
            self.gate.mark_unreachable(self.active);
        }
        if matches!(error, SendError::Broken(_)) {
            self.active.pooled.record_broken(Instant::now());
        }
        let (reason, outcome) = match error {
            SendError::Unreachable { .. } => (Reason::Unreachable, Outcome::NotRun),
            SendError::NothingSent => (Reason::Broken, Outcome::NotRun),
            SendError::Broken(_) => (Reason::Broken, Outcome::Unknown),
        };
        Refusal { reason, outcome, retry_after: None }
    }

    fn record_slowdown(&self, response: &Response<CallBody>) {
        let slowdown_percent = load::decode(response.headers()).and_then(|load| load.pace_percent);
        if let Some(percent) = slowdown_percent {
            let slowdown = f64::from(percent) / 100.0;
            self.active.slots.change(|queue, now| queue.pace_reported(now, slowdown));
        }
    }

    /// Reads a short answer to its end; a long one keeps the slot until it has been passed on.
    async fn read_response(
        self,
        response: Response<CallBody>,
    ) -> Result<Response<CallBody>, Refusal> {
        let (mut parts, body) = response.into_parts();
        forwarding::strip_hop_by_hop(&mut parts.headers);
        forwarding::strip_between_daemons(&mut parts.headers);
        let broken = |_| Refusal::unknown(Reason::Broken);
        let buffered = BodyStart::read(body, BUFFERED_RESPONSE_MAX_BYTES).await.map_err(broken)?;
        if buffered.rest.is_none() {
            self.lease.finish();
            return Ok(Response::from_parts(parts, buffered.into_body()));
        }
        let lease = self.lease;
        let streamed = buffered.into_body().map_frame(move |frame| {
            let _lease = &lease;
            frame
        });
        Ok(Response::from_parts(parts, streamed.boxed_unsync()))
    }
}

/// An answer that repeats another request's name, or none, is no answer to this one.
///
/// Failure: a target sends a second answer to the request before, it arrives where the next one's
/// is due, and a caller gets somebody else's page.
fn check_response(request: &GateRequest, response: &Response<CallBody>) -> Result<(), Refusal> {
    let is_own = response.headers().get(headers::REQUEST_ID) == request.request_id();
    if is_own && !is_encoded(response) {
        return Ok(());
    }
    Err(Refusal::unknown(Reason::Broken))
}
