//! What a gate runs, lets wait and turns away.

use std::time::{Duration, Instant};

use yuccarack_policy::work_queue::{
    QueueDecision, QueueRefusalReason, RunningKey, WaitResult, WorkOutcome, WorkQueue, WorkRequest,
};

const READ: u64 = 1;
const ORDER: u64 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn work(now: Instant, kind: u64) -> WorkRequest {
    WorkRequest {
        kind,
        rank: 1,
        soft_deadline: now + ms(500),
        deadline: now + ms(2_000),
        may_wait: true,
    }
}

/// A queue of nine slots that has learnt that a read takes 100 ms, and is filled.
fn filled(now: Instant) -> (WorkQueue, Vec<RunningKey>) {
    let mut queue = WorkQueue::new(9);
    for _ in 0..50 {
        let QueueDecision::Run(key) = queue.offer(now, work(now, READ)) else { panic!("room") };
        queue.release(now + ms(100), key, WorkOutcome::Completed);
    }
    let running = (0..queue.limit()).map(|_| match queue.offer(now, work(now, READ)) {
        QueueDecision::Run(key) => key,
        other => panic!("not run: {other:?}"),
    });
    let running = running.collect();
    (queue, running)
}

fn started(settled: &[WaitResult]) -> usize {
    settled.iter().filter(|settled| matches!(settled, WaitResult::Run(..))).count()
}

/// Story: targets slow 1.7 times above four fifths of their slots, so a gate that fills all nine
/// answers 9 / 1.7 = 5.3 requests in the time in which seven could be answered.
#[test]
fn a_target_is_filled_to_four_fifths() {
    assert_eq!(WorkQueue::new(9).limit(), 7);
    assert_eq!(WorkQueue::new(8).limit(), 6);
    assert_eq!(WorkQueue::new(1).limit(), 1);
}

#[test]
fn what_may_not_wait_is_told_at_once_that_there_is_no_room() {
    let now = Instant::now();
    let (mut queue, _) = filled(now);
    let QueueDecision::Refused(refused) =
        queue.offer(now, WorkRequest { may_wait: false, ..work(now, READ) })
    else {
        panic!("let in");
    };
    assert_eq!(refused.reason, QueueRefusalReason::Full);
}

/// Guards against queues of late answers after a loss of all power, when no gate knows how long work takes.
#[test]
fn a_new_queue_lets_wait_what_can_be_on_time_by_its_objective() {
    let now = Instant::now();
    let mut queue = WorkQueue::new(8);
    let read = WorkRequest {
        soft_deadline: now + ms(1_000),
        deadline: now + ms(1_300),
        ..work(now, READ)
    };
    let mut waiting = 0;
    for _ in 0..60 {
        waiting += usize::from(matches!(queue.offer(now, read), QueueDecision::Wait(_)));
    }
    // Six run for a third of a second, and twelve more can be on time after them.
    assert!((6..=18).contains(&waiting), "{waiting} wait");
}

/// Guards against requests that are refused after a loss of all power because the slowness of targets that
/// have just started is counted twice.
#[test]
fn the_pace_that_a_cold_target_tells_is_not_counted_twice() {
    let now = Instant::now();
    let (mut queue, _) = filled(now);
    queue.cold_rate_mut().set_cold_until(now + ms(3_000));
    queue.record_slowdown(now, 2.0);
    let urgent =
        WorkRequest { soft_deadline: now + ms(350), deadline: now + ms(400), ..work(now, READ) };
    assert!(matches!(queue.offer(now, urgent), QueueDecision::Wait(_)));
}

/// Guards against requests that a cold target can't answer in time, before it has told its pace.
#[test]
fn a_cold_target_counts_as_slow_before_it_tells_its_pace() {
    let now = Instant::now();
    let (mut queue, _) = filled(now);
    queue.cold_rate_mut().set_cold_until(now + ms(3_000));
    let urgent =
        WorkRequest { soft_deadline: now + ms(150), deadline: now + ms(200), ..work(now, READ) };
    let QueueDecision::Refused(refused) = queue.offer(now, urgent) else { panic!("let in") };
    assert_eq!(refused.reason, QueueRefusalReason::CannotEndInTime);
}

