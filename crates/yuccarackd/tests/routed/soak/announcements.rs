//! Checks of targets that announce a rate limit or that they leave.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use yuccarack_platform_standin::target::AnnouncedLimit;

use super::{
    callers::CallRecord,
    plan::Fault,
    record::{ReceivedRequests, WalkRecord},
    violations::{Checker, Violation},
};

/// Window in which the requests to a limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor on the limit and further requests that the window may have.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// Time after an entry passed on a response with the limit from which its requests count.
const PASS_ON_TIME: Duration = Duration::from_millis(500);

/// Time after an entry passed on a response of a leaving target in which callers' requests may still
/// reach that target.
const DRAIN_MAX: Duration = Duration::from_secs(2);

/// When each entry first passed on a response with an announcement, by its instance.
type PassedOn = HashMap<usize, Instant>;

impl Checker<'_> {
    /// Counts the requests of entries that knew the limit and ran without a restart since.
    pub fn check_rate_limits(&self, violations: &mut Vec<Violation>) {
        let calls = calls_by_id(self.record);
        for (instance, received) in self.record.received.iter().enumerate() {
            for limit in &received.rate_limits {
                let Ok(rate_limit) = limit.text.parse::<f64>() else { continue };
                let requests = self.most_in_window(&calls, instance, received, limit);
                let allowed = EXCESS_FACTOR * rate_limit * WINDOW.as_secs_f64() + EXCESS_REQUESTS;
                if requests as f64 > allowed {
                    let violation = Violation::RateLimitExceeded { instance, requests, rate_limit };
                    violations.push(violation);
                }
            }
        }
    }

    fn most_in_window(
        &self,
        calls: &HashMap<&str, &CallRecord>,
        instance: usize,
        received: &ReceivedRequests,
        limit: &AnnouncedLimit,
    ) -> usize {
        let until = limit.until.unwrap_or_else(Instant::now);
        // A link that delays requests delivers those of several seconds together.
        let is_link = |fault| matches!(fault, Fault::TargetLink(at, _) if at == instance);
        if self.has_fault_within(limit.from, until, is_link) {
            return 0;
        }
        let carries = |call: &CallRecord| has_header(call, "server-limit", &limit.text);
        let passed_on = passed_on(calls, received, (limit.from, until), carries);
        let runs = received.runs.iter().filter(|run| (limit.from..until).contains(&run.began_at));
        let counted: Vec<Instant> = runs
            .filter_map(|run| {
                let call = calls.get(run.id.as_str())?;
                let known_since = *passed_on.get(&call.instance)?;
                let is_counted = known_since + PASS_ON_TIME <= run.began_at
                    && !self.was_entry_disturbed(call.instance, known_since, run.began_at);
                is_counted.then_some(run.began_at)
            })
            .collect();
        let in_window = |start: Instant| {
            counted.iter().filter(|at| (start..start + WINDOW).contains(*at)).count()
        };
        counted.iter().map(|start| in_window(*start)).max().unwrap_or(0)
    }

    /// Checks the requests of entries that had passed on the announcement of a leaving target.
    pub fn check_departures(&self, violations: &mut Vec<Violation>) {
        let calls = calls_by_id(self.record);
        for (instance, received) in self.record.received.iter().enumerate() {
            for departure in &received.departures {
                let carries = |call: &CallRecord| has_header(call, "server-leaving", "1");
                let span = (departure.from, departure.until);
                let passed_on = passed_on(&calls, received, span, carries);
                let runs = received.runs.iter().filter(|run| run.began_at < departure.until);
                for call in runs.filter_map(|run| calls.get(run.id.as_str())) {
                    let Some(known_since) = passed_on.get(&call.instance).copied() else {
                        continue;
                    };
                    if call.sent_at <= known_since + DRAIN_MAX
                        || self.was_entry_disturbed(call.instance, known_since, call.sent_at)
                    {
                        continue;
                    }
                    let (id, after) = (call.id.clone(), call.sent_at - known_since);
                    violations.push(Violation::RequestAfterDeparture { instance, id, after });
                }
            }
        }
    }

    /// Whether an entry was restarted or frozen meanwhile, so that it need not know.
    fn was_entry_disturbed(&self, instance: usize, from: Instant, until: Instant) -> bool {
        self.has_fault_within(from, until, |fault| fault.affects_daemon(instance))
    }
}

pub fn calls_by_id(record: &WalkRecord) -> HashMap<&str, &CallRecord> {
    record.calls.iter().map(|call| (call.id.as_str(), call)).collect()
}

fn has_header(call: &CallRecord, name: &str, value: &str) -> bool {
    call.result.as_ref().is_ok_and(|response| response.header(name) == value)
}

/// Returns the entries whose responses, from a target's runs in a span of time, carry an
/// announcement.
fn passed_on(
    calls: &HashMap<&str, &CallRecord>,
    received: &ReceivedRequests,
    (from, until): (Instant, Instant),
    carries: impl Fn(&CallRecord) -> bool,
) -> PassedOn {
    let mut passed_on = PassedOn::new();
    for run in received.runs.iter().filter(|run| run.began_at < until) {
        let Some(call) = calls.get(run.id.as_str()) else { continue };
        if call.ended_at < from || call.ended_at > until || !carries(call) {
            continue;
        }
        let first = passed_on.entry(call.instance).or_insert(call.ended_at);
        *first = call.ended_at.min(*first);
    }
    passed_on
}
