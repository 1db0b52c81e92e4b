//! Dispatches a request to the target, and handles its response or failure.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, Response, StatusCode, header};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::{
    sync::oneshot,
    task::JoinHandle,
    time::{sleep, timeout, timeout_at},
};
use yuccarack_config::headers;
use yuccarack_platform::rows::RecordedOutcome;

use super::{
    Gate,
    call::GateCall,
    guarded_body::{GuardedBody, RunningRequest},
    in_flight::InFlightRequest,
    send_error_refusal,
    slots::SlotLease,
    target::GateTarget,
};
use crate::{
    coordination::{
        claims::{Claim, RunningClaim},
        suspects::Trial,
    },
    protocol::{
        body::{BodyStart, CallBody},
        forwarding,
        refusal::{Outcome, Reason, Refusal},
    },
    transport::{
        connection::{Connection, SendError, Sending},
        upstream::Freshness,
    },
};

/// Largest response body of a claimed request that is buffered before it is forwarded, so that it
/// is stored with the outcome; a larger one is streamed and the outcome stored without a body.
const RECORDED_BODY_MAX_BYTES: usize = 4 * 1024;

/// Time that a caller's response waits for the check whether the target has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after the deadline for which a claimed request still waits for its response, so that the
/// outcome of a late one is recorded; shorter than a stopping daemon waits for requests in flight.
const CLAIMED_RESPONSE_GRACE: Duration = Duration::from_secs(20);

/// Largest request body that counts as sent at once, so that a response is due from then on.
const SHORT_BODY_MAX_BYTES: u64 = 64 * 1024;

/// Delays before each check of a target whose connection broke. A dying process may close its port
/// last, so the first check may still find it open.
const CRASH_CHECK_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(6)];

/// A request with all that its dispatch to the target needs.
pub struct Dispatch {
    /// Gate that dispatches the request.
    pub gate: Arc<Gate>,
    /// Target that the request goes to.
    pub target: Arc<GateTarget>,
    /// Record of the request for the requests in flight.
    pub in_flight_request: InFlightRequest,
    /// Slot that the request holds.
    pub slot: SlotLease,
    /// Trial of the request if it is a suspect.
    pub trial: Option<Trial>,
}

impl Dispatch {
    /// Dispatches a repeatable request. Dropping the future cancels the request at the target.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose outcome says whether the request is confirmed not to have run.
    pub async fn run(self, call: GateCall) -> Result<Response<CallBody>, Refusal> {
        let response_deadline = call.deadline;
        self.exchange(call, Freshness::Kept, response_deadline).await
    }

    /// Dispatches a claimed request and records its outcome.
    ///
    /// It continues after its caller disconnects, and for some time after the deadline. A request
    /// that is cancelled half-way has an unknown outcome, which an operator has to resolve; the
    /// outcome of one that completes is there when the caller sends the request again. The target
    /// knows the deadline and may stop by itself.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose outcome says whether the request is confirmed not to have run.
    pub async fn run_claimed(
        self,
        call: GateCall,
        claim: Claim,
    ) -> Result<Response<CallBody>, Refusal> {
        let Some(claim) = claim.begin_dispatch() else {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        };
        let deadline = call.deadline;
        let response_deadline = deadline + CLAIMED_RESPONSE_GRACE;
        let (sender, response_receiver) = oneshot::channel();
        let requests = self.gate.parts.requests.clone();
        requests.spawn(async move {
            let response = self.exchange(call, Freshness::New, response_deadline).await;
            let response = record_outcome(response, claim).await;
            // The receiver may be dropped because the caller has disconnected; the outcome is
            // recorded nevertheless.
            let _ = sender.send(response);
        });
        match timeout_at(deadline.into(), response_receiver).await {
            Ok(response) => response.unwrap_or_else(|_| Err(Refusal::unknown(Reason::Stopping))),
            Err(_) => Err(Refusal::unknown(Reason::DeadlinePassed)),
        }
    }

    async fn exchange(
        self,
        call: GateCall,
        freshness: Freshness,
        response_deadline: Instant,
    ) -> Result<Response<CallBody>, Refusal> {
        let Self { gate, target, in_flight_request, slot, trial } = self;
        if Instant::now() >= call.deadline {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        }
        let trial = trial.map(Trial::begin_dispatch);
        let crash_check = CrashCheck { gate: Arc::clone(&gate), target: Arc::clone(&target) };
        let running = RunningRequest {
            slot,
            in_flight: gate.in_flight.register(in_flight_request),
            trial,
            crash_check,
        };
        let on_progress = running.slot.progress_callback();
        let request = call.into_target_request().map(|body| with_progress(body, on_progress));
        let sent = gate.parts.upstream.send(target.address(), request, freshness);
        match timeout_at(response_deadline.into(), sent).await {
            Ok(Ok(response)) => target_response(response, running, response_deadline),
            Ok(Err(error)) => Err(gate.finish_failed(error, running).await),
            Err(_) => {
                running.finish_late();
                Err(Refusal::unknown(Reason::DeadlinePassed))
            }
        }
    }
}

