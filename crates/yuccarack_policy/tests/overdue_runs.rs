//! Tests what happens to requests that wait for slots which overdue runs hold.

use std::time::{Duration, Instant};

use yuccarack_policy::work_queue::{
    QueueDecision, QueueRefusal, QueueRefusalReason, RunningKey, WaitResult, WorkOutcome,
    WorkQueue, WorkRequest,
};

/// Service time that the queue has learned.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Time that requests have left when they arrive.
const TIME_LEFT: Duration = Duration::from_millis(1_000);

fn request(now: Instant) -> WorkRequest {
    WorkRequest {
        kind: 1,
        organisation: None,
        rank: 1,
        soft_deadline: now + TIME_LEFT,
        deadline: now + TIME_LEFT,
        may_wait: true,
    }
}

/// Returns a queue whose slots are all taken at `now`.
fn full_queue(now: Instant, refuses_behind_overdue: bool) -> (WorkQueue, Vec<RunningKey>) {
    let mut queue = WorkQueue::new(5);
    queue.set_refuses_behind_overdue(refuses_behind_overdue);
    for _ in 0..50 {
        let QueueDecision::Run(key) = queue.offer(now, request(now)) else { panic!("no slot") };
        queue.release(now + SERVICE_TIME, key, WorkOutcome::Completed);
    }
    let running = (0..queue.limit()).map(|_| match queue.offer(now, request(now)) {
        QueueDecision::Run(key) => key,
        other => panic!("not run: {other:?}"),
    });
    let running = running.collect();
    (queue, running)
}

/// Polls the queue as its timer does until the only waiting request is rejected.
fn refused_at(queue: &mut WorkQueue) -> (Instant, QueueRefusal) {
    let mut now = Instant::now();
    loop {
        now = queue.next_wake(now).expect("a waiting request");
        if let Some(result) = queue.poll(now).first() {
            match result {
                WaitResult::Refused(_, refusal) => return (now, *refusal),
                WaitResult::Run(..) => panic!("ran without a slot"),
            }
        }
    }
}

/// Guards against requests that wait until their deadline for slots that a stalled target holds, so
/// that their callers can't return in time.
#[test]
fn a_request_behind_overdue_runs_is_rejected_half_way_to_its_deadline() {
    let start = Instant::now();
    let (mut queue, _running) = full_queue(start, true);
    let decision = queue.offer(start, request(start));
    assert!(matches!(decision, QueueDecision::Wait(_)), "{decision:?}");
    let (at, refusal) = refused_at(&mut queue);
    let after = at - start;
    assert_eq!(refusal.reason, QueueRefusalReason::CannotEndInTime);
    assert!(after <= TIME_LEFT / 2, "rejected after {after:?}");
    assert!(after >= (TIME_LEFT - SERVICE_TIME) / 2 - SERVICE_TIME, "rejected after {after:?}");
    // The caller is asked to return when a slot is expected to be free.
    assert!(refusal.retry_after >= after, "{refusal:?} after {after:?}");
}

/// Guards against a request that waits although it is known on arrival that no slot becomes free in
/// time.
#[test]
fn a_request_that_arrives_behind_long_overdue_runs_is_rejected_at_once() {
    let start = Instant::now();
    let (mut queue, _running) = full_queue(start, true);
    let later = start + TIME_LEFT;
    let decision = queue.offer(later, request(later));
    let QueueDecision::Refused(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.reason, QueueRefusalReason::CannotEndInTime);
}

/// Guards against rejections while only a part of the slots is held by overdue runs.
#[test]
fn a_request_waits_while_one_run_is_not_overdue() {
    let start = Instant::now();
    let (mut queue, running) = full_queue(start, true);
    let later = start + TIME_LEFT;
    queue.release(later, running[0], WorkOutcome::Completed);
    assert!(matches!(queue.offer(later, request(later)), QueueDecision::Run(_)));
    assert!(matches!(queue.offer(later, request(later)), QueueDecision::Wait(_)));
    let soon = later + SERVICE_TIME;
    assert!(queue.poll(soon).is_empty());
    queue.release(soon, running[1], WorkOutcome::Completed);
    assert!(matches!(queue.poll(soon)[..], [WaitResult::Run(..)]));
}

/// Guards against changed waits in deployments that don't end them early.
#[test]
fn without_early_rejections_a_request_waits_until_its_deadline() {
    let start = Instant::now();
    let (mut queue, _running) = full_queue(start, false);
    let decision = queue.offer(start, request(start));
    assert!(matches!(decision, QueueDecision::Wait(_)), "{decision:?}");
    let (at, _) = refused_at(&mut queue);
    assert!(at - start >= TIME_LEFT - 2 * SERVICE_TIME, "rejected after {:?}", at - start);
}
