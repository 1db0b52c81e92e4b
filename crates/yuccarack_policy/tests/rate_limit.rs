//! Requests to targets that announce a rate limit: what the gate's queue lets through, refuses and
//! promises, on a virtual clock.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use yuccarack_config::announcement::{LimitReport, RequestRate};
use yuccarack_policy::{
    rate_limit::{HEALTH_CHECK_INTERVAL, RateLimit, ReportSource, TRIAL_INTERVAL},
    work_queue::{
        QueueDecision, QueueRefusal, QueueRefusalReason, WaitResult, WorkOutcome, WorkQueue,
        WorkRequest,
    },
};

/// Service time of each request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time step of the simulated load.
const STEP: Duration = Duration::from_millis(2);

/// Coarser time step of loads of which many are simulated.
const LONG_STEP: Duration = Duration::from_millis(10);

/// Window of the users' rule, with its factor on the limit and its further requests.
const WINDOW: Duration = Duration::from_secs(4);
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

fn limited(per_s: f64) -> LimitReport {
    LimitReport::Limited(RequestRate::new((per_s * 1_000.0) as u32))
}

fn request(now: Instant, may_wait: bool) -> WorkRequest {
    let (soft_deadline, deadline) = (now + Duration::from_millis(400), now + 4 * SERVICE_TIME * 20);
    WorkRequest { kind: 1, rank: 0, organisation: None, soft_deadline, deadline, may_wait }
}

/// Returns a queue whose target announces `report`.
fn queue(now: Instant, report: LimitReport) -> WorkQueue {
    let mut queue = WorkQueue::new(9);
    queue.rate_limit_mut().record(now, now, ReportSource::Request, report);
    queue
}

fn refusal(decision: QueueDecision) -> QueueRefusal {
    match decision {
        QueueDecision::Refused(refusal) => refusal,
        QueueDecision::Run(_) | QueueDecision::Wait(_) => panic!("not refused"),
    }
}

/// A target under a load far above its limit, with a virtual clock.
struct Load {
    queue: WorkQueue,
    now: Instant,
    step: Duration,
    running: Vec<(Instant, yuccarack_policy::work_queue::RunningKey)>,
    dispatched: Vec<Instant>,
    refused: usize,
}

impl Load {
    fn new(report: LimitReport) -> Self {
        let now = Instant::now();
        let (running, dispatched) = (Vec::new(), Vec::new());
        Self { queue: queue(now, report), now, step: STEP, running, dispatched, refused: 0 }
    }

    fn report(&mut self, report: LimitReport) {
        self.queue.rate_limit_mut().record(self.now, self.now, ReportSource::Request, report);
    }

