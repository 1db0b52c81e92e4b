//! Every response that is ours and not the target's: its reason, its outcome, its form.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use yuccarack_config::headers;
use yuccarack_policy::work_queue::RefusedReason;

use super::body::{self, CallBody};

/// What is proved of a request that got no response from its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Nothing of it was handed to a target, or the target shed it.
    NotRun,
    /// Something of it was handed to a target; it may have run.
    Unknown,
    /// It has run to its end, and its response can't be told any more.
    Run,
}

impl Outcome {
    /// Its spelling in the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Run => "run",
        }
    }

    /// Reads the outcome header of a daemon's response.
    pub fn from_headers(map: &http::HeaderMap) -> Option<Self> {
        match map.get(headers::OUTCOME)?.as_bytes() {
            b"not_run" => Some(Self::NotRun),
            b"run" => Some(Self::Run),
            _ => Some(Self::Unknown),
        }
    }
}

/// Why a call gets an response of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The head of the request can't be understood.
    BadRequest,
    /// A request that must not repeat came without an idempotency key.
    NoIdempotencyKey,
    /// The key was used before for another request.
    KeyReused,
    /// No rules of such a service are in force.
    UnknownService,
    /// No route of the service takes the request.
    UnknownRoute,
    /// No routing table is known yet.
    NoRouting,
    /// The body is longer than operators accept.
    BodyTooLarge,
    /// No connection to the gate could be made.
    NoConnection,
    /// The gate's target serves another service.
    OtherService,
    /// The service has no target that takes work.
    NoTarget,
    /// The platform is away and its word is needed.
    StoreUnavailable,
    /// The gate has no target of that service, or none that takes work.
    NotReady,
    /// The gate or its target is leaving.
    Draining,
    /// Operators want the targets of the gate's failure domain to get nothing.
    Evacuated,
    /// The gate's admission refused; the inner word says why.
    Admission(&'static str),
    /// Runs of such requests fail for want of another service.
    DependencyShortage,
    /// Too many claims of this gate wait for the platform.
    ClaimsBusy,
    /// A request with this key is running, or its fate is unknown.
    InProgress,
    /// A request with this key has run, and its response was too large to keep.
    ResponseNotStored,
    /// The request has crashed targets twice.
    Quarantined,
    /// The request is a crash suspect and is on trial elsewhere.
    OnTrial,
    /// The target shed the request before running it.
    Shed,
    /// No connection to the gate or the target could be made.
    Unreachable,
    /// The connection broke after something was handed over.
    Broken,
    /// The target died with the request in flight; the request is a crash suspect.
    TargetDied,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller's body ended before its end.
    CallerBodyCut,
    /// The daemon is stopping and its time for work in flight is over.
    Stopping,
}

impl Reason {
    /// Reasons that a gate gives for a routed request.
    const SENT_BY_GATES: [Self; 18] = [
        Self::BadRequest,
        Self::NotReady,
        Self::Draining,
        Self::Evacuated,
        Self::OtherService,
        Self::Shed,
        Self::Unreachable,
        Self::Broken,
        Self::TargetDied,
        Self::DeadlinePassed,
        Self::CallerBodyCut,
        Self::Quarantined,
        Self::Admission(RefusedReason::Full.as_str()),
        Self::Admission(RefusedReason::Slow.as_str()),
        Self::Admission(RefusedReason::Cold.as_str()),
        Self::Admission(RefusedReason::CannotEndInTime.as_str()),
        Self::Admission(RefusedReason::TooLate.as_str()),
        Self::Admission(RefusedReason::Leaving.as_str()),
    ];

    /// Its spelling in the reason header and in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoIdempotencyKey => "no_idempotency_key",
            Self::KeyReused => "key_reused",
            Self::UnknownService => "unknown_service",
            Self::UnknownRoute => "unknown_route",
            Self::NoRouting => "no_routing",
            Self::BodyTooLarge => "body_too_large",
            Self::NoConnection => "no_connection",
            Self::OtherService => "other_service",
            Self::NoTarget => "no_target",
            Self::StoreUnavailable => "store_away",
            Self::NotReady => "not_ready",
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::Admission(reason) => reason,
            Self::DependencyShortage => "short_elsewhere",
            Self::ClaimsBusy => "claims_busy",
            Self::InProgress => "in_progress",
            Self::ResponseNotStored => "answer_not_kept",
            Self::Quarantined => "quarantined",
            Self::OnTrial => "on_trial",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::TargetDied => "target_died",
            Self::DeadlinePassed => "deadline_passed",
            Self::CallerBodyCut => "caller_body_cut",
            Self::Stopping => "stopping",
        }
    }

    /// Reads the reason header of a daemon's response; one that isn't known counts as broken.
    pub fn from_headers(map: &http::HeaderMap) -> Self {
        let text = map.get(headers::REASON).and_then(|value| value.to_str().ok()).unwrap_or("");
        let known = Self::SENT_BY_GATES.into_iter().find(|reason| reason.as_str() == text);
        known.unwrap_or(Self::Broken)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::NoIdempotencyKey | Self::CallerBodyCut => {
                StatusCode::BAD_REQUEST
            }
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::UnknownService | Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::InProgress | Self::ResponseNotStored => StatusCode::CONFLICT,
            Self::Unreachable | Self::Broken | Self::TargetDied => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRouting
            | Self::NoConnection
            | Self::OtherService
            | Self::NoTarget
            | Self::StoreUnavailable
            | Self::NotReady
            | Self::Draining
            | Self::Evacuated
            | Self::Admission(_)
            | Self::DependencyShortage
            | Self::ClaimsBusy
            | Self::Quarantined
            | Self::OnTrial
            | Self::Shed
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// One refusal: why, what is proved, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What is proved of the request.
    pub outcome: Outcome,
    /// When it is worth asking again, where that is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal with the proof that nothing of the request ran.
    pub fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// The word that nobody knows whether the request ran.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Whether it is proved that nothing of the request ran.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// Says when to come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The response that tells the caller.
    pub fn into_response(self) -> Response<CallBody> {
        let mut response = Response::new(body::empty());
        *response.status_mut() = self.reason.status();
        let map = response.headers_mut();
        map.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        map.insert(headers::REASON, HeaderValue::from_static(self.reason.as_str()));
        if let Some(retry_after) = self.retry_after {
            map.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(retry_after)));
        }
        response
    }

    /// The response that tells the caller of a routed request.
    ///
    /// A caller takes 503 as proof that nothing ran, so only what is proved gets it; and what is
    /// proved gets nothing else, so that its caller may come back.
    pub fn into_routed_response(self) -> Response<CallBody> {
        let retry_after = self.retry_after;
        let status = self.routed_status();
        let mut response = Self { retry_after: None, ..self }.into_response();
        *response.status_mut() = status;
        if let Some(retry_after) = retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            super::forwarding::set_header(response.headers_mut(), "retry-after", &seconds);
        }
        response
    }

    fn routed_status(&self) -> StatusCode {
        match (self.reason.status(), self.outcome) {
            (status, _) if status.is_client_error() => status,
            (_, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (StatusCode::GATEWAY_TIMEOUT, _) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// `Retry-After` knows whole seconds only; rounding down would invite callers too early.
fn whole_seconds(time: Duration) -> u64 {
    let rounded_up = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    rounded_up.max(1)
}