/// Story: a target's neighbours slow it fourfold for a third of a second. A request that could go
/// elsewhere is sent on; the last one asked takes it all the same.
#[test]
fn a_slow_target_sends_on_what_could_go_elsewhere() {
    let now = Instant::now();
    let mut queue = WorkQueue::new(9);
    queue.record_slowdown(now, 4.0);
    let elsewhere = WorkRequest { may_wait: false, ..work(now, READ) };
    let QueueDecision::Refused(refused) = queue.offer(now, elsewhere) else { panic!("let in") };
    assert_eq!(refused.reason, QueueRefusalReason::Slow);
    assert!(matches!(queue.offer(now, work(now, READ)), QueueDecision::Run(_)));
    // Half a second later the report says little any more.
    let later = now + ms(800);
    let elsewhere = WorkRequest { may_wait: false, ..work(later, READ) };
    assert!(matches!(queue.offer(later, elsewhere), QueueDecision::Run(_)));
}

/// Story: a burst brings ten times what a target can do. Held to their end, requests would take a
/// place in the queue, be answered never, and their callers could not come back. So those that
/// can't be answered are told at once, with a time to come back.
#[test]
fn what_can_not_end_in_time_is_turned_away_at_once() {
    let now = Instant::now();
    let (mut queue, _) = filled(now);
    let mut refused = 0;
    for _ in 0..300 {
        if let QueueDecision::Refused(told) = queue.offer(now, work(now, READ)) {
            assert!(told.retry_after >= ms(50), "no time to come back: {told:?}");
            refused += 1;
        }
    }
    assert!((250..300).contains(&refused), "{refused} of 300 were turned away");
    assert!(queue.waiting() < 50, "{} wait", queue.waiting());
}

/// Story: reads fill the queue, then an order comes that must be answered sooner than they are.
#[test]
fn the_most_urgent_goes_first_and_what_is_late_goes_last() {
    let now = Instant::now();
    let (mut queue, running) = filled(now);
    let late = WorkRequest { soft_deadline: now, rank: 0, ..work(now, READ) };
    let QueueDecision::Wait(late) = queue.offer(now, late) else { panic!("no place") };
    let QueueDecision::Wait(read) = queue.offer(now, work(now, READ)) else { panic!("no place") };
    let order = WorkRequest { rank: 0, ..work(now, ORDER) };
    let QueueDecision::Wait(order) = queue.offer(now, order) else { panic!("no place") };
    let mut order_of_start = Vec::new();
    for key in running.into_iter().take(3) {
        queue.release(now + ms(10), key, WorkOutcome::Aborted);
        for settled in queue.poll(now + ms(10)) {
            let WaitResult::Run(waiting, _) = settled else { panic!("refused") };
            order_of_start.push(waiting);
        }
    }
    assert_eq!(order_of_start, [order, read, late]);
}

/// Story: a service is overloaded for seconds. A request waits, newer ones that can still be on time
/// overtake it for as long as they come, and it is turned away when its caller is about to give up,
/// nine tenths of its time gone. Once it can't be on time any more and the queue is long it is told
/// at once, so that its caller has time to come back.
#[test]
fn what_is_overtaken_until_it_is_late_is_told_while_there_is_time() {
    let now = Instant::now();
    let (mut queue, running) = filled(now);
    let QueueDecision::Wait(first) = queue.offer(now, work(now, READ)) else { panic!("no place") };
    let mut running: Vec<RunningKey> = running;
    let mut told_at = None;
    for step in 1..150 {
        let at = now + ms(step * 10);
        // More come than end: one slot in seven gets free each 14 ms, two requests come each 10 ms.
        for _ in 0..2 {
            queue.offer(at, WorkRequest { rank: 0, ..work(at, READ) });
        }
        if let Some(key) = running.pop() {
            queue.release(at, key, WorkOutcome::Completed);
        }
        for settled in queue.poll(at) {
            match settled {
                WaitResult::Run(_, key) => running.insert(0, key),
                WaitResult::Refused(key, refused) if key == first => {
                    assert_eq!(refused.reason, QueueRefusalReason::TooLate);
                    told_at.get_or_insert(at);
                }
                WaitResult::Refused(..) => {}
            }
        }
    }
    let told_after = told_at.expect("held to its end").duration_since(now);
    assert!(told_after < ms(700), "told after {told_after:?} of two seconds");
}

