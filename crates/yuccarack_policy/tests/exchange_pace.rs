//! Tests that the many callers of a popular service cost its members no more than a few do.

use std::time::{Duration, Instant};

use yuccarack_policy::exchange_interval::{
    EXCHANGE_INTERVAL_MIN, EXCHANGES_PER_S_MAX, ExchangeInterval,
};

/// Simulates callers that come again when they are told to. Returns the requests a second within
/// the last third of the time.
fn requests_per_s(callers: u32, duration: Duration) -> f64 {
    let start = Instant::now();
    let mut interval = ExchangeInterval::new(start);
    let spread = EXCHANGE_INTERVAL_MIN / callers;
    let mut next: Vec<Duration> = (0..callers).map(|number| spread * number).collect();
    let late = duration * 2 / 3;
    let mut late_requests = 0_u32;
    while let Some((caller, at)) = next.iter().copied().enumerate().min_by_key(|(_, at)| *at) {
        if at >= duration {
            break;
        }
        late_requests += u32::from(at >= late);
        // Callers differ a little, as they do by their jitter.
        let jitter = Duration::from_millis(u64::try_from(caller % 7).unwrap_or(0) * 100);
        next[caller] = at + interval.record_request(start + at) + jitter;
    }
    f64::from(late_requests) / (duration - late).as_secs_f64()
}

#[test]
fn a_few_callers_may_come_at_the_shortest_interval() {
    let rate = requests_per_s(2, Duration::from_secs(300));
    assert!((0.5..=0.8).contains(&rate), "{rate}");
}

/// Most of the fleet calls one small service. Each caller rightly exchanges updates now and then;
/// together they would cost a member several times its budget for as long as they run.
#[test]
fn many_callers_are_limited_to_what_a_member_serves() {
    let rate = requests_per_s(220, Duration::from_secs(3_000));
    assert!(rate <= 1.5 * EXCHANGES_PER_S_MAX, "{rate}");
    assert!(rate >= 0.5 * EXCHANGES_PER_S_MAX, "{rate}");
}

/// Most callers leave. The remaining ones may come as often as before.
#[test]
fn the_interval_recovers_when_callers_leave() {
    let start = Instant::now();
    let mut interval = ExchangeInterval::new(start);
    let mut now = start;
    for _ in 0..2_000 {
        now += Duration::from_millis(20);
        interval.record_request(now);
    }
    assert!(interval.record_request(now) > EXCHANGE_INTERVAL_MIN * 10);
    for _ in 0..200 {
        now += Duration::from_secs(10);
        interval.record_request(now);
    }
    assert_eq!(interval.record_request(now), EXCHANGE_INTERVAL_MIN);
}
