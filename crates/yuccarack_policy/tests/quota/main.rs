//! Quotas of organisations over a fleet: the quota holds, and few requests below it are refused.

mod fleet;
mod ledger;
mod many;
mod throttle;

use std::time::Duration;

use yuccarack_policy::quota::QuotaLimit;

use fleet::{Fleet, Method, Outcome, TOLERANCE};

/// Sizes of fleets, with their numbers of failure domains, rates and bursts.
const FLEETS: [(usize, usize, f64, f64); 6] = [
    (60, 4, 2.0, 4.0),
    (60, 4, 20.0, 10.0),
    (60, 4, 200.0, 60.0),
    (300, 8, 2.0, 4.0),
    (300, 8, 100.0, 50.0),
    (300, 8, 1_000.0, 300.0),
];

const LARGE: (usize, usize, f64, f64) = (2_500, 24, 3_000.0, 1_000.0);

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn everyone(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.size()).collect()
}

/// Most requests that any 5 s may admit.
fn most_allowed(rate: f64, burst: f64) -> f64 {
    (rate * 5.0 + burst) * 1.1 + 20.0
}

fn assert_held(label: &str, fleet: &Fleet, rate: f64, burst: f64) {
    let most = fleet.outcome.most_in_window;
    let allowed = most_allowed(rate, burst);
    eprintln!("{label}: {:?}, allowed {allowed:.0}", fleet.outcome);
    assert!(most as f64 <= allowed, "{label}: {most} in 5 s, {:?}", fleet.admitted_by_s());
}

fn assert_few_refused(label: &str, outcome: &Outcome) {
    let Outcome { arrived, falsely_refused, .. } = *outcome;
    assert!(falsely_refused * 200 < arrived.max(200), "{label}: {falsely_refused} of {arrived}");
}

fn surge(method: Method, (size, domains, rate, burst): (usize, usize, f64, f64)) -> Fleet {
    let mut fleet = Fleet::new(method, size, domains, rate, burst);
    let callers = everyone(&fleet);
    fleet.run(seconds(30), 0.6 * rate, &callers);
    fleet.run(Duration::from_millis(100), 3.0 * rate, &callers);
    fleet.run(seconds(7), 5.4 * rate, &callers);
    fleet
}

fn uneven(method: Method, (size, domains, rate, burst): (usize, usize, f64, f64)) -> Fleet {
    let mut fleet = Fleet::new(method, size, domains, rate, burst);
    let callers = [1, 2, size / 2];
    fleet.run(seconds(10), 0.6 * rate, &callers);
    fleet.reset_outcome();
    fleet.run(seconds(60.max((600.0 / rate) as u64)), 0.6 * rate, &callers);
    fleet
}

fn even(method: Method, (size, domains, rate, burst): (usize, usize, f64, f64)) -> Fleet {
    let mut fleet = Fleet::new(method, size, domains, rate, burst);
    let callers = everyone(&fleet);
    fleet.run(seconds(10), 0.6 * rate, &callers);
    fleet.reset_outcome();
    fleet.run(seconds(60.max((600.0 / rate) as u64)), 0.6 * rate, &callers);
    fleet
}

/// Guards against a surge that is admitted everywhere before any keeper learns of it.
#[test]
fn ninefold_surge_stays_within_the_quota() {
    for config in FLEETS {
        let fleet = surge(Method::Leases, config);
        assert_held(&format!("surge {config:?}"), &fleet, config.2, config.3);
    }
}

/// Guards against refusals of an organisation whose callers are at 3 daemons only.
#[test]
fn uneven_callers_are_served_below_the_quota() {
    for config in FLEETS {
        let fleet = uneven(Method::Leases, config);
        let label = format!("uneven {config:?}");
        assert_held(&label, &fleet, config.2, config.3);
        assert_few_refused(&label, &fleet.outcome);
    }
}

/// Guards against refusals of a small organisation whose requests each arrive at another daemon, none
/// of which holds a whole token.
#[test]
fn even_callers_are_served_below_the_quota() {
    for config in FLEETS {
        let fleet = even(Method::Leases, config);
        let label = format!("even {config:?}");
        assert_held(&label, &fleet, config.2, config.3);
        assert_few_refused(&label, &fleet.outcome);
    }
}

/// Guards against a quota that is granted twice when the daemons of a dead keeper report to another.
#[test]
fn quota_holds_when_keepers_die() {
    for config in FLEETS {
        for load in [0.6, 3.0] {
            let (size, domains, rate, burst) = config;
            let mut fleet = Fleet::new(Method::Leases, size, domains, rate, burst);
            let callers = everyone(&fleet);
            fleet.run(seconds(10), load * rate, &callers);
            let (keeper, root) = (fleet.keepers_of(0)[0], fleet.root());
            fleet.set_up(keeper, false);
            fleet.set_up(root, false);
            fleet.run(seconds(15), load * rate, &callers);
            fleet.restart(keeper);
            fleet.restart(root);
            fleet.run(seconds(15), load * rate, &callers);
            assert_held(&format!("keepers die {config:?} {load}"), &fleet, rate, burst);
        }
    }
}

