//! The entry for routed calls, which finds the route, chooses gates and enforces the deadline.

mod attempted_gates;
mod attempts;
mod authentication;
mod call;
mod call_trace;
mod head;
mod prober;
mod returns;
mod route_stats;
mod service;
mod services;

use std::{
    collections::HashMap,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, header, request::Parts};
use http_body::Body;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use tokio::{task::yield_now, time::timeout_at};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;
use yuccarack_config::{
    ids::ServiceName,
    routing::{Route, Routing},
};
use yuccarack_policy::{adaptive_throttle::RunResult, split::WeightedRoundRobin};

use self::{
    attempted_gates::AttemptedGates,
    attempts::Attempts,
    authentication::{CallerOrganisation, authenticate},
    call::{ForwardedHead, RoutedCall},
    call_trace::{CallTrace, end_label},
    head::RoutedHead,
    route_stats::RouteStats,
    service::RoutedService,
};
use super::{deadline::CallDeadline, events::EventLog, gate::Gate, peers::Peers, quota::Quotas};
use crate::{
    coordination::entry::outcome_tracker::OutcomeTracker,
    protocol::{
        body::{BodyError, CallBody, SendableBody, limited},
        body_until::BodyUntil,
        refusal::{Reason, Refusal},
    },
    state::{
        counters::Counters,
        routed::{
            evacuations::Evacuations, live_settings::LiveSettings, members::Members,
            metrics::Metrics, routing_state::RoutingState,
        },
    },
    transport::{
        call_server::{Arrival, CallHandler},
        upstream::Upstream,
    },
};

/// Largest body that is buffered so that it can be sent again. Typical orders have some 4 kB.
const BUFFERED_BODY_MAX_BYTES: usize = 64 * 1024;

