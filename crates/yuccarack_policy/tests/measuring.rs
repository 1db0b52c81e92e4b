//! Stories of the measuring budget.

use std::time::{Duration, Instant};

use quickcheck::QuickCheck;
use yuccarack_config::rules::MeasuringRules;
use yuccarack_policy::measuring::{MeasuringBudget, WINDOW};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Look {
    ended_at: Instant,
    bytes: u32,
    time: Duration,
}

/// A noisy target answers looks late, in part, or never. Whatever it does and whenever the
/// daemon asks, in any second bytes, time and looks stay within what was agreed.
#[test]
fn the_budget_holds_in_any_window() {
    fn holds(steps: Vec<(u16, u16, bool)>) -> bool {
        let rules = MeasuringRules {
            bytes_per_s_max: 512,
            requests_per_1000s_max: 5_000,
            time_ms_per_s_max: 20,
        };
        let start = Instant::now();
        let (mut now, mut looks) = (start, Vec::new());
        let mut budget = MeasuringBudget::new(&rules);
        for (pause_ms, bytes, is_answered) in steps {
            now += ms(u64::from(pause_ms % 700));
            let Some(permit) = budget.try_start(now) else { continue };
            let took = if is_answered { ms(u64::from(bytes % 15)) } else { ms(1_000) };
            let ended_at = (now + took).min(permit.give_up_at);
            let bytes = u32::from(bytes).min(permit.bytes_max);
            looks.push(Look { ended_at, bytes, time: ended_at - now });
            now = ended_at;
            budget.record_end(now, bytes);
        }
        looks.iter().all(|first| {
            let in_window = |look: &&Look| {
                look.ended_at >= first.ended_at && look.ended_at < first.ended_at + WINDOW
            };
            let window: Vec<_> = looks.iter().filter(in_window).collect();
            window.iter().map(|look| look.bytes).sum::<u32>() <= 512
                && window.iter().map(|look| look.time).sum::<Duration>() <= ms(20)
                && window.len() <= 5 + 1
        })
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u16, u16, bool)>) -> bool);
}

/// The target's load endpoint stops answering. Each look is given up within its time and the next
/// comes later and later, but looks never stop for good.
#[test]
fn looks_without_an_answer_become_rare() {
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
    let spent = budget.total_cost();
    assert!((15..=30).contains(&spent.requests), "{spent:?}");
    assert_eq!(spent.timeouts, spent.requests);
}

/// A look is open. Nobody may start a second one, and if the daemon never says how the first
/// ended, it is charged in full and the next may start after its time.
#[test]
fn one_look_at_a_time_and_a_lost_one_is_charged() {
    let now = Instant::now();
    let mut budget = MeasuringBudget::new(&MeasuringRules::default());
    let permit = budget.try_start(now).unwrap();
    assert_eq!(budget.try_start(now + ms(1)), None);
    assert!(budget.next_at(now) >= permit.give_up_at);
    let later = now + Duration::from_secs(60);
    assert!(budget.try_start(later).is_some());
    assert_eq!(budget.total_cost().bytes, u64::from(permit.bytes_max));
}

/// An operator allows no looks at all.
#[test]
fn no_requests_means_no_looks() {
    let now = Instant::now();
    let rules = MeasuringRules { requests_per_1000s_max: 0, ..Default::default() };
    assert_eq!(MeasuringBudget::new(&rules).try_start(now), None);
}
