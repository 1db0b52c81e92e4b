//! Tests the rate limit of a target that may become cold at any time.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use yuccarack_policy::{
    cold_rate::{ColdBound, ColdRate, WINDOW},
    work_queue::{
        QueueDecision, QueueRefusalReason, WaitResult, WorkOutcome, WorkQueue, WorkRequest,
    },
};

/// The second of the operators' rule.
const SECOND: Duration = Duration::from_secs(1);

/// Requests that a cold target may get in a second in these tests.
const REQUESTS_MAX: usize = 29;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn bound() -> ColdBound {
    ColdBound::new(14_000, 150, 8).expect("a bound")
}

fn limited(started_at: Instant) -> ColdRate {
    let mut rate = ColdRate::new(started_at).with_spread(true);
    rate.set_bound(Some(bound()));
    rate
}

/// Returns the most of `arrivals` within any one second.
fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let from =
        |first: Instant| arrivals.iter().filter(move |at| (first..first + SECOND).contains(*at));
    arrivals.iter().map(|first| from(*first).count()).max().unwrap_or(0)
}

/// Load on a target that becomes cold now and then.
#[derive(Clone, Debug)]
struct Load {
    /// Requests in each 100 ms.
    offered: Vec<u8>,
    /// Tenths of a second at which the target becomes cold, each time for three seconds.
    cold_from: Vec<u8>,
    /// Time of each request from the decision to the target, in ms.
    dispatch_delay_ms: Vec<u8>,
    /// Tenths of a second at which the daemon is stopped for 130 ms, at least three apart.
    stalls: Vec<u8>,
    /// Duration of a health check, in ms.
    health_check_ms: u8,
    is_spread: bool,
}

impl Arbitrary for Load {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let random = |gen_: &mut Gen, limit: u8, count: usize| {
            (0..count).map(|_| u8::arbitrary(gen_) % limit).collect::<Vec<_>>()
        };
        Self {
            offered: random(gen_, 30, 100),
            cold_from: random(gen_, 100, 3),
            dispatch_delay_ms: random(gen_, 20, 64),
            stalls: random(gen_, 33, 5).into_iter().map(|third| third * 3).collect(),
            health_check_ms: u8::arbitrary(gen_) % 100,
            is_spread: bool::arbitrary(gen_),
        }
    }
}

impl Load {
    fn is_cold(&self, at_ms: u64) -> bool {
        let from = self.cold_from.iter().map(|tenth| u64::from(*tenth) * 100);
        from.clone().any(|from| (from..from + 3_000).contains(&at_ms))
    }

    /// Returns the end of the stop of the daemon at `at_ms`, if it is stopped then.
    fn stalled_until(&self, at_ms: u64) -> Option<u64> {
        let from = self.stalls.iter().map(|tenth| u64::from(*tenth) * 100);
        from.filter(|from| (*from..from + 130).contains(&at_ms)).map(|from| from + 130).max()
    }

    /// Simulates the load and returns when requests reach the target while it is cold.
    fn simulate(&self) -> Vec<Instant> {
        let start = Instant::now();
        // The window after the start of this process is over when the load begins.
        let mut rate =
            limited(start.checked_sub(WINDOW).expect("a machine that is up for seconds"));
        rate = rate.with_spread(self.is_spread);
        let (mut arrivals, mut health_check, mut sent) = (Vec::new(), None, 0);
        for at_ms in 0..10_000 {
            let now = start + ms(at_ms);
            if self.stalled_until(at_ms).is_some() {
                continue;
            }
            if let Some((asked_ms, answered_ms)) = health_check
                && answered_ms <= at_ms
            {
                health_check = None;
                match self.is_cold(asked_ms) {
                    true => rate.set_cold_until(now + ms(500)),
                    false => rate.set_warm(start + ms(asked_ms)),
                }
            }
            if health_check.is_none()
                && rate.health_check_due_at(now).is_some_and(|due_at| due_at <= now)
            {
                rate.record_health_check(now);
                health_check = Some((at_ms, at_ms + u64::from(self.health_check_ms)));
            }
            let offered = u64::from(self.offered[at_ms as usize / 100]);
            let is_offered = at_ms * offered / 100 != (at_ms + 1) * offered / 100;
            if is_offered && rate.next_dispatch_at(now).is_none() {
                rate.record_dispatch(now);
                let arrives_ms = at_ms + u64::from(self.dispatch_delay_ms[sent % 64]);
                let arrives_ms = self.stalled_until(arrives_ms).unwrap_or(arrives_ms);
                sent += 1;
                if self.is_cold(arrives_ms) {
                    arrivals.push(start + ms(arrives_ms));
                }
            }
        }
        arrivals
    }
}