    /// Offers one request that may wait and one that may not at each step.
    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += self.step;
            let (done, running) =
                std::mem::take(&mut self.running).into_iter().partition(|(at, _)| *at <= self.now);
            self.running = running;
            for (_, key) in done {
                self.queue.release(self.now, key, WorkOutcome::Completed);
            }
            for result in self.queue.poll(self.now) {
                match result {
                    WaitResult::Run(_, key) => self.start(key),
                    WaitResult::Refused(..) => self.refused += 1,
                }
            }
            for may_wait in [true, false] {
                match self.queue.offer(self.now, request(self.now, may_wait)) {
                    QueueDecision::Run(key) => self.start(key),
                    QueueDecision::Wait(_) => {}
                    QueueDecision::Refused(_) => self.refused += 1,
                }
            }
        }
    }

    fn start(&mut self, key: yuccarack_policy::work_queue::RunningKey) {
        self.dispatched.push(self.now);
        self.running.push((self.now + SERVICE_TIME, key));
    }

    fn dispatched_since(&self, from: Instant) -> usize {
        self.dispatched.iter().filter(|at| **at >= from).count()
    }

    fn most_in_window(&self, from: Instant) -> usize {
        let counted: Vec<Instant> =
            self.dispatched.iter().copied().filter(|at| *at >= from).collect();
        let in_window = |start: &Instant| {
            counted.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
        };
        counted.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Guards against a crowd that fills a limited target, and against a limit that is hardly used.
#[test]
fn a_limited_target_gets_its_limit_and_no_more() {
    for per_s in [0.25, 0.5, 1.0, 6.9, 10.5, 100.0] {
        let mut load = Load::new(limited(per_s));
        load.run(3 * WINDOW);
        let from = load.now - WINDOW;
        let count = load.dispatched_since(from) as f64;
        let expected = per_s * WINDOW.as_secs_f64();
        assert!((expected - 1.0..=expected * 1.07 + 1.0).contains(&count), "{count} at {per_s}/s");
        let allowed = (EXCESS_FACTOR * expected + EXCESS_REQUESTS) as usize;
        let most = load.most_in_window(load.dispatched[0]);
        assert!(most <= allowed, "{most} at {per_s}/s");
    }
}

/// Guards against a second's worth of requests at once to a target in need.
#[test]
fn requests_to_a_limited_target_are_spaced() {
    let mut load = Load::new(limited(20.0));
    load.run(WINDOW);
    for (earlier, later) in load.dispatched.iter().zip(&load.dispatched[8..]) {
        let time = *later - *earlier;
        assert!(time >= Duration::from_millis(100), "9 requests in {time:?}");
    }
}

#[test]
fn a_limit_that_falls_applies_at_once() {
    let mut load = Load::new(limited(40.0));
    load.run(WINDOW);
    load.report(limited(2.0));
    let from = load.now;
    load.run(WINDOW);
    let count = load.dispatched_since(from);
    assert!((7..=10).contains(&count), "{count} requests");
}

/// Guards against a request that is due far in the future by a limit that has risen since.
#[test]
fn a_limit_that_rises_or_ends_applies_at_once() {
    let mut load = Load::new(limited(0.1));
    load.run(Duration::from_secs(1));
    load.report(limited(20.0));
    let from = load.now;
    load.run(Duration::from_secs(1));
    let count = load.dispatched_since(from);
    assert!((19..=26).contains(&count), "{count} requests");
    load.report(LimitReport::Unlimited);
    let from = load.now;
    load.run(Duration::from_secs(1));
    assert!(load.dispatched_since(from) > 300, "{} requests", load.dispatched_since(from));
}

#[test]
fn a_malformed_limit_leaves_the_one_before_in_force() {
    let now = Instant::now();
    let mut limit = RateLimit::new();
    assert!(limit.record(now, now, ReportSource::Request, limited(5.0)));
    assert!(!limit.record(now, now, ReportSource::Request, LimitReport::Malformed));
    assert_eq!(limit.rate(), Some(RequestRate::new(5_000)));
}

/// Guards against a limit that ends by a response from before its announcement, read after it.
#[test]
fn a_response_to_an_earlier_request_does_not_end_a_limit() {
    let sent_at = Instant::now();
    let announced_at = sent_at + Duration::from_millis(50);
    let later = announced_at + Duration::from_millis(1);
    let mut limit = RateLimit::new();
    limit.record(announced_at, sent_at, ReportSource::Request, limited(5.0));
    assert!(!limit.record(later, sent_at, ReportSource::Request, LimitReport::Unlimited));
    assert!(limit.rate().is_some());
    assert!(limit.record(later, announced_at, ReportSource::Request, LimitReport::Unlimited));
    assert_eq!(limit.rate(), None);
}

/// Guards against a health check without the announcement that ends a limit which only responses to
/// requests carry.
#[test]
fn health_checks_end_a_limit_only_if_they_announce_it() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limit = RateLimit::new();
    limit.record(at(0), at(0), ReportSource::Request, limited(5.0));
    assert!(!limit.record(at(9), at(8), ReportSource::HealthCheck, LimitReport::Unlimited));
    limit.record(at(19), at(18), ReportSource::HealthCheck, limited(5.0));
    assert!(limit.record(at(29), at(28), ReportSource::HealthCheck, LimitReport::Unlimited));
}

