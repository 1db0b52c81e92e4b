//! One request on its way from the gate to the target and its answer back.

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

/// Largest answer of a claimed request that is read before it is passed on, so that its record is
/// written with the body; a larger one is streamed and recorded without.
const RECORDED_BODY_MAX_BYTES: usize = 4 * 1024;

/// Longest look at whether the target has died, before its caller is told.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(20);

/// How long the answer of a claimed request is waited for after its deadline, so that a straggler's
/// outcome is still recorded; less than a stopping daemon waits for work in flight.
const CLAIMED_RESPONSE_GRACE: Duration = Duration::from_secs(20);

/// Longest request that goes out in one piece, so that its target owes an answer from then on.
const SHORT_BODY_MAX_BYTES: u64 = 64 * 1024;

/// Waits before each look at a target whose connection broke.
const CRASH_CHECK_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(6)];

/// A request with all it needs to go to the target.
pub struct Dispatch {
    /// The gate.
    pub gate: Arc<Gate>,
    /// The target.
    pub target: Arc<GateTarget>,
    /// What the request is recognised by.
    pub in_flight_request: InFlightRequest,
    /// Its slot.
    pub slot: SlotLease,
    /// Its trial, where it is a crash suspect.
    pub trial: Option<Trial>,
}

impl Dispatch {
    /// Hands a repeatable request over; dropping this future cancels it at the target.
    ///
    /// # Errors
    ///
    /// A refusal with what is proved.
    pub async fn run(self, call: GateCall) -> Result<Response<CallBody>, Refusal> {
        let response_deadline = call.deadline;
        self.exchange(call, Freshness::Kept, response_deadline).await
    }

    /// Hands a claimed request over and records its outcome.
    ///
    /// It goes on when its caller hangs up, and for a while after the deadline: cut off in the
    /// middle it would be neither done nor undone and wait for an operator, while run to its end
    /// its outcome is there for the caller's next question. The target knows the deadline and may
    /// stop by itself.
    ///
    /// # Errors
    ///
    /// A refusal with what is proved.
    pub async fn run_claimed(
        self,
        call: GateCall,
        claim: Claim,
    ) -> Result<Response<CallBody>, Refusal> {
        let Some(claim) = claim.hand_over() else {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        };
        let deadline = call.deadline;
        let response_deadline = deadline + CLAIMED_RESPONSE_GRACE;
        let (sender, response_receiver) = oneshot::channel();
        let requests = self.gate.parts.requests.clone();
        requests.spawn(async move {
            let response = self.exchange(call, Freshness::New, response_deadline).await;
            let response = record_outcome(response, claim).await;
            // The caller may have gone; the outcome is recorded all the same.
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
        let trial = trial.map(Trial::hand_over);
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
    /// Ends a request whose connection failed, and looks whether the target died with it.
    async fn finish_failed(&self, error: SendError, running: RunningRequest) -> Refusal {
        if error.is_not_sent() {
            let target = Arc::clone(&running.crash_check.target);
            running.finish_not_sent();
            if is_connection_refused(&error) {
                // Nobody listens any more: what broke or was given up just before is to blame.
                self.blame_in_flight(&target).await;
            }
            return send_error_refusal(Reason::Unreachable, true);
        }
        // Members of the service hear of a suspect before its caller can send it again. The look
        // goes on by itself when it takes longer than anybody should wait.
        let has_crashed = timeout(CRASH_CHECK_TIMEOUT, running.finish_broken()).await;
        let has_crashed = matches!(has_crashed, Ok(Ok(true)));
        let reason = if has_crashed { Reason::TargetDied } else { Reason::Broken };
        send_error_refusal(reason, false)
    }

    /// A port that refuses connections belongs to no process any more.
    ///
    /// Failure: a dying process closes its connections one after the other, the listening one last
    /// perhaps, and a first look finds it open; the request would count as merely broken and an
    /// entry would send it to the next target. So it looks again, twice.
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

/// Looks whether a target has died.
pub struct CrashCheck {
    gate: Arc<Gate>,
    target: Arc<GateTarget>,
}

impl CrashCheck {
    /// Looks in the background; the task says whether it has.
    pub fn start(self) -> JoinHandle<bool> {
        let Self { gate, target } = self;
        let tasks = gate.parts.background.clone();
        tasks.spawn(async move { gate.check_crash(&target).await })
    }
}

/// A long body, each piece of which tells that the target still takes something; a short one is
/// handed over at once and tells nothing.
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

/// By its contract a target says so only before it has run any of the request.
fn is_shed(response: &Response<CallBody>) -> bool {
    let says_not_run =
        response.headers().get(headers::NOT_RUN).is_some_and(|value| value == "true");
    says_not_run && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

fn shed_refusal(map: &HeaderMap) -> Refusal {
    let refusal = Refusal::not_run(Reason::Shed);
    let seconds = map.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    match seconds {
        Some(seconds) => refusal.with_retry_after(Duration::from_secs(seconds)),
        None => refusal.with_retry_after(Duration::from_secs(1)),
    }
}

/// Settles a claim by what is known of its request.
async fn record_outcome(
    response: Result<Response<CallBody>, Refusal>,
    claim: RunningClaim,
) -> Result<Response<CallBody>, Refusal> {
    let response = match response {
        Ok(response) => response,
        Err(refusal) => {
            if refusal.outcome == Outcome::NotRun {
                claim.release_not_run_seen().await;
            }
            // Else the claim stays open: the request may have run, so nobody may run it again.
            return Err(refusal);
        }
    };
    let (parts, body) = response.into_parts();
    let Ok(start) = BodyStart::read(body, RECORDED_BODY_MAX_BYTES).await else {
        return Err(Refusal::unknown(Reason::Broken));
    };
    let is_complete = start.rest.is_none();
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    claim.done(RecordedOutcome {
        status: parts.status.as_u16(),
        content_type: content_type.and_then(|value| value.to_str().ok().map(str::to_owned)),
        body: is_complete.then(|| start.start.to_vec()),
    });
    Ok(Response::from_parts(parts, start.into_body()))
}
