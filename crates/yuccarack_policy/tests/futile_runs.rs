//! Many runs of one service that call a small one, which is short.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use yuccarack_policy::adaptive_throttle::{AdaptiveThrottle, RunResult, Shortages};

/// Requests of the calling service in a tick of 10 ms.
const PARENTS: usize = 4;

/// Requests that callers send to the small service itself in a tick.
const OWN: usize = 3;

/// What a play brought.
#[derive(Debug, Default)]
struct Played {
    /// Runs of the calling service that ended well, and all of them.
    good: usize,
    runs: usize,
    /// Calls that the small service ran for runs that failed.
    in_vain: usize,
    /// Own requests of the small service that it turned away.
    refused: usize,
}

/// Plays `ticks` of 10 ms in which the small service runs `room` requests each.
fn play(ticks: usize, room: impl Fn(usize) -> usize, is_on: bool) -> Played {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut futile, mut shortages) = (AdaptiveThrottle::new(), Shortages::new());
    let (mut played, start) = (Played::default(), Instant::now());
    for tick in 0..ticks {
        let now = start + Duration::from_millis(10) * tick as u32;
        let mut room = room(tick);
        // Calls and own requests come in any order.
        let mut arrivals: Vec<bool> = [vec![true; PARENTS], vec![false; OWN]].concat();
        for last in (1..arrivals.len()).rev() {
            arrivals.swap(last, rng.random_range(0..=last));
        }
        for is_parent in arrivals {
            let wanted = if is_parent { 2 } else { 1 };
            if is_parent && is_on && !futile.admits(&mut rng) {
                continue;
            }
            let got = wanted.min(room);
            room -= got;
            let is_whole = got == wanted;
            if !is_whole {
                shortages.record_refusal(now, "small");
            }
            match (is_parent, is_whole) {
                (true, true) => played.good += 1,
                (true, false) => played.in_vain += got,
                (false, false) => played.refused += 1,
                (false, true) => {}
            }
            if is_parent {
                played.runs += 1;
                let result = if is_whole { RunResult::Succeeded } else { RunResult::Failed };
                futile.record_run(result, shortages.is_other_service_short(now, "large"));
            }
        }
    }
    played
}

/// Story: the small service has room for half of what it is asked for. Half of the runs that call it
/// fail after they have held a slot, and its own callers are refused as often as before.
#[test]
fn few_runs_fail_for_want_of_another_service() {
    let off = play(2_000, |_| 6, false);
    let on = play(2_000, |_| 6, true);
    let failed = |played: &Played| (played.runs - played.good) as f64 / played.runs as f64;
    assert!(failed(&off) > 0.35, "{off:?}");
    assert!(failed(&on) < 0.25, "{on:?}");
    assert!(on.refused * 10 < off.refused * 7, "{on:?} against {off:?}");
    let served = |played: &Played| played.good + 2_000 * OWN - played.refused;
    assert!(served(&on) >= served(&off), "{on:?} against {off:?}");
}

/// Story: the small service loses its targets for ten seconds and gets them back. All runs are let in
/// again within some seconds.
#[test]
fn all_are_let_in_again_when_there_is_room() {
    let room = |tick: usize| if (500..1_500).contains(&tick) { 2 } else { 20 };
    let before = play(500, room, true);
    assert_eq!(before.good, 500 * PARENTS);
    let all = play(2_500, room, true);
    let late = play(2_000, room, true);
    assert_eq!(all.good - late.good, 500 * PARENTS, "after five seconds of room");
}

/// Story: a fault in the service itself lets half of its runs fail, and no other service is short.
/// Turning requests away would serve nobody.
#[test]
fn runs_that_fail_by_themselves_are_let_in() {
    let mut futile = AdaptiveThrottle::new();
    for _ in 0..1_000 {
        futile.record_run(RunResult::Failed, false);
    }
    assert!((futile.admitted_share() - 1.0).abs() < f64::EPSILON);
}

/// Story: one of six targets fails most of its requests by itself, and another service is short at the
/// same time. The requests of this service don't call it, and the five other targets serve them.
#[test]
fn runs_that_fail_as_often_without_a_shortage_are_let_in() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut futile = AdaptiveThrottle::new();
    let mut run = |is_short| {
        let result = if rng.random_bool(0.08) { RunResult::Failed } else { RunResult::Succeeded };
        futile.record_run(result, is_short);
        futile.admitted_share()
    };
    let calm: Vec<f64> = (0..300).map(|_| run(false)).collect();
    assert!(calm.iter().all(|share| *share >= 1.0));
    let short: Vec<f64> = (0..3_000).map(|_| run(true)).collect();
    let let_in = short.iter().sum::<f64>() / short.len() as f64;
    assert!(let_in > 0.95, "{let_in}");
}

/// A service's own refusals say nothing of its runs that fail, whichever service refused last.
#[test]
fn only_another_service_counts() {
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
