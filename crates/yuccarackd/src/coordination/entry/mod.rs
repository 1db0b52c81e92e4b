//! The entry, which accepts calls, chooses their gates and owns deadlines, retries and hedges.

pub mod attempt_sender;
pub mod attempts;
pub mod call;
pub mod outcome_tracker;
pub mod service;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderValue, Request, Response, header, request::Parts};
use parking_lot::RwLock;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use yuccarack_config::{
    headers,
    ids::{DomainName, InstanceId, ServiceName},
    rules::ServiceRules,
};

use self::{
    attempts::Attempts, call::EntryCall, outcome_tracker::OutcomeTracker, service::EntryService,
};
use super::gate::Gate;
use crate::{
    protocol::{
        body::CallBody,
        call::{CallHead, format_id},
        forwarding,
        refusal::{Reason, Refusal},
    },
    state::{
        call_log::{CallEvent, CallLog},
        counters::Counters,
        directory::{Directory, DirectoryError, ServiceView},
    },
    transport::{
        call_server::{Arrival, CallHandler},
        upstream::Upstream,
    },
};

/// Timeout for looking up the service of a call without a deadline of its own; the route's deadline
/// isn't known yet.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// `Retry-After` for a service that couldn't be looked up or has no target.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Prefix of the entry's refusal counters; the reason follows.
const REFUSED: &str = "entry.refused";

/// Dependencies of an [`Entry`].
pub struct EntryParts {
    /// Instance that this daemon runs on, whose gate is called directly.
    pub instance: InstanceId,
    /// Failure domain of this instance, whose targets are preferred.
    pub failure_domain: DomainName,
    /// Largest body that is buffered so that it can be sent again, in bytes.
    pub buffered_body_max_bytes: usize,
    /// Services with their rules and members.
    pub directory: Directory,
    /// The gate in the same process, which is called directly.
    pub gate: Arc<Gate>,
    /// Connection pool for requests to other gates.
    pub upstream: Upstream,
    /// Log of recent calls, from which operators query a call's events.
    pub call_log: CallLog,
    /// Counters of calls, refusals and attempts.
    pub counters: Counters,
    /// Cancelled when this daemon starts to leave, so that callers send their next call elsewhere.
    pub leaving: CancellationToken,
}

/// The entry of one daemon, which accepts calls and forwards them to gates.
pub struct Entry {
    parts: EntryParts,
    services: RwLock<HashMap<ServiceName, Arc<EntryService>>>,
}

impl CallHandler for Entry {
    const TAKES_PIPELINES: bool = true;

    async fn handle(
        self: Arc<Self>,
        arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let Arrival { peer, came_at: now } = arrival;
        self.parts.counters.add("entry.calls");
        let (parts, body) = request.into_parts();
        let head = match CallHead::parse(&parts, peer.ip(), now, &mut rand::rng()) {
            Ok(head) => head,
            Err(_) => return self.finish(Err(Refusal::not_run(Reason::BadRequest)), None),
        };
        let request_id = head.request_id;
        let response = self.process(head, parts, body, now).await;
        self.finish(response, Some(request_id))
    }
}

impl Entry {
    /// Creates an entry without known services.
    pub fn new(parts: EntryParts) -> Self {
        Self { parts, services: RwLock::default() }
    }

    async fn process(
        &self,
        head: CallHead,
        parts: Parts,
        body: CallBody,
        now: Instant,
    ) -> Result<Response<CallBody>, Refusal> {
        let lookup_deadline = head.deadline.unwrap_or(now + LOOKUP_TIMEOUT);
        let view = self.get_or_load_view(&head.service, lookup_deadline).await?;
        let rules = view.rules.as_ref().ok_or(Refusal::not_run(Reason::UnknownService))?;
        let (deadline, is_repeatable) = resolve_route(rules, &head, &parts, now)?;
        let service = self.service(&view)?;
        let buffered_max = self.parts.buffered_body_max_bytes;
        let reading = EntryCall::read(head, deadline, is_repeatable, parts, body, buffered_max);
        let call = match timeout_at(deadline.into(), reading).await {
            Ok(Ok(call)) => call,
            Ok(Err(_)) => return Err(Refusal::not_run(Reason::CallerBodyCut)),
            Err(_) => return Err(Refusal::not_run(Reason::DeadlinePassed)),
        };
        self.run(call, service).await
    }

