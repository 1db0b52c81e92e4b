//! Ledgers and keepers of a fleet on a virtual clock, without network.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use yuccarack_policy::quota::{
    QuotaKeeper, QuotaLease, QuotaLedger, QuotaLimit, QuotaReport, QuotaTolerance, keeper_order,
};

use super::throttle::Throttle;

/// Organisation of all tests.
pub const ORGANISATION: u64 = 7;

/// Step of the virtual clock; a report and its response take one step each.
pub const STEP: Duration = Duration::from_millis(5);

/// Time after which a report without a response counts as failed.
const TIMEOUT: Duration = Duration::from_millis(300);

pub const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(5), excess_percent: 10, slack: 20 };

/// How quotas are enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Leases of keepers.
    Leases,
    /// The fixed share of each daemon alone.
    FixedShare,
    /// Everything is admitted until the daemons' counts, reported each half second, come near the
    /// limit; then each daemon is told its share of what is left.
    CountAndThrottle,
}

/// A report on its way, and when its result is known.
struct InFlight {
    sent_at: Instant,
    done_at: Instant,
    lease: Option<QuotaLease>,
}

struct Daemon {
    name: String,
    domain: usize,
    ledger: QuotaLedger,
    keeper: QuotaKeeper,
    root: QuotaKeeper,
    ledger_flight: Option<InFlight>,
    keeper_flight: Option<InFlight>,
    keeper_rank: usize,
    root_rank: usize,
    is_up: bool,
    /// Daemons of different sides can't reach each other.
    side: u32,
    throttle: Throttle,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub arrived: usize,
    pub refused: usize,
    /// Refusals while the quota, without its tolerance, was not used up.
    pub falsely_refused: usize,
    /// Most requests admitted in 5 s.
    pub most_in_window: usize,
    pub messages: usize,
    pub bytes: usize,
}

pub struct Fleet {
    pub now: Instant,
    pub limit: QuotaLimit,
    pub outcome: Outcome,
    method: Method,
    daemons: Vec<Daemon>,
    keepers: Vec<Vec<usize>>,
    roots: Vec<usize>,
    rng: SmallRng,
    /// Times of admitted requests in the last window.
    admitted: VecDeque<Instant>,
    admitted_by_s: BTreeMap<u64, usize>,
    started_at: Instant,
    counted: Vec<(Instant, u32)>,
    next_session: u64,
    /// Position of a fractional number of arrivals.
    arrivals_due: f64,
}

impl Fleet {
    pub fn new(method: Method, size: usize, domains: usize, rate: f64, burst: f64) -> Self {
        let limit = QuotaLimit::from_rate(rate, burst, TOLERANCE);
        let now = Instant::now();
        let names: Vec<String> = (0..size).map(|index| format!("daemon-{index}")).collect();
        let by_name: HashMap<String, usize> =
            names.iter().cloned().enumerate().map(|(index, name)| (name, index)).collect();
        let order = |scope: &str, names: Vec<String>| {
            let ordered = keeper_order(scope, names);
            ordered.iter().map(|name| by_name[name]).collect::<Vec<_>>()
        };
        let of_domain = |domain: usize| {
            let own = names.iter().enumerate().filter(|(index, _)| index % domains == domain);
            order(&format!("domain-{domain}"), own.map(|(_, name)| name.clone()).collect())
        };
        let keepers = (0..domains).map(of_domain).collect();
        let roots = order("", names.clone());
        let mut fleet = Self {
            now,
            limit,
            outcome: Outcome::default(),
            method,
            daemons: Vec::new(),
            keepers,
            roots,
            rng: SmallRng::seed_from_u64(11),
            admitted: VecDeque::new(),
            admitted_by_s: BTreeMap::new(),
            started_at: now,
            counted: Vec::new(),
            next_session: 1,
            arrivals_due: 0.0,
        };
        for (index, name) in names.iter().enumerate() {
            let daemon = fleet.start(name.clone(), index % domains);
            fleet.daemons.push(daemon);
        }
        fleet.apply_limit(limit);
        fleet
    }