/// Guards against requests to a target that takes none, and against one that gets none for ever
/// because nothing shows that its limit has ended.
#[test]
fn a_limit_of_zero_lets_a_trial_through_unless_health_checks_report_it() {
    let mut load = Load::new(limited(0.0));
    load.run(TRIAL_INTERVAL - STEP);
    assert_eq!(load.dispatched.len(), 0);
    load.run(TRIAL_INTERVAL);
    assert_eq!(load.dispatched.len(), 1);
    let now = load.now;
    load.queue.rate_limit_mut().record(now, now, ReportSource::HealthCheck, limited(0.0));
    load.run(3 * TRIAL_INTERVAL);
    assert_eq!(load.dispatched.len(), 1);
    let refused = refusal(load.queue.offer(load.now, request(load.now, true)));
    assert_eq!(refused.reason, QueueRefusalReason::RateLimited);
}

/// Guards against a limited target that is queried by health checks as often as others are.
#[test]
fn a_limited_target_is_queried_once_a_second() {
    let start = Instant::now();
    let mut limit = RateLimit::new();
    assert_eq!(limit.health_check_due_at(), None);
    assert_eq!(limit.health_check_allowed_at(), None);
    limit.record(start, start, ReportSource::Request, limited(0.2));
    let due_at = start + HEALTH_CHECK_INTERVAL;
    assert_eq!(limit.health_check_due_at(), Some(due_at));
    limit.record_health_check(due_at);
    assert_eq!(limit.health_check_due_at(), Some(due_at + HEALTH_CHECK_INTERVAL));
    assert_eq!(limit.health_check_allowed_at(), Some(due_at + HEALTH_CHECK_INTERVAL));
}

/// Guards against requests that wait out their deadline at a limited target, and against a
/// `Retry-After` before its limit has room.
#[test]
fn what_a_limit_does_not_admit_is_refused_at_once_with_the_time_of_its_turn() {
    let now = Instant::now();
    let mut queue = queue(now, limited(0.5));
    assert!(matches!(queue.offer(now, request(now, true)), QueueDecision::Run(_)));
    for may_wait in [false, true] {
        let refused = refusal(queue.offer(now, request(now, may_wait)));
        assert_eq!(refused.reason, QueueRefusalReason::RateLimited);
        let returns_at = now + refused.retry_after;
        assert!(refused.retry_after > Duration::from_secs(1), "{:?}", refused.retry_after);
        let decision = queue.clone().offer(returns_at, request(returns_at, false));
        assert!(matches!(decision, QueueDecision::Run(_)), "{decision:?}");
    }
}

/// Guards against requests that wait in the queue for a turn that a lower limit has moved beyond
/// their deadline.
#[test]
fn requests_that_wait_are_refused_when_the_limit_falls() {
    let now = Instant::now();
    let mut queue = queue(now, limited(10.0));
    assert!(matches!(queue.offer(now, request(now, true)), QueueDecision::Run(_)));
    let mut waiting = 0;
    while matches!(queue.offer(now, request(now, true)), QueueDecision::Run(_)) {}
    while matches!(queue.offer(now, request(now, true)), QueueDecision::Wait(_)) {
        waiting += 1;
    }
    assert!(waiting > 0);
    queue.rate_limit_mut().record(now, now, ReportSource::Request, limited(0.5));
    let refused = queue.poll(now).len();
    assert!(refused > 0 && queue.waiting() <= 1, "{refused} refused, {} wait", queue.waiting());
}

/// Guards against a restarted gate that forgets a limit which entries know, and against one that
/// holds its target to a limit that has ended meanwhile.
#[test]
fn a_limit_known_to_entries_holds_until_the_first_response() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limit = RateLimit::unreported(start);
    assert!(limit.adopt(at(0), RequestRate::new(2_000)));
    assert!(!limit.adopt(at(0), RequestRate::new(2_000)));
    assert_eq!(limit.next_dispatch_at(at(0)), Some(at(500)));
    let mut queried = RateLimit::unreported(start);
    queried.record(at(0), at(0), ReportSource::HealthCheck, limited(9.0));
    assert!(!queried.adopt(at(1), RequestRate::new(2_000)), "an older limit replaced a newer one");
    limit.record_dispatch(at(500));
    assert!(limit.record(at(520), at(500), ReportSource::Request, LimitReport::Unlimited));
    assert!(!limit.adopt(at(530), RequestRate::new(2_000)));
    assert_eq!(limit.rate(), None);
}