quickcheck! {
    /// Guards against a target that crashes because its gate learns late that it is cold.
    fn a_cold_target_gets_no_more_than_the_bound_whenever_it_becomes_cold(load: Load) -> bool {
        most_in_a_second(&load.simulate()) <= REQUESTS_MAX
    }
}

/// Guards against bounds that are rounded up and against a missing rate.
#[test]
fn the_bound_follows_the_rules_and_needs_a_rate() {
    assert_eq!(bound().requests(), REQUESTS_MAX);
    assert_eq!(ColdBound::new(0, 150, 8), None);
    assert_eq!(ColdBound::new(1, 0, 0).map(ColdBound::requests), Some(1));
    assert_eq!(ColdBound::new(2_500, 100, 0).map(ColdBound::requests), Some(2));
    assert!(ColdBound::new(u32::MAX, u32::MAX, u32::MAX).is_some());
}

/// Guards against holding back a target that a health check has shown to be warm.
#[test]
fn a_target_shown_to_be_warm_gets_all_requests() {
    let start = Instant::now();
    let mut rate = limited(start);
    rate.set_warm(start + ms(1));
    for number in 0..1_000 {
        let now = start + ms(2 + number * 5);
        if rate.health_check_due_at(now).is_some_and(|due_at| due_at <= now) {
            rate.record_health_check(now);
            rate.set_warm(now);
        }
        assert_eq!(rate.next_dispatch_at(now), None, "request {number}");
        rate.record_dispatch(now);
    }
}

/// Guards against a daemon that is killed and restarts at once, whose target would get the requests
/// of two processes in one second.
#[test]
fn a_process_that_has_just_started_dispatches_nothing_to_an_unknown_target() {
    let start = Instant::now();
    let mut rate = limited(start);
    assert_eq!(rate.next_dispatch_at(start + ms(1)), Some(start + WINDOW));
    assert!(rate.health_check_due_at(start + ms(1)).is_some());
    rate.set_cold_until(start + ms(3_000));
    assert_eq!(rate.next_dispatch_at(start + ms(1)), Some(start + WINDOW));
    assert_eq!(rate.next_dispatch_at(start + WINDOW), None);
    rate.set_warm(start + ms(2));
    assert_eq!(rate.next_dispatch_at(start + ms(3)), None);
}

/// Guards against targets that idle after a power loss because a previous process of their daemons
/// might have loaded them: it ended before they started.
#[test]
fn a_target_that_starts_with_its_daemon_gets_requests_at_once() {
    let start = Instant::now();
    let mut rate = limited(start);
    rate.set_cold_until(start + ms(3_000));
    rate.set_cold_from(start + ms(5));
    assert_eq!(rate.next_dispatch_at(start + ms(10)), None);
}

/// Guards against two processes of a daemon that together overload a target that became cold before
/// the second one started.
#[test]
fn dispatches_of_an_earlier_process_to_a_cold_target_count() {
    for cold_for in [1, 20, 100, 400, 900, 2_000] {
        let cold_from = Instant::now();
        let start = cold_from + ms(cold_for);
        let mut before = limited(cold_from.checked_sub(WINDOW).expect("a machine that is up"));
        before.set_cold_until(cold_from + ms(3_000));
        let mut after = limited(start);
        after.set_cold_until(cold_from + ms(3_000));
        after.set_cold_from(cold_from);
        let mut arrivals = Vec::new();
        for at_ms in 0..3_000 {
            let now = cold_from + ms(at_ms);
            let rate = if now < start { &mut before } else { &mut after };
            if rate.next_dispatch_at(now).is_none() {
                rate.record_dispatch(now);
                arrivals.push(now);
            }
        }
        let observed = most_in_a_second(&arrivals);
        assert!(observed <= REQUESTS_MAX, "{observed} in a second, cold for {cold_for} ms");
    }
}

/// Guards against an old heartbeat that ends a cold time reported by a health check.
#[test]
fn a_heartbeat_never_ends_a_cold_time() {
    let now = Instant::now();
    let mut rate = limited(now);
    rate.set_cold_until(now + ms(2_000));
    rate.extend_cold_until(now);
    assert!(rate.is_cold(now + ms(1_999)));
}

/// Returns a long request that may wait for two seconds.
fn request(now: Instant, rank: u8) -> WorkRequest {
    WorkRequest {
        kind: rank.into(),
        rank,
        organisation: None,
        soft_deadline: now + ms(500),
        deadline: now + ms(2_000),
        may_wait: true,
    }
}

fn cold_queue(start: Instant) -> WorkQueue {
    let mut rate = limited(start);
    rate.set_warm(start + ms(1));
    rate.set_cold_until(start + ms(3_000));
    WorkQueue::new(18).with_decisions(Default::default()).with_cold_rate(rate)
}

