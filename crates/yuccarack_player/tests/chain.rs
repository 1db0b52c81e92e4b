//! The chain of services: what callers get under the decisions, against queues without any.

use std::time::Duration;

use yuccarack_player::routed::{Credit, LOADS, Policy, play_chain};

/// Seeds whose credits are added up; one of them differs from another by a few hundredths.
const SEEDS: u64 = 3;

fn mean(load: &str, policy: Policy, of: fn(&Credit) -> f64) -> f64 {
    let load = LOADS.iter().find(|known| known.name == load).expect("a load");
    let sum: f64 = (1..=SEEDS).map(|seed| of(&play_chain(load, policy, seed))).sum();
    sum / SEEDS as f64
}

/// A burst of two seconds brings twice the requests. Served in the order in which they came, in all
/// slots, everybody waits behind the burst for seconds after it, and the worst two seconds lose half.
#[test]
fn a_burst_costs_little_beyond_itself() {
    let yuccarack = mean("burst 2.0", Policy::Yuccarack, Credit::worst_share);
    let shortest = mean("burst 2.0", Policy::FifoShortest, Credit::worst_share);
    assert!(yuccarack > 0.8, "worst seconds {yuccarack:.3}");
    assert!(yuccarack > 1.25 * shortest, "{yuccarack:.3} against {shortest:.3}");
}

/// Twice the requests for as long as it lasts. A queue without end holds every read until its caller
/// has gone, and a third of all runs are for nobody.
#[test]
fn saturation_wastes_no_runs() {
    let wasted = |credit: &Credit| credit.wasted_runs as f64 / credit.runs as f64;
    let yuccarack = mean("saturated", Policy::Yuccarack, wasted);
    assert!(yuccarack < 0.02, "{yuccarack:.3} of the runs are wasted");
    assert!(mean("saturated", Policy::FifoShortest, wasted) > 0.1);
    let (yuccarack, shortest_queue) = (
        mean("saturated", Policy::Yuccarack, Credit::earned_share),
        mean("saturated", Policy::FifoShortest, Credit::earned_share),
    );
    assert!(yuccarack > 1.5 * shortest_queue, "{yuccarack:.3} against {shortest_queue:.3}");
}

/// Two fifths of the callers come back at once and three times, whatever they were told. Those that
/// behave are served as well as without them.
#[test]
fn callers_that_return_at_once_push_nobody_out() {
    assert!(mean("early", Policy::Yuccarack, Credit::earned_share) > 0.85);
}

/// The most urgent kind is served no worse than the others of its chain when nothing fits any more.
#[test]
fn deliveries_come_first_in_saturation() {
    let in_time = |kind: usize| {
        let share = |credit: &Credit, kind: usize| {
            let counts = credit.outcomes[kind];
            let all = counts.in_time + counts.late + counts.refused + counts.failed;
            counts.in_time as f64 / all as f64
        };
        let load = LOADS.iter().find(|load| load.name == "saturated").expect("a load");
        (1..=SEEDS).map(|seed| share(&play_chain(load, Policy::Yuccarack, seed), kind)).sum::<f64>()
    };
    let (read, repair, delivery) = (in_time(0), in_time(1), in_time(2));
    assert!(delivery >= read && delivery >= repair, "{delivery:.2} {read:.2} {repair:.2}");
}

/// Guards against a collapse that outlasts its cause: targets return cold under their usual load, crash of it
/// and return cold, until the load ends.
#[test]
fn targets_that_are_cold_together_recover_under_their_load() {
    // They are cold from 4 to 7 s; 5 s after that the calls are served as before.
    let recovered = |credit: &Credit| credit.earned_share_from(Duration::from_secs(12));
    let calm = mean("calm", Policy::Yuccarack, recovered);
    let yuccarack = mean("all cold", Policy::Yuccarack, recovered);
    assert!(yuccarack >= 0.9 * calm, "{yuccarack:.3} of {calm:.3}");
    for policy in [Policy::FifoRandom, Policy::FifoShortest] {
        let collapsed = mean("all cold", policy, recovered);
        assert!(collapsed < 0.5 * calm, "{collapsed:.3} of {calm:.3}: no collapse to prevent");
    }
}
