//! Health checks of the gate's own target.
//!
//! A check queries the slowdown where no response has reported it for a while, whether the target
//! is cold, the rate limit of a target that gets few requests, and what a target that the gate has
//! just found announced before.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderValue, Request, header};
use tokio::time::{sleep_until, timeout_at};
use yuccarack_platform_wire::{headers, load};
use yuccarack_policy::{
    health_checks::{HEALTH_CHECK_TIMEOUT, HealthCheckResult, HealthCheckSchedule},
    rate_limit::ReportSource,
    work_queue::WorkQueue,
};

use super::{ActiveTarget, Gate};
use crate::{
    protocol::body::{self, BodyError, BodyStart},
    transport::upstream::Freshness,
};

/// Most bytes of a health check response that are read.
const RESPONSE_MAX_BYTES: usize = 4 * 1024;

/// Values that a target reports in response to a health check.
struct HealthReport {
    /// Service time in percent of the usual one; `None` if the response doesn't report it.
    slowdown_percent: Option<u16>,
    /// Time for which the target will still be cold; zero if it is warm.
    cold_for: Duration,
}

/// Runs health checks as they become due, until `active` is replaced or the gate stops.
pub async fn run(gate: Arc<Gate>, active: Arc<ActiveTarget>) {
    tokio::select! {
        () = active.stop.cancelled() => {}
        () = run_checks(&gate, &active) => {}
    }
    gate.health_check_upstream.close_idle();
}

/// Runs a health check before a request that may be passed on, if the slowdown of the target is not
/// known. Limited and cold targets are not asked, since their checks are limited too.
pub async fn check_before_admission(gate: &Gate, active: &ActiveTarget, may_wait: bool) {
    let decisions = gate.parts.decisions;
    if may_wait || !decisions.pace_looks || !decisions.slow_passed_over {
        return;
    }
    if !is_due_on_arrival(active) {
        return;
    }
    // Requests that arrive together share one check.
    let _guard = active.arrival_check_lock.lock().await;
    if is_due_on_arrival(active) {
        gate.parts.counters.add("gate.pace_looks_on_arrival");
        check_and_record(gate, active).await;
    }
}

fn is_due_on_arrival(active: &ActiveTarget) -> bool {
    let now = Instant::now();
    active.slots.read(|queue| {
        let is_limited = queue.rate_limit().rate().is_some() || queue.cold_rate().is_cold(now);
        let has_room = !queue.is_draining() && !is_limited && queue.running() < queue.limit();
        has_room && active.health_check_schedule.lock().is_due_on_arrival(now, queue.slowdown())
    })
}

async fn run_checks(gate: &Gate, active: &ActiveTarget) {
    loop {
        let (started, check_due) =
            (active.slots.started_at_once(), active.slots.health_check_due());
        let now = Instant::now();
        let schedule = *active.health_check_schedule.lock();
        let due_at = active.slots.read(|queue| due_at(gate, &schedule, queue, now));
        match due_at {
            None => tokio::select! {
                () = started => {}
                () = check_due => {}
            },
            Some(at) if at > now => tokio::select! {
                () = sleep_until(at.into()) => {}
                () = check_due => {}
            },
            Some(_) => check_and_record(gate, active).await,
        }
    }
}

async fn check_and_record(gate: &Gate, active: &ActiveTarget) {
    // Without the path nothing can be asked. If that counted as a check, requests would fill all
    // slots of a target whose rate limit is not known yet.
    if gate.parts.routing.current().is_none() {
        return;
    }
    let result = check(gate, active).await;
    active.slots.change(|queue, _| queue.rate_limit_mut().record_health_check_end());
    active.health_check_schedule.lock().record(Instant::now(), result);
}

/// Returns when the next health check is due: for the slowdown, for a cold target or for the rate
/// limit. A limited target gets all of them at a low rate, and one that leaves gets none.
fn due_at(
    gate: &Gate,
    schedule: &HealthCheckSchedule,
    queue: &WorkQueue,
    now: Instant,
) -> Option<Instant> {
    // The path of the checks comes with the routing table, whose arrival wakes this task.
    if queue.is_draining() || gate.parts.routing.current().is_none() {
        return None;
    }
    let cold_check_at = queue.cold_rate().health_check_due_at(now);
    // `pace_looks` enables the health checks that query the slowdown.
    let is_enabled = gate.parts.decisions.pace_looks;
    let slowdown_check_at =
        || schedule.due_at(queue.running(), queue.mean_service_time(), queue.slowdown());
    let slowdown_check_at = is_enabled.then(slowdown_check_at).flatten();
    let limit_check_at = queue.rate_limit().health_check_due_at();
    let due_at = cold_check_at.into_iter().chain(slowdown_check_at).chain(limit_check_at).min();
    due_at.max(queue.rate_limit().health_check_allowed_at().filter(|_| due_at.is_some()))
}

/// Runs one health check and updates the queue's slowdown and cold period.
async fn check(gate: &Gate, active: &ActiveTarget) -> HealthCheckResult {
    let sent_at = Instant::now();
    active.slots.change(|queue, now| {
        queue.cold_rate_mut().record_health_check(now);
        queue.rate_limit_mut().record_health_check(now);
    });
    let Some(path) = gate.health_check_path(active) else { return HealthCheckResult::Unreported };
    gate.parts.counters.add("gate.pace_looks");
    let report = match timeout_at(
        (sent_at + HEALTH_CHECK_TIMEOUT).into(),
        fetch_report(gate, active, &path),
    )
    .await
    {
        Ok(Some(report)) => report,
        Ok(None) | Err(_) => {
            gate.parts.counters.add("gate.pace_looks_in_vain");
            return HealthCheckResult::Unreported;
        }
    };
    active.slots.change(|queue, now| {
        match report.cold_for.is_zero() {
            true => queue.cold_rate_mut().set_warm(sent_at),
            false => queue.cold_rate_mut().set_cold_until(now + report.cold_for),
        }
        if let Some(percent) = report.slowdown_percent {
            queue.record_slowdown(now, f64::from(percent) / 100.0);
        }
    });
    if report.slowdown_percent.is_some() {
        HealthCheckResult::SlowdownReported
    } else {
        HealthCheckResult::Unreported
    }
}

async fn fetch_report(gate: &Gate, active: &ActiveTarget, path: &str) -> Option<HealthReport> {
    let (address, sent_at) = (active.view.address, Instant::now());
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    let request = Request::get(path).header(header::HOST, host).body(body::empty()).ok()?;
    let sent = gate.health_check_upstream.send(address, request, Freshness::Pooled).await;
    let log_rejected =
        |cause: &dyn std::error::Error| gate.log_rejected_response(active, "health_check", cause);
    let response = sent
        .inspect_err(|error| {
            if let Some(cause) = error.malformed_head() {
                log_rejected(cause);
            }
        })
        .ok()?;
    // After a restart another target may listen on the address.
    let is_own = response.headers().get(headers::TARGET)? == active.view.target.as_str();
    if is_own {
        let source = ReportSource::HealthCheck;
        gate.record_announcement(active, sent_at, source, response.headers());
    }
    let slowdown_percent = load::decode(response.headers()).and_then(|load| load.pace_percent);
    let cold_for = load::decode_cold_for(response.headers());
    // The body is read to its end so that the connection can be used again.
    let body = BodyStart::read(response.into_body(), RESPONSE_MAX_BYTES).await.ok()?;
    if body.rest.is_some() {
        log_rejected(&BodyError::TooLong);
        return None;
    }
    is_own.then_some(HealthReport { slowdown_percent, cold_for })
}