    fn start(&mut self, name: String, domain: usize) -> Daemon {
        let session = self.next_session;
        self.next_session += 2;
        Daemon {
            domain,
            ledger: QuotaLedger::new(name.clone()),
            keeper: QuotaKeeper::new(name.clone(), session),
            root: QuotaKeeper::new(name.clone(), session + 1),
            name,
            ledger_flight: None,
            keeper_flight: None,
            keeper_rank: 0,
            root_rank: 0,
            is_up: true,
            side: 0,
            throttle: Throttle::default(),
        }
    }

    /// Puts a new limit in force at all daemons.
    pub fn apply_limit(&mut self, limit: QuotaLimit) {
        self.limit = limit;
        let limits = HashMap::from([(ORGANISATION, limit)]);
        let size = self.daemons.len() as u32;
        for daemon in &mut self.daemons {
            daemon.ledger.set_limits(self.now, size, &limits);
            daemon.keeper.set_limits(self.now, size, &limits);
            daemon.root.set_limits(self.now, size, &limits);
        }
    }

    /// Restarts a daemon, which loses its state.
    pub fn restart(&mut self, index: usize) {
        let (name, domain) = (self.daemons[index].name.clone(), self.daemons[index].domain);
        self.daemons[index] = self.start(name, domain);
        let limits = HashMap::from([(ORGANISATION, self.limit)]);
        let size = self.daemons.len() as u32;
        let daemon = &mut self.daemons[index];
        daemon.ledger.set_limits(self.now, size, &limits);
        daemon.keeper.set_limits(self.now, size, &limits);
        daemon.root.set_limits(self.now, size, &limits);
    }

    pub fn size(&self) -> usize {
        self.daemons.len()
    }

    pub fn set_up(&mut self, index: usize, is_up: bool) {
        self.daemons[index].is_up = is_up;
    }

    pub fn set_side(&mut self, index: usize, side: u32) {
        self.daemons[index].side = side;
    }

    /// Daemons of a failure domain in the order in which they become its keeper.
    pub fn keepers_of(&self, domain: usize) -> &[usize] {
        &self.keepers[domain]
    }

    pub fn root(&self) -> usize {
        self.roots[0]
    }

    /// Forgets what was measured; requests that were admitted still count in windows.
    pub fn reset_outcome(&mut self) {
        self.outcome = Outcome::default();
    }