/// Story: the caller of a waiting request leaves just when a slot gets free for it. The slot must
/// not be lost.
#[test]
fn a_caller_that_leaves_gives_its_slot_back() {
    let now = Instant::now();
    let (mut queue, running) = filled(now);
    let QueueDecision::Wait(waiting) = queue.offer(now, work(now, READ)) else {
        panic!("no place")
    };
    queue.release(now, running[0], WorkOutcome::Aborted);
    queue.cancel(now, waiting);
    assert_eq!(queue.running(), queue.limit() - 1);
    assert_eq!(started(&queue.poll(now)), 0);
    assert!(matches!(queue.offer(now, work(now, READ)), QueueDecision::Run(_)));
}

/// Story: a target stops answering with requests waiting behind it. Each is told before its caller
/// gives up that it did not run, so that the caller may come back.
#[test]
fn what_waits_is_told_while_its_caller_still_listens() {
    let now = Instant::now();
    let (mut queue, _) = filled(now);
    let QueueDecision::Wait(key) = queue.offer(now, work(now, READ)) else { panic!("no place") };
    let wake = queue.next_wake(now).expect("a time to look");
    assert!(wake < now + ms(2_000), "looked at only when its caller has left");
    let settled = queue.poll(now + ms(1_950));
    let told = settled
        .iter()
        .any(|settled| matches!(settled, WaitResult::Refused(told, _) if *told == key));
    assert!(told, "not told: {settled:?}");
}

/// Story: a target was slow for a while and is quick now. A request that waits was to be looked at by
/// the slow pace and has hope by the quick one; looked at for the past, again and again at once, it
/// took the whole processor of its daemon from those whose answers were ready.
#[test]
fn the_next_look_is_never_in_the_past() {
    let now = Instant::now();
    let (mut queue, _) = filled(now);
    for step in 0..100 {
        queue.record_slowdown(now + ms(step), 4.0);
    }
    let QueueDecision::Wait(_) = queue.offer(now + ms(100), work(now, READ)) else {
        panic!("no place")
    };
    let at = now + ms(1_700);
    queue.record_slowdown(at, 1.0);
    assert!(queue.poll(at).is_empty(), "it has hope");
    let next = queue.next_wake(at).expect("a time to look");
    assert!(next > at, "asked for a look at a moment that has passed");
}

#[test]
fn a_leaving_target_turns_all_away_that_waits() {
    let now = Instant::now();
    let (mut queue, _) = filled(now);
    assert!(matches!(queue.offer(now, work(now, READ)), QueueDecision::Wait(_)));
    queue.start_draining(now);
    assert!(matches!(queue.poll(now)[..], [WaitResult::Refused(..)]));
    let QueueDecision::Refused(refused) = queue.offer(now, work(now, READ)) else {
        panic!("let in")
    };
    assert_eq!(refused.reason, QueueRefusalReason::Leaving);
    assert_eq!(queue.running(), queue.limit());
    queue.stop_draining();
    assert!(matches!(queue.offer(now, work(now, READ)), QueueDecision::Wait(_)));
}

/// Story: a service's own orders take 200 ms, and for each of them it is called five times by the
/// requests of another service, 40 ms each. With one target left of three it is saturated. Calls that
/// wait behind orders are late, and with each of them the whole request that made it fails; put first
/// they hold an order up by a fifth of its own time.
#[test]
fn short_calls_go_before_the_orders_of_a_saturated_service() {
    let now = Instant::now();
    let (call, order) = (3, 4);
    let mut queue = WorkQueue::new(9);
    for round in 0..40 {
        for (kind, took, times) in [(call, 40, 5), (order, 200, 1)] {
            for _ in 0..times {
                let at = now + ms(round);
                let QueueDecision::Run(key) = queue.offer(at, work(at, kind)) else {
                    panic!("no room")
                };
                queue.release(at + ms(took), key, WorkOutcome::Completed);
            }
        }
    }
    let now = now + ms(1_000);
    let running: Vec<_> = (0..queue.limit()).map(|_| queue.offer(now, work(now, order))).collect();
    for _ in 0..4 {
        assert!(matches!(queue.offer(now, work(now, order)), QueueDecision::Wait(_)));
    }
    // Its own aim has passed already, but its parent still waits.
    let late_call = WorkRequest { soft_deadline: now, rank: 2, ..work(now, call) };
    let QueueDecision::Wait(late_call) = queue.offer(now, late_call) else { panic!("turned away") };
    let QueueDecision::Run(first) = running[0] else { panic!("not run") };
    queue.release(now + ms(5), first, WorkOutcome::Aborted);
    assert!(matches!(queue.poll(now + ms(5))[..], [WaitResult::Run(key, _)] if key == late_call));
}
