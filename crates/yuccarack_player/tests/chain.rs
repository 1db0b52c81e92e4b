//! Tests the service chain: value earned under the policies of `yuccarack_policy`, compared with
//! FIFO queues.

use std::time::Duration;

use yuccarack_player::routed::{EarnedValue, Policy, SCENARIOS, play_chain};

/// Number of seeds averaged, since results of single seeds differ by a few hundredths.
const SEEDS: u64 = 3;

fn mean(name: &str, policy: Policy, of: fn(&EarnedValue) -> f64) -> f64 {
    let scenario =
        SCENARIOS.iter().find(|known| known.name == name).expect("the scenario is defined");
    let sum: f64 = (1..=SEEDS).map(|seed| of(&play_chain(scenario, policy, seed))).sum();
    sum / SEEDS as f64
}

/// The rate doubles for two seconds. In FIFO queues over all slots, requests wait behind the burst
/// for seconds after its end, and the worst two seconds lose half of the value.
#[test]
fn a_burst_costs_little_beyond_itself() {
    let yuccarack = mean("burst 2.0", Policy::Yuccarack, EarnedValue::worst_share);
    let shortest = mean("burst 2.0", Policy::FifoShortest, EarnedValue::worst_share);
    assert!(yuccarack > 0.8, "worst seconds {yuccarack:.3}");
    assert!(yuccarack > 1.25 * shortest, "{yuccarack:.3} against {shortest:.3}");
}

/// The rate is doubled for the whole run. An unbounded queue holds every read until its caller has
/// stopped waiting, and a third of all runs are wasted.
#[test]
fn saturation_wastes_no_runs() {
    let wasted_run_share = |earned: &EarnedValue| earned.wasted_runs as f64 / earned.runs as f64;
    let wasted_share = mean("saturated", Policy::Yuccarack, wasted_run_share);
    assert!(wasted_share < 0.02, "{wasted_share:.3} of the runs are wasted");
    assert!(mean("saturated", Policy::FifoShortest, wasted_run_share) > 0.1);
    let (yuccarack, shortest_queue) = (
        mean("saturated", Policy::Yuccarack, EarnedValue::earned_share),
        mean("saturated", Policy::FifoShortest, EarnedValue::earned_share),
    );
    assert!(yuccarack > 1.5 * shortest_queue, "{yuccarack:.3} against {shortest_queue:.3}");
}

/// Two fifths of the callers retry at once, up to three times. They must not displace the callers
/// that wait before they retry.
#[test]
fn callers_that_retry_at_once_displace_nobody() {
    assert!(mean("early", Policy::Yuccarack, EarnedValue::earned_share) > 0.85);
}

/// Under saturation, the most urgent request kind must be served no worse than the other kinds.
#[test]
fn deliveries_come_first_in_saturation() {
    let in_time = |kind: usize| {
        let share = |earned: &EarnedValue, kind: usize| {
            let counts = earned.outcomes[kind];
            let all = counts.in_time + counts.late + counts.refused + counts.failed;
            counts.in_time as f64 / all as f64
        };
        let scenario = SCENARIOS
            .iter()
            .find(|scenario| scenario.name == "saturated")
            .expect("the scenario is defined");
        (1..=SEEDS)
            .map(|seed| share(&play_chain(scenario, Policy::Yuccarack, seed), kind))
            .sum::<f64>()
    };
    let (read, repair, delivery) = (in_time(0), in_time(1), in_time(2));
    assert!(delivery >= read && delivery >= repair, "{delivery:.2} {read:.2} {repair:.2}");
}

/// Guards against a collapse that outlasts its cause: targets that restart cold under their usual
/// load crash again and restart cold, until the load ends.
#[test]
fn targets_that_are_cold_together_recover_under_their_load() {
    // Targets are cold from 4 to 7 s; 5 s later, calls must be served as before.
    let share_after_recovery =
        |earned: &EarnedValue| earned.earned_share_from(Duration::from_secs(12));
    let calm = mean("calm", Policy::Yuccarack, share_after_recovery);
    let yuccarack = mean("all cold", Policy::Yuccarack, share_after_recovery);
    assert!(yuccarack >= 0.9 * calm, "{yuccarack:.3} of {calm:.3}");
    for policy in [Policy::FifoRandom, Policy::FifoShortest] {
        let collapsed = mean("all cold", policy, share_after_recovery);
        assert!(collapsed < 0.5 * calm, "{collapsed:.3} of {calm:.3}: no collapse to prevent");
    }
}
