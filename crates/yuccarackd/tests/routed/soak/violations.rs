//! What the promises say of a walk that has ended.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use http::StatusCode;
use yuccarack_platform_standin::caller::Unanswered;

use super::{
    callers::{CallRecord, RequestKind, RouteVersion},
    plan::Fault,
    record::{Span, WalkRecord},
};

/// Time after which nothing reaches a target that was heard to leave, over a link without faults.
const LEAVING_GRACE: Duration = Duration::from_millis(20);

/// The same where its link was disturbed and may have held something up.
const LEAVING_GRACE_WITH_LINK_FAULT: Duration = Duration::from_secs(1);

/// Time in which a version is in force at a calm instance: 2 s, and one for a busy machine.
const IN_FORCE_MAX: Duration = Duration::from_secs(3);

/// Time in which an evacuation is in force, as operators want it.
const EVACUATION_IN_FORCE_MAX: Duration = Duration::from_secs(5);

/// Time after trouble of the store up to which it may take longer.
const STORE_RECOVERY: Duration = Duration::from_secs(5);

/// Time for which a daemon that starts is not yet held to what it was told before.
const START_GRACE: Duration = Duration::from_secs(1);

/// Time after a fault in which connections may still be found to be dead.
const FAULT_AFTEREFFECT_MAX: Duration = Duration::from_secs(4);

/// Time for which a daemon that was asked to stop still takes calls.
const STOP_NOTICE: Duration = Duration::from_secs(2);

/// Part of the calls that may arrive at targets more than once, in percent.
const EXTRA_ATTEMPTS_PERCENT: usize = 20;

/// Arrivals beyond the first that may come besides.
const EXTRA_ATTEMPTS_RESERVE: usize = 60;

/// A promise that was broken.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "read by its debug form, in the report of a failed walk")]
pub enum Violation {
    /// A request that must not repeat ran more than once.
    DuplicateRun { id: String, runs: usize },
    /// A request that ran was said not to have run.
    FalseNotRun { id: String, status: StatusCode },
    /// An answer is not the own one, or not whole.
    WrongResponse { id: String, body: String },
    /// A call had no answer though its daemon was well.
    NoResponse { id: String, instance: usize, result: Unanswered, run_count: usize },
    /// An order didn't run, and nobody could say so, though nothing but planned work and the store
    /// was in its way.
    UnknownOutcome { id: String, instance: usize, reason: String },
    /// A target that was heard to leave got a request.
    RequestWhileLeaving { instance: usize, after: Duration },
    /// A cold target got more requests than it may in its time.
    ColdRateExceeded { instance: usize, arrivals: usize, cold_for: Duration },
    /// A target of an evacuated failure domain got a request.
    RequestWhileEvacuated { instance: usize, after: Duration },
    /// A version was not in force in time.
    LateVersion { id: String, instance: usize, number: u64, after: Duration },
    /// A process went back to an older version.
    VersionRegression { id: String, instance: usize, number: u64 },
    /// A daemon said that it takes calls and knew no routes.
    ReadyWithoutRoutes { id: String, instance: usize },
    /// Too many requests were sent again.
    TooManyAttempts { arrivals: usize, calls: usize },
    /// A daemon ended by itself.
    DaemonExited { instance: usize },
    /// A daemon did not stop in order and in time.
    NotStopped { instance: usize },
    /// An instance did not serve again after the last fault.
    NotRecovered { instance: usize },
    /// A daemon grew beyond its bounds.
    ResourceLimitExceeded { instance: usize, memory_kib: u64, descriptors: usize },
}

/// All breaches of a walk.
pub fn find_violations(record: &WalkRecord) -> Vec<Violation> {
    let checker = Checker { record, runs: runs_by_id(record) };
    let mut violations = record.violations.clone();
    record.calls.iter().for_each(|call| checker.check_call(call, &mut violations));
    checker.check_drains(&mut violations);
    checker.check_cold_targets(&mut violations);
    checker.check_evacuations(&mut violations);
    checker.check_versions(&mut violations);
    checker.check_arrivals(&mut violations);
    violations
}

struct Checker<'a> {
    record: &'a WalkRecord,
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
        if is_order && response.promises_not_run() && run_count > 0 {
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

    /// Whether nothing that breaks connections or targets lasted shortly before or during a call.
    fn was_undisturbed(&self, call: &CallRecord) -> bool {
        let since = call.sent_at.checked_sub(FAULT_AFTEREFFECT_MAX).unwrap_or(call.sent_at);
        !self.has_fault_within(since, call.ended_at, |fault| {
            fault.may_lose_requests() || self.is_proxied_stop(fault)
        })
    }

    /// Whether a daemon stops behind a proxy: the proxy's port stays open, so that a connection to a
    /// daemon that has stopped is made and then cut, where its own port would refuse it.
    fn is_proxied_stop(&self, fault: Fault) -> bool {
        matches!(fault, Fault::StoppedDaemon(at) if self.record.links[at].is_gate_proxied)
    }

    /// Whether a call may have got no answer: its daemon was killed or frozen, or stopped and had
    /// not taken the call when its connections closed.
    fn may_lack_response(&self, call: &CallRecord, result: Unanswered, run_count: usize) -> bool {
        if call.is_abandoned {
            return true;
        }
        // It counts as not read and is sent again, so it must not have been passed on.
        if call.is_after_close {
            return run_count == 0;
        }
        let at = call.instance;
        let is_unavailable = |fault| matches!(fault, Fault::KilledDaemon(index) | Fault::FrozenDaemon(index) if index == at);
        if self.has_fault_during_call(call, is_unavailable) {
            return true;
        }
        let is_closing = self.record.spans.iter().any(|span| {
            span.fault == Fault::StoppedDaemon(at)
                && span.from + STOP_NOTICE <= call.ended_at
                && span.until.is_none_or(|until| until >= call.sent_at)
        });
        is_closing && (result == Unanswered::NotSent || run_count == 0)
    }

    /// Whether a fault that `hits` lasted at some time of a call.
    fn has_fault_during_call(&self, call: &CallRecord, affects: impl Fn(Fault) -> bool) -> bool {
        self.has_fault_within(call.sent_at, call.ended_at, affects)
    }

    fn has_fault_within(
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

    /// Each whole second that a cold time touches may bring as many as the bound.
    fn check_cold_targets(&self, violations: &mut Vec<Violation>) {
        if self.record.cold_per_s == 0 {
            return;
        }
        for span in &self.record.spans {
            let (Fault::ColdTarget(instance), Some(until)) = (span.fault, span.until) else {
                continue;
            };
            // A link that holds requests up and lets them go together is no decision of the gate, and a
            // target that starts anew is warm.
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
            let arrivals = &self.record.received[instance].arrivals;
            let arrivals = arrivals.iter().filter(|at| (span.from..until).contains(*at)).count();
            let seconds = cold_for.as_secs() as usize + 2;
            if arrivals > seconds * self.record.cold_per_s {
                violations.push(Violation::ColdRateExceeded { instance, arrivals, cold_for });
            }
        }
    }

    /// Where neither a daemon of the instance nor the store was disturbed.
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
            let version = self.record.versions.iter().find(|one| one.number == number);
            if let Some(after) = version.and_then(|version| self.lateness(call, version)) {
                violations.push(Violation::LateVersion { id, instance, number, after });
            }
        }
    }

    /// Whether the same process has served that version or a later one before.
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

    /// For how long a version was not in force, where that was too long.
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
