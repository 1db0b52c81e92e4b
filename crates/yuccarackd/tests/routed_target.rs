//! What a daemon believes of the target beside it.

use std::time::{Duration, Instant};

use yuccarack_config::heartbeat::{Heartbeat, Leave, TargetPhase};
use yuccarackd::state::routed::target::{DepartedTarget, HeartbeatEffect, RoutedTarget};

fn beat(life: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        target: "i-1".to_owned(),
        life,
        sequence,
        service: "board".to_owned(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        failure_domain: "a".to_owned(),
        slots: 9,
        phase: TargetPhase::Ready,
        cold_for_ms: 0,
    }
}

/// A daemon that knows of no earlier word of its target.
fn settled() -> RoutedTarget {
    let target = RoutedTarget::new();
    target.restore_departed(None);
    target
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn the_latest_word_of_the_latest_life_counts() {
    let (start, target) = (Instant::now(), settled());
    assert_eq!(target.apply_heartbeat(start, beat(10, 1)), HeartbeatEffect::NewLife);
    assert_eq!(target.apply_heartbeat(start, beat(10, 2)), HeartbeatEffect::Same);
    let draining = Heartbeat { phase: TargetPhase::Draining, ..beat(10, 4) };
    assert_eq!(target.apply_heartbeat(start, draining), HeartbeatEffect::Changed);
    assert_eq!(target.apply_heartbeat(start, beat(10, 3)), HeartbeatEffect::Older);
    assert!(target.is_leaving());
    assert_eq!(target.apply_heartbeat(start, beat(11, 1)), HeartbeatEffect::NewLife);
    assert_eq!(target.apply_heartbeat(start, beat(10, 9)), HeartbeatEffect::OlderLife);
    assert_eq!(target.current().map(|view| view.life), Some(11));
}

#[test]
fn a_target_that_has_left_stays_away() {
    let (start, target) = (Instant::now(), settled());
    target.apply_heartbeat(start, beat(10, 1));
    let leave = |life| Leave { target: "i-1".to_owned(), life };
    assert!(!target.apply_leave(0, &leave(Some(9))), "the word of an earlier process was taken");
    assert!(target.apply_leave(0, &leave(Some(10))));
    assert_eq!(target.apply_heartbeat(start, beat(10, 2)), HeartbeatEffect::Older);
    assert_eq!(target.current(), None);
}

/// Story: heartbeats of a dead process were held up by a cut link and arrive in a burst, seconds after
/// another process has taken its place. None of them counts.
#[test]
fn a_burst_of_late_heartbeats_changes_nothing() {
    let (start, target) = (Instant::now(), settled());
    target.apply_heartbeat(start, beat(20, 1));
    for sequence in 1..10 {
        assert_eq!(
            target.apply_heartbeat(after(start, 1_000), beat(10, sequence)),
            HeartbeatEffect::OlderLife
        );
    }
    target.apply_heartbeat(after(start, 1_500), beat(20, 2));
    assert_eq!(target.current().map(|view| view.life), Some(20));
}

/// Story: a machine's clock is set back by ten minutes and its target starts again. Its start seems to
/// lie before that of the process it replaces; it is believed once the other has fallen silent and it
/// goes on speaking.
#[test]
fn a_target_that_started_on_a_clock_set_back_is_believed_in_the_end() {
    let (start, target) = (Instant::now(), settled());
    target.apply_heartbeat(start, beat(700_000, 8));
    let heard: Vec<HeartbeatEffect> = (1..=4)
        .map(|sequence| {
            target.apply_heartbeat(after(start, 1_500 * sequence), beat(100_000, sequence))
        })
        .collect();
    assert_eq!(heard[..2], [HeartbeatEffect::OlderLife, HeartbeatEffect::OlderLife]);
    assert!(heard.contains(&HeartbeatEffect::NewLife), "never believed: {heard:?}");
    assert_eq!(target.current().map(|view| view.life), Some(100_000));
}

/// Story: a daemon is restarted in a roll. The first that its new process hears of the target is that
/// it leaves, and two seconds later a heartbeat from before that arrives. The target got work again,
/// later than the time that it had given.
#[test]
fn a_leave_counts_though_nothing_was_heard_before() {
    let (start, target) = (Instant::now(), settled());
    let leave = Leave { target: "i-1".to_owned(), life: None };
    assert!(!target.apply_leave(1_000, &leave));
    assert_eq!(target.apply_heartbeat(after(start, 2_000), beat(400, 20)), HeartbeatEffect::Older);
    assert_eq!(target.current(), None);
    // A process that started after that is another one, and so is another target.
    assert_eq!(
        target.apply_heartbeat(after(start, 3_000), beat(1_500, 1)),
        HeartbeatEffect::NewLife
    );
    let other = Heartbeat { target: "i-2".to_owned(), ..beat(2_000, 1) };
    assert_eq!(target.apply_heartbeat(after(start, 4_000), other), HeartbeatEffect::NewLife);
}

/// Story: as above, but the word had been given to an earlier process of the daemon, which kept it in
/// the store.
#[test]
fn the_word_to_an_earlier_process_counts() {
    let (start, target) = (Instant::now(), RoutedTarget::new());
    assert_eq!(target.apply_heartbeat(start, beat(400, 20)), HeartbeatEffect::TooSoon);
    target
        .restore_departed(Some(DepartedTarget { target: "i-1".to_owned(), last_incarnation: 400 }));
    assert_eq!(target.apply_heartbeat(start, beat(400, 21)), HeartbeatEffect::Older);
    assert_eq!(target.apply_heartbeat(start, beat(401, 1)), HeartbeatEffect::NewLife);
    assert_eq!(target.departed(), None);
    target.apply_heartbeat(start, Heartbeat { phase: TargetPhase::Draining, ..beat(401, 2) });
    let departed = DepartedTarget { target: "i-1".to_owned(), last_incarnation: 401 };
    assert_eq!(target.departed(), Some(departed));
}
