//! Checks of a finished walk against the guarantees to callers and operators.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use http::StatusCode;
use yuccarack_platform_standin::caller::CallFailure;

use super::{
    callers::{CallRecord, RequestKind, RouteVersion},
    plan::Fault,
    record::{Span, WalkRecord},
};

/// Time after a confirmed drain from which no request reaches the target, over an undisturbed link.
const LEAVING_GRACE: Duration = Duration::from_millis(20);

/// The same over a link that was disturbed and may have delayed requests.
const LEAVING_GRACE_WITH_LINK_FAULT: Duration = Duration::from_secs(1);

/// Time in which a version is in force at an undisturbed instance: 2 s, and one more for a busy
/// machine.
pub const IN_FORCE_MAX: Duration = Duration::from_secs(3);

/// Time in which an evacuation is in force, as operators require.
const EVACUATION_IN_FORCE_MAX: Duration = Duration::from_secs(5);

/// Time after a fault of the store for which updates may still be late.
pub const STORE_RECOVERY: Duration = Duration::from_secs(5);

/// Time after its start for which a daemon need not have received earlier updates yet.
pub const START_GRACE: Duration = Duration::from_secs(1);

/// Time after a fault for which dead connections may still be found.
const FAULT_AFTEREFFECT_MAX: Duration = Duration::from_secs(4);

/// Time for which a daemon that was asked to stop still accepts calls.
const STOP_NOTICE: Duration = Duration::from_secs(2);

/// Share of the calls that may arrive at targets more than once, in percent.
const EXTRA_ATTEMPTS_PERCENT: usize = 20;

/// Further arrivals beyond the first that are allowed, whatever the number of calls.
const EXTRA_ATTEMPTS_RESERVE: usize = 60;

