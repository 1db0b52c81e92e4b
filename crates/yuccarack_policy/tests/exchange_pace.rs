//! Callers of a popular service don't cost its members more than a few do.

use std::time::{Duration, Instant};

use yuccarack_policy::exchange_interval::{
    EXCHANGE_INTERVAL_MIN, EXCHANGES_PER_S_MAX, ExchangeInterval,
};

/// Plays callers that come again when they're told to; gives back the questions of the last third
/// in a second.
fn questions_per_s(callers: u32, play: Duration) -> f64 {
    let start = Instant::now();
    let mut pace = ExchangeInterval::new(start);
    let spread = EXCHANGE_INTERVAL_MIN / callers;
    let mut next: Vec<Duration> = (0..callers).map(|number| spread * number).collect();
    let late = play * 2 / 3;
    let mut late_questions = 0_u32;
    while let Some((caller, at)) = next.iter().copied().enumerate().min_by_key(|(_, at)| *at) {
        if at >= play {
            break;
        }
        late_questions += u32::from(at >= late);
        // Callers differ a little, as they do by their jitter.
        let differs = Duration::from_millis(u64::try_from(caller % 7).unwrap_or(0) * 100);
        next[caller] = at + pace.record_request(start + at) + differs;
    }
    f64::from(late_questions) / (play - late).as_secs_f64()
}

#[test]
fn a_few_callers_may_come_at_the_shortest_pace() {
    let seen = questions_per_s(2, Duration::from_secs(300));
    assert!((0.5..=0.8).contains(&seen), "{seen}");
}

/// Most of the fleet calls one small service. Each caller is right to ask now and then; together
/// they'd cost a member several times its budget, for as long as they run.
#[test]
fn many_callers_are_slowed_to_what_a_member_bears() {
    let seen = questions_per_s(220, Duration::from_secs(3_000));
    assert!(seen <= 1.5 * EXCHANGES_PER_S_MAX, "{seen}");
    assert!(seen >= 0.5 * EXCHANGES_PER_S_MAX, "{seen}");
}

/// The callers go. Those that are left may come as often as before.
#[test]
fn the_pace_recovers_when_callers_go() {
    let start = Instant::now();
    let mut pace = ExchangeInterval::new(start);
    let mut now = start;
    for _ in 0..2_000 {
        now += Duration::from_millis(20);
        pace.record_request(now);
    }
    assert!(pace.record_request(now) > EXCHANGE_INTERVAL_MIN * 10);
    for _ in 0..200 {
        now += Duration::from_secs(10);
        pace.record_request(now);
    }
    assert_eq!(pace.record_request(now), EXCHANGE_INTERVAL_MIN);
}
