//! Organisations of a walk, and the checks of their keys and quotas.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use yuccarack_platform_standin::{caller::Call, organisation::OrganisationSpec};

use super::{
    announcements::calls_by_id,
    callers::CallRecord,
    plan::Fault,
    violations::{Checker, IN_FORCE_MAX, START_GRACE, STORE_RECOVERY, Violation},
};

/// Names of the organisations, with their quotas: requests per second and burst; 0 for no limit.
/// A walk sends some 100 requests per second for each organisation.
pub const ORGANISATIONS: [(&str, f64, u32); 3] =
    [("harbour", 0.0, 0), ("ferry", 20.0, 10), ("pilot", 60.0, 20)];

/// Keys with the indices of their organisations.
pub const KEYS: [(&str, usize); 6] = [
    ("key-of-harbour-1", 0),
    ("key-of-harbour-2", 0),
    ("key-of-ferry-1", 1),
    ("key-of-ferry-2", 1),
    ("key-of-pilot-1", 2),
    ("key-of-pilot-2", 2),
];

/// A key that no organisation ever has, and the share of the calls that use it.
const UNKNOWN_KEY: &str = "key-of-nobody";
const UNKNOWN_KEY_SHARE: f64 = 0.05;

/// Time after the acceptance of a document from which its removed keys are refused.
const REMOVED_KEY_MAX: Duration = Duration::from_millis(2_500);

/// Window in which the requests of an organisation are counted, and the allowed excess.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_EXCESS_FACTOR: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;

/// A key that operators removed.
#[derive(Clone, Copy, Debug)]
pub struct RemovedKey {
    /// The key.
    pub key: &'static str,
    /// Time at which the document without it was written to the store.
    pub written_at: Instant,
}

/// A quota that operators set.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Index of the organisation.
    pub organisation: usize,
    /// Requests per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that may be sent at once beyond that.
    pub burst: u32,
    /// Time at which it was written to the store.
    pub written_at: Instant,
}

impl Quota {
    /// Returns half of the latest quota of an organisation.
    pub fn halved(quotas: &[Self], organisation: usize, written_at: Instant) -> Self {
        let latest = latest_quota(quotas, organisation);
        let (rate_per_s, burst) = (latest.rate_per_s / 2.0, latest.burst / 2);
        Self { rate_per_s, burst, written_at, ..latest }
    }

    /// Returns the number of requests that may run in a window.
    fn allowed(&self) -> usize {
        if self.rate_per_s == 0.0 {
            return usize::MAX;
        }
        let within = self.rate_per_s * QUOTA_WINDOW.as_secs_f64() + f64::from(self.burst);
        (within * QUOTA_EXCESS_FACTOR + QUOTA_SLACK) as usize
    }
}

/// Returns the quotas at the start of a walk.
pub fn initial_quotas() -> Vec<Quota> {
    let written_at = Instant::now();
    let quota = |(organisation, (_, rate_per_s, burst)): (usize, &(_, f64, u32))| Quota {
        organisation,
        rate_per_s: *rate_per_s,
        burst: *burst,
        written_at,
    };
    ORGANISATIONS.iter().enumerate().map(quota).collect()
}

fn latest_quota(quotas: &[Quota], organisation: usize) -> Quota {
    let latest = quotas.iter().rev().find(|quota| quota.organisation == organisation);
    *latest.expect("a quota of each organisation")
}

/// Returns the organisations as operators write them.
pub fn organisations(removed: &[RemovedKey], quotas: &[Quota]) -> Vec<OrganisationSpec> {
    let is_valid = |key: &str| removed.iter().all(|removed| removed.key != key);
    let spec = |(index, (name, ..)): (usize, &(&str, f64, u32))| {
        let keys = KEYS.iter().filter(|(key, holder)| *holder == index && is_valid(key));
        let keys: Vec<&str> = keys.map(|(key, _)| *key).collect();
        let Quota { rate_per_s, burst, .. } = latest_quota(quotas, index);
        OrganisationSpec { rate_per_s, burst, ..OrganisationSpec::new(name, &keys) }
    };
    ORGANISATIONS.iter().enumerate().map(spec).collect()
}

/// Chooses the key of a call, which may be removed or unknown.
pub fn random_key(random: &mut StdRng) -> &'static str {
    match random.random_bool(UNKNOWN_KEY_SHARE) {
        true => UNKNOWN_KEY,
        false => KEYS[random.random_range(0..KEYS.len())].0,
    }
}

/// Adds a caller's key, if it has one, and the name of an organisation that it isn't.
pub fn identify(call: Call, key: Option<&str>) -> Call {
    match key {
        Some(key) => call.with_key(key).claiming("somebody-else"),
        None => call,
    }
}

fn holder_of(key: &str) -> Option<usize> {
    KEYS.iter().find(|(known, _)| *known == key).map(|(_, holder)| *holder)
}

