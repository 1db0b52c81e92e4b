//! Tests when the callers of shed requests return.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use yuccarack_policy::shed_returns::{SHED_AT_RANDOM_RETRY_AFTER, ShedReturns, can_return};

/// Wait of callers whose gate gives no shorter one.
const FULL_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Soft deadline of the requests, and the time from the shedding to the caller and back.
const SOFT_DEADLINE: Duration = Duration::from_millis(400);
const ROUND_TRIP: Duration = Duration::from_millis(13);

/// Service time of the requests.
const SERVICE_TIME: Duration = Duration::from_millis(76);

/// Sends 3,600 requests, of which 55 of 100 arrivals are shed; returns how many of them are served
/// within their soft deadline if callers return after the wait that `wait_after_shed` gives.
fn served(mut wait_after_shed: impl FnMut(bool) -> Option<Duration>) -> u32 {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut served = 0;
    for _ in 0..3_600 {
        let mut elapsed = ROUND_TRIP / 2;
        while elapsed + SERVICE_TIME <= SOFT_DEADLINE {
            let is_shed = rng.random_bool(0.55);
            let wait = wait_after_shed(is_shed);
            if !is_shed {
                served += 1;
                break;
            }
            elapsed += ROUND_TRIP + wait.unwrap_or(FULL_TARGET_RETRY_AFTER);
        }
    }
    served
}

/// Guards against requests that are lost although their targets have capacity: all targets of a
/// service shed 55 of 100 requests for 8 s, and callers return only once before their soft
/// deadline.
#[test]
fn callers_of_requests_shed_at_random_return_within_their_soft_deadline() {
    let late = served(|_| None);
    let mut returns = ShedReturns::new();
    let early = served(|is_shed| {
        returns.record(is_shed);
        returns.retry_after(true)
    });
    assert!(late < 2_700, "{late} served after long waits");
    assert!(early > 3_400, "{early} served after short waits");
}

/// Guards against callers that return at once to a full target and keep it full: it sheds nearly
/// everything, although its gate has free slots.
#[test]
fn callers_wait_for_a_target_that_sheds_nearly_everything() {
    let mut returns = ShedReturns::new();
    for _ in 0..60 {
        returns.record(true);
    }
    assert_eq!(returns.retry_after(true), None);
    // A target that serves half of its requests again is no longer full.
    for number in 0..60 {
        returns.record(number % 2 == 0);
    }
    assert!(returns.retry_after(true).is_some());
}

/// Guards against early returns to a target whose gate has no free slot.
#[test]
fn callers_wait_for_a_target_without_capacity() {
    let mut returns = ShedReturns::new();
    returns.record(true);
    assert_eq!(returns.retry_after(false), None);
}

/// Guards against requests without an extra attempt whose callers can't return either: a call of a
/// target with 250 ms left, and a request whose target asks for a long wait.
#[test]
fn only_callers_with_time_for_the_wait_can_return() {
    let ms = Duration::from_millis;
    assert!(can_return(ms(390), SHED_AT_RANDOM_RETRY_AFTER));
    assert!(!can_return(ms(250), SHED_AT_RANDOM_RETRY_AFTER));
    assert!(!can_return(ms(390), FULL_TARGET_RETRY_AFTER));
}

/// Guards against a target that asks for a wait too long to be added to anything.
#[test]
fn a_caller_does_not_return_after_the_longest_wait() {
    assert!(!can_return(SOFT_DEADLINE, Duration::MAX));
}
