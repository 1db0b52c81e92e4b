//! Tests that a gate refuses waiting requests early enough for the refusal to reach the entry.

use std::time::{Duration, Instant};

use yuccarack_policy::{
    return_margin::{RETURN_MARGIN, time_for_another_attempt, wait_until},
    work_queue::{QueueDecision, WaitResult, WorkQueue, WorkRequest},
};

const KIND: u64 = 1;

/// Latency of the request to the gate, and of the refusal back to the entry.
const LATENCY: Duration = Duration::from_micros(3_500);

/// Time that a call has left when its entry sends it to a gate.
const TIME_LEFT: Duration = Duration::from_millis(220);

/// Returns a queue with learned service times of 2 ms, all slots of which are taken.
fn full_queue(start: Instant) -> WorkQueue {
    let mut queue = WorkQueue::new(4);
    let request = WorkRequest {
        kind: KIND,
        rank: 1,
        organisation: None,
        soft_deadline: start + Duration::from_secs(60),
        deadline: start + Duration::from_secs(60),
        may_wait: true,
    };
    for _ in 0..50 {
        let QueueDecision::Run(key) = queue.offer(start, request) else { panic!("no free slot") };
        let end = start + Duration::from_millis(2);
        queue.release(end, key, yuccarack_policy::work_queue::WorkOutcome::Completed);
    }
    for _ in 0..queue.limit() {
        assert!(matches!(queue.offer(start, request), QueueDecision::Run(_)));
    }
    queue
}

/// Returns the time from the sending of a request until its entry gets the refusal.
fn refused_after(margin: Duration) -> Duration {
    let sent_at = Instant::now();
    let mut queue = full_queue(sent_at);
    let arrived_at = sent_at + LATENCY;
    let request = WorkRequest {
        kind: KIND,
        rank: 1,
        organisation: None,
        soft_deadline: arrived_at + Duration::from_millis(80),
        deadline: wait_until(arrived_at + TIME_LEFT, margin),
        may_wait: true,
    };
    let QueueDecision::Wait(_) = queue.offer(arrived_at, request) else { panic!("does not wait") };
    let mut now = arrived_at;
    for _ in 0..10_000 {
        now = queue.next_wake(now).expect("a time to poll");
        if queue.poll(now).iter().any(|it| matches!(it, WaitResult::Refused(..))) {
            return now + LATENCY - sent_at;
        }
    }
    panic!("never refused");
}

/// Guards against calls that end with an unknown outcome: all slots of a gate are taken until their
/// deadline, and the refusal is on its way when the entry gives up.
#[test]
fn the_refusal_of_a_waiting_request_arrives_before_the_deadline() {
    assert!(refused_after(Duration::ZERO) > TIME_LEFT);
    assert!(refused_after(RETURN_MARGIN) <= TIME_LEFT);
}

/// Guards against a further attempt after the refusal, which ends with an unknown outcome too.
#[test]
fn no_attempt_is_made_in_the_time_of_the_margin() {
    let left = time_for_another_attempt(Duration::from_millis(9), RETURN_MARGIN);
    assert_eq!(left, Duration::ZERO);
    let unused = time_for_another_attempt(Duration::from_millis(9), Duration::ZERO);
    assert_eq!(unused, Duration::from_millis(9));
}
