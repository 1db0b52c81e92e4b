//! What the promises say of a walk that has ended.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use http::StatusCode;
use yuccarack_platform_standin::caller::Unanswered;

use super::{
    callers::{Ended, Kind, Written},
    plan::Fault,
    record::{Record, Span},
};

/// Time after which nothing reaches a target that was heard to leave, over a link without faults.
const LEAVING_MAX: Duration = Duration::from_millis(20);

/// The same where its link was disturbed and may have held something up.
const LEAVING_OVER_FAULTS_MAX: Duration = Duration::from_secs(1);

/// Time in which a version is in force at a calm instance: 2 s, and one for a busy machine.
const IN_FORCE_MAX: Duration = Duration::from_secs(3);

/// Time in which an evacuation is in force, as operators want it.
const EVACUATION_IN_FORCE_MAX: Duration = Duration::from_secs(5);

/// Time after trouble of the store up to which it may take longer.
const STORE_SETTLES: Duration = Duration::from_secs(5);

/// Time for which a daemon that starts is not yet held to what it was told before.
const START_MAX: Duration = Duration::from_secs(1);

/// Time after a fault in which connections may still be found to be dead.
const AFTERMATH: Duration = Duration::from_secs(4);

/// Time for which a daemon that was asked to stop still takes calls.
const STILL_SERVES: Duration = Duration::from_secs(2);

/// Part of the calls that may arrive at targets more than once, in percent.
const EXTRA_PERCENT: usize = 20;

/// Arrivals beyond the first that may come besides.
const EXTRA_RESERVE: usize = 60;

/// A promise that was broken.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "read by its debug form, in the report of a failed walk")]
pub enum Breach {
    /// A request that must not repeat ran more than once.
    RanTwice { id: String, runs: usize },
    /// A request that ran was said not to have run.
    RanThough { id: String, status: StatusCode },
    /// An answer is not the own one, or not whole.
    OtherAnswer { id: String, body: String },
    /// A call had no answer though its daemon was well.
    Lost { id: String, instance: usize, result: Unanswered, ran: usize },
    /// An order didn't run, and nobody could say so, though nothing but planned work and the store
    /// was in its way.
    UnknownFate { id: String, instance: usize, reason: String },
    /// A target that was heard to leave got a request.
    Leaving { instance: usize, after: Duration },
    /// A cold target got more requests than it may in its time.
    PressedCold { instance: usize, arrivals: usize, cold_for: Duration },
    /// A target of an evacuated failure domain got a request.
    Evacuated { instance: usize, after: Duration },
    /// A version was not in force in time.
    LateVersion { id: String, instance: usize, number: u64, after: Duration },
    /// A process went back to an older version.
    OlderVersion { id: String, instance: usize, number: u64 },
    /// A daemon said that it takes calls and knew no routes.
    NotReady { id: String, instance: usize },
    /// Too many requests were sent again.
    ExtraArrivals { arrivals: usize, calls: usize },
    /// A daemon ended by itself.
    Ended { instance: usize },
    /// A daemon did not stop in order and in time.
    NotStopped { instance: usize },
    /// An instance did not serve again after the last fault.
    NotBack { instance: usize },
    /// A daemon grew beyond its bounds.
    TooLarge { instance: usize, memory_kib: u64, descriptors: usize },
}

/// All breaches of a walk.
pub fn judge(record: &Record) -> Vec<Breach> {
    let judge = Judge { record, runs: runs_by_id(record) };
    let mut breaches = record.breaches.clone();
    record.ended.iter().for_each(|ended| judge.call(ended, &mut breaches));
    judge.drains(&mut breaches);
    judge.cold_targets(&mut breaches);
    judge.evacuations(&mut breaches);
    judge.versions(&mut breaches);
    judge.arrivals(&mut breaches);
    breaches
}

struct Judge<'a> {
    record: &'a Record,
    runs: HashMap<&'a str, usize>,
}

