//! Responses that a daemon sends itself instead of the target: their reason, outcome and form.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use yuccarack_config::headers;
use yuccarack_policy::work_queue::QueueRefusalReason;

use super::body::{self, CallBody};

/// What is known about the execution of a request without a response from its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Nothing of the request reached a target, or the target shed it.
    NotRun,
    /// Part of the request reached a target; it may have run.
    Unknown,
    /// The request ran to its end, but its response is no longer available.
    Run,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Run => "run",
        }
    }

    /// Parses the outcome header of a response from a daemon; an unknown value counts as
    /// [`Outcome::Unknown`].
    pub fn from_headers(map: &http::HeaderMap) -> Option<Self> {
        match map.get(headers::OUTCOME)?.as_bytes() {
            b"not_run" => Some(Self::NotRun),
            b"run" => Some(Self::Run),
            _ => Some(Self::Unknown),
        }
    }
}

/// Reason why a daemon responds itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The head of the request is invalid.
    BadRequest,
    /// A request that must not be repeated has no idempotency key.
    NoIdempotencyKey,
    /// The key was used before for a different request.
    KeyReused,
    /// No rules are in force for the service.
    UnknownService,
    /// No route of the service matches the request.
    UnknownRoute,
    /// The request has no key of an organisation, or one that is not known.
    Unauthorized,
    /// The organisation of the request is over its quota.
    OverQuota,
    /// No routing table is known yet.
    NoRouting,
    /// The body exceeds the limit set by operators.
    BodyTooLarge,
    /// The entry of a routed request could not connect to the gate, so nothing was sent.
    NoConnection,
    /// The target of the gate serves a different service; sent by gates of routed requests.
    OtherService,
    /// The entry found no target of the service that accepts requests.
    NoTarget,
    /// The decision needs the store, which is unavailable.
    StoreUnavailable,
    /// The gate knows no target yet, or its target is starting or being replaced. Without routing,
    /// also sent if the target serves a different service.
    NotReady,
    /// The gate or its target is shutting down.
    Draining,
    /// Operators evacuate the failure domain of the gate.
    Evacuated,
    /// The admission control of the gate rejected the request; the field tells why.
    Admission(&'static str),
    /// Requests of this kind fail because another service is short of capacity.
    DependencyShortage,
    /// Too many claims of this gate wait for the store.
    ClaimsBusy,
    /// A request with this key is running, or its outcome is unknown.
    InProgress,
    /// A request with this key has run, and its response was too large to store.
    ResponseNotStored,
    /// The request has crashed targets twice.
    Quarantined,
    /// The request is a crash suspect and is on trial at another gate.
    OnTrial,
    /// The target shed the request before running it.
    Shed,
    /// The gate could not connect to its target. Without routing, also sent by an entry that could
    /// not connect to the gate.
    Unreachable,
    /// The connection failed after part of the request was dispatched.
    Broken,
    /// The target died with the request in flight, which makes the request a crash suspect.
    TargetDied,
    /// The deadline of the call passed.
    DeadlinePassed,
    /// The caller's body ended early.
    CallerBodyCut,
    /// The daemon is stopping and its grace period for requests in flight is over.
    Stopping,
}

impl Reason {
    /// Reasons that a gate may give for a routed request.
    const SENT_BY_GATES: [Self; 21] = [
        Self::Unauthorized,
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
        Self::Admission(QueueRefusalReason::Full.as_str()),
        Self::Admission(QueueRefusalReason::Slow.as_str()),
        Self::Admission(QueueRefusalReason::Cold.as_str()),
        Self::Admission(QueueRefusalReason::RateLimited.as_str()),
        Self::Admission(QueueRefusalReason::CannotEndInTime.as_str()),
        Self::Admission(QueueRefusalReason::TooLate.as_str()),
        Self::Admission(QueueRefusalReason::LinkFull.as_str()),
        Self::Admission(QueueRefusalReason::Draining.as_str()),
    ];

    /// Returns the value of the reason header, which is also the name in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoIdempotencyKey => "no_idempotency_key",
            Self::KeyReused => "key_reused",
            Self::UnknownService => "unknown_service",
            Self::UnknownRoute => "unknown_route",
            Self::Unauthorized => "unauthorized",
            Self::OverQuota => "over_quota",
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

    /// Parses the reason header of a gate's response; any value that isn't in `SENT_BY_GATES` counts
    /// as [`Reason::Broken`].
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
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
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

/// A refusal of a request: its reason, its outcome and when to retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that verifiably did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Returns whether it is verified that nothing of the request ran.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Converts the refusal into the response to the caller.
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

    /// Converts the refusal into the response to the caller of a routed request.
    ///
    /// Callers take status 503 as the guarantee that nothing ran. So a request that verifiably did
    /// not run gets 503 and no other server error, which lets its caller retry, and no other
    /// request gets it.
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

/// Parses the `Retry-After` header of a response as a number of seconds, which may be a fraction.
pub fn retry_after_from_headers(map: &http::HeaderMap) -> Option<Duration> {
    let seconds = map.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Rounds up to whole seconds, the unit of `Retry-After`. Rounding down would let callers retry too
/// early.
fn whole_seconds(time: Duration) -> u64 {
    let rounded_up = time.as_secs().saturating_add(u64::from(time.subsec_nanos() > 0));
    rounded_up.max(1)
}
