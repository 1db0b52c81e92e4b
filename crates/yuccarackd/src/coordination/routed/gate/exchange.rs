//! Sends one admitted request to the target and reads the response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout_at;
use yuccarack_platform_wire::{headers, load};
use yuccarack_policy::rate_limit::ReportSource;

use super::{ActiveTarget, Gate, GateRequest, is_encoded, work_slots::SlotLease};
use crate::{
    coordination::routed::log_lines::TargetResponseRejected,
    protocol::{
        body::{BodyError, BodyStart, CallBody},
        body_until::BodyUntil,
        forwarding,
        refusal::{Outcome, Reason, Refusal},
    },
    transport::{connection::SendError, upstream::Freshness},
};

/// Largest response that is buffered in full before any of it is forwarded, so that one that breaks
/// off is reported as broken and isn't forwarded in part. A larger one is streamed.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 256 * 1024;

/// Time after the deadline of its request for which a response may still be streamed. Its caller may
/// read it to the end though it is late, but a response without an end must not hold its slot.
const STREAMED_LATE_MAX: Duration = Duration::from_secs(10);

/// Exchange of one request that holds a slot of its target.
pub struct Exchange<'a> {
    /// Gate that admitted the request.
    pub gate: &'a Gate,
    /// Target that gets the request.
    pub active: &'a Arc<ActiveTarget>,
    /// Slot that the request holds.
    pub lease: SlotLease,
}

impl Exchange<'_> {
    /// Dispatches the request and reads the response. Dropping the future cancels the request at
    /// the target.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose outcome says whether the request is known not to have run.
    pub async fn run(self, request: &mut GateRequest) -> Result<Response<CallBody>, Refusal> {
        let deadline = request.deadline.at();
        if deadline <= Instant::now() {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        }
        let dispatched_at = Instant::now();
        let mut response = match timeout_at(deadline.into(), self.send(request)).await {
            Ok(response) => response?,
            Err(_) => return Err(Refusal::unknown(Reason::DeadlinePassed)),
        };
        self.gate.parts.metrics.observe_first_byte(dispatched_at.elapsed());
        self.record_slowdown(&response);
        // 421 is the response of another target at the same address.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            let (gate, source) = (self.gate, ReportSource::Request);
            gate.record_announcement(self.active, dispatched_at, source, response.headers());
        }
        let is_shed = headers::confirms_not_run(response.status(), response.headers());
        self.active.sheds.record(is_shed);
        if is_shed {
            let retry_after = self.shed_retry_after(response.headers());
            return Err(Refusal::not_run(Reason::Shed).with_retry_after(retry_after));
        }
        // First, since `Connection` may name a header that the caller depends on.
        forwarding::strip_hop_by_hop(response.headers_mut());
        check_response(request, &response)?;
        let streamed_until = deadline + STREAMED_LATE_MAX;
        match timeout_at(deadline.into(), self.read_response(response, streamed_until)).await {
            Ok(response) => response,
            Err(_) => Err(Refusal::unknown(Reason::DeadlinePassed)),
        }
    }

    /// Sends the request over a pooled connection if it may repeat, otherwise over a new one.
    ///
    /// A target may drop an idle connection without notice, and the next request sent on it is
    /// reset. The outcome of a request that must not repeat would then stay unknown. After such a
    /// reset repeatable requests avoid connections that were idle for long, too, for a while.
    async fn send(&self, request: &mut GateRequest) -> Result<Response<CallBody>, Refusal> {
        let view = &self.active.view;
        let target_request = request.target_request(&view.target);
        let freshness = match request.hop.is_repeatable {
            true => self.active.idle_drops.freshness(Instant::now()),
            false => Freshness::New,
        };
        let upstream = &self.gate.parts.upstream;
        let prepared = upstream.prepare(view.address, target_request, freshness).await;
        let prepared = prepared.map_err(|error| self.record_send_error(&error))?;
        // The target may have started to drain while the connection was opened.
        self.gate.check_accepting(self.active)?;
        let sent = prepared.send().await;
        sent.map_err(|error| self.record_send_error(&error))
    }

    fn record_send_error(&self, error: &SendError) -> Refusal {
        if error.is_unreachable() {
            self.gate.mark_unreachable(self.active);
        }
        if let SendError::Broken(_) = error {
            self.active.idle_drops.record_broken(Instant::now());
        }
        if let Some(cause) = error.malformed_head() {
            self.gate.log_rejected_response(self.active, "request", cause);
        }
        let (reason, outcome) = match error {
            SendError::Unreachable { .. } => (Reason::Unreachable, Outcome::NotRun),
            SendError::NothingSent => (Reason::Broken, Outcome::NotRun),
            SendError::Broken(_) | SendError::Malformed(_) => (Reason::Broken, Outcome::Unknown),
        };
        Refusal { reason, outcome, retry_after: None }
    }

    fn record_slowdown(&self, response: &Response<CallBody>) {
        let slowdown_percent = load::decode(response.headers()).and_then(|load| load.pace_percent);
        if let Some(percent) = slowdown_percent {
            let slowdown = f64::from(percent) / 100.0;
            self.active.slots.change(|queue, now| queue.record_slowdown(now, slowdown));
        }
    }

    /// Buffers a short response in full; a long one is streamed and holds the slot until its end, at
    /// most until `streamed_until`.
    async fn read_response(
        self,
        response: Response<CallBody>,
        streamed_until: Instant,
    ) -> Result<Response<CallBody>, Refusal> {
        let (mut parts, body) = response.into_parts();
        forwarding::strip_internal_headers(&mut parts.headers);
        let broken = |_| Refusal::unknown(Reason::Broken);
        let max_bytes = self.gate.parts.link.buffered_max_bytes(BUFFERED_RESPONSE_MAX_BYTES);
        let buffered = BodyStart::read(body, max_bytes).await.map_err(broken)?;
        if buffered.rest.is_none() {
            self.lease.finish();
            return Ok(Response::from_parts(parts, buffered.into_body()));
        }
        let lease = self.lease;
        let bounded = BodyUntil::new(buffered.into_body(), streamed_until);
        let (events, target) = (self.gate.parts.events.clone(), self.active.view.target.clone());
        let logged = bounded.map_err(move |error| {
            if matches!(error, BodyError::DeadlinePassed) {
                let (target, cause) = (target.clone(), error.to_string());
                events.write(|| TargetResponseRejected { target, of: "request", cause });
            }
            error
        });
        let streamed = logged.map_frame(move |frame| {
            let _lease = &lease;
            frame
        });
        Ok(Response::from_parts(parts, streamed.boxed_unsync()))
    }
}

/// Checks that the response repeats the ID of this request, is signed if it is a success, and isn't
/// content-encoded. The headers must be those that are forwarded.
///
/// A target that sends a second response to an earlier request would otherwise have it taken for
/// the response to the next request on the connection, and a caller would get another caller's
/// page.
fn check_response(request: &GateRequest, response: &Response<CallBody>) -> Result<(), Refusal> {
    let map = response.headers();
    let is_own = map.get_all(headers::REQUEST_ID).iter().eq(request.request_id());
    let is_signed = match map.get_all(headers::SIGNATURE).iter().count() {
        0 => !response.status().is_success(),
        count => count == 1,
    };
    if is_own && is_signed && !is_encoded(response) {
        return Ok(());
    }
    Err(Refusal::unknown(Reason::Broken))
}
