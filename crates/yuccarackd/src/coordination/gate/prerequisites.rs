//! What a request needs before it may run: no quarantine, a trial, a claim.

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

/// The claim of a request, or the answer that makes one needless.
pub(super) enum ClaimResult {
    Granted(Claim),
    Recorded(Response<CallBody>),
}

impl Gate {
    /// Whether a request may only run on trial.
    ///
    /// # Errors
    ///
    /// A refusal for one that may not run at all.
    pub(super) async fn is_suspect(
        &self,
        service: &str,
        fingerprint: Fingerprint,
    ) -> Result<bool, Refusal> {
        match self.parts.suspects.verdict(service, fingerprint).await {
            Verdict::Clear => Ok(false),
            Verdict::Alone => Ok(true),
            Verdict::Quarantined { until } => {
                let left = until.saturating_duration_since(Instant::now());
                Err(Refusal::not_run(Reason::Quarantined).with_retry_after(left))
            }
            Verdict::OnTrialElsewhere { retry_after } => {
                Err(Refusal::not_run(Reason::OnTrial).with_retry_after(retry_after))
            }
        }
    }

    /// A request that was in flight when a target died runs alone or not at all.
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
                let left = until.saturating_duration_since(Instant::now());
                Err(Refusal::not_run(Reason::Quarantined).with_retry_after(left))
            }
            TrialVerdict::StoreAway { retry_after } => {
                Err(Refusal::not_run(Reason::StoreUnavailable).with_retry_after(retry_after))
            }
        }
    }

    /// Claims a request that must not repeat.
    ///
    /// Before it gets a slot, so that a slow store never holds the slots of requests that need no
    /// claim.
    pub(super) async fn claim(&self, request: ClaimRequest) -> Result<ClaimResult, Refusal> {
        match self.parts.claims.claim(request).await {
            ClaimVerdict::Mine(claim) => Ok(ClaimResult::Granted(claim)),
            ClaimVerdict::Recorded(outcome) => Ok(ClaimResult::Recorded(replay_response(outcome)?)),
            ClaimVerdict::InProgress => {
                Err(Refusal::unknown(Reason::InProgress).with_retry_after(NOT_READY_RETRY_AFTER))
            }
            ClaimVerdict::KeyReused => Err(Refusal::not_run(Reason::KeyReused)),
            ClaimVerdict::StoreAway { retry_after } => {
                Err(Refusal::not_run(Reason::StoreUnavailable).with_retry_after(retry_after))
            }
        }
    }
}

/// Gives a claim back before its request is told that it did not run.
pub(super) async fn release_claim(claim: Option<Claim>) {
    if let Some(claim) = claim {
        claim.release_seen().await;
    }
}

/// The claim that a request needs before it may run; none for one that may repeat.
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
        give_up_at: call.deadline,
    }))
}

/// The recorded answer of an earlier run.
///
/// Failure: an answer too large to keep is replayed without its body, and its caller takes an
/// empty success for the whole answer. So such a run is only told of.
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