impl Checker<'_> {
    /// Checks the headers that targets received, and the keys of the requests that ran.
    pub fn check_keys(&self, violations: &mut Vec<Violation>) {
        let calls = calls_by_id(self.record);
        for (instance, received) in self.record.received.iter().enumerate() {
            if received.keys > 0 {
                violations.push(Violation::KeyPassedOn { instance, keys: received.keys });
            }
            for run in &received.runs {
                let Some(call) = calls.get(run.id.as_str()) else { continue };
                let holder = call.key.and_then(holder_of);
                if run.organisation != holder.map_or("", |holder| ORGANISATIONS[holder].0) {
                    let (id, organisation) = (run.id.clone(), run.organisation.clone());
                    violations.push(Violation::WrongOrganisation { instance, id, organisation });
                }
                let Some(key) = call.key else { continue };
                if let Some(after) = self.invalid_for(call, key, instance, run.began_at) {
                    let id = run.id.clone();
                    violations.push(Violation::InvalidKeyAccepted { instance, id, key, after });
                }
            }
        }
    }

    /// Returns for how long a key had been invalid when a request with it began to run at the target
    /// of `instance`, if that is too long.
    fn invalid_for(
        &self,
        call: &CallRecord,
        key: &str,
        instance: usize,
        began_at: Instant,
    ) -> Option<Duration> {
        if holder_of(key).is_none() {
            return Some(Duration::MAX);
        }
        let removed = self.record.removed_keys.iter().find(|removed| removed.key == key)?;
        let after = began_at.saturating_duration_since(removed.written_at);
        let is_late = after > REMOVED_KEY_MAX
            && !self.was_out_of_date(call.instance, removed.written_at, began_at)
            && !self.was_held_up(instance, call.sent_at, began_at);
        is_late.then_some(after)
    }

    /// Whether a daemon need not know at `at` of a document that was written at `written_at`: it or
    /// its store was disturbed when the document had to reach it, and until shortly before `at`.
    fn was_out_of_date(&self, instance: usize, written_at: Instant, at: Instant) -> bool {
        self.record.spans.iter().any(|span| {
            let since = match span.fault {
                fault if fault.affects_daemon(instance) => START_GRACE,
                fault if fault.affects_store_of(instance) => STORE_RECOVERY,
                _ => return false,
            };
            let ended_after = |time: Instant| span.until.is_none_or(|until| until >= time);
            span.from <= written_at + REMOVED_KEY_MAX
                && written_at.checked_sub(since).is_none_or(ended_after)
                && at.checked_sub(STORE_RECOVERY).is_none_or(ended_after)
        })
    }

    /// Whether a request on its way to the target of `instance` may have been held up by the links
    /// or a frozen daemon, which the entry can't control.
    fn was_held_up(&self, instance: usize, from: Instant, until: Instant) -> bool {
        self.has_fault_within(from, until, |fault| match fault {
            Fault::GateLink(at, _) | Fault::TargetLink(at, _) => at == instance,
            _ => fault.affects_daemon(instance),
        })
    }

    /// Counts the requests of each organisation that ran in any window, each of them once.
    pub fn check_quotas(&self, violations: &mut Vec<Violation>) {
        let calls = calls_by_id(self.record);
        let mut first_runs: HashMap<&str, (usize, Instant)> = HashMap::new();
        for run in self.record.received.iter().flat_map(|received| &received.runs) {
            let key = calls.get(run.id.as_str()).and_then(|call| call.key);
            let Some(holder) = key.and_then(holder_of) else { continue };
            let first = first_runs.entry(run.id.as_str()).or_insert((holder, run.began_at));
            first.1 = first.1.min(run.began_at);
        }
        for (index, (organisation, ..)) in ORGANISATIONS.iter().enumerate() {
            let runs = first_runs.values().filter(|(holder, _)| *holder == index);
            let mut runs: Vec<Instant> = runs.map(|(_, at)| *at).collect();
            runs.sort_unstable();
            for (number, start) in runs.iter().enumerate() {
                let end = *start + QUOTA_WINDOW;
                let requests = runs.partition_point(|at| *at < end) - number;
                let allowed = self.allowed_in_window(index, *start);
                if requests > allowed {
                    violations.push(Violation::QuotaExceeded { organisation, requests, allowed });
                    break;
                }
            }
        }
    }

    /// Returns the most that a quota in force allows in the window from `start`. A quota applies
    /// until one window after the next one is in force; while the store is disturbed, that may be
    /// never.
    fn allowed_in_window(&self, organisation: usize, start: Instant) -> usize {
        let quotas = self.record.quotas.iter().filter(|it| it.organisation == organisation);
        let quotas: Vec<_> = quotas.collect();
        let may_apply = |index: usize| {
            let Some(next) = quotas.get(index + 1) else { return true };
            let applies_until = next.written_at + IN_FORCE_MAX + QUOTA_WINDOW;
            let instances = 0..self.record.received.len();
            let end = start + QUOTA_WINDOW;
            start < applies_until
                || instances.clone().any(|at| self.was_out_of_date(at, next.written_at, end))
        };
        let allowed = |index: usize| quotas[index].allowed();
        (0..quotas.len()).filter(|index| may_apply(*index)).map(allowed).max().unwrap_or(usize::MAX)
    }
}