/// Guards against a restarted keeper that grants anew what earlier leases still grant.
#[test]
fn quota_holds_when_keepers_restart_at_once() {
    for config in FLEETS {
        let (size, domains, rate, burst) = config;
        let mut fleet = Fleet::new(Method::Leases, size, domains, rate, burst);
        let callers = [1, 2, size / 2];
        fleet.run(seconds(10), 3.0 * rate, &callers);
        let keepers: Vec<usize> = (0..domains).map(|domain| fleet.keepers_of(domain)[0]).collect();
        keepers.into_iter().for_each(|keeper| fleet.restart(keeper));
        let everyone = everyone(&fleet);
        fleet.run(seconds(15), 3.0 * rate, &everyone);
        assert_held(&format!("keepers restart {config:?}"), &fleet, rate, burst);
    }
}

/// Guards against two keepers that both distribute the shares of the same daemons, while the demand
/// moves to the other side of a partition.
#[test]
fn quota_holds_with_two_keepers_and_partitions() {
    for config in FLEETS {
        for hot_side in [0, 1] {
            let (size, domains, rate, burst) = config;
            let mut fleet = Fleet::new(Method::Leases, size, domains, rate, burst);
            let root = fleet.root();
            let hot = [1, 2, size / 2];
            fleet.run(seconds(10), 3.0 * rate, &hot);
            let cold: Vec<usize> =
                (0..size).filter(|index| !hot.contains(index) && *index != root).collect();
            let moved = if hot_side == 0 { cold.clone() } else { hot.to_vec() };
            moved.iter().for_each(|index| fleet.set_side(*index, 1));
            let everyone = everyone(&fleet);
            fleet.run(seconds(12), 5.0 * rate, &everyone);
            moved.iter().for_each(|index| fleet.set_side(*index, 0));
            fleet.run(seconds(12), 5.0 * rate, &everyone);
            assert_held(&format!("partition {config:?} {hot_side}"), &fleet, rate, burst);
        }
    }
}

/// Guards against buckets that are full after a restart of all daemons.
#[test]
fn quota_holds_when_all_restart() {
    for config in FLEETS {
        let (size, domains, rate, burst) = config;
        let mut fleet = Fleet::new(Method::Leases, size, domains, rate, burst);
        let callers = everyone(&fleet);
        fleet.run(seconds(10), 3.0 * rate, &callers);
        (0..size).for_each(|index| fleet.restart(index));
        fleet.run(seconds(10), 3.0 * rate, &callers);
        assert_held(&format!("all restart {config:?}"), &fleet, rate, burst);
    }
}

/// Guards against grants of the former limit that outlast a lower one.
#[test]
fn lower_limit_applies_within_a_window() {
    for config in FLEETS {
        let (size, domains, rate, burst) = config;
        let mut fleet = Fleet::new(Method::Leases, size, domains, rate, burst);
        let callers = everyone(&fleet);
        fleet.run(seconds(10), 0.6 * rate, &callers);
        fleet.apply_limit(QuotaLimit::from_rate(rate / 10.0, burst / 10.0, TOLERANCE));
        fleet.run(seconds(5), 0.6 * rate, &callers);
        fleet.reset_outcome();
        fleet.run(seconds(10), 0.6 * rate, &callers);
        assert_held(&format!("lower {config:?}"), &fleet, rate / 10.0, burst / 10.0);
    }
}

/// Guards against daemons that are each partitioned and go on with leases or overdrafts.
#[test]
fn quota_holds_when_all_daemons_are_partitioned() {
    for config in FLEETS {
        let (size, domains, rate, burst) = config;
        let mut fleet = Fleet::new(Method::Leases, size, domains, rate, burst);
        fleet.run(seconds(10), 3.0 * rate, &[1, 2, size / 2]);
        (0..size).for_each(|index| fleet.set_side(index, index as u32));
        let callers = everyone(&fleet);
        fleet.run(seconds(20), 9.0 * rate, &callers);
        assert_held(&format!("all partitioned {config:?}"), &fleet, rate, burst);
    }
}

/// Guards against costs and delays that grow with the fleet.
#[test]
fn quota_holds_in_a_large_fleet() {
    let (size, domains, rate, burst) = LARGE;
    let mut fleet = Fleet::new(Method::Leases, size, domains, rate, burst);
    let callers = everyone(&fleet);
    fleet.run(seconds(8), 0.6 * rate, &callers);
    fleet.reset_outcome();
    fleet.run(seconds(4), 0.6 * rate, &callers);
    assert_few_refused("large", &fleet.outcome);
    fleet.run(seconds(5), 5.4 * rate, &callers);
    assert_held("large", &fleet, rate, burst);
}

/// Prints the comparison of methods that `docs/CAPACITY.md` shows.
#[test]
#[ignore = "prints a table"]
fn compare_methods() {
    for config in FLEETS {
        for method in [Method::Leases, Method::FixedShare, Method::CountAndThrottle] {
            let (size, _, rate, burst) = config;
            let surge = surge(method, config).outcome;
            let uneven = uneven(method, config).outcome;
            let even = even(method, config);
            let elapsed_s = 60.0_f64.max((600.0 / rate).floor());
            let per_daemon_s = |count: usize| count as f64 / size as f64 / elapsed_s;
            let ratio = |it: &Outcome| 100.0 * it.falsely_refused as f64 / it.arrived as f64;
            println!(
                "| {size} | {rate} | {method:?} | {} of {:.0} | {:.2} | {:.2} | {:.1} | {:.0} |",
                surge.most_in_window,
                most_allowed(rate, burst),
                ratio(&uneven),
                ratio(&even.outcome),
                per_daemon_s(even.outcome.messages),
                per_daemon_s(even.outcome.bytes),
            );
        }
    }
}
