//! Tests the throttling of requests whose runs call an overloaded small service.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use yuccarack_policy::adaptive_throttle::{AdaptiveThrottle, RunResult, Shortages};

/// Requests to the calling service in a tick of 10 ms.
const CALLING: usize = 4;

/// Requests that callers send to the small service directly in a tick.
const DIRECT: usize = 3;

/// Result of a simulation.
#[derive(Debug, Default)]
struct SimulationResult {
    /// Successful runs of the calling service, and all its runs.
    succeeded: usize,
    runs: usize,
    /// Calls that the small service served for runs that failed.
    wasted: usize,
    /// Direct requests that the small service rejected.
    refused: usize,
}

/// Simulates `ticks` of 10 ms in which the small service serves `room` requests each.
fn simulate(ticks: usize, room: impl Fn(usize) -> usize, is_on: bool) -> SimulationResult {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut throttle, mut shortages) = (AdaptiveThrottle::new(), Shortages::new());
    let (mut counts, start) = (SimulationResult::default(), Instant::now());
    for tick in 0..ticks {
        let now = start + Duration::from_millis(10) * tick as u32;
        let mut room = room(tick);
        // Calls and direct requests arrive in random order.
        let mut arrivals: Vec<bool> = [vec![true; CALLING], vec![false; DIRECT]].concat();
        for last in (1..arrivals.len()).rev() {
            arrivals.swap(last, rng.random_range(0..=last));
        }
        for is_calling in arrivals {
            let needed = if is_calling { 2 } else { 1 };
            if is_calling && is_on && !throttle.admits(&mut rng) {
                continue;
            }
            let served = needed.min(room);
            room -= served;
            let is_served = served == needed;
            if !is_served {
                shortages.record_refusal(now, "small");
            }
            match (is_calling, is_served) {
                (true, true) => counts.succeeded += 1,
                (true, false) => counts.wasted += served,
                (false, false) => counts.refused += 1,
                (false, true) => {}
            }
            if is_calling {
                counts.runs += 1;
                let result = if is_served { RunResult::Succeeded } else { RunResult::Failed };
                throttle.record_run(result, shortages.is_other_service_short(now, "large"));
            }
        }
    }
    counts
}

/// The small service can serve half of its requests. Without throttling, half of the runs that call
/// it fail after they have held a slot, and its direct callers are rejected just as often.
#[test]
fn few_runs_fail_due_to_an_overloaded_service() {
    let off = simulate(2_000, |_| 6, false);
    let on = simulate(2_000, |_| 6, true);
    let failed =
        |counts: &SimulationResult| (counts.runs - counts.succeeded) as f64 / counts.runs as f64;
    assert!(failed(&off) > 0.35, "{off:?}");
    assert!(failed(&on) < 0.25, "{on:?}");
    assert!(on.refused * 10 < off.refused * 7, "{on:?} against {off:?}");
    let served = |counts: &SimulationResult| counts.succeeded + 2_000 * DIRECT - counts.refused;
    assert!(served(&on) >= served(&off), "{on:?} against {off:?}");
}

/// The small service loses its targets for ten seconds and then has them again. All runs must be
/// admitted again within a few seconds.
#[test]
fn all_runs_are_admitted_again_once_there_is_room() {
    let room = |tick: usize| if (500..1_500).contains(&tick) { 2 } else { 20 };
    let before = simulate(500, room, true);
    assert_eq!(before.succeeded, 500 * CALLING);
    let all = simulate(2_500, room, true);
    let late = simulate(2_000, room, true);
    assert_eq!(all.succeeded - late.succeeded, 500 * CALLING, "after five seconds of room");
}

/// A fault in the service itself makes half of its runs fail while no other service is short of
/// capacity. Rejecting requests would help nobody.
#[test]
fn runs_that_fail_by_themselves_are_admitted() {
    let mut throttle = AdaptiveThrottle::new();
    for _ in 0..1_000 {
        throttle.record_run(RunResult::Failed, false);
    }
    assert!((throttle.admitted_share() - 1.0).abs() < f64::EPSILON);
}

/// One of six targets fails most of its requests by itself while another service is short of
/// capacity. The requests don't call that service, and the five other targets serve them, so they
/// must not be throttled.
#[test]
fn runs_that_fail_as_often_without_a_shortage_are_admitted() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut throttle = AdaptiveThrottle::new();
    let mut run = |is_short| {
        let result = if rng.random_bool(0.08) { RunResult::Failed } else { RunResult::Succeeded };
        throttle.record_run(result, is_short);
        throttle.admitted_share()
    };
    let without_shortage: Vec<f64> = (0..300).map(|_| run(false)).collect();
    assert!(without_shortage.iter().all(|share| *share >= 1.0));
    let during_shortage: Vec<f64> = (0..3_000).map(|_| run(true)).collect();
    let admitted = during_shortage.iter().sum::<f64>() / during_shortage.len() as f64;
    assert!(admitted > 0.95, "{admitted}");
}

/// A service's own rejections don't explain its failing runs, whichever service rejected last.
#[test]
fn only_rejections_by_another_service_count() {
    let now = Instant::now();
    let mut shortages = Shortages::new();
    assert!(!shortages.is_other_service_short(now, "large"));
    shortages.record_refusal(now, "large");
    assert!(!shortages.is_other_service_short(now, "large"));
    assert!(shortages.is_other_service_short(now, "small"));
    shortages.record_refusal(now, "small");
    shortages.record_refusal(now + Duration::from_millis(10), "large");
    assert!(shortages.is_other_service_short(now, "large"));
    assert!(!shortages.is_other_service_short(now + Duration::from_secs(1), "large"));
}