impl Gate {
    /// Ends a request whose connection failed, and checks whether the target has crashed.
    async fn finish_failed(&self, error: SendError, running: RunningRequest) -> Refusal {
        if error.is_not_sent() {
            let target = Arc::clone(&running.crash_check.target);
            running.finish_not_sent();
            if is_connection_refused(&error) {
                // The process has exited: requests that broke or were abandoned just before are
                // suspects.
                self.blame_in_flight(&target).await;
            }
            return send_error_refusal(Reason::Unreachable, true);
        }
        // The other members of the service learn of a suspect before its caller can send it again.
        // A check that takes longer continues in the background.
        let has_crashed = timeout(CRASH_CHECK_TIMEOUT, running.finish_broken()).await;
        let has_crashed = matches!(has_crashed, Ok(Ok(true)));
        let reason = if has_crashed { Reason::TargetDied } else { Reason::Broken };
        send_error_refusal(reason, false)
    }

    /// Returns whether the target's process has exited, which shows in a port that refuses
    /// connections.
    ///
    /// A dying process closes its sockets one after the other, possibly the listening one last, so
    /// a single check may find it open. The request would then count as merely broken and an entry
    /// would send it to the next target, so the check is repeated twice.
    async fn check_crash(&self, target: &GateTarget) -> bool {
        let mut has_crashed = false;
        for delay in CRASH_CHECK_DELAYS {
            sleep(delay).await;
            let probe =
                Connection::open(target.address(), Sending::Short, &self.parts.background).await;
            has_crashed = probe.is_err_and(|error| is_connection_refused(&error));
            if has_crashed {
                break;
            }
        }
        if has_crashed {
            self.blame_in_flight(target).await;
        }
        has_crashed
    }
}

/// A check whether a target has crashed, ready to start.
pub struct CrashCheck {
    gate: Arc<Gate>,
    target: Arc<GateTarget>,
}

impl CrashCheck {
    /// Starts the check in the background. The task returns whether the target has crashed.
    pub fn start(self) -> JoinHandle<bool> {
        let Self { gate, target } = self;
        let tasks = gate.parts.background.clone();
        tasks.spawn(async move { gate.check_crash(&target).await })
    }
}

/// Wraps a long body so that `on_progress` is called for each frame that the target accepts. A
/// short body is sent at once and reports no progress.
fn with_progress(body: CallBody, on_progress: impl Fn() + Send + 'static) -> CallBody {
    let is_short = body.size_hint().upper().is_some_and(|bytes| bytes <= SHORT_BODY_MAX_BYTES);
    if is_short {
        return body;
    }
    body.map_frame(move |frame| {
        on_progress();
        frame
    })
    .boxed_unsync()
}

fn is_connection_refused(error: &SendError) -> bool {
    matches!(error, SendError::Unreachable { refused: true, .. })
}

fn target_response(
    mut response: Response<CallBody>,
    running: RunningRequest,
    deadline: Instant,
) -> Result<Response<CallBody>, Refusal> {
    if is_shed(&response) {
        running.finish_shed();
        return Err(shed_refusal(response.headers()));
    }
    let map = response.headers_mut();
    forwarding::strip_hop_by_hop(map);
    forwarding::strip_internal_headers(map);
    Ok(response.map(|body| GuardedBody::new(body, running, deadline).boxed_unsync()))
}

/// Returns whether the target shed the request. By its contract it does so only before it runs any
/// of the request.
fn is_shed(response: &Response<CallBody>) -> bool {
    let is_reported_not_run =
        response.headers().get(headers::NOT_RUN).is_some_and(|value| value == "true");
    is_reported_not_run && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

fn shed_refusal(map: &HeaderMap) -> Refusal {
    let refusal = Refusal::not_run(Reason::Shed);
    let seconds = map.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    match seconds {
        Some(seconds) => refusal.with_retry_after(Duration::from_secs(seconds)),
        None => refusal.with_retry_after(Duration::from_secs(1)),
    }
}

/// Settles a claim with the outcome of its request.
async fn record_outcome(
    response: Result<Response<CallBody>, Refusal>,
    claim: RunningClaim,
) -> Result<Response<CallBody>, Refusal> {
    let response = match response {
        Ok(response) => response,
        Err(refusal) => {
            if refusal.outcome == Outcome::NotRun {
                claim.release_not_run_and_wait().await;
            }
            // Otherwise the claim stays open: the request may have run, so it must not run again.
            return Err(refusal);
        }
    };
    let (parts, body) = response.into_parts();
    let Ok(start) = BodyStart::read(body, RECORDED_BODY_MAX_BYTES).await else {
        return Err(Refusal::unknown(Reason::Broken));
    };
    let is_complete = start.rest.is_none();
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    claim.record_outcome(RecordedOutcome {
        status: parts.status.as_u16(),
        content_type: content_type.and_then(|value| value.to_str().ok().map(str::to_owned)),
        body: is_complete.then(|| start.start.to_vec()),
    });
    Ok(Response::from_parts(parts, start.into_body()))
}
