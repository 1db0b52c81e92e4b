//! One ledger and one keeper: tokens, refunds, and leases of other sessions.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{
    Rng, SeedableRng,
    distr::{Distribution, weighted::WeightedIndex},
    rngs::SmallRng,
};
use yuccarack_policy::quota::{
    KEPT_FOR, LEASE, QuotaKeeper, QuotaLedger, QuotaLimit, REPORT_INTERVAL,
};

use super::fleet::{ORGANISATION, TOLERANCE};

fn limits(rate: f64) -> HashMap<u64, QuotaLimit> {
    HashMap::from([(ORGANISATION, QuotaLimit::from_rate(rate, 5.0, TOLERANCE))])
}

fn ledger(now: Instant, daemons: u32) -> QuotaLedger {
    let mut ledger = QuotaLedger::new("daemon".to_owned());
    ledger.set_limits(now, daemons, &limits(10.0));
    ledger
}

/// Guards against requests that were refused for lack of capacity and still use up the quota.
#[test]
fn a_refunded_token_can_be_used_again() {
    let start = Instant::now();
    let mut ledger = ledger(start, 1);
    let now = start + Duration::from_millis(101);
    assert!(ledger.admit(now, ORGANISATION).is_ok());
    assert!(ledger.admit(now, ORGANISATION).is_err());
    ledger.refund(now, ORGANISATION);
    assert!(ledger.admit(now, ORGANISATION).is_ok());
    let refusal = ledger.admit(now, ORGANISATION).expect_err("no token is left");
    let wait_ms = refusal.retry_after.as_millis();
    assert!((50..=100).contains(&wait_ms), "{wait_ms} ms until the next token at 10 a second");
}

/// Guards against reports and refusals without quotas.
#[test]
fn an_organisation_without_a_quota_is_admitted_and_not_reported() {
    let now = Instant::now();
    let mut ledger = QuotaLedger::new("daemon".to_owned());
    for _ in 0..1_000 {
        assert!(ledger.admit(now, ORGANISATION).is_ok());
    }
    assert_eq!(ledger.report_due_at(now), None);
    ledger.set_limits(now, 1, &limits(10.0));
    assert_eq!(ledger.report_due_at(now), Some(now));
    ledger.set_limits(now, 1, &HashMap::new());
    assert_eq!(ledger.report_due_at(now), None);
}

/// Guards against an organisation that is refused after the loss of a keeper, and against a daemon
/// that uses its last grant for good: the next keeper gets a report at once, and the grant ends.
#[test]
fn a_lost_keeper_is_replaced_at_once_and_its_grant_ends() {
    let start = Instant::now();
    let mut ledger = ledger(start, 2);
    let mut keeper = QuotaKeeper::new("keeper".to_owned(), 1);
    keeper.set_limits(start, 2, &limits(10.0));
    for round in 0..3 {
        let now = start + Duration::from_millis(500 * round);
        let report = ledger.take_report(now);
        let lease = keeper.grant(now, &report);
        assert!(ledger.apply_lease(now, now, &lease));
    }
    let now = start + Duration::from_millis(1_500);
    let report = ledger.take_report(now);
    let mut restarted = QuotaKeeper::new("keeper".to_owned(), 2);
    restarted.set_limits(now, 2, &limits(10.0));
    let granted = ledger.rate_per_s(now, ORGANISATION).expect("a quota");
    assert!(!ledger.apply_lease(now, now, &restarted.grant(now, &report)));
    let due_at = ledger.report_due_at(now).expect("a report");
    assert!(due_at <= now + REPORT_INTERVAL, "due after {:?}", due_at - now);
    assert_eq!(ledger.take_report(due_at).session, 0);
    let last_lease_sent_at = start + Duration::from_millis(1_000);
    let ends_at = last_lease_sent_at + LEASE + KEPT_FOR;
    let rate_at = |at| ledger.rate_per_s(at, ORGANISATION).expect("a quota");
    assert!((rate_at(ends_at - Duration::from_millis(1)) - granted).abs() < 1e-9);
    let rate = rate_at(ends_at);
    let fixed_share = limits(10.0)[&ORGANISATION].rate_per_s / 2.0;
    assert!((rate - fixed_share).abs() < 1e-9, "{rate} a second instead of the fixed share");
}

/// Measures the reports and leases of 60 daemons in 4 failure domains with 72 organisations, whose
/// demand is like that of the first deployment.
#[test]
#[ignore = "prints a figure"]
fn compare_bytes_of_many_organisations() {
    const DAEMONS: usize = 60;
    const TIME_S: u64 = 20;
    let start = Instant::now();
    let weights: Vec<f64> = (1..=72).map(|place| f64::from(place).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let limit = |weight: &f64| QuotaLimit::from_rate(839.0 * weight / total / 0.6, 10.0, TOLERANCE);
    // Ids as long as hashes.
    let id = |place: usize| u64::MAX / 73 * (place as u64 + 1);
    let limits: HashMap<u64, QuotaLimit> =
        weights.iter().enumerate().map(|(place, weight)| (id(place), limit(weight))).collect();
    let new_keeper =
        |index: u64| QuotaKeeper::new(format!("keeper-{index}"), u64::MAX / (index + 3));
    let mut keepers: Vec<QuotaKeeper> = (0..4).map(new_keeper).collect();
    keepers.iter_mut().for_each(|keeper| keeper.set_limits(start, 60, &limits));
    let mut root = QuotaKeeper::new("root".to_owned(), u64::MAX / 5);
    root.set_limits(start, 60, &limits);
    let names = (0..DAEMONS).map(|index| format!("sidecar-sapporo-{index}"));
    let mut ledgers: Vec<QuotaLedger> = names.map(QuotaLedger::new).collect();
    ledgers.iter_mut().for_each(|ledger| ledger.set_limits(start, 60, &limits));
    let mut rng = SmallRng::seed_from_u64(5);
    let chosen = WeightedIndex::new(&weights).expect("weights");
    let (mut bytes, mut reports) = (0, 0);
    for step in 0..TIME_S * 200 {
        let now = start + Duration::from_millis(5 * step);
        for (index, ledger) in ledgers.iter_mut().enumerate() {
            if rng.random_bool(839.0 / 60.0 * 0.005) {
                let _ = ledger.admit(now, id(chosen.sample(&mut rng)));
            }
            if ledger.report_due_at(now).is_some_and(|due_at| due_at <= now) {
                let report = ledger.take_report(now);
                let lease = keepers[index % 4].grant(now, &report);
                assert!(ledger.apply_lease(now, now, &lease));
                let encoded = [serde_json::to_vec(&report), serde_json::to_vec(&lease)];
                bytes += encoded.iter().flatten().map(Vec::len).sum::<usize>();
                reports += 1;
            }
        }
        for keeper in &mut keepers {
            if keeper.report_due_at(now).is_some_and(|due_at| due_at <= now) {
                let report = keeper.take_report(now);
                let lease = root.grant(now, &report);
                assert!(keeper.apply_lease(now, &lease));
            }
        }
    }
    let per_daemon_s = |count: usize| count as f64 / DAEMONS as f64 / TIME_S as f64;
    println!("{:.1} reports, {:.0} bytes", per_daemon_s(reports), per_daemon_s(bytes));
}
