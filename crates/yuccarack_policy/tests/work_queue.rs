//! Tests what a gate's queue runs, queues and rejects.

use std::time::{Duration, Instant};

use yuccarack_policy::work_queue::{
    QueueDecision, QueueRefusalReason, RunningKey, WaitResult, WorkOutcome, WorkQueue, WorkRequest,
};

const READ: u64 = 1;
const ORDER: u64 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(now: Instant, kind: u64) -> WorkRequest {
    WorkRequest {
        kind,
        organisation: None,
        rank: 1,
        soft_deadline: now + ms(500),
        deadline: now + ms(2_000),
        may_wait: true,
    }
}

/// Returns a queue of nine slots that has learned a read's service time of 100 ms and is full.
fn full_queue(now: Instant) -> (WorkQueue, Vec<RunningKey>) {
    let mut queue = WorkQueue::new(9);
    for _ in 0..50 {
        let QueueDecision::Run(key) = queue.offer(now, request(now, READ)) else { panic!("room") };
        queue.release(now + ms(100), key, WorkOutcome::Completed);
    }
    let running = (0..queue.limit()).map(|_| match queue.offer(now, request(now, READ)) {
        QueueDecision::Run(key) => key,
        other => panic!("not run: {other:?}"),
    });
    let running = running.collect();
    (queue, running)
}

fn started_count(results: &[WaitResult]) -> usize {
    results.iter().filter(|result| matches!(result, WaitResult::Run(..))).count()
}

/// Targets are 1.7 times slower with more than four fifths of their slots in use. A gate that used
/// all nine would complete 9 / 1.7 = 5.3 requests in the time of seven.
#[test]
fn four_fifths_of_a_targets_slots_are_used() {
    assert_eq!(WorkQueue::new(9).limit(), 7);
    assert_eq!(WorkQueue::new(8).limit(), 6);
    assert_eq!(WorkQueue::new(1).limit(), 1);
}

#[test]
fn a_request_that_may_not_wait_is_rejected_at_once_by_a_full_queue() {
    let now = Instant::now();
    let (mut queue, _) = full_queue(now);
    let QueueDecision::Refused(refusal) =
        queue.offer(now, WorkRequest { may_wait: false, ..request(now, READ) })
    else {
        panic!("not rejected");
    };
    assert_eq!(refusal.reason, QueueRefusalReason::Full);
}

/// Guards against queues of late responses after a power loss, when no gate knows any service time.
#[test]
fn a_new_queue_holds_what_can_meet_its_soft_deadline() {
    let now = Instant::now();
    let mut queue = WorkQueue::new(8);
    let read = WorkRequest {
        soft_deadline: now + ms(1_000),
        deadline: now + ms(1_300),
        ..request(now, READ)
    };
    let mut waiting = 0;
    for _ in 0..60 {
        waiting += usize::from(matches!(queue.offer(now, read), QueueDecision::Wait(_)));
    }
    // Six run for a third of a second, and twelve more can meet their soft deadline after them.
    assert!((6..=18).contains(&waiting), "{waiting} wait");
}

/// Guards against rejections after a power loss that come from counting the slowdown of freshly
/// started targets twice.
#[test]
fn the_slowdown_that_a_cold_target_reports_is_not_counted_twice() {
    let now = Instant::now();
    let (mut queue, _) = full_queue(now);
    queue.cold_rate_mut().set_cold_until(now + ms(3_000));
    queue.record_slowdown(now, 2.0);
    let urgent =
        WorkRequest { soft_deadline: now + ms(350), deadline: now + ms(400), ..request(now, READ) };
    assert!(matches!(queue.offer(now, urgent), QueueDecision::Wait(_)));
}

/// Guards against requests that a cold target can't answer in time, before it has reported a
/// slowdown.
#[test]
fn a_cold_target_counts_as_slow_before_it_reports_a_slowdown() {
    let now = Instant::now();
    let (mut queue, _) = full_queue(now);
    queue.cold_rate_mut().set_cold_until(now + ms(3_000));
    let urgent =
        WorkRequest { soft_deadline: now + ms(150), deadline: now + ms(200), ..request(now, READ) };
    let QueueDecision::Refused(refusal) = queue.offer(now, urgent) else { panic!("not rejected") };
    assert_eq!(refusal.reason, QueueRefusalReason::CannotEndInTime);
}