    /// Runs for `time` with `per_s` requests per second, distributed over `callers`.
    pub fn run(&mut self, time: Duration, per_s: f64, callers: &[usize]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            // Exponential gaps between arrivals.
            self.arrivals_due += per_s * STEP.as_secs_f64();
            while self.arrivals_due > 0.0 {
                self.arrivals_due += self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
                let caller = callers[self.rng.random_range(0..callers.len())];
                self.request(caller);
            }
            self.exchange();
        }
    }

    fn request(&mut self, caller: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[caller];
        if !daemon.is_up {
            return;
        }
        self.outcome.arrived += 1;
        let is_admitted = match self.method {
            Method::CountAndThrottle => daemon.throttle.admit(),
            _ => daemon.ledger.admit(now, ORGANISATION).is_ok(),
        };
        let window_start = now - TOLERANCE.window;
        while self.admitted.front().is_some_and(|at| *at <= window_start) {
            self.admitted.pop_front();
        }
        let in_window = self.admitted.len();
        if is_admitted {
            self.admitted.push_back(now);
            let second = (now - self.started_at).as_secs();
            *self.admitted_by_s.entry(second).or_default() += 1;
            self.outcome.most_in_window = self.outcome.most_in_window.max(in_window + 1);
            return;
        }
        self.outcome.refused += 1;
        if (in_window as f64) < self.limit.rate_per_s * 5.0 {
            self.outcome.falsely_refused += 1;
        }
    }

    fn exchange(&mut self) {
        match self.method {
            Method::FixedShare => {}
            Method::CountAndThrottle => self.throttle(),
            Method::Leases => {
                for index in 0..self.daemons.len() {
                    if self.daemons[index].is_up {
                        self.exchange_ledger(index);
                        self.exchange_keeper(index);
                    }
                }
            }
        }
    }

    fn exchange_ledger(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if let Some(flight) = daemon.ledger_flight.take_if(|flight| flight.done_at <= now) {
            let is_granted = match &flight.lease {
                Some(lease) => daemon.ledger.apply_lease(now, flight.sent_at, lease),
                None => !daemon.ledger.record_failure(),
            };
            daemon.keeper_rank += usize::from(!is_granted);
        }
        let is_due = daemon.ledger.report_due_at(now).is_some_and(|due_at| due_at <= now);
        if daemon.ledger_flight.is_none() && is_due {
            let report = daemon.ledger.take_report(now);
            let order = &self.keepers[daemon.domain];
            let keeper = order[daemon.keeper_rank % order.len()];
            let flight = self.send(index, keeper, &report);
            self.daemons[index].ledger_flight = Some(flight);
        }
    }

    fn exchange_keeper(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if let Some(flight) = daemon.keeper_flight.take_if(|flight| flight.done_at <= now) {
            let is_granted = match &flight.lease {
                Some(lease) => daemon.keeper.apply_lease(flight.sent_at, lease),
                None => !daemon.keeper.record_failure(),
            };
            daemon.root_rank += usize::from(!is_granted);
        }
        let is_due = daemon.keeper.report_due_at(now).is_some_and(|due_at| due_at <= now);
        if daemon.keeper_flight.is_none() && is_due {
            let report = daemon.keeper.take_report(now);
            let root = self.roots[daemon.root_rank % self.roots.len()];
            let flight = self.send(index, root, &report);
            self.daemons[index].keeper_flight = Some(flight);
        }
    }

    fn send(&mut self, from: usize, to: usize, report: &QuotaReport) -> InFlight {
        let now = self.now;
        self.outcome.messages += 2;
        self.outcome.bytes += encoded_bytes(report);
        let is_reachable =
            self.daemons[to].is_up && self.daemons[from].side == self.daemons[to].side;
        if !is_reachable {
            return InFlight { sent_at: now, done_at: now + TIMEOUT, lease: None };
        }
        let receiver = &mut self.daemons[to];
        let keeper = if report.is_for_root { &mut receiver.root } else { &mut receiver.keeper };
        let lease = keeper.grant(now, report);
        self.outcome.bytes += encoded_bytes(&lease);
        InFlight { sent_at: now, done_at: now + STEP, lease: Some(lease) }
    }

    /// Counts each half second and, near the limit, gives each daemon a share of what is left.
    fn throttle(&mut self) {
        let elapsed = self.now - self.counted.last().map_or(self.now - TIMEOUT * 2, |last| last.0);
        if elapsed < Duration::from_millis(500) {
            return;
        }
        let admitted: u32 = self.daemons.iter().map(|daemon| daemon.throttle.admitted).sum();
        self.counted.push((self.now, admitted));
        let recent = self.counted.iter().filter(|(at, _)| *at + TOLERANCE.window > self.now);
        let used: u32 = recent.map(|(_, count)| count).sum();
        let left = self.limit.rate_per_s * 5.0 - f64::from(used);
        let is_near = left < self.limit.rate_per_s;
        let arrived: u32 = self.daemons.iter().map(|daemon| daemon.throttle.arrived).sum();
        for daemon in &mut self.daemons {
            let throttle = &mut daemon.throttle;
            if throttle.arrived > 0 || is_near {
                self.outcome.messages += 2;
            }
            let part = f64::from(throttle.arrived) / f64::from(arrived.max(1));
            throttle.left = is_near.then(|| left.max(0.0) * part);
            (throttle.arrived, throttle.admitted) = (0, 0);
        }
    }

    /// Counts of admitted requests by second since the start, for messages of failed tests.
    pub fn admitted_by_s(&self) -> &BTreeMap<u64, usize> {
        &self.admitted_by_s
    }
}

fn encoded_bytes(message: &impl Serialize) -> usize {
    serde_json::to_vec(message).expect("messages can be encoded").len()
}
