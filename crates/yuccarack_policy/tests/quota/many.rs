//! Sixty daemons in four failure domains with 72 organisations, whose demand is like that of the first
//! deployment.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{
    Rng, SeedableRng,
    distr::{Distribution, weighted::WeightedIndex},
    rngs::SmallRng,
};
use yuccarack_policy::quota::{QuotaKeeper, QuotaLedger, QuotaLimit};

use super::fleet::TOLERANCE;

const DAEMONS: usize = 60;
const ORGANISATIONS: u32 = 72;
const TIME_S: u64 = 20;

/// Requests of all organisations in a second; each sends 0.6 of its rate.
const REQUESTS_PER_S: f64 = 839.0;
const DEMAND_SHARE: f64 = 0.6;

/// Time after the start in which leases are handed out and demand is learned.
const START: Duration = Duration::from_secs(2);

const STEP: Duration = Duration::from_millis(5);

/// What the fleet did in [`TIME_S`].
#[derive(Debug, Default)]
struct Outcome {
    reports: usize,
    bytes: usize,
    /// Requests after [`START`], and those of them that were refused.
    arrived: usize,
    refused: usize,
}

struct Fleet {
    ledgers: Vec<QuotaLedger>,
    keepers: Vec<QuotaKeeper>,
    root: QuotaKeeper,
    weights: Vec<f64>,
    rng: SmallRng,
    outcome: Outcome,
}

/// Returns an id as long as a hash.
fn id(place: usize) -> u64 {
    u64::MAX / (u64::from(ORGANISATIONS) + 1) * (place as u64 + 1)
}

impl Fleet {
    fn new(start: Instant, seed: u64) -> Self {
        let weights: Vec<f64> =
            (1..=ORGANISATIONS).map(|place| f64::from(place).powf(-1.2)).collect();
        let total: f64 = weights.iter().sum();
        let rate = |weight: &f64| REQUESTS_PER_S * weight / total / DEMAND_SHARE;
        let limit = |weight| QuotaLimit::from_rate(rate(weight), 10.0, TOLERANCE);
        let limits: HashMap<u64, QuotaLimit> =
            weights.iter().enumerate().map(|(place, weight)| (id(place), limit(weight))).collect();
        let keeper = |name: String, session| {
            let mut keeper = QuotaKeeper::new(name, session);
            keeper.set_limits(start, DAEMONS as u32, &limits);
            keeper
        };
        let ledger = |index| {
            let mut ledger = QuotaLedger::new(format!("sidecar-sapporo-{index}"));
            ledger.set_limits(start, DAEMONS as u32, &limits);
            ledger
        };
        Self {
            ledgers: (0..DAEMONS).map(ledger).collect(),
            keepers: (1..=4).map(|index| keeper(format!("keeper-{index}"), index)).collect(),
            root: keeper("root".to_owned(), 5),
            weights,
            rng: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, start: Instant) -> Outcome {
        let chosen = WeightedIndex::new(&self.weights).expect("weights");
        let chance = REQUESTS_PER_S / DAEMONS as f64 * STEP.as_secs_f64();
        for step in 0..TIME_S * 200 {
            let now = start + STEP * step as u32;
            for index in 0..DAEMONS {
                if self.rng.random_bool(chance) {
                    let organisation = id(chosen.sample(&mut self.rng));
                    self.request(now, index, organisation, now >= start + START);
                }
                self.report(now, index);
            }
            self.report_to_root(now);
        }
        self.outcome
    }

    fn request(&mut self, now: Instant, index: usize, organisation: u64, is_counted: bool) {
        let is_refused = self.ledgers[index].admit(now, organisation).is_err();
        self.outcome.arrived += usize::from(is_counted);
        self.outcome.refused += usize::from(is_counted && is_refused);
    }

    fn report(&mut self, now: Instant, index: usize) {
        let ledger = &mut self.ledgers[index];
        if ledger.report_due_at(now).is_none_or(|due_at| due_at > now) {
            return;
        }
        let report = ledger.take_report(now);
        let lease = self.keepers[index % 4].grant(now, &report);
        assert!(ledger.apply_lease(now, now, &lease));
        let encoded = [serde_json::to_vec(&report), serde_json::to_vec(&lease)];
        self.outcome.bytes += encoded.iter().flatten().map(Vec::len).sum::<usize>();
        self.outcome.reports += 1;
    }

    fn report_to_root(&mut self, now: Instant) {
        for keeper in &mut self.keepers {
            if keeper.report_due_at(now).is_some_and(|due_at| due_at <= now) {
                let report = keeper.take_report(now);
                let lease = self.root.grant(now, &report);
                assert!(keeper.apply_lease(now, &lease));
            }
        }
    }
}

/// Guards against organisations whose leases are held back by those of others: a keeper confirmed a
/// lease of the root only once no organisation exceeded it, and a fifth of all requests was refused.
#[test]
fn many_organisations_are_served_below_their_quotas() {
    let start = Instant::now();
    let outcome = Fleet::new(start, 5).run(start);
    assert!(outcome.refused * 200 < outcome.arrived, "{outcome:?}");
}

/// Measures the reports and leases of a daemon.
#[test]
#[ignore = "prints a figure"]
fn compare_bytes_of_many_organisations() {
    let start = Instant::now();
    let outcome = Fleet::new(start, 5).run(start);
    let per_daemon_s = |count: usize| count as f64 / DAEMONS as f64 / TIME_S as f64;
    let (reports, bytes) = (per_daemon_s(outcome.reports), per_daemon_s(outcome.bytes));
    println!("{reports:.1} reports, {bytes:.0} bytes");
}