/// Other load slows a target down fourfold for a third of a second. A request that could go to
/// another target is passed on; at the last attempt it is accepted.
#[test]
fn a_slow_target_passes_on_what_could_go_elsewhere() {
    let now = Instant::now();
    let mut queue = WorkQueue::new(9);
    queue.record_slowdown(now, 4.0);
    let elsewhere = WorkRequest { may_wait: false, ..request(now, READ) };
    let QueueDecision::Refused(refusal) = queue.offer(now, elsewhere) else {
        panic!("not rejected")
    };
    assert_eq!(refusal.reason, QueueRefusalReason::Slow);
    assert!(matches!(queue.offer(now, request(now, READ)), QueueDecision::Run(_)));
    // Half a second later the report has little weight.
    let later = now + ms(800);
    let elsewhere = WorkRequest { may_wait: false, ..request(later, READ) };
    assert!(matches!(queue.offer(later, elsewhere), QueueDecision::Run(_)));
}

/// A burst brings ten times what a target can do. Requests held until their deadline would take
/// places in the queue without ever being answered, and their callers could not retry. So those
/// that can't be answered are rejected at once, with a time after which to retry.
#[test]
fn a_request_that_cannot_end_in_time_is_rejected_at_once() {
    let now = Instant::now();
    let (mut queue, _) = full_queue(now);
    let mut refused = 0;
    for _ in 0..300 {
        if let QueueDecision::Refused(refusal) = queue.offer(now, request(now, READ)) {
            assert!(refusal.retry_after >= ms(50), "no time to retry: {refusal:?}");
            refused += 1;
        }
    }
    assert!((250..300).contains(&refused), "{refused} of 300 were rejected");
    assert!(queue.waiting() < 50, "{} wait", queue.waiting());
}

/// Reads fill the queue, then an order arrives that must be answered sooner.
#[test]
fn the_most_urgent_goes_first_and_what_is_late_goes_last() {
    let now = Instant::now();
    let (mut queue, running) = full_queue(now);
    let late = WorkRequest { soft_deadline: now, rank: 0, ..request(now, READ) };
    let QueueDecision::Wait(late) = queue.offer(now, late) else { panic!("not queued") };
    let QueueDecision::Wait(read) = queue.offer(now, request(now, READ)) else {
        panic!("not queued")
    };
    let order = WorkRequest { rank: 0, ..request(now, ORDER) };
    let QueueDecision::Wait(order) = queue.offer(now, order) else { panic!("not queued") };
    let mut order_of_start = Vec::new();
    for key in running.into_iter().take(3) {
        queue.release(now + ms(10), key, WorkOutcome::Aborted);
        for result in queue.poll(now + ms(10)) {
            let WaitResult::Run(waiting, _) = result else { panic!("refused") };
            order_of_start.push(waiting);
        }
    }
    assert_eq!(order_of_start, [order, read, late]);
}

/// A service is overloaded for seconds. Newer requests that can meet their soft deadline keep
/// overtaking a waiting one, which would be rejected only when nine tenths of its time are gone.
/// Once it can't meet its soft deadline and the queue is long, it must be rejected, so that its
/// caller has time to retry.
#[test]
fn an_overtaken_request_is_rejected_while_its_caller_has_time_to_retry() {
    let now = Instant::now();
    let (mut queue, running) = full_queue(now);
    let QueueDecision::Wait(first) = queue.offer(now, request(now, READ)) else {
        panic!("not queued")
    };
    let mut running: Vec<RunningKey> = running;
    let mut rejected_at = None;
    for step in 1..150 {
        let at = now + ms(step * 10);
        // More arrive than complete: one of seven slots becomes free each 14 ms, two requests come
        // each 10 ms.
        for _ in 0..2 {
            queue.offer(at, WorkRequest { rank: 0, ..request(at, READ) });
        }
        if let Some(key) = running.pop() {
            queue.release(at, key, WorkOutcome::Completed);
        }
        for result in queue.poll(at) {
            match result {
                WaitResult::Run(_, key) => running.insert(0, key),
                WaitResult::Refused(key, refusal) if key == first => {
                    assert_eq!(refusal.reason, QueueRefusalReason::TooLate);
                    rejected_at.get_or_insert(at);
                }
                WaitResult::Refused(..) => {}
            }
        }
    }
    let rejected_after = rejected_at.expect("held until its deadline").duration_since(now);
    assert!(rejected_after < ms(700), "rejected after {rejected_after:?} of two seconds");
}