fn runs_by_id(record: &Record) -> HashMap<&str, usize> {
    let mut runs = HashMap::new();
    for run in record.received.iter().flat_map(|received| &received.runs) {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    runs
}

impl Judge<'_> {
    fn call(&self, ended: &Ended, breaches: &mut Vec<Breach>) {
        let id = || ended.id.clone();
        let ran = self.runs.get(ended.id.as_str()).copied().unwrap_or(0);
        let is_order = ended.kind == Kind::Order;
        if is_order && ran > 1 {
            breaches.push(Breach::RanTwice { id: id(), runs: ran });
        }
        let told = match &ended.result {
            Ok(told) => told,
            Err(result) => {
                if !self.may_lose(ended, *result, ran) {
                    let (instance, result) = (ended.instance, *result);
                    breaches.push(Breach::Lost { id: id(), instance, result, ran });
                }
                return;
            }
        };
        if is_order && told.promises_not_run() && ran > 0 {
            breaches.push(Breach::RanThough { id: id(), status: told.status });
        }
        if is_order && ran == 0 && told.status == StatusCode::BAD_GATEWAY && self.was_calm(ended) {
            let reason = told.header("yuccarack-reason").to_owned();
            breaches.push(Breach::UnknownFate { id: id(), instance: ended.instance, reason });
        }
        if told.status.is_success() && told.body != format!("page of {}", ended.id) {
            let body = String::from_utf8_lossy(&told.body).into_owned();
            breaches.push(Breach::OtherAnswer { id: id(), body });
        }
        let is_unready = told.header("yuccarack-reason") == "no_routing";
        let was_up = !self.any(ended, |fault| fault.hits_daemon(ended.instance));
        if ended.was_ready && is_unready && was_up {
            breaches.push(Breach::NotReady { id: id(), instance: ended.instance });
        }
    }

    /// Whether nothing that breaks connections or targets lasted shortly before or during a call.
    fn was_calm(&self, ended: &Ended) -> bool {
        let since = ended.sent_at.checked_sub(AFTERMATH).unwrap_or(ended.sent_at);
        !self
            .any_within(since, ended.ended_at, |fault| fault.breaks() || self.is_hidden_stop(fault))
    }

    /// Whether a daemon stops behind a proxy: the proxy's port stays open, so that a connection to a
    /// daemon that has stopped is made and then cut, where its own port would refuse it.
    fn is_hidden_stop(&self, fault: Fault) -> bool {
        matches!(fault, Fault::StoppedDaemon(at) if self.record.links[at].is_gate_proxied)
    }

    /// Whether a call may have got no answer: its daemon was killed or frozen, or stopped and had
    /// not taken the call when its connections closed.
    fn may_lose(&self, ended: &Ended, result: Unanswered, ran: usize) -> bool {
        if ended.has_left {
            return true;
        }
        // It counts as not read and is sent again, so it must not have been passed on.
        if ended.is_behind_close {
            return ran == 0;
        }
        let at = ended.instance;
        let is_cut_off = |fault| matches!(fault, Fault::KilledDaemon(hit) | Fault::FrozenDaemon(hit) if hit == at);
        if self.any(ended, is_cut_off) {
            return true;
        }
        let is_closing = self.record.spans.iter().any(|span| {
            span.fault == Fault::StoppedDaemon(at)
                && span.from + STILL_SERVES <= ended.ended_at
                && span.until.is_none_or(|until| until >= ended.sent_at)
        });
        is_closing && (result == Unanswered::NotSent || ran == 0)
    }

    /// Whether a fault that `hits` lasted at some time of a call.
    fn any(&self, ended: &Ended, hits: impl Fn(Fault) -> bool) -> bool {
        self.any_within(ended.sent_at, ended.ended_at, hits)
    }

    fn any_within(&self, from: Instant, until: Instant, hits: impl Fn(Fault) -> bool) -> bool {
        let overlaps = |span: &Span| {
            span.from <= until && span.until.is_none_or(|span_until| span_until >= from)
        };
        self.record.spans.iter().any(|span| hits(span.fault) && overlaps(span))
    }

    fn drains(&self, breaches: &mut Vec<Breach>) {
        for drain in &self.record.drains {
            let is_held_up =
                |fault| matches!(fault, Fault::TargetLink(hit, _) if hit == drain.instance);
            let until = drain.until.unwrap_or_else(Instant::now);
            let limit = match self.any_within(drain.heard_at, until, is_held_up) {
                true => LEAVING_OVER_FAULTS_MAX,
                false => LEAVING_MAX,
            };
            let arrivals = &self.record.received[drain.instance].arrivals;
            let late = arrivals.iter().find(|at| **at > drain.heard_at + limit && **at < until);
            if let Some(late) = late {
                let (instance, after) = (drain.instance, *late - drain.heard_at);
                breaches.push(Breach::Leaving { instance, after });
            }
        }
    }

    /// Each whole second that a cold time touches may bring as many as the bound.
    fn cold_targets(&self, breaches: &mut Vec<Breach>) {
        if self.record.cold_per_s == 0 {
            return;
        }
        for span in &self.record.spans {
            let (Fault::ColdTarget(instance), Some(until)) = (span.fault, span.until) else {
                continue;
            };
            // A link that holds requests up and lets them go together is no decision of the gate, and a
            // target that starts anew is warm.
            let hides = |fault| match fault {
                Fault::TargetLink(at, _) | Fault::CrashedTarget(at) | Fault::SetBackTarget(at) => {
                    at == instance
                }
                _ => false,
            };
            if self.any_within(span.from, until, hides) {
                continue;
            }
            let cold_for = until - span.from;
            let arrivals = &self.record.received[instance].arrivals;
            let arrivals = arrivals.iter().filter(|at| (span.from..until).contains(*at)).count();
            let seconds = cold_for.as_secs() as usize + 2;
            if arrivals > seconds * self.record.cold_per_s {
                breaches.push(Breach::PressedCold { instance, arrivals, cold_for });
            }
        }
    }

    /// Where neither a daemon of the instance nor the store was disturbed.
    fn evacuations(&self, breaches: &mut Vec<Breach>) {
        for span in &self.record.spans {
            let (Fault::EvacuatedDomain(domain), Some(until)) = (span.fault, span.until) else {
                continue;
            };
            let Some(since) = span.from.checked_sub(STORE_SETTLES) else { continue };
            let instances = self.record.received.iter().enumerate();
            for (instance, received) in instances.skip(domain).step_by(self.record.domains) {
                let hits = |fault: Fault| {
                    fault.hits_daemon(instance)
                        || fault.hits_store_of(instance)
                        || matches!(fault, Fault::TargetLink(at, _) if at == instance)
                };
                if self.any_within(since, until, hits) {
                    continue;
                }
                let in_force_at = span.from + EVACUATION_IN_FORCE_MAX;
                let late = received.arrivals.iter().find(|at| (in_force_at..until).contains(*at));
                if let Some(late) = late {
                    let after = *late - span.from;
                    breaches.push(Breach::Evacuated { instance, after });
                }
            }
        }
    }

    fn versions(&self, breaches: &mut Vec<Breach>) {
        for ended in &self.record.ended {
            let Kind::Versioned(number) = ended.kind else { continue };
            let Ok(told) = &ended.result else { continue };
            if told.status != StatusCode::NOT_FOUND {
                continue;
            }
            let (id, instance) = (ended.id.clone(), ended.instance);
            if self.has_served(ended, number) {
                breaches.push(Breach::OlderVersion { id, instance, number });
                continue;
            }
            let written = self.record.versions.iter().find(|one| one.number == number);
            if let Some(after) = written.and_then(|written| self.is_late(ended, written)) {
                breaches.push(Breach::LateVersion { id, instance, number, after });
            }
        }
    }

    /// Whether the same process has served that version or a later one before.
    fn has_served(&self, ended: &Ended, number: u64) -> bool {
        let life = self.life(ended.instance, ended.sent_at);
        self.record.ended.iter().any(|other| {
            let is_later = matches!(other.kind, Kind::Versioned(other) if other >= number);
            let is_served = other.result.as_ref().is_ok_and(|told| told.status.is_success());
            is_later
                && is_served
                && other.instance == ended.instance
                && other.ended_at < ended.sent_at
                && self.life(other.instance, other.sent_at) == life
        })
    }

    fn life(&self, instance: usize, at: Instant) -> usize {
        self.record.starts[instance].iter().filter(|start| **start <= at).count()
    }

    /// For how long a version was not in force, where that was too long.
    fn is_late(&self, ended: &Ended, written: &Written) -> Option<Duration> {
        let at = ended.instance;
        let after = ended.sent_at.saturating_duration_since(written.at);
        let since = written.at.checked_sub(START_MAX)?;
        let is_hit = self.any_within(since, ended.ended_at, |fault| fault.hits_daemon(at));
        let before = written.at.checked_sub(STORE_SETTLES)?;
        let is_unserved = self.any_within(before, ended.ended_at, |fault| fault.hits_store_of(at));
        let is_late = after > IN_FORCE_MAX && !is_hit && !is_unserved;
        is_late.then_some(after)
    }

    fn arrivals(&self, breaches: &mut Vec<Breach>) {
        let calls = self.record.ended.len();
        let arrivals: usize =
            self.record.received.iter().map(|received| received.arrivals.len()).sum();
        if arrivals > calls + calls * EXTRA_PERCENT / 100 + EXTRA_RESERVE {
            breaches.push(Breach::ExtraArrivals { arrivals, calls });
        }
    }
}