/// `Retry-After` of a daemon without a routing table yet. The store responds within some 10 ms.
const NO_ROUTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` for a service none of whose targets accepts requests.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time before the deadline at which the entry gives up, so that its response arrives while the
/// caller still waits. The way to a caller takes 1 to 8 ms.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Turns of the runtime in which a response that arrived before the deadline is still read: one for
/// the task of its connection, one for the call.
const READ_TURNS: usize = 2;

/// Prefix of the entry's refusal counters; the reason follows.
const REFUSED: &str = "entry.refused";

/// Dependencies of a [`RoutedEntry`].
pub struct RoutedEntryParts {
    /// The settings in force.
    pub settings: LiveSettings,
    /// The routing table in force, by which calls find their service.
    pub routing: RoutingState,
    /// All members, whose gates calls may be sent to.
    pub members: Members,
    /// Evacuated failure domains, whose gates get no calls.
    pub evacuations: Evacuations,
    /// The gate in the same process, which is called directly.
    pub gate: Arc<Gate>,
    /// Peer exchange, which is told the routing table versions that gates report.
    pub peers: Peers,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Connection pool for requests to other gates.
    pub upstream: Upstream,
    /// Counters of calls, refusals and attempts.
    pub counters: Counters,
    /// Histograms of call durations and attempts.
    pub metrics: Metrics,
    /// Log for the end of each call.
    pub events: EventLog,
    /// Cancelled when this daemon starts to leave.
    pub leaving: CancellationToken,
    /// Cancelled when a call whose body has not arrived would be cut off before its response.
    pub late_bodies: CancellationToken,
}

/// The entry of one daemon, which accepts calls and forwards them to gates.
pub struct RoutedEntry {
    parts: RoutedEntryParts,
    services: Mutex<HashMap<ServiceName, Arc<RoutedService>>>,
    splits: Mutex<HashMap<String, WeightedRoundRobin>>,
    stats: RouteStats,
}

impl CallHandler for RoutedEntry {
    const ACCEPTS_PIPELINING: bool = true;

    /// Lets a pipelined request run before earlier ones on its connection are answered, only if it
    /// is repeatable: the caller sends it again if an earlier response closes the connection. While
    /// this daemon leaves it closes connections, so no request runs early. The switch `early_reads`
    /// enables this.
    fn may_start_early(&self, head: &Parts) -> bool {
        let is_enabled = self.parts.settings.current().decisions.early_reads;
        if !is_enabled || self.parts.leaving.is_cancelled() {
            return false;
        }
        let (Some(host), Some(routing)) = (head::request_host(head), self.parts.routing.current())
        else {
            return false;
        };
        routing.find_route(&host, head.uri.path()).is_some_and(|(_, route)| route.is_repeatable)
    }

    async fn handle(
        self: Arc<Self>,
        arrival: Arrival,
        request: Request<CallBody>,
    ) -> Response<CallBody> {
        let Arrival { peer, received_at } = arrival;
        self.parts.counters.add("entry.calls");
        let (parts, body) = request.into_parts();
        let mut trace = CallTrace::new(received_at, peer);
        let result = self.process(parts, body, &mut trace).await;
        self.finish(result, &trace)
    }
}

impl RoutedEntry {
    /// Creates an entry without known services and gates.
    pub fn new(parts: RoutedEntryParts) -> Self {
        let stats = RouteStats::new(parts.settings.current().decisions);
        Self { parts, services: Mutex::default(), splits: Mutex::default(), stats }
    }

    /// Probes unreachable gates until `stop` and marks those that accept connections as reachable.
    pub async fn probe_unreachable_gates(self: Arc<Self>, stop: CancellationToken) {
        prober::run(&self, stop).await;
    }

    /// Returns the number of unreachable gates; a gate of two services counts once for each.
    pub fn unreachable_gates(&self) -> usize {
        self.services.lock().values().map(|service| service.unreachable_gates().len()).sum()
    }

    async fn process(
        &self,
        parts: Parts,
        body: CallBody,
        trace: &mut CallTrace,
    ) -> Result<Response<CallBody>, Refusal> {
        let head = RoutedHead::parse(&parts, trace.received_at)?;
        trace.request = String::from_utf8_lossy(head.request_id.as_bytes()).into_owned();
        let routing = self.parts.routing.current().ok_or_else(no_routing_refusal)?;
        trace.routing_version = routing.version();
        let (_, route) = routing
            .find_route(&head.host, parts.uri.path())
            .ok_or(Refusal::not_run(Reason::UnknownRoute))?;
        trace.route.clone_from(&route.name);
        let organisation = authenticate(&routing, route, &parts.headers)?;
        check_body_size(&routing, &parts)?;
        let charged = organisation.as_ref().map(|organisation| organisation.hop.id);
        charged.map_or(Ok(()), |id| self.parts.quotas.admit(id))?;
        let routed = RouteOfCall { routing: &routing, route, organisation };
        let result = self.process_admitted(routed, head, (parts, body), trace).await;
        // A request that has not run doesn't count towards the quota.
        if result.as_ref().is_err_and(Refusal::is_not_run) {
            charged.into_iter().for_each(|id| self.parts.quotas.refund(id));
        }
        result
    }

    async fn process_admitted(
        &self,
        routed: RouteOfCall<'_>,
        head: RoutedHead,
        (parts, body): (Parts, CallBody),
        trace: &mut CallTrace,
    ) -> Result<Response<CallBody>, Refusal> {
        let (routing, route_hash) = (routed.routing, hash_route(routed.route));
        if !self.stats.admits(route_hash) {
            return Err(Refusal::not_run(Reason::DependencyShortage));
        }
        let call = self.build_call(routed, head, parts, body, trace.received_at).await?;
        trace.service.clone_from(&call.service);
        let result = self.run(call, &trace.gates).await;
        self.record_result(route_hash, &trace.service, &result);
        if let Ok(response) = &result {
            self.stats.record_response_size(routing, route_hash, response);
        }
        result
    }

    async fn build_call(
        &self,
        routed: RouteOfCall<'_>,
        head: RoutedHead,
        parts: Parts,
        body: CallBody,
        received_at: Instant,
    ) -> Result<RoutedCall, Refusal> {
        let RouteOfCall { routing, route, organisation } = routed;
        let wait_by = received_at + Duration::from_millis(route.wait_max_ms.into());
        let give_up_at = head.deadline.map_or(wait_by, |deadline| deadline.min(wait_by));
        let route_hash = hash_route(route);
        let prior_wait = match head.deadline {
            Some(deadline) => {
                let left = deadline.saturating_duration_since(received_at);
                self.stats.prior_wait(received_at, route_hash, left)
            }
            None => Duration::ZERO,
        };
        let on_time = Duration::from_millis(route.on_time_ms.into());
        let deadline =
            CallDeadline::new(give_up_at.checked_sub(RESPONSE_MARGIN).unwrap_or(give_up_at));
        let body = match parts.headers.contains_key(header::CONTENT_LENGTH) {
            true => body,
            false => limited(body, routing.table().caller_limits.body_max_bytes),
        };
        let body = match body.is_end_stream() {
            true => body,
            false => BodyUntil::new_until_stop(body, self.parts.late_bodies.clone()).boxed_unsync(),
        };
        let reading = SendableBody::read(&parts, body, BUFFERED_BODY_MAX_BYTES);
        let body = match timeout_at(deadline.at().into(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::Stopping)) => return Err(Refusal::not_run(Reason::Stopping)),
            Ok(Err(_)) => return Err(Refusal::not_run(Reason::CallerBodyCut)),
            Err(_) => return Err(Refusal::not_run(Reason::DeadlinePassed)),
        };
        Ok(RoutedCall {
            request_id: head.request_id,
            deadline,
            soft_deadline: received_at + on_time.saturating_sub(prior_wait),
            received_at,
            service: self.choose_service(route)?,
            route_hash,
            response_bytes: self.stats.usual_response_bytes(routing, route_hash),
            rank: route.rank,
            home_regions: route.home_regions.clone(),
            is_repeatable: route.is_repeatable,
            targets_max: route.targets_max,
            routing_version: routing.version(),
            head: self.forwarded_head(routing, parts, organisation.as_ref()),
            organisation,
            body,
        })
    }

    fn forwarded_head(
        &self,
        routing: &Routing,
        parts: Parts,
        organisation: Option<&CallerOrganisation>,
    ) -> ForwardedHead {
        let head = ForwardedHead::new(parts, &self.parts.settings.current().service);
        match routing.requires_key() {
            true => head.with_organisation(organisation.map(|it| it.name.as_str())),
            false => head,
        }
    }

    async fn run(
        &self,
        call: RoutedCall,
        gates: &AttemptedGates,
    ) -> Result<Response<CallBody>, Refusal> {
        let service = self.service(&call.service);
        service.record_request();
        let tracker = OutcomeTracker::new();
        let deadline = call.deadline.at();
        let attempts = Attempts::new(self, call, service, &tracker, gates);
        match finish_by(deadline, attempts.run()).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(refusal)) => Err(Refusal { outcome: tracker.outcome(), ..refusal }),
            None => {
                let outcome = tracker.outcome();
                Err(Refusal { outcome, ..Refusal::unknown(Reason::DeadlinePassed) })
            }
        }
    }

    /// Updates the statistics of the route and of `service` with the result of a call.
    fn record_result(
        &self,
        route_hash: u64,
        service: &str,
        result: &Result<Response<CallBody>, Refusal>,
    ) {
        let now = Instant::now();
        match result {
            Ok(response) if response.status().is_server_error() => {
                self.stats.record_call_result(now, route_hash, service, RunResult::Failed);
            }
            Ok(_) => self.stats.record_call_result(now, route_hash, service, RunResult::Succeeded),
            Err(refusal) if refusal.is_not_run() => self.stats.record_refusal(now, route_hash),
            Err(_) => {}
        }
    }

    /// Counts and logs the end of a call and converts its result to the caller's response.
    fn finish(
        &self,
        result: Result<Response<CallBody>, Refusal>,
        trace: &CallTrace,
    ) -> Response<CallBody> {
        let took = trace.received_at.elapsed();
        let took_ms = took.as_millis() as u64;
        self.parts.metrics.observe_call(end_label(&result), took);
        let mut response = match result {
            Ok(response) => {
                self.log_response(&response, trace, took_ms);
                response
            }
            Err(refusal) => {
                let refusal = normalize_retry_after(refusal);
                self.log_refusal(&refusal, trace, took_ms);
                refusal.into_routed_response()
            }
        };
        if self.parts.leaving.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// Returns the result of `attempts`, or `None` if there is none at `deadline`.
///
/// A response that has arrived by then counts. In a process that lacks processor time the timer may
/// be handled before the socket is read.
async fn finish_by<T>(deadline: Instant, attempts: impl Future<Output = T>) -> Option<T> {
    let mut attempts = pin!(attempts);
    if let Ok(result) = timeout_at(deadline.into(), attempts.as_mut()).await {
        return Some(result);
    }
    for _ in 0..READ_TURNS {
        // The runtime polls its sockets before it continues this task.
        yield_now().await;
        if let Some(result) = attempts.as_mut().now_or_never() {
            return Some(result);
        }
    }
    None
}

/// Route that a call takes, and the organisation that it belongs to.
struct RouteOfCall<'a> {
    routing: &'a Routing,
    route: &'a Route,
    organisation: Option<CallerOrganisation>,
}

/// Returns the hash of a route's name, which groups requests with similar service times and similar
/// callers.
fn hash_route(route: &Route) -> u64 {
    xxh3_64(route.name.as_bytes())
}

fn no_routing_refusal() -> Refusal {
    Refusal::not_run(Reason::NoRouting).with_retry_after(NO_ROUTING_RETRY_AFTER)
}

/// Adds a default `Retry-After` if the request has not run, and removes any if it may have run.
fn normalize_retry_after(refusal: Refusal) -> Refusal {
    let is_not_run = refusal.outcome == crate::protocol::refusal::Outcome::NotRun;
    match refusal.retry_after {
        None if is_not_run => refusal.with_retry_after(NO_TARGET_RETRY_AFTER),
        // A request that may have run must not be repeated.
        Some(_) if !is_not_run => Refusal { retry_after: None, ..refusal },
        _ => refusal,
    }
}

fn check_body_size(routing: &Routing, parts: &Parts) -> Result<(), Refusal> {
    let length = parts.headers.get(header::CONTENT_LENGTH);
    let length: Option<u64> = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let max = routing.table().caller_limits.body_max_bytes;
    if length.is_some_and(|bytes| bytes > max) {
        return Err(Refusal::not_run(Reason::BodyTooLarge));
    }
    Ok(())
}