/// A violation of a guarantee.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "read by its debug form, in the report of a failed walk")]
pub enum Violation {
    /// A request that must not be repeated ran more than once.
    DuplicateRun { id: String, runs: usize },
    /// A request that ran was reported as not run.
    FalseNotRun { id: String, status: StatusCode },
    /// The body of a response belongs to another request or is incomplete.
    WrongResponse { id: String, body: String },
    /// A call got no response though its daemon was undisturbed.
    NoResponse { id: String, instance: usize, result: CallFailure, run_count: usize },
    /// An order didn't run and its outcome was reported as unknown, though nothing but planned
    /// maintenance and faults of the store affected it.
    UnknownOutcome { id: String, instance: usize, reason: String },
    /// A target that drains received a request after its announcement was confirmed.
    RequestWhileLeaving { instance: usize, after: Duration },
    /// A cold target received more requests than its rate limit allows. Those `after_replacement` came
    /// after a target that had announced that it leaves was replaced.
    ColdRateExceeded {
        instance: usize,
        arrivals: usize,
        after_replacement: usize,
        cold_for: Duration,
    },
    /// A target that announced a rate limit received more requests than that allows.
    RateLimitExceeded { instance: usize, requests: usize, rate_limit: f64 },
    /// A target that announced with a response that it leaves received a request from an entry that
    /// had passed that response on.
    RequestAfterDeparture { instance: usize, id: String, after: Duration },
    /// A target received keys of callers.
    KeyPassedOn { instance: usize, keys: usize },
    /// A request ran with a key that had been removed, or that nobody ever had.
    InvalidKeyAccepted { instance: usize, id: String, key: &'static str, after: Duration },
    /// A target was told another organisation than that of the request's key.
    WrongOrganisation { instance: usize, id: String, organisation: String },
    /// More requests of an organisation ran within a window than its quota allows.
    QuotaExceeded { organisation: &'static str, requests: usize, allowed: usize },
    /// A target of an evacuated failure domain received a request.
    RequestWhileEvacuated { instance: usize, after: Duration },
    /// A version was not in force in time.
    LateVersion { id: String, instance: usize, number: u64, after: Duration },
    /// A process returned to an older version.
    VersionRegression { id: String, instance: usize, number: u64 },
    /// A daemon reported that it accepts calls but had no routes.
    ReadyWithoutRoutes { id: String, instance: usize },
    /// Too many requests were sent again.
    TooManyAttempts { arrivals: usize, calls: usize },
    /// A daemon exited unasked.
    DaemonExited { instance: usize },
    /// A daemon did not stop gracefully and in time.
    NotStopped { instance: usize },
    /// An instance did not serve again after the last fault.
    NotRecovered { instance: usize },
    /// A daemon exceeded its limit of memory or file descriptors.
    ResourceLimitExceeded { instance: usize, memory_kib: u64, descriptors: usize },
}

/// Returns all violations of a walk.
pub fn find_violations(record: &WalkRecord) -> Vec<Violation> {
    let checker = Checker { record, runs: runs_by_id(record) };
    let mut violations = record.violations.clone();
    record.calls.iter().for_each(|call| checker.check_call(call, &mut violations));
    checker.check_drains(&mut violations);
    checker.check_cold_targets(&mut violations);
    checker.check_evacuations(&mut violations);
    checker.check_rate_limits(&mut violations);
    checker.check_departures(&mut violations);
    checker.check_keys(&mut violations);
    checker.check_quotas(&mut violations);
    checker.check_versions(&mut violations);
    checker.check_arrivals(&mut violations);
    violations
}

pub struct Checker<'a> {
    pub record: &'a WalkRecord,
    runs: HashMap<&'a str, usize>,
}

fn runs_by_id(record: &WalkRecord) -> HashMap<&str, usize> {
    let mut runs = HashMap::new();
    for run in record.received.iter().flat_map(|received| &received.runs) {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    runs
}

impl Checker<'_> {
    fn check_call(&self, call: &CallRecord, violations: &mut Vec<Violation>) {
        let id = || call.id.clone();
        let run_count = self.runs.get(call.id.as_str()).copied().unwrap_or(0);
        let is_order = call.kind == RequestKind::Order;
        if is_order && run_count > 1 {
            violations.push(Violation::DuplicateRun { id: id(), runs: run_count });
        }
        let response = match &call.result {
            Ok(response) => response,
            Err(result) => {
                if !self.may_lack_response(call, *result, run_count) {
                    let (instance, result) = (call.instance, *result);
                    violations.push(Violation::NoResponse {
                        id: id(),
                        instance,
                        result,
                        run_count,
                    });
                }
                return;
            }
        };
        if is_order && response.confirms_not_run() && run_count > 0 {
            violations.push(Violation::FalseNotRun { id: id(), status: response.status });
        }
        if is_order
            && run_count == 0
            && response.status == StatusCode::BAD_GATEWAY
            && self.was_undisturbed(call)
        {
            let reason = response.header("yuccarack-reason").to_owned();
            violations.push(Violation::UnknownOutcome {
                id: id(),
                instance: call.instance,
                reason,
            });
        }
        if response.status.is_success() && response.body != format!("page of {}", call.id) {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            violations.push(Violation::WrongResponse { id: id(), body });
        }
        let has_no_routes = response.header("yuccarack-reason") == "no_routing";
        let was_daemon_undisturbed =
            !self.has_fault_during_call(call, |fault| fault.affects_daemon(call.instance));
        if call.was_ready && has_no_routes && was_daemon_undisturbed {
            violations.push(Violation::ReadyWithoutRoutes { id: id(), instance: call.instance });
        }
    }

    /// Whether no fault of connections or targets was active shortly before or during a call.
    fn was_undisturbed(&self, call: &CallRecord) -> bool {
        let since = call.sent_at.checked_sub(FAULT_AFTEREFFECT_MAX).unwrap_or(call.sent_at);
        !self.has_fault_within(since, call.ended_at, |fault| {
            fault.may_lose_requests() || self.is_proxied_stop(fault)
        })
    }

    /// Whether a daemon stops behind a proxy. The proxy's port stays open, so that a connection to
    /// a stopped daemon is accepted and then closed, where its own port would refuse it.
    fn is_proxied_stop(&self, fault: Fault) -> bool {
        matches!(fault, Fault::StoppedDaemon(at) if self.record.links[at].is_gate_proxied)
    }

    /// Whether a call may have got no response: its daemon was killed or frozen, or it was stopped
    /// and had not accepted the call when its connections closed.
    fn may_lack_response(&self, call: &CallRecord, result: CallFailure, run_count: usize) -> bool {
        if call.is_abandoned {
            return true;
        }
        // The caller counts it as not read and sends it again, so it must not have been forwarded.
        if call.is_after_close {
            return run_count == 0;
        }
        let at = call.instance;
        let is_unavailable = |fault| matches!(fault, Fault::KilledDaemon(index) | Fault::FrozenDaemon(index) if index == at);
        if self.has_fault_during_call(call, is_unavailable) {
            return true;
        }
        // The connection may be one of a process that was killed before the call.
        let is_killed = |fault| fault == Fault::KilledDaemon(at);
        if result == CallFailure::NotSent
            && self.has_fault_within(call.connected_at, call.sent_at, is_killed)
        {
            return true;
        }
        let is_closing = self.record.spans.iter().any(|span| {
            span.fault == Fault::StoppedDaemon(at)
                && span.from + STOP_NOTICE <= call.ended_at
                && span.until.is_none_or(|until| until >= call.sent_at)
        });
        is_closing && (result == CallFailure::NotSent || run_count == 0)
    }

    /// Whether a fault for which `affects` holds was active at some time during a call.
    fn has_fault_during_call(&self, call: &CallRecord, affects: impl Fn(Fault) -> bool) -> bool {
        self.has_fault_within(call.sent_at, call.ended_at, affects)
    }

    pub fn has_fault_within(
        &self,
        from: Instant,
        until: Instant,
        affects: impl Fn(Fault) -> bool,
    ) -> bool {
        let overlaps = |span: &Span| {
            span.from <= until && span.until.is_none_or(|span_until| span_until >= from)
        };
        self.record.spans.iter().any(|span| affects(span.fault) && overlaps(span))
    }

    fn check_drains(&self, violations: &mut Vec<Violation>) {
        for drain in &self.record.drains {
            let is_link_disturbed =
                |fault| matches!(fault, Fault::TargetLink(index, _) if index == drain.instance);
            let until = drain.until.unwrap_or_else(Instant::now);
            let limit = match self.has_fault_within(drain.confirmed_at, until, is_link_disturbed) {
                true => LEAVING_GRACE_WITH_LINK_FAULT,
                false => LEAVING_GRACE,
            };
            let arrivals = &self.record.received[drain.instance].arrivals;
            let late = arrivals.iter().find(|at| **at > drain.confirmed_at + limit && **at < until);
            if let Some(late) = late {
                let (instance, after) = (drain.instance, *late - drain.confirmed_at);
                violations.push(Violation::RequestWhileLeaving { instance, after });
            }
        }
    }

    /// Allows the rate limit for each second of the clock that the cold period touches.
    fn check_cold_targets(&self, violations: &mut Vec<Violation>) {
        if self.record.cold_per_s == 0 {
            return;
        }
        for span in &self.record.spans {
            let (Fault::ColdTarget(instance), Some(until)) = (span.fault, span.until) else {
                continue;
            };
            // A link that delays requests and delivers them together is outside the gate's control,
            // and a target that restarts is warm.
            let distorts_count = |fault| match fault {
                Fault::TargetLink(at, _)
                | Fault::CrashedTarget(at)
                | Fault::BackdatedTarget(at) => at == instance,
                _ => false,
            };
            if self.has_fault_within(span.from, until, distorts_count) {
                continue;
            }
            let cold_for = until - span.from;
            let arrivals_within = |from: Instant| {
                let arrivals = &self.record.received[instance].arrivals;
                arrivals.iter().filter(|at| (from..until).contains(*at)).count()
            };
            let arrivals = arrivals_within(span.from);
            let seconds = cold_for.as_secs() as usize + 2;
            if arrivals > seconds * self.record.cold_per_s {
                let replaced_at = self.replaced_at(instance, span.from, until);
                let after_replacement = replaced_at.map_or(0, arrivals_within);
                let violation =
                    Violation::ColdRateExceeded { instance, arrivals, after_replacement, cold_for };
                violations.push(violation);
            }
        }
    }

    /// Returns when a target that had announced that it leaves was replaced between `from` and `until`.
    fn replaced_at(&self, instance: usize, from: Instant, until: Instant) -> Option<Instant> {
        let leaves = |fault: Fault| matches!(fault, Fault::LeavingTarget(at) if at == instance);
        let ends = self.record.spans.iter().filter(|span| leaves(span.fault));
        ends.filter_map(|span| span.until).filter(|end| (from..until).contains(end)).min()
    }

    /// Checks instances whose daemon, target link and store connection were undisturbed.
    fn check_evacuations(&self, violations: &mut Vec<Violation>) {
        for span in &self.record.spans {
            let (Fault::EvacuatedDomain(domain), Some(until)) = (span.fault, span.until) else {
                continue;
            };
            let Some(since) = span.from.checked_sub(STORE_RECOVERY) else { continue };
            let instances = self.record.received.iter().enumerate();
            for (instance, received) in instances.skip(domain).step_by(self.record.domains) {
                let affects = |fault: Fault| {
                    fault.affects_daemon(instance)
                        || fault.affects_store_of(instance)
                        || matches!(fault, Fault::TargetLink(at, _) if at == instance)
                };
                if self.has_fault_within(since, until, affects) {
                    continue;
                }
                let in_force_at = span.from + EVACUATION_IN_FORCE_MAX;
                let late = received.arrivals.iter().find(|at| (in_force_at..until).contains(*at));
                if let Some(late) = late {
                    let after = *late - span.from;
                    violations.push(Violation::RequestWhileEvacuated { instance, after });
                }
            }
        }
    }

    fn check_versions(&self, violations: &mut Vec<Violation>) {
        for call in &self.record.calls {
            let RequestKind::Versioned(number) = call.kind else { continue };
            let Ok(response) = &call.result else { continue };
            if response.status != StatusCode::NOT_FOUND {
                continue;
            }
            let (id, instance) = (call.id.clone(), call.instance);
            if self.has_served(call, number) {
                violations.push(Violation::VersionRegression { id, instance, number });
                continue;
            }
            let version = self.record.versions.iter().find(|version| version.number == number);
            if let Some(after) = version.and_then(|version| self.lateness(call, version)) {
                violations.push(Violation::LateVersion { id, instance, number, after });
            }
        }
    }

    /// Whether the same process has served this version or a later one before.
    fn has_served(&self, call: &CallRecord, number: u64) -> bool {
        let incarnation = self.incarnation(call.instance, call.sent_at);
        self.record.calls.iter().any(|other| {
            let is_later = matches!(other.kind, RequestKind::Versioned(other) if other >= number);
            let is_served =
                other.result.as_ref().is_ok_and(|response| response.status.is_success());
            is_later
                && is_served
                && other.instance == call.instance
                && other.ended_at < call.sent_at
                && self.incarnation(other.instance, other.sent_at) == incarnation
        })
    }

    fn incarnation(&self, instance: usize, at: Instant) -> usize {
        self.record.daemon_starts[instance].iter().filter(|start| **start <= at).count()
    }

    /// Returns the age of a version that is not in force, if that is too long.
    fn lateness(&self, call: &CallRecord, version: &RouteVersion) -> Option<Duration> {
        let at = call.instance;
        let after = call.sent_at.saturating_duration_since(version.written_at);
        let since = version.written_at.checked_sub(START_GRACE)?;
        let is_daemon_affected =
            self.has_fault_within(since, call.ended_at, |fault| fault.affects_daemon(at));
        let store_since = version.written_at.checked_sub(STORE_RECOVERY)?;
        let is_store_affected =
            self.has_fault_within(store_since, call.ended_at, |fault| fault.affects_store_of(at));
        let is_late = after > IN_FORCE_MAX && !is_daemon_affected && !is_store_affected;
        is_late.then_some(after)
    }

    fn check_arrivals(&self, violations: &mut Vec<Violation>) {
        let calls = self.record.calls.len();
        let arrivals: usize =
            self.record.received.iter().map(|received| received.arrivals.len()).sum();
        if arrivals > calls + calls * EXTRA_ATTEMPTS_PERCENT / 100 + EXTRA_ATTEMPTS_RESERVE {
            violations.push(Violation::TooManyAttempts { arrivals, calls });
        }
    }
}