/// The caller of a waiting request disconnects just when a slot becomes free for it. The slot must
/// not be lost.
#[test]
fn a_slot_given_to_a_disconnected_caller_is_released() {
    let now = Instant::now();
    let (mut queue, running) = full_queue(now);
    let QueueDecision::Wait(waiting) = queue.offer(now, request(now, READ)) else {
        panic!("not queued")
    };
    queue.release(now, running[0], WorkOutcome::Aborted);
    queue.cancel(now, waiting);
    assert_eq!(queue.running(), queue.limit() - 1);
    assert_eq!(started_count(&queue.poll(now)), 0);
    assert!(matches!(queue.offer(now, request(now, READ)), QueueDecision::Run(_)));
}

/// A target stops responding with requests waiting behind it. Each must be rejected before its
/// caller gives up, so that the caller may retry.
#[test]
fn a_waiting_request_is_rejected_before_its_caller_gives_up() {
    let now = Instant::now();
    let (mut queue, _) = full_queue(now);
    let QueueDecision::Wait(key) = queue.offer(now, request(now, READ)) else {
        panic!("not queued")
    };
    let wake = queue.next_wake(now).expect("a time to poll");
    assert!(wake < now + ms(2_000), "due only after its caller has given up");
    let results = queue.poll(now + ms(1_950));
    let is_rejected = results
        .iter()
        .any(|result| matches!(result, WaitResult::Refused(rejected, _) if *rejected == key));
    assert!(is_rejected, "not rejected: {results:?}");
}

/// A target was slow for a while and is fast now. By the slow estimate a waiting request was due
/// for a check, by the fast one it can still be served. If the next poll were due in the past, the
/// daemon would poll in a busy loop and starve the responses that are ready.
#[test]
fn the_next_poll_is_never_in_the_past() {
    let now = Instant::now();
    let (mut queue, _) = full_queue(now);
    for step in 0..100 {
        queue.record_slowdown(now + ms(step), 4.0);
    }
    let QueueDecision::Wait(_) = queue.offer(now + ms(100), request(now, READ)) else {
        panic!("not queued")
    };
    let at = now + ms(1_700);
    queue.record_slowdown(at, 1.0);
    assert!(queue.poll(at).is_empty(), "it can be served");
    let next = queue.next_wake(at).expect("a time to poll");
    assert!(next > at, "due at a time in the past");
}

#[test]
fn a_draining_target_rejects_all_waiting_requests() {
    let now = Instant::now();
    let (mut queue, _) = full_queue(now);
    assert!(matches!(queue.offer(now, request(now, READ)), QueueDecision::Wait(_)));
    queue.start_draining(now);
    assert!(matches!(queue.poll(now)[..], [WaitResult::Refused(..)]));
    let QueueDecision::Refused(refusal) = queue.offer(now, request(now, READ)) else {
        panic!("not rejected")
    };
    assert_eq!(refusal.reason, QueueRefusalReason::Draining);
    assert_eq!(queue.running(), queue.limit());
    queue.stop_draining();
    assert!(matches!(queue.offer(now, request(now, READ)), QueueDecision::Wait(_)));
}

/// A service's own orders take 200 ms, and for each of them it gets five calls of 40 ms on behalf
/// of requests to another service. With one target of three left it is saturated. Calls that wait
/// behind orders are late, and each makes its whole parent request fail; put first, they delay an
/// order by a fifth of its own time.
#[test]
fn short_calls_go_before_the_orders_of_a_saturated_service() {
    let now = Instant::now();
    let (call, order) = (3, 4);
    let mut queue = WorkQueue::new(9);
    for round in 0..40 {
        for (kind, service_ms, times) in [(call, 40, 5), (order, 200, 1)] {
            for _ in 0..times {
                let at = now + ms(round);
                let QueueDecision::Run(key) = queue.offer(at, request(at, kind)) else {
                    panic!("no free slot")
                };
                queue.release(at + ms(service_ms), key, WorkOutcome::Completed);
            }
        }
    }
    let now = now + ms(1_000);
    let running: Vec<_> =
        (0..queue.limit()).map(|_| queue.offer(now, request(now, order))).collect();
    for _ in 0..4 {
        assert!(matches!(queue.offer(now, request(now, order)), QueueDecision::Wait(_)));
    }
    // The call's own soft deadline has passed, but its parent request still waits.
    let late_call = WorkRequest { soft_deadline: now, rank: 2, ..request(now, call) };
    let QueueDecision::Wait(late_call) = queue.offer(now, late_call) else {
        panic!("was rejected")
    };
    let QueueDecision::Run(first) = running[0] else { panic!("not run") };
    queue.release(now + ms(5), first, WorkOutcome::Aborted);
    assert!(matches!(queue.poll(now + ms(5))[..], [WaitResult::Run(key, _)] if key == late_call));
}
