//! Checks what a request needs before it may run: no quarantine, a trial as a suspect, and a claim.

use std::time::Instant;

use http::{HeaderValue, Response};
use yuccarack_config::{headers, ids::Fingerprint};
use yuccarack_platform::rows::RecordedOutcome;
use yuccarack_policy::suspects::Verdict;

use super::{Gate, NOT_READY_RETRY_AFTER, call::GateCall};
use crate::{
    coordination::{
        claims::{Claim, ClaimRequest, ClaimVerdict},
        suspects::{Trial, TrialVerdict},
    },
    protocol::{
        body::{self, CallBody},
        forwarding,
        refusal::{Outcome, Reason, Refusal},
    },
};

/// The claim of a request, or the recorded response of an earlier run.
pub(super) enum ClaimResult {
    Granted(Claim),
    Recorded(Response<CallBody>),
}

impl Gate {
    /// Returns whether a request may only run on trial.
    ///
    /// # Errors
    ///
    /// Returns a refusal for a request that must not run now.
    pub(super) async fn is_suspect(
        &self,
        service: &str,
        fingerprint: Fingerprint,
    ) -> Result<bool, Refusal> {
        match self.parts.suspects.verdict(service, fingerprint).await {
            Verdict::Clear => Ok(false),
            Verdict::Alone => Ok(true),
            Verdict::Quarantined { until } => {
                let remaining = until.saturating_duration_since(Instant::now());
                Err(Refusal::not_run(Reason::Quarantined).with_retry_after(remaining))
            }
            Verdict::OnTrialElsewhere { retry_after } => {
                Err(Refusal::not_run(Reason::OnTrial).with_retry_after(retry_after))
            }
        }
    }

    /// Begins the trial of a request that was in flight when a target crashed, as it may only run
    /// alone.
    pub(super) async fn trial(
        &self,
        service: &str,
        fingerprint: Fingerprint,
    ) -> Result<Trial, Refusal> {
        match self.parts.suspects.begin_trial(service, fingerprint).await {
            TrialVerdict::Granted(trial) => Ok(trial),
            TrialVerdict::OnTrialElsewhere { retry_after } => {
                Err(Refusal::not_run(Reason::OnTrial).with_retry_after(retry_after))
            }
            TrialVerdict::Quarantined { until } => {
                let remaining = until.saturating_duration_since(Instant::now());
                Err(Refusal::not_run(Reason::Quarantined).with_retry_after(remaining))
            }
            TrialVerdict::StoreUnavailable { retry_after } => {
                Err(Refusal::not_run(Reason::StoreUnavailable).with_retry_after(retry_after))
            }
        }
    }

    /// Claims the idempotency key of a request that must not repeat.
    ///
    /// The claim precedes the slot, so that a slow store doesn't block slots that requests without
    /// a claim could use.
    pub(super) async fn claim(&self, request: ClaimRequest) -> Result<ClaimResult, Refusal> {
        match self.parts.claims.claim(request).await {
            ClaimVerdict::Granted(claim) => Ok(ClaimResult::Granted(claim)),
            ClaimVerdict::Recorded(outcome) => Ok(ClaimResult::Recorded(replay_response(outcome)?)),
            ClaimVerdict::InProgress => {
                Err(Refusal::unknown(Reason::InProgress).with_retry_after(NOT_READY_RETRY_AFTER))
            }
            ClaimVerdict::KeyReused => Err(Refusal::not_run(Reason::KeyReused)),
            ClaimVerdict::StoreUnavailable { retry_after } => {
                Err(Refusal::not_run(Reason::StoreUnavailable).with_retry_after(retry_after))
            }
        }
    }
}

/// Releases a claim before the caller gets `not_run` for its request.
pub(super) async fn release_claim(claim: Option<Claim>) {
    if let Some(claim) = claim {
        claim.release_and_wait().await;
    }
}

/// Returns the claim that a request needs before it may run; `None` if the request may repeat.
pub(super) fn claim_request(
    call: &GateCall,
    is_repeatable: bool,
    fingerprint: Fingerprint,
) -> Result<Option<ClaimRequest>, Refusal> {
    if is_repeatable {
        return Ok(None);
    }
    let Some(key) = call.head.key.clone() else {
        return Err(Refusal::not_run(Reason::NoIdempotencyKey));
    };
    Ok(Some(ClaimRequest {
        service: call.head.service.clone(),
        key,
        attempt: call.attempt,
        fingerprint,
        dispatch_deadline: call.deadline,
    }))
}

/// Builds the recorded response of an earlier run.
///
/// A response whose body was too large to record is refused with the outcome only. Replayed without
/// its body, its caller would take an empty success for the complete response.
fn replay_response(outcome: RecordedOutcome) -> Result<Response<CallBody>, Refusal> {
    let Some(bytes) = outcome.body else {
        let outcome = Outcome::Run;
        return Err(Refusal { reason: Reason::ResponseNotStored, outcome, retry_after: None });
    };
    let body = body::full(bytes.into());
    let mut response = Response::new(body);
    if let Ok(status) = http::StatusCode::from_u16(outcome.status) {
        *response.status_mut() = status;
    }
    let map = response.headers_mut();
    map.insert(headers::REPLAYED, HeaderValue::from_static("true"));
    if let Some(content_type) = outcome.content_type {
        forwarding::set_header(map, "content-type", &content_type);
    }
    Ok(response)
}