/// Guards against urgent requests that wait for the rest of a second because others have used up
/// all that a cold target may get within the first tenths.
#[test]
fn an_urgent_request_is_served_in_time_at_an_overloaded_cold_target() {
    let start = Instant::now();
    let mut queue = cold_queue(start);
    let (mut ran, mut lost) = (0, 0);
    let mut urgent_waits = Vec::new();
    for at_ms in 0..2_500 {
        let now = start + ms(at_ms);
        let results = queue.poll(now);
        for result in results {
            if let WaitResult::Run(waiting, run) = result {
                urgent_waits.retain(|(key, since): &(_, Instant)| {
                    let is_started = *key == waiting;
                    assert!(
                        !is_started || now.duration_since(*since) <= ms(200),
                        "waited for too long"
                    );
                    !is_started
                });
                queue.release(now, run, WorkOutcome::Aborted);
                ran += 1;
            }
        }
        if at_ms % 16 == 0 {
            match queue.offer(now, request(now, 2)) {
                QueueDecision::Run(run) => queue.release(now, run, WorkOutcome::Aborted),
                QueueDecision::Wait(_) | QueueDecision::Refused(_) => {}
            }
        }
        if at_ms % 100 == 50 {
            match queue.offer(now, request(now, 0)) {
                QueueDecision::Run(run) => queue.release(now, run, WorkOutcome::Aborted),
                QueueDecision::Wait(key) => urgent_waits.push((key, now)),
                QueueDecision::Refused(_) => lost += 1,
            }
        }
    }
    assert_eq!(lost, 0);
    assert!(ran > 10, "{ran} ran after a wait");
}

/// Guards against requests that are held at a cold target until they are late, or told to retry at
/// a time when it still has no room.
#[test]
fn requests_beyond_the_cold_rate_are_passed_on_or_retried_when_warm() {
    let start = Instant::now();
    let mut queue = cold_queue(start);
    for _ in 0..4 {
        assert!(matches!(queue.offer(start, request(start, 1)), QueueDecision::Run(_)));
    }
    let elsewhere = WorkRequest { may_wait: false, ..request(start, 1) };
    let QueueDecision::Refused(refusal) = queue.offer(start, elsewhere) else {
        panic!("not rejected")
    };
    assert_eq!(refusal.reason, QueueRefusalReason::Cold);
    let waiting = (0..100)
        .filter(|_| matches!(queue.offer(start, request(start, 1)), QueueDecision::Wait(_)));
    let waiting = waiting.count();
    // Those that start within half a second at 25 a second.
    assert!((1..=13).contains(&waiting), "{waiting} wait");
    let QueueDecision::Refused(refusal) = queue.offer(start, request(start, 1)) else {
        panic!("not rejected")
    };
    assert!(refusal.retry_after >= ms(2_000), "{:?}", refusal.retry_after);
}

/// Guards against entries that take a cold target for an idle one because few requests run there.
#[test]
fn a_cold_target_reports_the_concurrency_of_its_rate() {
    let start = Instant::now();
    let queue = cold_queue(start);
    // 25 requests a second of 100 ms each, which take twice as long while the target is cold.
    assert_eq!(queue.effective_limit(start), 5);
    assert_eq!(queue.effective_limit(start + ms(3_001)), queue.limit());
}

/// Guards against urgent requests that a cold target rejects because short ones, called on behalf
/// of less urgent requests, use up all that it may get.
#[test]
fn a_cold_target_runs_urgent_requests_before_short_ones() {
    let start = Instant::now();
    let mut queue = WorkQueue::new(18);
    let (urgent, short) = (0, 1);
    for number in 0..100 {
        let service_time = if number % 2 == 0 { ms(180) } else { ms(60) };
        let QueueDecision::Run(run) = queue.offer(start, request(start, (number % 2) as u8)) else {
            panic!("an idle queue")
        };
        queue.release(start + service_time, run, WorkOutcome::Completed);
    }
    let mut rate = limited(start);
    rate.set_warm(start + ms(1));
    rate.set_cold_until(start + ms(3_000));
    let mut queue = queue.with_cold_rate(rate);
    let now = start + ms(10);
    for _ in 0..4 {
        assert!(matches!(queue.offer(now, request(now, short)), QueueDecision::Run(_)));
    }
    let long_waiting = |rank| WorkRequest { soft_deadline: now + ms(1_000), ..request(now, rank) };
    let QueueDecision::Wait(_) = queue.offer(now, long_waiting(short)) else { panic!("refused") };
    let QueueDecision::Wait(first) = queue.offer(now, long_waiting(urgent)) else {
        panic!("refused")
    };
    let results = queue.poll(now + WINDOW / 5);
    let Some(WaitResult::Run(started, _)) = results.first() else { panic!("{results:?}") };
    assert_eq!(*started, first);
}
