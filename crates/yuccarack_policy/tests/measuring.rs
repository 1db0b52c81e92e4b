//! Tests the budget for load measurements.

use std::time::{Duration, Instant};

use quickcheck::QuickCheck;
use yuccarack_config::rules::MeasuringRules;
use yuccarack_policy::measuring::{MeasuringBudget, WINDOW};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Measurement {
    ended_at: Instant,
    bytes: u32,
    time: Duration,
}

/// A busy target answers measurements late, in part, or never. Whatever it does and whenever the
/// daemon measures, bytes, time and measurements in any second must stay within the budget.
#[test]
fn the_budget_holds_in_any_window() {
    fn holds(steps: Vec<(u16, u16, bool)>) -> bool {
        let rules = MeasuringRules {
            bytes_per_s_max: 512,
            requests_per_1000s_max: 5_000,
            time_ms_per_s_max: 20,
        };
        let start = Instant::now();
        let (mut now, mut measurements) = (start, Vec::new());
        let mut budget = MeasuringBudget::new(&rules);
        for (pause_ms, bytes, is_answered) in steps {
            now += ms(u64::from(pause_ms % 700));
            let Some(permit) = budget.try_start(now) else { continue };
            let response_time = if is_answered { ms(u64::from(bytes % 15)) } else { ms(1_000) };
            let ended_at = (now + response_time).min(permit.give_up_at);
            let bytes = u32::from(bytes).min(permit.bytes_max);
            measurements.push(Measurement { ended_at, bytes, time: ended_at - now });
            now = ended_at;
            budget.record_end(now, bytes);
        }
        measurements.iter().all(|first| {
            let in_window = |measurement: &&Measurement| {
                measurement.ended_at >= first.ended_at
                    && measurement.ended_at < first.ended_at + WINDOW
            };
            let window: Vec<_> = measurements.iter().filter(in_window).collect();
            window.iter().map(|measurement| measurement.bytes).sum::<u32>() <= 512
                && window.iter().map(|measurement| measurement.time).sum::<Duration>() <= ms(20)
                && window.len() <= 5 + 1
        })
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u16, u16, bool)>) -> bool);
}

/// The target's load endpoint stops responding. Each measurement must time out in its time and the
/// next ones come ever later, but they must never stop for good.
#[test]
fn measurements_without_a_response_become_rare() {
    let start = Instant::now();
    let mut budget = MeasuringBudget::new(&MeasuringRules::default());
    let mut now = start;
    while now < start + Duration::from_secs(600) {
        if let Some(permit) = budget.try_start(now) {
            assert!(permit.give_up_at <= now + ms(20));
            now = permit.give_up_at;
            budget.record_end(now, 0);
        }
        now = budget.next_at(now).max(now + ms(1));
    }
    let cost = budget.total_cost();
    assert!((15..=30).contains(&cost.requests), "{cost:?}");
    assert_eq!(cost.timeouts, cost.requests);
}

/// A measurement is open. No second one may start, and if the end of the first is never recorded,
/// it must be charged in full and the next may start after its time.
#[test]
fn one_measurement_at_a_time_and_a_lost_one_is_charged() {
    let now = Instant::now();
    let mut budget = MeasuringBudget::new(&MeasuringRules::default());
    let permit = budget.try_start(now).unwrap();
    assert_eq!(budget.try_start(now + ms(1)), None);
    assert!(budget.next_at(now) >= permit.give_up_at);
    let later = now + Duration::from_secs(60);
    assert!(budget.try_start(later).is_some());
    assert_eq!(budget.total_cost().bytes, u64::from(permit.bytes_max));
}

/// An operator allows no measurements at all.
#[test]
fn a_limit_of_zero_requests_turns_measuring_off() {
    let now = Instant::now();
    let rules = MeasuringRules { requests_per_1000s_max: 0, ..Default::default() };
    assert_eq!(MeasuringBudget::new(&rules).try_start(now), None);
}