/// Guards against a gate that restarts beside a limited target and fills its slots before the first
/// response.
#[test]
fn a_target_is_queried_before_its_slots_are_filled() {
    let now = Instant::now();
    let mut queue = WorkQueue::new(9).with_rate_limit(RateLimit::unreported(now));
    assert_eq!(queue.rate_limit().health_check_due_at(), Some(now));
    let runs = |queue: &mut WorkQueue| {
        let offer =
            |_: &usize| matches!(queue.offer(now, request(now, false)), QueueDecision::Run(_));
        (0..20).take_while(offer).count()
    };
    assert_eq!(runs(&mut queue), 1);
    let mut limited_queue = queue.clone();
    let limit = limited_queue.rate_limit_mut();
    limit.record(now, now, ReportSource::HealthCheck, limited(2.0));
    limit.record_health_check_end();
    assert_eq!(limit.next_dispatch_at(now), Some(now + Duration::from_millis(500)));
    assert_eq!(runs(&mut limited_queue), 0);
    queue.rate_limit_mut().record_health_check_end();
    assert_eq!(runs(&mut queue), 6);
}

/// Guards against short requests on behalf of less urgent ones that take all that a limited target
/// still gets.
#[test]
fn the_most_urgent_request_goes_first_at_a_limited_target() {
    let start = Instant::now();
    let mut queue = WorkQueue::new(9);
    let of_kind = |now: Instant, kind, rank| WorkRequest { kind, rank, ..request(now, true) };
    let mut now = start;
    for (kind, time) in [(1, 10), (2, 200)].into_iter().cycle().take(40) {
        let QueueDecision::Run(key) = queue.offer(now, of_kind(now, kind, 0)) else {
            panic!("no free slot");
        };
        now += Duration::from_millis(time);
        queue.release(now, key, WorkOutcome::Completed);
    }
    queue.rate_limit_mut().record(now, now, ReportSource::Request, limited(10.0));
    while matches!(queue.offer(now, of_kind(now, 1, 0)), QueueDecision::Run(_)) {}
    queue.poll(now);
    let (short, urgent) = (of_kind(now, 1, 5), of_kind(now, 2, 1));
    let keys = [short, urgent].map(|request| match queue.offer(now, request) {
        QueueDecision::Wait(key) => key,
        other => panic!("{other:?}"),
    });
    now += Duration::from_millis(210);
    let order: Vec<_> = queue
        .poll(now)
        .into_iter()
        .map(|result| match result {
            WaitResult::Run(key, _) | WaitResult::Refused(key, _) => key,
        })
        .collect();
    let at = |key| order.iter().position(|ran| *ran == key);
    assert!(at(keys[1]).is_some(), "{order:?}");
    assert!(at(keys[0]).is_none_or(|short| Some(short) > at(keys[1])), "{order:?}");
}

quickcheck! {
    /// No sequence of limits lets more through than the highest of them allows.
    fn any_sequence_of_limits_stays_within_the_highest(rates: Vec<u8>) -> bool {
        let Some(highest) = rates.iter().copied().max() else { return true };
        let mut load = Load { step: LONG_STEP, ..Load::new(limited(f64::from(rates[0]))) };
        for rate in rates.iter().take(6) {
            load.report(limited(f64::from(*rate)));
            load.run(Duration::from_millis(700));
        }
        let expected = f64::from(highest) * WINDOW.as_secs_f64();
        load.most_in_window(load.now - 2 * WINDOW) as f64 <= EXCESS_FACTOR * expected + EXCESS_REQUESTS
    }
}
