//! One ledger and one keeper: tokens, refunds, and leases of other sessions.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
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