    async fn run(
        &self,
        call: EntryCall,
        service: Arc<EntryService>,
    ) -> Result<Response<CallBody>, Refusal> {
        let tracker = OutcomeTracker::new();
        let deadline = call.deadline;
        service.record_first_attempt(Instant::now());
        let attempts = Attempts::new(self, call, &service, &tracker);
        match timeout_at(deadline.into(), attempts.run()).await {
            Ok(Ok(mut response)) => {
                tracker.correct_outcome(&mut response);
                Ok(response)
            }
            Ok(Err(refusal)) => Err(Refusal { outcome: tracker.outcome(), ..refusal }),
            Err(_) => {
                let outcome = tracker.outcome();
                Err(Refusal { outcome, ..Refusal::unknown(Reason::DeadlinePassed) })
            }
        }
    }

    async fn get_or_load_view(
        &self,
        service: &str,
        lookup_deadline: Instant,
    ) -> Result<Arc<ServiceView>, Refusal> {
        if let Some(view) = self.parts.directory.view(service) {
            return Ok(view);
        }
        let loaded = self.parts.directory.get_or_load(service, lookup_deadline).await;
        loaded.map_err(|error| match error {
            DirectoryError::UnknownService => Refusal::not_run(Reason::UnknownService),
            DirectoryError::DeadlinePassed => Refusal::not_run(Reason::DeadlinePassed),
            DirectoryError::StoreUnavailable | DirectoryError::TooManyLookups => {
                Refusal::not_run(Reason::StoreUnavailable).with_retry_after(LOOKUP_RETRY_AFTER)
            }
        })
    }

    fn service(&self, view: &ServiceView) -> Result<Arc<EntryService>, Refusal> {
        if let Some(service) = self.services.read().get(&view.name) {
            service.sync_view(view);
            return Ok(Arc::clone(service));
        }
        let local_domain = self.parts.failure_domain.clone();
        let service = EntryService::new(view, local_domain)
            .map_err(|_| Refusal::not_run(Reason::UnknownService))?;
        let mut services = self.services.write();
        let service = services.entry(view.name.clone()).or_insert_with(|| Arc::new(service));
        Ok(Arc::clone(service))
    }

    /// Counts and logs the end of a call and converts its result to the caller's response.
    fn finish(
        &self,
        response: Result<Response<CallBody>, Refusal>,
        request_id: Option<u128>,
    ) -> Response<CallBody> {
        let mut response = match response {
            Ok(response) => response,
            Err(refusal) => {
                self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
                if let Some(id) = request_id {
                    self.parts.call_log.note(id, CallEvent::refused(&refusal));
                }
                refusal.into_response()
            }
        };
        let map = response.headers_mut();
        map.remove(headers::LOAD);
        map.remove(headers::RULES_REVISION);
        if let Some(id) = request_id {
            forwarding::set_header(map, headers::REQUEST_ID, &format_id(id));
        }
        if self.parts.leaving.is_cancelled() {
            map.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Returns the deadline of a call and whether its route allows it to repeat.
///
/// The caller's own deadline takes precedence over the route's.
fn resolve_route(
    rules: &ServiceRules,
    head: &CallHead,
    parts: &Parts,
    now: Instant,
) -> Result<(Instant, bool), Refusal> {
    let (method, path) = (parts.method.as_str(), parts.uri.path());
    let route = rules.routes.iter().find(|route| route.matches(method, path));
    let route = route.ok_or(Refusal::not_run(Reason::UnknownRoute))?;
    let is_repeatable = route.is_repeatable(method);
    if !is_repeatable && head.key.is_none() {
        return Err(Refusal::not_run(Reason::NoIdempotencyKey));
    }
    let route_deadline = now + Duration::from_millis(u64::from(route.deadline_ms));
    Ok((head.deadline.unwrap_or(route_deadline), is_repeatable))
}
