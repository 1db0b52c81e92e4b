//! The entry: takes a call, chooses its gate, owns its deadline, retries and hedges.

pub mod call;
pub mod fate;
pub mod service;
pub mod tries;
pub mod try_sender;

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

use self::{call::EntryCall, fate::Fate, service::EntryService, tries::Tries};
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

/// Time for reading a body and finding the service while the route's deadline isn't known yet.
const LOOKUP_DEADLINE: Duration = Duration::from_secs(2);

/// When a caller may come back to a service that couldn't be looked up or has no target.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Group of the entry's refusal counters.
const REFUSED: &str = "entry.refused";

/// What the entry works with.
pub struct EntryParts {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: DomainName,
    /// Largest body that is kept to be sent again, in bytes.
    pub kept_body_max_bytes: usize,
    /// Services, their rules and members.
    pub directory: Directory,
    /// The gate beside this entry.
    pub gate: Arc<Gate>,
    /// Connections to other gates.
    pub upstream: Upstream,
    /// What became of recent calls.
    pub call_log: CallLog,
    /// Counters.
    pub counters: Counters,
    /// Cancelled when callers are to take their next call elsewhere.
    pub leaving: CancellationToken,
}

/// The entry of one daemon.
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
        let answer = self.answer(head, parts, body, now).await;
        self.finish(answer, Some(request_id))
    }
}

impl Entry {
    /// Makes an entry that knows no service yet.
    pub fn new(parts: EntryParts) -> Self {
        Self { parts, services: RwLock::default() }
    }

    async fn answer(
        &self,
        head: CallHead,
        parts: Parts,
        body: CallBody,
        now: Instant,
    ) -> Result<Response<CallBody>, Refusal> {
        let look_up_by = head.deadline.unwrap_or(now + LOOKUP_DEADLINE);
        let view = self.view(&head.service, look_up_by).await?;
        let rules = view.rules.as_ref().ok_or(Refusal::not_run(Reason::UnknownService))?;
        let (deadline, repeatable) = route(rules, &head, &parts, now)?;
        let service = self.service(&view)?;
        let kept_max = self.parts.kept_body_max_bytes;
        let reading = EntryCall::read(head, deadline, repeatable, parts, body, kept_max);
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
        let fate = Fate::new();
        let deadline = call.deadline;
        service.first_try(Instant::now());
        let tries = Tries::new(self, call, &service, &fate);
        match timeout_at(deadline.into(), tries.run()).await {
            Ok(Ok(mut answer)) => {
                fate.correct(&mut answer);
                Ok(answer)
            }
            Ok(Err(refusal)) => Err(Refusal { outcome: fate.outcome(), ..refusal }),
            Err(_) => {
                let outcome = fate.outcome();
                Err(Refusal { outcome, ..Refusal::unknown(Reason::DeadlinePassed) })
            }
        }
    }

    async fn view(&self, service: &str, look_up_by: Instant) -> Result<Arc<ServiceView>, Refusal> {
        if let Some(view) = self.parts.directory.view(service) {
            return Ok(view);
        }
        let wanted = self.parts.directory.get_or_load(service, look_up_by).await;
        wanted.map_err(|error| match error {
            DirectoryError::UnknownService => Refusal::not_run(Reason::UnknownService),
            DirectoryError::DeadlinePassed => Refusal::not_run(Reason::DeadlinePassed),
            DirectoryError::StoreUnavailable | DirectoryError::TooManyLookups => {
                Refusal::not_run(Reason::StoreUnavailable).with_retry_after(LOOKUP_RETRY_AFTER)
            }
        })
    }

    fn service(&self, view: &ServiceView) -> Result<Arc<EntryService>, Refusal> {
        if let Some(service) = self.services.read().get(&view.name) {
            service.follow(view);
            return Ok(Arc::clone(service));
        }
        let home = self.parts.failure_domain.clone();
        let service =
            EntryService::new(view, home).map_err(|_| Refusal::not_run(Reason::UnknownService))?;
        let mut services = self.services.write();
        let service = services.entry(view.name.clone()).or_insert_with(|| Arc::new(service));
        Ok(Arc::clone(service))
    }

    /// Counts and logs the end of a call and puts it into the form that its caller gets.
    fn finish(
        &self,
        answer: Result<Response<CallBody>, Refusal>,
        request_id: Option<u128>,
    ) -> Response<CallBody> {
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(refusal) => {
                self.parts.counters.add_reason(REFUSED, refusal.reason.as_str());
                if let Some(id) = request_id {
                    self.parts.call_log.note(id, CallEvent::refused(&refusal));
                }
                refusal.into_response()
            }
        };
        let map = answer.headers_mut();
        map.remove(headers::LOAD);
        map.remove(headers::RULES_REVISION);
        if let Some(id) = request_id {
            forwarding::set_header(map, headers::REQUEST_ID, &format_id(id));
        }
        if self.parts.leaving.is_cancelled() {
            map.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// Deadline and repeatability of a call by its route.
fn route(
    rules: &ServiceRules,
    head: &CallHead,
    parts: &Parts,
    now: Instant,
) -> Result<(Instant, bool), Refusal> {
    let (method, path) = (parts.method.as_str(), parts.uri.path());
    let route = rules.routes.iter().find(|route| route.matches(method, path));
    let route = route.ok_or(Refusal::not_run(Reason::UnknownRoute))?;
    let repeatable = route.is_repeatable(method);
    if !repeatable && head.key.is_none() {
        return Err(Refusal::not_run(Reason::NoIdempotencyKey));
    }
    let route_deadline = now + Duration::from_millis(u64::from(route.deadline_ms));
    Ok((head.deadline.unwrap_or(route_deadline), repeatable))
}
